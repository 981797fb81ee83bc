#!/usr/bin/env python3
"""Tests an entry process on a slow network link. Usage: router_link_test.py BUILD_DIR [CASE...]"""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from router_fleet import StartedFleet, check, has_all_endpoints, run_cases, wait_until  # noqa: E402

REQUESTS = 60
BODY = "b" * 8000
# The link carries 62.5 KB a second, and a request passes it twice, in different directions.
LINK = "[link]\nmbit_per_s = 0.5\n"
# The time-out of the route.
MAX_SECONDS = 2.0
# When the queue fills between the two packets of a handshake, the kernel drops the last one: the
# caller takes such a connection for established and waits for its retransmission.
MAX_LATE = 3


def restart_on_slow_link(fleet, more_settings=""):
    entry = fleet.entries[0]
    entry.kill()
    entry.more_settings = LINK + more_settings
    entry.write_settings(fleet.seeds())
    entry.start()
    wait_until(entry.ready, "the entry process is ready again")
    wait_until(lambda: has_all_endpoints(entry, len(fleet.endpoints)), "it has all endpoints")


def entry_on_slow_link_accepts_no_more_than_it_carries(build):
    """Guards against a link that is full of requests which are refused after they were received, so
    that hardly any request is served, and against connections that are established and then wait
    behind others until their requests are too late."""
    with StartedFleet(build) as fleet:
        restart_on_slow_link(fleet)
        responses = []

        def send():
            try:
                responses.append(fleet.call("POST", "app.example", "/look/x", BODY))
            except OSError:
                pass  # the connection was not established in time

        threads = [threading.Thread(target=send) for _ in range(REQUESTS)]
        started = time.monotonic()
        for thread in threads:
            thread.start()
            # Of connections that are opened in the same instant, the kernel establishes more than
            # the queue holds.
            time.sleep(0.02)
        time.sleep(max(0, started + 2 - time.monotonic()))
        early = len(responses)
        check(5 <= early <= 25, f"{early} of {REQUESTS} requests answered within 2 s")
        for thread in threads:
            thread.join()
        check(all(r.status == 200 for r in responses), "no request is refused")
        late = [r.seconds for r in responses if r.seconds > MAX_SECONDS]
        check(len(late) <= MAX_LATE, f"served requests that waited too long: {late}")


def entry_on_slow_link_serves_what_it_carries_and_refuses_the_rest(build):
    """Guards against a link that is full of refused requests, so that hardly any request is served,
    and against refusals that tell callers neither when to retry nor to use another connection."""
    with StartedFleet(build) as fleet:
        restart_on_slow_link(fleet, "admit_requests = true\n")
        responses = []
        lost = []

        def send():
            try:
                response = fleet.call("POST", "app.example", "/look/x", BODY)
                responses.append((response, time.monotonic()))
            except OSError as error:
                lost.append(error)  # the connection was not accepted in time

        started = time.monotonic()
        threads = [threading.Thread(target=send) for _ in range(REQUESTS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        seconds = responses[-1][1] - started
        served = [response for response, _ in responses if response.status == 200]
        refused = [response for response, _ in responses if response.status == 503]
        print(f"{len(served)} served, {len(refused)} refused, {len(lost)} lost in {seconds:.1f} s")
        check(len(served) + len(refused) + len(lost) == REQUESTS, "no other status")
        check(served, "some are served")
        # A request and its response have 16 KB in each direction, of which 50 KB a second and a
        # burst of 10 KB may be admitted.
        check(seconds < len(served) * 1.0 + 1, "at least a third of the admitted share is served")
        check(len(served) < seconds * 50 / 16 + 3, "no more are served than may be admitted")
        check(seconds > 4, "what the link cannot carry waits to be accepted")
        for response in refused:
            check(0.01 < float(response.headers["retry-after"]) < 0.1, "a retry is due at once")
            check(response.headers["connection"] == "close", "and needs another connection")
        check(all(r.headers.get("connection") != "close" for r in served), "served ones stay")


def entry_on_slow_link_serves_at_once_below_its_bandwidth(build):
    """Guards against a limit that delays callers although the link has room."""
    with StartedFleet(build) as fleet:
        restart_on_slow_link(fleet)
        for _ in range(5):
            started = time.monotonic()
            check(fleet.call("POST", "app.example", "/look/x", "b" * 2000).status == 200, "served")
            check(time.monotonic() - started < 0.5, "without a wait")
            time.sleep(0.2)


CASES = [entry_on_slow_link_accepts_no_more_than_it_carries,
         entry_on_slow_link_serves_what_it_carries_and_refuses_the_rest,
         entry_on_slow_link_serves_at_once_below_its_bandwidth]

if __name__ == "__main__":
    names = sys.argv[2:]
    sys.exit(run_cases([case for case in CASES if not names or case.__name__ in names], sys.argv[1]))
