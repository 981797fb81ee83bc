#!/usr/bin/env python3
"""Tests that requests reach engines that read their bodies slowly. The daemons are real processes.
Usage: slow_engine_test.py BUILD_DIR"""

import http.client
import os
import socket
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from router_fleet import (Endpoint, RouterFleet, call, check, has_all_endpoints,  # noqa: E402
                          run_cases, wait_until)

REQUESTS = 2
EVENTS = 10
EVENT_INTERVAL_S = 0.4
# More than the socket buffers of an engine and of its connection hold.
BODY = "x" * 400_000
SMALL_BUFFER_BYTES = 16384
UNREAD_S = 3


class SlowEngine(Endpoint):
    """An engine that sends events and reads the body of a request UNREAD_S after its head."""

    def __init__(self, fleet, name, ip):
        super().__init__(fleet, name, "engines", ip)
        self.server.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)

    def serve(self, handler):
        started = time.monotonic()
        unread = int(handler.headers.get("Content-Length") or 0)
        handler.close_connection = True
        try:
            self.send_head(handler)
            for number in range(1, EVENTS + 1):
                if unread and time.monotonic() - started >= UNREAD_S:
                    unread -= len(handler.rfile.read(unread))
                event = f"id: {number}\ndata: {self.name}\n\n".encode()
                handler.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
                time.sleep(EVENT_INTERVAL_S)
            handler.wfile.write(b"0\r\n\r\n")
        except OSError:
            self.disconnected_streams += 1

    def send_head(self, handler):
        handler.send_response(200)
        for name, value in (("X-Request-Id", handler.headers.get("X-Request-Id")),
                            ("X-Endpoint-Answer", self.name), ("Connection", "close"),
                            ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")):
            handler.send_header(name, value)
        handler.end_headers()


def outcome_of(fleet):
    """Returns the status and the number of events of a complete answer, else the error."""
    headers = fleet.headers("chat.example", **{"X-Deadline-Ms": "8000"})
    try:
        answer = call(fleet.entries[0].callers, "POST", "/report/", BODY, headers)
    except (OSError, http.client.HTTPException) as error:
        return f"{error!r}"
    return f"status {answer.status}, {answer.body.count('data:')} events"


def begun_stream_of_engine_that_reads_late_is_whole(build):
    """Guards against streams that are cut because a part of their request waits at a live engine."""
    with RouterFleet(build) as fleet:
        for number in range(REQUESTS):
            fleet.endpoints.append(SlowEngine(fleet, f"engine{number}", f"{fleet.net}.{200 + number}"))
        fleet.apply()
        fleet.wait_ready()
        wait_until(lambda: has_all_endpoints(fleet.entries[0], REQUESTS), "all engines are known")
        outcomes = [outcome_of(fleet) for _ in range(REQUESTS)]
        check(outcomes == [f"status 200, {EVENTS} events"] * REQUESTS, f"{outcomes}")


if __name__ == "__main__":
    sys.exit(run_cases([
        begun_stream_of_engine_that_reads_late_is_whole,
    ], sys.argv[1]))
