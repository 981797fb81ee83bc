#!/usr/bin/env python3
"""A stand-in engine in a process of its own, for tests that end it with signals.
Usage: stream_endpoint.py NAME IP IP:PORT[,IP:PORT...], the last being those of control processes.
Prints its address.

The path names the framing of the stream, /chunked/, /unframed/ (it ends with its connection) or
/length/, and how it ends: /whole/ after all events; /gradual/ the same, with more time between events;
/between/ not at all, but nothing more is sent
after an event; /inside/ the same in the middle of an event; /deadline/ at the end of the time that
the request states, as if it were complete then; /stall/ after all events, with a pause of STALL_S
between two of them; /large/ after all events, each of which has LARGE_EVENT_BYTES; /drained/ after
all events, of which it sends the last ones once its listening socket is closed; /drainedlate/ the same
DRAINED_LATE_S later. A stream that is continued is whole, but /busy/ in the path refuses it with 503 and
X-Not-Run, /denied/ answers it with 500, /dropped/ closes the connection without an answer, /empty/ sends
a head and closes the connection, and /mute/ sends nothing.

On SIGUSR1 the engine refuses all requests with 503 and X-Not-Run for REFUSAL_S. On SIGUSR2 it
announces that it drains and closes its listening socket LISTEN_S later; its streams go on."""

import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from router_fleet import Endpoint  # noqa: E402

EVENTS = 5
EVENT_INTERVAL_S = 0.02
GRADUAL_EVENT_INTERVAL_S = 0.8
STALL_S = 2.2
REFUSAL_S = 0.3
# With EVENTS events, more than the socket buffers of an entry process hold.
LARGE_EVENT_BYTES = 5_000_000
LISTEN_S = 0.5
DRAINED_LATE_S = 0.4
SIGNAL_CHECK_S = 0.05
# The number of events before a stream stops between two events or inside one.
EVENTS_BEFORE_STOP = 2
FRAMINGS = ("chunked", "unframed", "length")


def event_bytes(number, name, padding=0):
    # The id has a fixed width, so that the length of a body is known before.
    return f"id: {number}\ndata: {name} {number:06}{'x' * padding}\n\n".encode()


class ControlAddress:
    """A control process to which the engine announces itself."""

    def __init__(self, text):
        ip, port = text.split(":")
        self.operators = (ip, int(port))


class Fleet:
    """What the engine knows of its fleet."""

    def __init__(self, addresses):
        self.controls = [ControlAddress(text) for text in addresses.split(",")]
        self.lock = threading.Lock()
        self.seen_requests = set()


class StreamEndpoint(Endpoint):
    """An engine whose streams end as their paths say."""

    refuses_until = 0.0
    has_drained = threading.Event()

    def refuse_requests(self, *_signal):
        self.refuses_until = time.monotonic() + REFUSAL_S

    def drain(self):
        self.leave()
        time.sleep(LISTEN_S)
        self.server.shutdown()
        self.server.server_close()
        self.has_drained.set()

    def run(self, handler, body):
        is_continued = handler.headers.get("Last-Event-Id") is not None
        is_refused = time.monotonic() < self.refuses_until
        if is_refused or is_continued and "/busy/" in handler.path:
            self.answer(handler, 503, b"failed", {"X-Not-Run": "1"})
        elif is_continued and "/denied/" in handler.path:
            self.answer(handler, 500, b"failed", {"X-Endpoint-Answer": self.name})
        elif is_continued and "/dropped/" in handler.path:
            handler.close_connection = True
        elif is_continued and "/mute/" in handler.path:
            time.sleep(60)
        else:
            super().run(handler, body)

    def event(self, _handler, number, padding):
        return event_bytes(number, self.name, padding)

    def before_event(self, _handler, number, how):
        if how == "stall" and number == EVENTS_BEFORE_STOP + 1:
            time.sleep(STALL_S)
        elif how in ("drained", "drainedlate") and number == EVENTS_BEFORE_STOP + 1:
            self.has_drained.wait()
            time.sleep(DRAINED_LATE_S if how == "drainedlate" else 0)

    def stream(self, handler, headers, _first_run):
        started_at = time.monotonic()
        ends_at = started_at + int(handler.headers.get("X-Deadline-Ms")) / 1000
        first = int(handler.headers.get("Last-Event-Id") or 0) + 1
        framing = next(name for name in FRAMINGS if f"/{name}/" in handler.path)
        how = "whole" if first > 1 else handler.path.split("/")[3]
        padding = LARGE_EVENT_BYTES if how == "large" else 0
        handler.send_response(200)
        handler.send_header("X-Request-Id", handler.headers.get("X-Request-Id") or "")
        handler.send_header("Content-Type", "text/event-stream")
        for name, value in headers.items():
            handler.send_header(name, value)
        if framing == "chunked":
            handler.send_header("Transfer-Encoding", "chunked")
        elif framing == "length":
            size = sum(len(self.event(handler, n, padding)) for n in range(first, EVENTS + 1))
            handler.send_header("Content-Length", str(size))
        else:
            handler.send_header("Connection", "close")
        handler.end_headers()
        handler.close_connection = framing == "unframed" or how not in ("whole", "gradual", "stall",
                                                                            "large")
        if first > 1 and "/empty/" in handler.path:
            handler.close_connection = True
            return
        interval = GRADUAL_EVENT_INTERVAL_S if how == "gradual" else EVENT_INTERVAL_S

        def send(data):
            handler.wfile.write(b"%x\r\n%s\r\n" % (len(data), data) if framing == "chunked" else data)
            handler.wfile.flush()

        number = first
        while how == "deadline" or number <= EVENTS:
            event = self.event(handler, number, padding)
            if how in ("between", "inside") and number > EVENTS_BEFORE_STOP:
                if how == "inside":
                    send(event[:len(event) // 2])
                time.sleep(60)
            self.before_event(handler, number, how)
            wait = min(interval, ends_at - time.monotonic())
            if how == "deadline" and (wait <= 0 or framing == "length" and number == EVENTS):
                time.sleep(max(0, ends_at - time.monotonic()))
                break
            send(event)
            time.sleep(max(0, wait))
            number += 1
        if framing == "chunked":
            handler.wfile.write(b"0\r\n\r\n")


def main():
    name, ip, controls = sys.argv[1:4]
    endpoint = StreamEndpoint(Fleet(controls), name, "engines", ip, events=EVENTS)
    signal.signal(signal.SIGUSR1, endpoint.refuse_requests)
    signal.signal(signal.SIGUSR2,
                  lambda *_: threading.Thread(target=endpoint.drain, daemon=True).start())
    print(endpoint.address, flush=True)
    # Another thread may get a signal, which does not end the sleep of this one.
    while True:
        time.sleep(SIGNAL_CHECK_S)


if __name__ == "__main__":
    main()
