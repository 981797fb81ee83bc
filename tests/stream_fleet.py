"""A router fleet whose engines are processes of their own, and callers that read the raw bytes of a
stream, for tests of how streams end."""

import os
import re
import signal
import socket
import subprocess
import sys
import threading
import time

from router_fleet import CONFIGURATION, RouterFleet, has_all_endpoints, wait_until
from stream_endpoint import EVENTS, FRAMINGS

# chat streams can be continued at another engine, report streams cannot.
ROUTES = ("chat", "report")
PROGRAM = os.path.join(os.path.dirname(os.path.abspath(__file__)), "stream_endpoint.py")


class EngineProcess:
    """An engine that can be ended with signals."""

    def __init__(self, name, ip, controls, program=PROGRAM, arguments=()):
        self.name = name
        addresses = ",".join(f"{c.ip}:{c.operators[1]}" for c in controls)
        self.process = subprocess.Popen([sys.executable, program, name, ip, addresses, *arguments],
                                        stdout=subprocess.PIPE, text=True)
        self.address = self.process.stdout.readline().strip()

    def end(self, *signals):
        """Sends signals one after the other; the last one must end the process."""
        for number in signals:
            self.process.send_signal(number)
        self.process.wait()

    def is_listening(self):
        ip, port = self.address.split(":")
        try:
            socket.create_connection((ip, int(port)), timeout=1).close()
        except OSError:
            return False
        return True

    def drain(self):
        """Lets the engine leave, and waits until its listening socket is closed."""
        self.process.send_signal(signal.SIGUSR2)
        wait_until(lambda: not self.is_listening(), f"{self.name} has closed its listening socket")

    def close(self):
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.process.stdout.close()


class StreamFleet(RouterFleet):
    """Daemons and engine processes. Use it as a context manager."""

    def __init__(self, build, controls=1, entries=1, engines=2, configuration=CONFIGURATION,
                 opens_tunnels=False):
        super().__init__(build, controls, entries)
        for entry in self.entries:
            entry.opens_tunnels = opens_tunnels
        self.engine_count = engines
        self.configuration = configuration
        self.engines = []

    def __enter__(self):
        super().__enter__()
        try:
            for _ in range(self.engine_count):
                self.add_engine()
            self.apply(self.configuration)
            self.wait_ready()
            self.wait_for_engines()
        except BaseException:
            self.__exit__(*sys.exc_info())
            raise
        return self

    def __exit__(self, *details):
        for engine in self.engines:
            engine.close()
        super().__exit__(*details)

    def add_engine(self):
        number = len(self.engines)
        engine = self.engine_process(f"engine{number}", f"{self.net}.{150 + number % 50}")
        self.engines.append(engine)
        return engine

    def engine_process(self, name, ip):
        return EngineProcess(name, ip, self.controls)

    def wait_for_engines(self):
        running = sum(engine.process.poll() is None for engine in self.engines)
        for entry in self.entries:
            wait_until(lambda entry=entry: has_all_endpoints(entry, running),
                       f"{entry.name} has all engines")

    def engine(self, name):
        return next(engine for engine in self.engines if engine.name == name)

    def start_stream(self, path, entry=0, version="1.1", **more):
        """Sends a request and returns the stream that answers it."""
        headers = self.headers("chat.example", **more)
        return Stream(self.entries[entry].callers, path, headers, version)


    def stream_waves(self, how, count, **options):
        """Yields, for each framing, the streams of a wave of count requests for each route."""
        for framing in FRAMINGS:
            yield [self.start_stream(f"/{route}/{framing}/{how}/", **options)
                   for route in ROUTES for _ in range(count)]


class Stream:
    """The answer to one request, read as raw bytes by a thread of its own."""

    def __init__(self, address, path, headers, version="1.1"):
        self.request_id = headers["X-Request-Id"]
        self.received = b""
        self.was_reset = False
        self.ended = threading.Event()
        lines = [f"POST {path} HTTP/{version}", "Content-Length: 1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        self.socket = socket.create_connection(address, timeout=20)
        self.socket.sendall(("\r\n".join(lines) + "\r\n\r\nx").encode())
        threading.Thread(target=self.read, daemon=True).start()

    def read(self):
        try:
            while not self.is_delimited_end():
                data = self.socket.recv(65536)
                if not data:
                    break
                self.received += data
        except OSError:
            self.was_reset = True
        self.socket.close()
        self.ended.set()

    def head_and_body(self):
        head, _, body = self.received.partition(b"\r\n\r\n")
        return head.decode().lower(), body

    def is_delimited_end(self):
        """Returns whether the last chunk, or all of the stated length, has arrived."""
        head, body = self.head_and_body()
        length = re.search(r"\r\ncontent-length: (\d+)", head)
        if length:
            return len(body) >= int(length.group(1))
        return "\r\ntransfer-encoding: chunked" in head and body.endswith(b"\r\n0\r\n\r\n")

    def status(self):
        return int(self.received.split(b" ", 2)[1]) if self.received else 0

    def events(self):
        """Returns the ids of the complete events."""
        head, body = self.head_and_body()
        if "transfer-encoding: chunked" in head:
            body = re.sub(rb"(^|\r\n)[0-9a-f]+\r\n", b"", body)
        return [int(number) for number in re.findall(rb"id: (\d+)\ndata: [^\n]*\n\n", body)]

    def engine_name(self):
        """Returns the name of the engine that sent the last event."""
        return re.findall(rb"data: (\w+) ", self.received)[-1].decode()

    def wait_for_events(self, count):
        wait_until(lambda: len(self.events()) >= count, f"{count} events of {self.request_id}")

    def wait(self, limit=20):
        if not self.ended.wait(limit):
            raise AssertionError(f"{self.request_id} did not end within {limit} s")
        return self

    def looks_complete(self):
        """Returns whether the caller takes the answer for a complete stream."""
        head, _ = self.head_and_body()
        if self.status() // 100 != 2:
            return False
        if self.is_delimited_end():
            return True
        is_delimited = "content-length:" in head or "transfer-encoding: chunked" in head
        return not is_delimited and not self.was_reset

    def is_whole(self):
        return self.looks_complete() and self.events() == list(range(1, EVENTS + 1))

    def outcome(self):
        return (f"status {self.status()}, {'complete' if self.looks_complete() else 'broken off'}, "
                f"events {self.events()}")


def log_of(fleet, stream):
    """Returns the log lines of the entry processes that name the request of a stream."""
    return [line for entry in fleet.entries for line in entry.log().splitlines()
            if f" request={stream.request_id} " in line]


def request_line(daemon, request_id):
    """Returns the fields of the log line that reports the end of a request, once it is written."""
    def lines():
        return [line for line in daemon.log().splitlines()
                if " event=request " in line and f" request={request_id} " in line]

    wait_until(lambda: len(lines()) == 1, f"one line of {request_id}")
    return dict(field.split("=", 1) for field in lines()[0].split() if "=" in field)
