#!/usr/bin/env python3
"""Tests evacuations of availability zones with real processes: an order is not lost with the leader
or with all processes, and nothing is sent to the endpoints of an evacuated zone.
Usage: router_evacuation_test.py BUILD_DIR"""

import json
import os
import re
import socket
import subprocess
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from router_fleet import (SLOW_RESPONSE_S, StartedFleet, call, check,  # noqa: E402
                          has_all_endpoints, run_cases, wait_until)

ACK_S = 5
"""The time within which an operator gets an order acknowledged."""
EVACUATE_S = 5
"""The time after the acknowledgement within which nothing more is sent to the zone."""
ATTEMPT_S = 1
"""The time after which an operator tries another control process."""
KILL_DELAY_S = 0.002
"""Leaves the leader time to read the order. It may have committed it by then or not; it must not be lost
in either case."""


def leader_of(fleet):
    """Returns the control process that leads the log, as the log lines of the others name it."""
    for control in fleet.controls:
        leaders = re.findall(r" event=leader leader=([0-9.]+):", control.log())
        if leaders:
            return next(c for c in fleet.controls if c.ip == leaders[-1])
    raise AssertionError("no leader is known")


def order(controls, method, zone):
    """Sends an order to the control processes in turn until one acknowledges it. Returns how long
    that took."""
    started = time.monotonic()
    while time.monotonic() - started < ACK_S:
        for control in controls:
            try:
                if call(control.operators, method, f"/v1/evacuations/{zone}",
                        timeout=ATTEMPT_S).status == 200:
                    return time.monotonic() - started
            except OSError:
                time.sleep(0.05)
    raise AssertionError(f"{method} of zone {zone} is not acknowledged within {ACK_S} s")


def listed(control):
    """Returns the evacuated zones that a control process names, or None without a response 200."""
    try:
        answer = call(control.operators, "GET", "/v1/evacuations", timeout=ATTEMPT_S)
    except OSError:
        return None
    return json.loads(answer.body)["zones"] if answer.status == 200 else None


def cli(build, *arguments):
    return subprocess.run([os.path.join(build, "figchute"), *arguments], capture_output=True,
                          text=True, timeout=30, check=False)


def servers(fleet):
    return ",".join(f"{c.ip}:{c.operators[1]}" for c in fleet.controls)


def endpoints_in(fleet, zone):
    return [e for e in fleet.endpoints if e.zone == zone]


def arrivals_in(fleet, zone):
    return sorted(at for e in endpoints_in(fleet, zone) for at in e.arrivals)


class Load:
    """Sends lookups and chats to all entry processes until it is closed."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.statuses = []
        self.stopping = False
        self.threads = [threading.Thread(target=self.send, args=(i,), daemon=True)
                        for i in range(len(fleet.entries)) for _ in range(3)]

    def send(self, entry):
        while not self.stopping:
            for method, host, path in (("GET", "app.example", "/look/x"),
                                       ("POST", "chat.example", "/chat/x")):
                try:
                    self.statuses.append(self.fleet.call(method, host, path, "b", entry=entry,
                                                         key="key-north").status)
                except OSError:
                    self.statuses.append(0)
            time.sleep(0.01)

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_details):
        self.stopping = True
        for thread in self.threads:
            thread.join()


def wait_known(fleet, zone):
    """Waits until all entry processes apply the evacuation of a zone."""
    for entry in fleet.entries:
        wait_until(lambda e=entry: f"event=evacuation zone={zone} active=true" in e.log(),
                   f"{entry.name} knows the order", EVACUATE_S)


def check_unused(fleet, zone, duration_s=1.0):
    """Checks that requests of all entry processes are served without the endpoints of a zone."""
    before = len(arrivals_in(fleet, zone))
    with Load(fleet) as load:
        time.sleep(duration_s)
    check(len(load.statuses) > 20 and set(load.statuses) == {200}, f"statuses {set(load.statuses)}")
    check(len(arrivals_in(fleet, zone)) == before, f"nothing is sent to zone {zone}")


def order_sent_to_a_killed_leader_is_kept(build):
    """Guards against an order that is lost with the leader or with all processes, is acknowledged too
    late after the leader's end, or is not obeyed by endpoints that start later."""
    with StartedFleet(build, controls=3, entries=2, zones=("a", "b")) as fleet:
        wait_until(lambda: all(" event=leader leader=1" in c.log() for c in fleet.controls),
                   "all control processes know the leader")
        leader = leader_of(fleet)
        with Load(fleet):
            wait_until(lambda: arrivals_in(fleet, "b"), "zone b gets requests")
            with socket.create_connection(leader.operators, timeout=ATTEMPT_S) as operator:
                operator.sendall(b"POST /v1/evacuations/b HTTP/1.1\r\nHost: c\r\n"
                                 b"Content-Length: 0\r\n\r\n")
                time.sleep(KILL_DELAY_S)
                leader.kill()
            order([c for c in fleet.controls if c is not leader], "POST", "b")
            time.sleep(EVACUATE_S)
            obeyed_at = time.monotonic()
            time.sleep(1)
        late = [at for at in arrivals_in(fleet, "b") if at > obeyed_at]
        check(not late, f"{len(late)} requests reached the evacuated zone")
        wait_known(fleet, "b")

        for daemon in fleet.controls + fleet.entries:
            daemon.kill()
        for daemon in fleet.controls + fleet.entries:
            daemon.bootstrap = False
            daemon.write_settings(fleet.seeds())
            daemon.start()
        before = len(arrivals_in(fleet, "b"))
        for control in fleet.controls:
            wait_until(lambda c=control: listed(c) == ["b"], f"{control.name} names the zone")
        fleet.wait_ready()
        fleet.add_endpoint("late", "app", zone="b")
        for entry in fleet.entries:
            wait_until(lambda e=entry: has_all_endpoints(e, 5), f"{entry.name} has the new endpoint")
        check_unused(fleet, "b")
        check(len(arrivals_in(fleet, "b")) == before, "nothing was sent since the restart")

        order(fleet.controls, "DELETE", "b")
        with Load(fleet):
            wait_until(lambda: len(arrivals_in(fleet, "b")) > before, "zone b gets requests again", 5)


