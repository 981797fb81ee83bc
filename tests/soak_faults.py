"""The faults of the soak of streams: signals to processes and changes of the configuration."""

import copy
import math
import random
import signal
import threading
import time

from router_fleet import wait_until
from soak_configurations import draw_configuration

LEAVE = "leave"
CONFIGURATION_COUNTS = (1, 1, 2, 3, 5)
MAX_CONFIGURATION_INTERVAL_S = 0.05
# A configuration is in force at all processes within this time after it was acknowledged.
FORCE_DELAY_S = 2
# An entry process that gets SIGTERM exits within the grace time of its settings, 5 s.
EXIT_TIMEOUT_S = 8
# The time from the end of an entry process until its successor serves requests.
RESTART = "restart"


class Fault:
    """A signal or a change of the configuration, with the time in which it may affect streams."""

    def __init__(self, kind, target):
        self.kind = kind
        self.target = target
        self.began_at = time.monotonic()
        self.ended_at = math.inf

    def finish(self):
        self.ended_at = time.monotonic()

    def overlaps(self, began_at, ended_at):
        return self.began_at <= ended_at and self.ended_at >= began_at

    def changes_state(self, began_at, ended_at):
        """Returns whether the fault began or ended in a period."""
        return any(began_at <= at <= ended_at for at in (self.began_at, self.ended_at))

    def describe(self, origin):
        return (f"{self.began_at - origin:8.3f} to {self.ended_at - origin:8.3f} s: "
                f"{self.kind} {self.target}")


