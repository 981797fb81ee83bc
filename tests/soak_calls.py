"""The callers of the soak of streams: each sends streams one after the other and reads them itself."""

import random
import re
import socket
import time

from soak_engine import LATE_MS, PADDING_BYTES
from stream_endpoint import EVENT_INTERVAL_S, EVENTS, FRAMINGS
from stream_fleet import ROUTES, Stream

ENDS = ("whole", "stall", "between", "inside", "deadline")
# Streams that end by themselves are most of the load, because only they can break rule 2.
END_WEIGHTS = (3, 5, 1, 1, 2)
# What an engine does when it is asked to go on with a stream, see stream_endpoint.py and soak_engine.py.
CONTINUATIONS = ("goes-on", "late", "busy", "denied", "dropped", "empty", "mute")
CONTINUATION_WEIGHTS = (3, 2, 1, 1, 1, 1, 1)
STALL_RANGE_MS = (800, 3000)
DEADLINE_RANGE_MS = (300, 1500)
WHOLE_DEADLINE_MS = 4000
LONG_DEADLINE_MS = 8000
# A slow caller reads SLOW_READ_BYTES every SLOW_READ_S, 20 kB/s.
SLOW_SHARE = 0.1
SLOW_READ_BYTES = 2000
SLOW_READ_S = 0.1
SLOW_RECEIVE_BUFFER_BYTES = 4096
CALLER_TIMEOUT_S = 20
# A caller closes a kept connection before the router does (idleTimeoutMs of the configuration).
KEEP_TIME_S = 3
# The time after which the router tries another engine in place of a silent one, with some to spare.
SILENCE_S = 1.5
PADDED_EVENT_BYTES = PADDING_BYTES + 40
EVENT = re.compile(rb"id: (\d+)\ndata: (\w+) [^\n]*\n\n")


class SoakStream(Stream):
    """A stream that its caller reads itself, on a new or a kept connection."""

    stall_ms = 0
    # The number of events before the pause.
    stall_after = 0

    def __init__(self, entry, path, headers, version, connection, is_slow=False):
        # The constructor of Stream would open a connection and start a thread.
        self.entry = entry
        self.path = path
        _, self.route, self.framing, self.how, *_ = path.split("/")
        self.is_slow = is_slow
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
            self.connect()
        # Each body is different, because the router refuses one that engines crashed with.
        body = self.request_id
        lines = [f"POST {self.path} HTTP/{self.version}", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in self.headers.items()]
        self.socket.sendall(("\r\n".join(lines) + f"\r\n\r\n{body}").encode())

    def connect(self):
        self.socket = socket.socket()
        self.socket.settimeout(CALLER_TIMEOUT_S)
        if self.is_slow:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_RECEIVE_BUFFER_BYTES)
        self.socket.connect(self.entry.callers)

    def receive(self):
        while not self.is_delimited_end():
            if self.is_slow:
                time.sleep(SLOW_READ_S)
            data = self.socket.recv(SLOW_READ_BYTES if self.is_slow else 65536)
            if not data:
                return
            self.received += data

    def is_reusable(self):
        head, _ = self.head_and_body()
        return (self.version == "1.1" and not self.was_reset and not self.timed_out and
                self.is_delimited_end() and "\r\nconnection: close" not in head)

    def ends_by_itself(self):
        """Returns whether an engine that is not disturbed ends the stream after its last event."""
        return self.how in ("whole", "stall")

    def deadline_s(self):
        return int(self.headers["X-Deadline-Ms"]) / 1000

    def expected_s(self):
        """Returns the longest time from the start at an engine to the end, if no engine is disturbed. A stream
        that is silent before its first event may begin anew at a second engine, which is then silent too."""
        stall_s = self.stall_ms / 1000
        if self.how == "stall" and self.stall_after == 0:
            stall_s = 2 * stall_s + SILENCE_S
        reading_s = EVENTS * PADDED_EVENT_BYTES * SLOW_READ_S / SLOW_READ_BYTES if self.is_slow else 0
        return EVENTS * EVENT_INTERVAL_S + stall_s + LATE_MS / 1000 + reading_s

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
        is_slow = how in ("whole", "stall") and rng.random() < SLOW_SHARE
        stall_ms = rng.randint(*STALL_RANGE_MS) if how == "stall" else 0
        stall_after = rng.randrange(EVENTS)
        if is_slow or how == "stall":
            deadline = LONG_DEADLINE_MS
        elif how == "whole":
            deadline = WHOLE_DEADLINE_MS
        else:
            deadline = rng.randint(*DEADLINE_RANGE_MS)
        headers = {"Host": "chat.example", "Authorization": "Bearer key-north",
                   "X-Request-Id": f"c{self.index}-{len(self.streams)}",
                   "X-Deadline-Ms": str(deadline)}
        continuation = rng.choices(CONTINUATIONS, CONTINUATION_WEIGHTS)[0]
        framing = rng.choice(FRAMINGS)
        if continuation == "empty" and framing == "unframed":
            # A body without length and chunks that a running engine ends at once is a whole one.
            continuation = "dropped"
        path = f"/{rng.choice(ROUTES)}/{framing}/{how}/{continuation}/"
        if how == "stall":
            path += f"after-{stall_after}/for-{stall_ms}/"
        if is_slow:
            path += "padded/"
        version = rng.choice(("1.1", "1.1", "1.0"))
        kept = self.kept_connection(entry) if not is_slow and rng.random() < 0.7 else None
        stream = SoakStream(entry, path, headers, version, kept, is_slow)
        stream.stall_ms = stall_ms
        stream.stall_after = stall_after
        self.streams.append(stream)
        if not stream.run():
            return
        if is_slow:
            stream.socket.close()
        else:
            self.connections[entry.name] = (stream.socket, stream.ended_at)

    def kept_connection(self, entry):
        connection, used_at = self.connections.pop(entry.name, (None, 0))
        if connection is not None and time.monotonic() - used_at > KEEP_TIME_S:
            connection.close()
            return None
        return connection
