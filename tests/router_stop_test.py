#!/usr/bin/env python3
"""Tests planned stops of router daemons. Usage: router_stop_test.py BUILD_DIR [CASE...]"""

import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from router_fleet import StartedFleet, check, run_cases, wait_until  # noqa: E402


def stop_during_stream(fleet, events):
    """Opens a stream of so many events and stops its entry process. Returns the started thread of
    the caller."""
    for endpoint in fleet.endpoints:
        endpoint.events = events
    thread = threading.Thread(target=lambda: fleet.call("POST", "chat.example", "/chat/long", "b"))
    thread.start()
    time.sleep(0.3)
    fleet.entries[0].send_signal(signal.SIGTERM)
    return thread


def stop_completes_open_requests(build):
    """Guards against a planned stop that aborts a stream or never completes."""
    with StartedFleet(build) as fleet:
        for endpoint in fleet.endpoints:
            endpoint.events = 60
        results = []
        thread = threading.Thread(target=lambda: results.append(
            fleet.call("POST", "chat.example", "/chat/long", "b")))
        thread.start()
        time.sleep(0.3)
        entry = fleet.entries[0]
        entry.send_signal(signal.SIGTERM)
        wait_until(lambda: not entry.ready(), "the process becomes not ready", 1)
        thread.join()
        check(results[0].body.count("data:") == 60, "the open stream is complete")
        check(entry.process.wait(timeout=6) == 0, "the process exits by itself")


def stopping_process_accepts_connections_until_exit(build):
    """Guards against refused connections while the load balancer still sends to a stopping process."""
    with StartedFleet(build) as fleet:
        thread = stop_during_stream(fleet, 220)
        time.sleep(3.6)
        check(fleet.entries[0].process.poll() is None, "the open stream keeps the process up")
        check(fleet.call("GET", "app.example", "/look/x").status == 200, "a new call is served")
        thread.join()


def stopping_process_rejects_streams_it_would_abort(build):
    """Guards against a stopping process that accepts streams which it would abort."""
    with StartedFleet(build) as fleet:
        thread = stop_during_stream(fleet, 260)
        time.sleep(2.85)
        stream = fleet.call("POST", "chat.example", "/chat/x", "b")
        check(stream.status == 503, f"a late stream is refused as not run: {stream.status}")
        thread.join()


def stopping_process_answers_or_refuses_late_requests(build):
    """Guards against a request that runs once and arrives late in the grace time: it was passed on
    and its connection was closed without an answer when the process exited."""
    with StartedFleet(build) as fleet:
        threads = [stop_during_stream(fleet, 260)]
        time.sleep(2.9)
        outcomes = []

        def book(path):
            try:
                outcomes.append((path, fleet.call("POST", "app.example", path, "b").status))
            except ConnectionRefusedError:
                pass
            except OSError as error:
                outcomes.append((path, repr(error)))

        for number in range(16):
            threads.append(threading.Thread(target=book, args=(f"/book/slow/{number}",)))
            threads[-1].start()
            time.sleep(0.1)
        for thread in threads:
            thread.join()
        ran = {run["path"] for endpoint in fleet.endpoints for run in endpoint.runs}
        wrong = [(path, status) for path, status in outcomes
                 if status != (200 if path in ran else 503)]
        check(wrong == [] and len(outcomes) >= 8,
              f"each is answered, or refused as not executed: {wrong} of {len(outcomes)}")


CASES = [
    stop_completes_open_requests,
    stopping_process_accepts_connections_until_exit,
    stopping_process_rejects_streams_it_would_abort,
    stopping_process_answers_or_refuses_late_requests,
]

if __name__ == "__main__":
    wanted = sys.argv[2:]
    chosen = [case for case in CASES if not wanted or case.__name__ in wanted]
    sys.exit(run_cases(chosen, sys.argv[1]))
