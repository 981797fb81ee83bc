#!/usr/bin/env python3
"""Tests evacuations of zones with real processes. Usage: router_evacuation_test.py BUILD_DIR"""

import json
import os
import re
import socket
import subprocess
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from router_fleet import StartedFleet, call, check, has_all_endpoints, run_cases, wait_until  # noqa: E402

EVACUATE_S = 5
"""The time for the acknowledgement of an order, and after it until nothing is sent to the zone."""


def order(controls, method, zone):
    """Sends an order to the control processes in turn until one acknowledges it."""
    def accepted():
        for control in controls:
            try:
                if call(control.operators, method, f"/v1/evacuations/{zone}", timeout=1).status == 200:
                    return True
            except OSError:
                pass
        return False
    wait_until(accepted, f"{method} of {zone} is acknowledged", EVACUATE_S)


def wait_endpoints(fleet, count):
    for entry in fleet.entries:
        wait_until(lambda e=entry: has_all_endpoints(e, count), f"{entry.name} has all endpoints")


def wait_known(fleet, zone):
    for entry in fleet.entries:
        wait_until(lambda e=entry: f"event=evacuation zone={zone} active=true" in e.log(),
                   f"{entry.name} knows the order", EVACUATE_S)


def check_served_without(fleet, endpoints):
    before = [len(e.arrivals) for e in endpoints]
    for number in range(60):
        check(fleet.call("GET", "app.example", "/look/x", entry=number % len(fleet.entries)).status
              == 200, "a lookup is served")
    check([len(e.arrivals) for e in endpoints] == before, "nothing is sent to the zone")


def order_sent_to_a_killed_leader_is_kept(build):
    """Guards against an order that is lost with the leader or with all processes, or is not obeyed for
    an endpoint that starts later, against unclear refusals and wrong results of the tool."""
    with StartedFleet(build, controls=3, entries=2) as fleet:
        # Entry processes of zone a prefer its endpoints, so they get all requests before the order.
        in_a = [*fleet.endpoints]
        fleet.add_endpoint("b0", "app", zone="b")
        wait_endpoints(fleet, 5)
        wait_until(lambda: re.search(r" event=leader leader=1", fleet.controls[0].log()), "a leader")
        ip = re.findall(r" event=leader leader=([0-9.]+)", fleet.controls[0].log())[-1]
        leader = next(c for c in fleet.controls if c.ip == ip)
        with socket.create_connection(leader.operators, timeout=1) as operator:
            operator.sendall(b"POST /v1/evacuations/a HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n")
            leader.kill()
        order([c for c in fleet.controls if c is not leader], "POST", "a")
        wait_known(fleet, "a")
        check_served_without(fleet, in_a)
        for daemon in fleet.controls + fleet.entries:
            daemon.kill()
        for daemon in fleet.controls + fleet.entries:
            daemon.bootstrap = False
            daemon.write_settings(fleet.seeds())
            daemon.start()
        fleet.wait_ready()
        in_a.append(fleet.add_endpoint("late", "app"))
        wait_endpoints(fleet, 6)
        check_served_without(fleet, in_a)
        answer = fleet.call("POST", "chat.example", "/chat/x", "b", tokens="20,5")
        check(answer.status == 503 and "no_endpoint" in answer.body, answer.body)

        def tool(*arguments):
            servers = ",".join(f"{c.ip}:{c.operators[1]}" for c in fleet.controls)
            return subprocess.run([os.path.join(build, "figchute"), *arguments, "--server", servers],
                                  capture_output=True, text=True, timeout=30, check=False)
        check("zones: a" in tool("evacuations").stdout, "the zone is listed")
        check(tool("evacuation", "start", "c").returncode == 2, "an unknown zone is refused")
        check(tool("evacuation", "stop", "a").returncode == 0, "the zone is returned")
        served = sum(len(e.arrivals) for e in in_a)
        wait_until(lambda: fleet.call("GET", "app.example", "/look/x").status == 200
                   and sum(len(e.arrivals) for e in in_a) > served, "zone a is used again", EVACUATE_S)
        for method, path, status in (("POST", "/c", 400), ("PUT", "/a", 405), ("POST", "", 405)):
            answer = call(fleet.controls[0].operators, method, "/v1/evacuations" + path)
            check(answer.status == status and json.loads(answer.body)["error"]["message"], path)


if __name__ == "__main__":
    sys.exit(run_cases([order_sent_to_a_killed_leader_is_kept], sys.argv[1]))
