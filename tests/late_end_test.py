#!/usr/bin/env python3
"""Tests that whole streams reach their callers although the entry process reads their end late. All
programs are real processes. Usage: late_end_test.py BUILD_DIR"""

import os
import signal
import socket
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from router_fleet import check, run_cases  # noqa: E402
from stream_endpoint import EVENT_INTERVAL_S, EVENTS, LARGE_EVENT_BYTES  # noqa: E402
from stream_fleet import StreamFleet, log_of  # noqa: E402

STREAMS = 6
# Longer than a stream takes to end, and shorter than any time limit of a request.
STANDSTILL_S = EVENTS * EVENT_INTERVAL_S + 0.3
LAST_CHUNK = b"0\r\n\r\n"
SLOW_READ_S = 3
SLOW_READ_BYTES_PER_S = EVENTS * LARGE_EVENT_BYTES / SLOW_READ_S
SMALL_BUFFER_BYTES = 16384


def check_late_streams_are_whole(fleet, framing):
    """Starts streams one after the other, so that none has a second connection to its engine, and stops
    the entry process while each of them ends."""
    entry = fleet.entries[0]
    lost = []
    for _ in range(STREAMS):
        stream = fleet.start_stream(f"/report/{framing}/whole/")
        stream.wait_for_events(1)
        entry.send_signal(signal.SIGSTOP)
        time.sleep(STANDSTILL_S)
        entry.send_signal(signal.SIGCONT)
        if not stream.wait().is_whole():
            lost.append(f"{stream.outcome()}, {log_of(fleet, stream)}")
    check(not lost, f"{len(lost)} of {STREAMS} {framing} streams are lost, the first: {lost and lost[0]}")


def unframed_stream_that_ends_while_entry_process_stands_still_is_whole(build):
    """Guards against sound streams that are broken off because their end is read 100 ms too late."""
    with StreamFleet(build, engines=3) as fleet:
        check_late_streams_are_whole(fleet, "unframed")


def read_slowly(fleet, framing):
    """Reads a large stream at SLOW_READ_BYTES_PER_S. Returns why it is lost, or nothing."""
    headers = fleet.headers("chat.example", **{"X-Deadline-Ms": "8000"})
    lines = [f"POST /report/{framing}/large/ HTTP/1.1", "Content-Length: 1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    received, tail = 0, b""
    with socket.socket() as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        caller.settimeout(15)
        caller.connect(fleet.entries[0].callers)
        caller.sendall(("\r\n".join(lines) + "\r\n\r\nx").encode())
        started = time.monotonic()
        try:
            while not tail.endswith(LAST_CHUNK):
                data = caller.recv(65536)
                if not data:
                    return f"closed after {received} bytes"
                received += len(data)
                tail = (tail + data)[-len(LAST_CHUNK):]
                due = started + received / SLOW_READ_BYTES_PER_S
                time.sleep(max(0, due - time.monotonic()))
        except OSError as error:
            return f"{error} after {received} bytes"
    return None


def check_slowly_read_streams_are_whole(build, framing):
    with StreamFleet(build, engines=3) as fleet:
        lost = [reason for reason in (read_slowly(fleet, framing) for _ in range(2)) if reason]
        check(not lost, f"{len(lost)} of 2 {framing} streams are lost: {lost}")


def unframed_stream_of_slow_caller_is_whole(build):
    """Guards against sound streams that are broken off because their end waits behind unread bytes."""
    check_slowly_read_streams_are_whole(build, "unframed")


if __name__ == "__main__":
    sys.exit(run_cases([
        unframed_stream_that_ends_while_entry_process_stands_still_is_whole,
        unframed_stream_of_slow_caller_is_whole,
    ], sys.argv[1]))