def all_zones_evacuated_refuses_new_requests_at_once(build):
    """Guards against an evacuation that ends running requests, and against a request that waits for an
    endpoint while all zones are evacuated."""
    with StartedFleet(build, zones=("a", "b")) as fleet:
        order(fleet.controls, "POST", "a")
        wait_known(fleet, "a")
        check_unused(fleet, "a", 0.5)
        answers = []
        slow = threading.Thread(target=lambda: answers.append(
            fleet.call("GET", "app.example", "/look/slow/x")))
        slow.start()
        time.sleep(SLOW_RESPONSE_S / 4)
        order(fleet.controls, "POST", "b")
        wait_known(fleet, "b")
        for method, host, path, tokens in (("GET", "app.example", "/look/x", None),
                                           ("POST", "chat.example", "/chat/x", "20,5")):
            started = time.monotonic()
            answer = fleet.call(method, host, path, "b", tokens=tokens)
            check(answer.status == 503 and "no_endpoint" in answer.body, f"{answer.status} {answer.body}")
            check(time.monotonic() - started < 0.3, "it is refused at once")
            check(float(answer.headers["retry-after"]) > 0, "it says when to come back")
        slow.join()
        check([a.status for a in answers] == [200], "the running request is completed")
        metrics = call(fleet.entries[0].metrics, "GET", "/").body
        check("figchute_evacuated_zones 2\n" in metrics, metrics)
        check("figchute_refused_evacuated_total 2\n" in metrics, metrics)
        order(fleet.controls, "DELETE", "a")
        wait_until(lambda: fleet.call("GET", "app.example", "/look/x").status == 200,
                   "zone a serves again", EVACUATE_S)


def orders_with_mistakes_are_refused(build):
    """Guards against a mistake in an order that is carried out, is answered with a 5xx, which means
    that another process may accept it, or leaves the operator without its reason."""
    with StartedFleet(build, zones=("a", "b")) as fleet:
        address = fleet.controls[0].operators
        for method, path, body, status in (
                ("POST", "/v1/evacuations/c", None, 400), ("POST", "/v1/evacuations/b", "{}", 400),
                ("POST", "/v1/evacuations/b?now=1", None, 400),
                ("POST", "/v1/evacuations/b/x", None, 400), ("POST", "/v1/evacuations/", None, 400),
                ("DELETE", "/v1/evacuations/c", None, 400), ("PUT", "/v1/evacuations/b", None, 405),
                ("GET", "/v1/evacuations/b", None, 405), ("POST", "/v1/evacuations", None, 405),
                ("GET", "/v1/evacuations?x", None, 400)):
            answer = call(address, method, path, body)
            check(answer.status == status and json.loads(answer.body)["error"]["message"],
                  f"{method} {path}: {answer.status} {answer.body}")
            check((status == 405) == ("allow" in answer.headers), f"{method} {path}: Allow")
        check(listed(fleet.controls[0]) == [], "none of them is carried out")
        check(order(fleet.controls, "DELETE", "b") < ATTEMPT_S, "a zone in service can be returned")


def command_line_reads_gives_and_takes_back_orders(build):
    """Guards against a command that reports success for an order that was not acknowledged."""
    with StartedFleet(build, controls=3, zones=("a", "b")) as fleet:
        server = ("--server", servers(fleet))
        fleet.controls[0].kill()
        started = cli(build, "evacuation", "start", "b", *server)
        check(started.returncode == 0 and "evacuated: true" in started.stdout, started.stderr)
        shown = cli(build, "evacuations", *server)
        check(shown.returncode == 0 and "zones: b" in shown.stdout, shown.stdout + shown.stderr)
        wait_known(fleet, "b")
        check_unused(fleet, "b", 0.5)
        unknown = cli(build, "evacuation", "start", "nowhere", *server)
        check(unknown.returncode == 2 and "unknown zone nowhere" in unknown.stderr, unknown.stderr)
        for arguments in (("start", "b/c"), ("begin", "b"), ("start",)):
            check(cli(build, "evacuation", *arguments, *server).returncode == 1, str(arguments))
        stopped = cli(build, "evacuation", "stop", "b", "--json", *server)
        check(json.loads(stopped.stdout) == {"zone": "b", "evacuated": False}, stopped.stdout)
        fleet.controls[1].kill()
        lost = cli(build, "evacuation", "start", "a", *server)
        check(lost.returncode == 4 and "no_quorum" in lost.stderr, lost.stderr)


CASES = [
    order_sent_to_a_killed_leader_is_kept,
    all_zones_evacuated_refuses_new_requests_at_once,
    orders_with_mistakes_are_refused,
    command_line_reads_gives_and_takes_back_orders,
]

if __name__ == "__main__":
    wanted = sys.argv[2:]
    chosen = [case for case in CASES if not wanted or case.__name__ in wanted]
    sys.exit(run_cases(chosen, sys.argv[1]))