class FaultPlan:
    """Sends signals to the processes of a fleet and changes the configuration, in worker threads
    that overlap. No two of them use the same process at once."""

    def __init__(self, fleet, seed, stopped, max_pause_s):
        self.fleet = fleet
        self.seed = seed
        self.stopped = stopped
        # The longest time between two faults of a worker.
        self.max_pause_s = max_pause_s
        self.lock = threading.Lock()
        # Held while an engine starts.
        self.start_lock = threading.Lock()
        self.claimed = set()
        self.faults = []
        self.restarts = 0
        self.failures = []
        self.configuration_version = fleet.configuration["version"]
        # The changes of the configuration, each with what it changed to.
        self.configurations = [(Fault("configuration", ""), fleet.configuration)]
        self.configurations[0][0].finish()

    def entry_targets(self):
        """Entry processes that get signals. One that callers don't use, such as a peer with
        tunnels, belongs here and not into fleet.entries."""
        return self.fleet.entries

    def run_worker(self, index, actions):
        """Runs actions until the soak ends."""
        rng = random.Random(f"{self.seed}/faults/{index}")
        try:
            while not self.stopped.wait(rng.uniform(0.05, self.max_pause_s)):
                rng.choice(actions)(rng)
        except Exception as error:  # reported at the end of the soak
            self.failures.append(f"fault worker {index}: {type(error).__name__}: {error}")

    def begin(self, kind, target):
        fault = Fault(kind, target)
        with self.lock:
            self.faults.append(fault)
        return fault

    def claim(self, rng, processes):
        """Returns a process that is used by no other worker, or None."""
        with self.lock:
            free = [process for process in processes if process.name not in self.claimed]
            if not free:
                return None
            process = rng.choice(free)
            self.claimed.add(process.name)
            return process

    def release(self, process):
        with self.lock:
            self.claimed.discard(process.name)

    def fault_engine(self, rng):
        """Ends and replaces an engine, or stops it for a while."""
        running = [engine for engine in list(self.fleet.engines) if engine.process.poll() is None]
        engine = self.claim(rng, running)
        if engine is None:
            return
        kind = rng.choice(("SIGKILL", "SIGTERM", "SIGSTOP,SIGKILL", "SIGSTOP,SIGCONT", LEAVE, LEAVE))
        pause = rng.uniform(0.05, 1.0)
        fault = self.begin(kind, engine.name)
        if kind == LEAVE:
            # No signal follows: its streams go on while the worker starts the next engine.
            engine.process.send_signal(signal.SIGUSR2)
            self.replace_engine(rng)
            return
        if kind.startswith("SIGSTOP"):
            engine.process.send_signal(signal.SIGSTOP)
            time.sleep(pause)
        if kind.endswith("SIGCONT"):
            engine.process.send_signal(signal.SIGCONT)
            fault.finish()
            self.release(engine)
            return
        engine.end(signal.SIGTERM if kind == "SIGTERM" else signal.SIGKILL)
        self.replace_engine(rng)

    def replace_engine(self, rng):
        self.stopped.wait(rng.uniform(0, 0.5))
        with self.start_lock:
            self.fleet.add_engine()
            self.restarts += 1

    def fault_entry(self, rng):
        """Ends and starts an entry process, or sends it a signal that it survives."""
        entry = self.claim(rng, self.entry_targets())
        if entry is None:
            return
        kind = rng.choice(("SIGKILL", "SIGTERM", "SIGHUP", "SIGSTOP,SIGCONT"))
        pause = rng.uniform(0.05, 1.2)
        fault = self.begin(kind, entry.name)
        if kind == "SIGSTOP,SIGCONT":
            entry.send_signal(signal.SIGSTOP)
            time.sleep(pause)
            entry.send_signal(signal.SIGCONT)
        elif kind == "SIGHUP":
            entry.send_signal(signal.SIGHUP)
        else:
            entry.send_signal(getattr(signal, kind))
            self.check_exit(kind, entry, entry.process.wait(EXIT_TIMEOUT_S))
            fault.finish()
            fault = self.begin(RESTART, entry.name)
            self.restart(rng, entry)
        fault.finish()
        self.release(entry)

    def restart(self, rng, entry):
        self.stopped.wait(rng.uniform(0, 0.5))
        entry.start()
        with self.start_lock:
            self.restarts += 1
        wait_until(entry.ready, f"{entry.name} is ready")

    def check_exit(self, kind, entry, code):
        expected = 0 if kind == "SIGTERM" else -signal.SIGKILL
        if code != expected:
            self.failures.append(f"{entry.name} exited with {code} after {kind}")

    def change_configuration(self, rng):
        """Applies some configurations, one soon after the other. Only one worker may call it."""
        count = rng.choice(CONFIGURATION_COUNTS)
        for left in reversed(range(count)):
            self.configuration_version += 1
            configuration = draw_configuration(rng, self.fleet.configuration,
                                               self.configuration_version, serves_all=left == 0)
            fault = self.begin("configuration", str(self.configuration_version))
            self.configurations.append((fault, configuration))
            self.fleet.apply(configuration)
            fault.finish()
            if left > 0:
                time.sleep(rng.uniform(0, MAX_CONFIGURATION_INTERVAL_S))

    def route_timeout_s(self, route, at):
        """Returns the least time-out of a route in the configurations that may be in force at a time."""
        timeouts = []
        for index, (fault, configuration) in enumerate(self.configurations):
            following = self.configurations[index + 1:index + 2]
            ends_at = following[0][0].ended_at + FORCE_DELAY_S if following else math.inf
            if fault.overlaps(at, at) or fault.began_at <= at <= ends_at:
                timeouts += [r["timeoutMs"] / 1000 for r in configuration["routes"] if r["name"] == route]
        return min(timeouts, default=0)

    def find_early_exits(self):
        """Records entry processes that ended without a signal."""
        with self.lock:
            entries = [e for e in self.entry_targets() if e.name not in self.claimed]
            ended = [e for e in entries if e.process.poll() is not None]
            self.failures += [f"{e.name} ended by itself with {e.process.poll()}" for e in ended]
            self.claimed.update(e.name for e in ended)

    def during(self, target, began_at, ended_at, kinds=None):
        """Returns the faults of a target that overlap a period."""
        return [fault for fault in self.faults
                if fault.target == target and (kinds is None or fault.kind in kinds) and
                fault.overlaps(began_at, ended_at)]
