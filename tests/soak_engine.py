#!/usr/bin/env python3
"""The engine of the soak of streams: a stream_endpoint.py that records what it does.
Usage: soak_engine.py NAME IP IP:PORT[,IP:PORT...] RECORDS. It appends a line of JSON to the file RECORDS for
each step of a run, with the time of the monotonic clock, which all processes share.

More parts of the path: /after-N/ is the number of events before the pause of a /stall/ and /for-MS/ its time;
/padded/ makes each event PADDING_BYTES longer; a stream that is continued at a /late/ one has its first event
LATE_MS after its head.

On SIGUSR2 the engine leaves: it announces `draining`, closes its listening socket LISTEN_S later, lets its
running streams go on to their end and exits LINGER_S after the last one."""

import json
import os
import re
import select
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from stream_endpoint import SIGNAL_CHECK_S, Fleet, StreamEndpoint, event_bytes  # noqa: E402
from stream_fleet import EngineProcess, StreamFleet  # noqa: E402

PADDING_BYTES = 14000
LATE_MS = 600
LINGER_S = 1.0
CLOSE_POLL_S = 0.01


class SoakEndpoint(StreamEndpoint):
    """An engine that records when its runs begin and end and when their connections are closed."""

    def __init__(self, records_path, *arguments, **options):
        self.records = os.open(records_path, os.O_CREAT | os.O_APPEND | os.O_WRONLY)
        self.running = 0
        super().__init__(*arguments, **options)

    def record(self, handler, step, **more):
        fields = {"engine": self.name, "request": handler.headers.get("X-Request-Id"), "step": step,
                  "at": time.monotonic(), "run": id(handler.connection), **more}
        os.write(self.records, (json.dumps(fields) + "\n").encode())

    def run(self, handler, body):
        with self.lock:
            self.running += 1
        ended = threading.Event()
        self.record(handler, "began", last_event=handler.headers.get("Last-Event-Id"))
        threading.Thread(target=self.watch, args=(handler, ended), daemon=True).start()
        try:
            super().run(handler, body)
        finally:
            ended.set()
            self.record(handler, "ended")
            with self.lock:
                self.running -= 1

    def watch(self, handler, ended):
        """Records when the other side closes the connection of a run."""
        while not ended.wait(CLOSE_POLL_S):
            readable, _, _ = select.select([handler.connection], [], [], 0)
            if readable and is_closed(handler.connection):
                self.record(handler, "closed")
                return

    def answer(self, handler, status, body, headers):
        if status != 421:
            self.record(handler, "refused", status=status)
        super().answer(handler, status, body, headers)

    def stream(self, handler, headers, first_run):
        self.record(handler, "answered")
        super().stream(handler, headers, first_run)

    def event(self, handler, number, padding):
        added = PADDING_BYTES if "/padded/" in handler.path else 0
        return event_bytes(number, self.name, padding + added)

    def before_event(self, handler, number, how):
        last_event = handler.headers.get("Last-Event-Id")
        if last_event is not None and "/late/" in handler.path and number == int(last_event) + 1:
            self.stall(handler, number, LATE_MS)
        elif how == "stall" and number == path_number(handler.path, "after") + 1:
            self.stall(handler, number, path_number(handler.path, "for"))

    def stall(self, handler, number, pause_ms):
        self.record(handler, "stalled", before_event=number, ms=pause_ms)
        time.sleep(pause_ms / 1000)

    def leave_and_exit(self):
        self.drain()
        while self.running > 0:
            time.sleep(CLOSE_POLL_S)
        time.sleep(LINGER_S)
        os._exit(0)

    def start_leaving(self, *_signal):
        threading.Thread(target=self.leave_and_exit, daemon=True).start()


def path_number(path, name):
    return int(re.search(rf"/{name}-(\d+)/", path).group(1))


def is_closed(connection):
    try:
        return not connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except OSError:
        return True


class SoakFleet(StreamFleet):
    """A fleet of SoakEndpoints in processes of their own."""

    def records_path(self):
        return os.path.join(self.folder, "records")

    def engine_process(self, name, ip):
        return EngineProcess(name, ip, self.controls, os.path.abspath(__file__), [self.records_path()])

    def read_records(self):
        with open(self.records_path(), encoding="utf-8") as file:
            return [json.loads(line) for line in file]


def main():
    name, ip, controls, records = sys.argv[1:5]
    endpoint = SoakEndpoint(records, Fleet(controls), name, "engines", ip)
    signal.signal(signal.SIGUSR2, endpoint.start_leaving)
    print(endpoint.address, flush=True)
    # Another thread may get a signal, which does not end the sleep of this one.
    while True:
        time.sleep(SIGNAL_CHECK_S)


if __name__ == "__main__":
    main()
