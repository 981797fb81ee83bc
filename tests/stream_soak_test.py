#!/usr/bin/env python3
"""A soak of real programs under faults: callers send streams to entry processes while engines and
entry processes get signals, engines are silent for some time, refuse streams, leave and come, and the
configuration changes. Each answered stream is checked by the rules of soak_checks.py.
Usage: stream_soak_test.py BUILD_DIR [--seed N] [--seconds S] [--engines N] [--entries N]
[--callers N] [--pause S]. The pause is the longest one between two faults of a worker. The seed draws
everything except the scheduling of the programs."""

import argparse
import collections
import copy
import os
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from router_fleet import CONFIGURATION, wait_until  # noqa: E402
from soak_calls import Caller  # noqa: E402
from soak_checks import Checker  # noqa: E402
from soak_engine import SoakFleet  # noqa: E402
from soak_faults import RESTART, FaultPlan  # noqa: E402

PREPAID_TOKENS = 10**9
PRINTED_LOG_BYTES = 3000


class Soak:
    """One run: callers and faults in threads, then the checks."""

    def __init__(self, fleet, options):
        self.fleet = fleet
        self.options = options
        self.faults_stopped = threading.Event()
        self.calls_stopped = threading.Event()
        self.plan = FaultPlan(fleet, options.seed, self.faults_stopped, options.pause)
        self.callers = [Caller(fleet, options.seed, index, self.calls_stopped)
                        for index in range(options.callers)]

    def run(self):
        origin = time.monotonic()
        fault_threads = self.start_faults()
        call_threads = [threading.Thread(target=caller.run) for caller in self.callers]
        for thread in call_threads:
            thread.start()
        while time.monotonic() - origin < self.options.seconds:
            time.sleep(0.1)
            self.plan.find_early_exits()
        # The callers go on while the last faults end.
        self.faults_stopped.set()
        for thread in fault_threads:
            thread.join()
        self.calls_stopped.set()
        for thread in call_threads:
            thread.join()
        self.plan.find_early_exits()
        return self.check(origin)

    def start_faults(self):
        """Starts workers whose faults leave about half of the processes alone."""
        plan = self.plan
        engine_workers = max(1, self.options.engines // 3)
        entry_workers = max(1, self.options.entries // 2)
        duties = [[plan.fault_engine]] * engine_workers + [[plan.fault_entry]] * entry_workers
        duties.append([plan.change_configuration, plan.fault_engine])
        threads = [threading.Thread(target=plan.run_worker, args=(index, actions))
                   for index, actions in enumerate(duties)]
        for thread in threads:
            thread.start()
        return threads

    def check(self, origin):
        streams = [stream for caller in self.callers for stream in caller.streams]
        checker = Checker(self.fleet, self.plan)
        self.wait_for_log(checker, streams)
        for stream in streams:
            checker.check(stream)
        checker.report(origin)
        failures = sum((caller.failures for caller in self.callers), self.plan.failures)
        for text in failures:
            print(f"BROKEN {text}")
        if failures:
            self.print_daemon_logs()
        broken = len(failures) + len(checker.failures)
        self.print_tallies(checker, len(streams), broken)
        return 1 if broken else 0

    def print_daemon_logs(self):
        """Prints the ends of the logs, for a process that did not start or did not answer."""
        for daemon in self.fleet.controls + self.fleet.entries:
            print(f"--- {daemon.name}\n{daemon.log()[-PRINTED_LOG_BYTES:]}")

    def wait_for_log(self, checker, streams):
        """Waits until the last streams are logged; check_log reports those that never are."""
        expected = [stream for stream in streams
                    if stream.is_answered() and not checker.was_killed(stream)]

        def is_logged():
            checker.read_logs()
            return all(checker.request_lines(stream) for stream in expected)

        try:
            wait_until(is_logged, "the log is complete", 2)
        except AssertionError:
            pass

    def print_tallies(self, checker, count, broken):
        faults = [fault for fault in self.plan.faults if fault.kind != RESTART]
        signals = collections.Counter(fault.kind for fault in faults)
        outcomes = " ".join(f"{name}={number}" for name, number in sorted(checker.tallies.items()))
        kinds = " ".join(f"{name}={number}" for name, number in sorted(signals.items()))
        sound = " ".join(f"{kind}={checker.sound_broken_off[kind]}/{number}"
                         for kind, number in sorted(checker.sound.items()))
        print(f"seed={self.options.seed} streams={count} ({outcomes}) "
              f"sound_broken_off=({sound}) "
              f"longest_overlap_ms={checker.longest_overlap_s * 1000:.0f} faults={len(faults)} ({kinds}) "
              f"restarts={self.plan.restarts} broken={broken}", flush=True)


def soak_configuration():
    configuration = copy.deepcopy(CONFIGURATION)
    for workspace in configuration["workspaces"]:
        workspace["prepaid"] = PREPAID_TOKENS
    return configuration


def parse_options():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--engines", type=int, default=4)
    parser.add_argument("--entries", type=int, default=2)
    parser.add_argument("--callers", type=int, default=8)
    parser.add_argument("--pause", type=float, default=0.7)
    return parser.parse_args()


def main():
    options = parse_options()
    print(f"seed {options.seed}; again: {sys.argv[0]} {options.build} --seed {options.seed} "
          f"--seconds {options.seconds:g} --engines {options.engines} --entries {options.entries} "
          f"--callers {options.callers} --pause {options.pause:g}", flush=True)
    with SoakFleet(options.build, entries=options.entries, engines=options.engines,
                   configuration=soak_configuration()) as fleet:
        return Soak(fleet, options).run()


if __name__ == "__main__":
    sys.exit(main())
