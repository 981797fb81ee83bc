#!/usr/bin/env python3
"""Tests that callers which read slowly get their whole answers, with real processes. Usage:
slow_caller_test.py BUILD_DIR [CASE...]"""

import os
import re
import signal
import socket
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from router_fleet import StartedFleet, check, run_cases, wait_until  # noqa: E402

# More than the buffers of both sockets hold. The rest fits into the output buffer of the router if
# it arrives in small parts; otherwise the router stops reading the endpoint for a time.
ANSWER_BYTES = 230_000
PART_BYTES = 8_000
PART_INTERVAL_S = 0.005
BYTES_PER_S = 4_000


def answer_in_parts(handler, status, body, headers):
    handler.send_response(status)
    handler.send_header("X-Request-Id", handler.headers.get("X-Request-Id"))
    for name, value in headers.items():
        handler.send_header(name, value)
    handler.send_header("Content-Length", str(len(body)))
    handler.end_headers()
    for start in range(0, len(body), PART_BYTES):
        handler.wfile.write(body[start:start + PART_BYTES])
        time.sleep(PART_INTERVAL_S)


class SlowCaller:
    """Sends a request with a body that its endpoint sends back, and waits for the end of the
    exchange. Its receive buffer is small."""

    def __init__(self, fleet, request_id):
        for endpoint in fleet.endpoints:
            endpoint.answer = answer_in_parts
        self.received = b""
        self.end = None
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 536)
        self.socket.settimeout(20)
        self.socket.connect(fleet.entries[0].callers)
        fields = fleet.headers("app.example", **{"X-Request-Id": request_id})
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        self.socket.sendall(f"POST /book/x HTTP/1.1\r\n{head}"
                            f"Content-Length: {ANSWER_BYTES}\r\n\r\n".encode() + b"x" * ANSWER_BYTES)
        entry = fleet.entries[0]
        wait_until(lambda: f"event=request request={request_id} " in entry.log(),
                   "the exchange has ended", 5)

    def read(self, most=65536):
        """Returns whether the answer may go on."""
        try:
            data = self.socket.recv(most)
        except OSError as error:
            self.end = f"{error}"
            return False
        self.received += data
        self.end = None if data else "closed"
        return bool(data) and not self.is_complete()

    def read_slowly(self, seconds):
        started = time.monotonic()
        while time.monotonic() < started + seconds and self.read(2048):
            time.sleep(2048 / BYTES_PER_S)

    def read_rest(self):
        while not self.is_complete() and self.read():
            pass
        self.socket.close()

    def is_complete(self):
        head, separator, body = self.received.partition(b"\r\n\r\n")
        return separator and head.startswith(b"HTTP/1.1 200") and \
            len(body) == ANSWER_BYTES + len(b"done:")


def check_complete(caller):
    check(caller.is_complete(), f"whole: {len(caller.received)} bytes, then {caller.end}")


def unsent_line(fleet, request_id):
    found = re.search(f"event=response_unsent request={request_id} .*", fleet.entries[0].log())
    return found and found.group(0)


def check_unsent(fleet, request_id, reason, limit):
    wait_until(lambda: unsent_line(fleet, request_id), "the lost bytes are logged", limit)
    line = unsent_line(fleet, request_id)
    check(f"reason={reason} " in line, line)
    check(int(re.search(r"unwritten_bytes=(\d+)", line).group(1)) > 0, line)


def answer_of_stopped_process_is_whole_for_slow_caller(build):
    """Guards against a process that exits while its output buffer has the end of an answer. Its
    caller reads nothing until all requests have ended."""
    with StartedFleet(build) as fleet:
        caller = SlowCaller(fleet, "slow-stop")
        entry = fleet.entries[0]
        entry.send_signal(signal.SIGTERM)
        time.sleep(3.5)
        caller.read_rest()
        check_complete(caller)
        check(entry.process.wait(timeout=3) == 0, "the process exits by itself")
        check("clean=true" in entry.log(), "the stop is clean")


def steady_slow_caller_keeps_its_connection(build):
    """Guards against a write limit on the time for the whole answer, or of TCP_USER_TIMEOUT."""
    with StartedFleet(build) as fleet:
        caller = SlowCaller(fleet, "slow-steady")
        caller.read_slowly(14)
        caller.read_rest()
        check_complete(caller)
        check(not unsent_line(fleet, "slow-steady"), "nothing is missing")


def caller_that_stops_reading_is_dropped_and_logged(build):
    """Guards against callers that keep the end of an answer in memory, and against lost bytes that
    no log line tells of."""
    with StartedFleet(build) as fleet:
        caller = SlowCaller(fleet, "slow-none")
        check_unsent(fleet, "slow-none", "write_timeout", 13)
        caller.read_rest()
        check(not caller.is_complete(), "the connection was dropped")


def answer_abandoned_by_caller_is_logged(build):
    """Guards against lost bytes of an ended answer that no log line tells of."""
    with StartedFleet(build) as fleet:
        caller = SlowCaller(fleet, "slow-reset")
        caller.socket.close()
        check_unsent(fleet, "slow-reset", "disconnected", 3)


def answer_cut_by_exit_is_logged(build):
    """Guards against a process that exits at the end of its grace time without a line about the
    answers that it cuts."""
    with StartedFleet(build) as fleet:
        caller = SlowCaller(fleet, "slow-exit")
        entry = fleet.entries[0]
        entry.send_signal(signal.SIGTERM)
        check(entry.process.wait(timeout=6) == 0, "the process exits by itself")
        check_unsent(fleet, "slow-exit", "exit", 1)
        check("clean=false" in entry.log(), "the stop is not clean")


CASES = [
    answer_of_stopped_process_is_whole_for_slow_caller,
    steady_slow_caller_keeps_its_connection,
    caller_that_stops_reading_is_dropped_and_logged,
    answer_abandoned_by_caller_is_logged,
    answer_cut_by_exit_is_logged,
]

if __name__ == "__main__":
    wanted = sys.argv[2:]
    chosen = [case for case in CASES if not wanted or case.__name__ in wanted]
    sys.exit(run_cases(chosen, sys.argv[1]))
