"""The callers of the soak of streams: each sends streams one after the other and reads them itself."""

import random
import re
import socket
import time

from stream_endpoint import FRAMINGS
from stream_fleet import ROUTES, Stream

ENDS = ("whole", "between", "inside", "deadline")
# Whole streams are most of the load, because only they can break rule 2.
END_WEIGHTS = (5, 1, 1, 2)
DEADLINE_RANGE_MS = (300, 1500)
WHOLE_DEADLINE_MS = 4000
CALLER_TIMEOUT_S = 20
# A caller closes a kept connection before the router does (idleTimeoutMs of the configuration).
KEEP_TIME_S = 3
EVENT = re.compile(rb"id: (\d+)\ndata: (\w+) [^\n]*\n\n")


class SoakStream(Stream):
    """A stream that its caller reads itself, on a new or a kept connection."""

    def __init__(self, entry, path, headers, version, connection):
        # The constructor of Stream would open a connection and start a thread.
        self.entry = entry
        self.path = path
        _, self.route, self.framing, self.how, _ = path.split("/")
        self.version = version
        self.headers = headers
        self.request_id = headers["X-Request-Id"]
        self.received = b""
        self.was_reset = False
        self.timed_out = False
        self.is_kept_connection = connection is not None
        self.socket = connection
        self.started_at = self.ended_at = 0.0

    def run(self):
        """Sends the request and reads the answer. Returns whether the connection may be reused."""
        self.started_at = time.monotonic()
        try:
            self.send()
            self.receive()
        except socket.timeout:
            self.timed_out = True
        except OSError:
            self.was_reset = True
        self.ended_at = time.monotonic()
        reusable = self.is_reusable()
        if not reusable and self.socket is not None:
            self.socket.close()
        return reusable

    def send(self):
        if self.socket is None:
            self.socket = socket.create_connection(self.entry.callers, timeout=CALLER_TIMEOUT_S)
        # Each body is different, because the router refuses one that engines crashed with.
        body = self.request_id
        lines = [f"POST {self.path} HTTP/{self.version}", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in self.headers.items()]
        self.socket.sendall(("\r\n".join(lines) + f"\r\n\r\n{body}").encode())

    def receive(self):
        while not self.is_delimited_end():
            data = self.socket.recv(65536)
            if not data:
                return
            self.received += data

    def is_reusable(self):
        head, _ = self.head_and_body()
        return (self.version == "1.1" and not self.was_reset and not self.timed_out and
                self.is_delimited_end() and "\r\nconnection: close" not in head)

    def event_sources(self):
        """Returns the id of each complete event, and the engine that sent it."""
        head, body = self.head_and_body()
        if "transfer-encoding: chunked" in head:
            body = re.sub(rb"(^|\r\n)[0-9a-f]+\r\n", b"", body)
        return [(int(number), name.decode()) for number, name in EVENT.findall(body)]

    def events(self):
        return [number for number, _ in self.event_sources()]

    def looks_complete(self):
        return not self.timed_out and super().looks_complete()

    def is_answered(self):
        return self.status() // 100 == 2

    def outcome(self):
        if not self.received:
            return "timed_out" if self.timed_out else "unanswered"
        if not self.is_answered():
            return f"status_{self.status()}"
        return "complete" if self.looks_complete() else "broken_off"


class Caller:
    """Sends streams one after the other, over kept connections where it can."""

    def __init__(self, fleet, seed, index, stopped):
        self.fleet = fleet
        self.index = index
        self.rng = random.Random(f"{seed}/caller/{index}")
        self.stopped = stopped
        self.streams = []
        self.failures = []
        # The kept connection and the time of its last use, by entry process.
        self.connections = {}

    def run(self):
        try:
            while not self.stopped.is_set():
                self.send_stream()
                self.stopped.wait(self.rng.uniform(0, 0.2))
        except Exception as error:  # reported at the end of the soak
            self.failures.append(f"caller {self.index}: {type(error).__name__}: {error}")

    def send_stream(self):
        rng = self.rng
        entry = rng.choice(self.fleet.entries)
        how = rng.choices(ENDS, END_WEIGHTS)[0]
        deadline = WHOLE_DEADLINE_MS if how == "whole" else rng.randint(*DEADLINE_RANGE_MS)
        headers = {"Host": "chat.example", "Authorization": "Bearer key-north",
                   "X-Request-Id": f"c{self.index}-{len(self.streams)}",
                   "X-Deadline-Ms": str(deadline)}
        path = f"/{rng.choice(ROUTES)}/{rng.choice(FRAMINGS)}/{how}/"
        version = rng.choice(("1.1", "1.1", "1.0"))
        kept = self.kept_connection(entry) if rng.random() < 0.7 else None
        stream = SoakStream(entry, path, headers, version, kept)
        self.streams.append(stream)
        if stream.run():
            self.connections[entry.name] = (stream.socket, stream.ended_at)

    def kept_connection(self, entry):
        connection, used_at = self.connections.pop(entry.name, (None, 0))
        if connection is not None and time.monotonic() - used_at > KEEP_TIME_S:
            connection.close()
            return None
        return connection
