"""Starts real daemons and stand-in endpoints on loopback for process tests and the demo.

Closing the fleet stops every started process by its id, so that no process outlives it.
"""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time

OPERATOR_KEY = "operator-key-for-tests"
ENDPOINT_KEY = "endpoint-key-for-tests"
PEER_KEY = "peer-key-for-tests"
START_TIMEOUT_S = 15
_allocated_ports = set()

DOCUMENT = """[team]
name = hive
deployment = test

[rank.urgent]
target_ms = 2000
worth = 10

[rank.prompt]
target_ms = 4000
worth = 3

[rank.batch]
target_ms = 60000
worth = 1

[model.swarm]
min_bytes_per_token = 1
max_output_tokens = 512

[service.dispatch]
kind = plain
repeatable = /stock,/prices
cost = 0

[workspace.north]
bought = {bought}

[workspace.south]
bought = {bought}

[caller.keeper]
workspace = north
key = key-keeper-0001
rank = urgent

[caller.report]
workspace = south
key = key-report-0001
rank = batch
"""


def document(bought=1_000_000):
    return DOCUMENT.format(bought=bought)


def free_port():
    """Returns a free loopback port below the port range of outgoing connections."""
    while True:
        port = random.randint(15000, 32000)
        if port in _allocated_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _allocated_ports.add(port)
        return port


class Response:
    """An HTTP response with its complete body."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = {name.lower(): value for name, value in headers}
        self.body = body

    def json(self):
        return json.loads(self.body)

    def error_kind(self):
        return self.headers.get("x-figchute-error", "")


def request(port, method, path, body=None, headers=None, timeout=15):
    """Sends one HTTP request on a new connection."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return Response(response.status, response.getheaders(), response.read().decode())
    finally:
        connection.close()


def event_data(text):
    """Returns the data of the server-sent events in a stream."""
    return [line[6:] for line in text.splitlines() if line.startswith("data: ")]


def stream_text(stream):
    """Returns the generated text of a streamed response."""
    text = ""
    for data in event_data(stream):
        if data == "[DONE]":
            continue
        for choice in json.loads(data).get("choices", []):
            text += choice.get("delta", {}).get("content") or ""
    return text


def wait_until(check, timeout_s=START_TIMEOUT_S, description="condition"):
    """Polls until check() returns a true value, and returns that value. An OSError,
    KeyError, ValueError or HTTPException counts as false."""
    deadline = time.monotonic() + timeout_s
    last_error = None
    while time.monotonic() < deadline:
        try:
            value = check()
            if value:
                return value
        except (OSError, KeyError, ValueError, http.client.HTTPException) as error:
            last_error = error
        time.sleep(0.05)
    raise AssertionError(f"timed out waiting for {description}: {last_error}")


class Daemon:
    """A figchuted process with its settings file and log."""

    def __init__(self, fleet, index, zone, roles):
        self.fleet = fleet
        self.id = f"vm{index}"
        self.zone = zone
        self.roles = roles
        self.callers_port, self.admin_port, self.peers_port = (free_port() for _ in range(3))
        self.folder = os.path.join(fleet.folder, self.id)
        self.settings_path = os.path.join(fleet.folder, f"{self.id}.ini")
        self.log_path = os.path.join(fleet.folder, f"{self.id}.log")
        self.process = None

    def write_settings(self, peers):
        lines = ["[process]", f"id = {self.id}", f"zone = {self.zone}", f"roles = {self.roles}",
                 "log_level = info", f"data_dir = {self.folder}" if "control" in self.roles else "",
                 "", "[listen]", f"callers = 127.0.0.1:{self.callers_port}",
                 f"admin = 127.0.0.1:{self.admin_port}", f"peers = 127.0.0.1:{self.peers_port}",
                 "", "[peers]"]
        for peer in peers:
            roles = peer.roles.replace(",", "+")
            lines.append(f"{peer.id} = 127.0.0.1:{peer.peers_port} {peer.zone} {roles}")
        lines += ["", "[keys]", f"operator = {OPERATOR_KEY}", f"endpoint = {ENDPOINT_KEY}",
                  f"peer = {PEER_KEY}", "", "[limits]", "shutdown_s = 10", ""]
        with open(self.settings_path, "w", encoding="utf-8") as file:
            file.write("\n".join(lines))

    def start(self):
        with open(self.log_path, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(
                [self.fleet.program("figchuted"), "--config", self.settings_path],
                stdout=log, stderr=log, cwd=self.fleet.folder)

    def stop(self, signal_number=signal.SIGTERM, timeout_s=20):
        """Sends a signal and waits for the process to exit; kills it after the timeout. Returns the
        exit status."""
        if self.process is None:
            return None
        self.process.send_signal(signal.SIGCONT)
        self.process.send_signal(signal_number)
        try:
            status = self.process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.process.kill()
            status = self.process.wait()
        self.process = None
        return status

    def kill(self):
        return self.stop(signal.SIGKILL)

    def log(self):
        with open(self.log_path, encoding="utf-8") as file:
            return file.read()

    def admin(self, method, path, body=None, key=OPERATOR_KEY):
        return request(self.admin_port, method, path, body, {"Authorization": f"Bearer {key}"})

    def dump(self):
        return self.admin("GET", "/v1/dump").json()

    def counters(self):
        rows = self.admin("GET", "/v1/metrics").json()["counters"]
        return {row["counter"]: row["value"] for row in rows}

    def chat(self, text, key="key-keeper-0001", idempotency_key=None, stream=True, max_tokens=64,
             timeout=20):
        headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
        if idempotency_key:
            headers["Idempotency-Key"] = idempotency_key
        body = {"model": "swarm", "max_tokens": max_tokens, "stream": stream,
                "messages": [{"role": "user", "content": text}]}
        if stream:
            body["stream_options"] = {"include_usage": True}
        return request(self.callers_port, "POST", "/v1/chat/completions", json.dumps(body),
                       headers, timeout)

    def call_service(self, path, method="GET", body=None, idempotency_key=None,
                     key="key-keeper-0001"):
        headers = {"Authorization": f"Bearer {key}"}
        if idempotency_key:
            headers["Idempotency-Key"] = idempotency_key
        return request(self.callers_port, method, f"/services/dispatch{path}", body, headers)


class Standin:
    """A figchute-standin process."""

    def __init__(self, fleet, name, port, zone, arguments):
        self.name, self.port, self.zone = name, port, zone
        announce = ",".join(f"127.0.0.1:{daemon.admin_port}" for daemon in fleet.daemons
                            if daemon.zone == zone or len(fleet.daemons) == 1)
        announce = announce or f"127.0.0.1:{fleet.daemons[0].admin_port}"
        self.command_line = [fleet.program("figchute-standin"), "--id", name, "--listen",
                             f"127.0.0.1:{port}", "--zone", zone, "--announce", announce,
                             "--endpoint-key", ENDPOINT_KEY, "--stop-after", "170", *arguments]
        self.log_path = os.path.join(fleet.folder, f"{name}.log")
        self.process = None

    def start(self):
        with open(self.log_path, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(self.command_line, stdout=log, stderr=log)

    def stop(self, signal_number=signal.SIGTERM):
        if self.process is not None:
            self.process.send_signal(signal_number)
            self.process.wait(10)
            self.process = None

    def command(self, command, **parameters):
        body = json.dumps({"command": command, **parameters})
        return request(self.port, "POST", "/standin", body)

    def runs(self):
        return request(self.port, "GET", "/standin/runs").json()


class Fleet:
    """Daemons and stand-ins in a temporary folder, as a context manager."""

    def __init__(self, build, zones=("a", "b", "c"), roles=("entry,control",) * 7):
        self.build = os.path.abspath(build)
        self.folder = tempfile.mkdtemp(prefix="figchute-")
        self.daemons = [Daemon(self, index, zone, role)
                        for index, (zone, role) in enumerate(zip(zones, roles))]
        self.standins = []

    def __enter__(self):
        return self

    def __exit__(self, error_type, value, traceback):
        for standin in self.standins:
            standin.stop(signal.SIGKILL)
        for daemon in self.daemons:
            daemon.kill()
        if error_type is not None:
            for daemon in self.daemons:
                print(f"--- last log lines of {daemon.id}")
                print("\n".join(daemon.log().splitlines()[-15:]) if
                      os.path.exists(daemon.log_path) else "no log")
        shutil.rmtree(self.folder, ignore_errors=True)

    def program(self, name):
        return os.path.join(self.build, name)

    def start(self):
        for daemon in self.daemons:
            daemon.write_settings(self.daemons)
            daemon.start()
        self.wait_for_leader()

    def leader(self):
        """Returns the daemon that is the leader of the replicated log, or None."""
        for daemon in self.daemons:
            if daemon.process is None:
                continue
            try:
                if daemon.dump().get("log", {}).get("role") == "leader":
                    return daemon
            except (OSError, ValueError, http.client.HTTPException):
                continue
        return None

    def wait_for_leader(self):
        """Returns the leader, once there is one: on a busy machine, elections can follow each other."""
        return wait_until(self.leader, description="a leader")

    def add_model(self, name, zone, *arguments):
        return self._add_standin(name, zone, ["--kind", "model", "--models", "swarm", *arguments])

    def add_plain(self, name, zone, *arguments):
        return self._add_standin(name, zone, ["--kind", "plain", "--service", "dispatch", *arguments])

    def _add_standin(self, name, zone, arguments):
        standin = Standin(self, name, free_port(), zone, arguments)
        self.standins.append(standin)
        standin.start()
        return standin

    def apply(self, text, base=0, change="change-1", daemon=None):
        daemon = daemon or self.daemons[0]
        return daemon.admin("POST", f"/v1/documents/hive?base={base}&change={change}", text)

    def wait_ready(self, revision=1, endpoints=1):
        """Waits until every running daemon has the documents, a ready quota manager and the
        endpoints."""
        def is_ready(daemon):
            dump = daemon.dump()
            return (dump["revision"] >= revision and dump["wallet_ready"]
                    and len(dump["routing"]["endpoints"]) >= endpoints)
        for daemon in self.daemons:
            if daemon.process is not None:
                wait_until(lambda daemon=daemon: is_ready(daemon),
                           description=f"{daemon.id} to be ready")

    def spend(self, daemon=None):
        """Returns the budgets by name, as reported by the leader."""
        daemon = daemon or next(d for d in self.daemons if d.process is not None)
        rows = daemon.admin("GET", "/v1/spend").json()["budgets"]
        return {row["budget"]: row for row in rows}

    def settled_tokens(self, budget, daemon=None):
        return self.spend(daemon)[budget]["settled"]


def make_idempotency_key(suffix):
    """Returns an idempotency key that starts with the current time."""
    return f"{int(time.time())}-{suffix}"


def check(condition, message):
    """Fails the test case with a message unless the condition is true."""
    if not condition:
        raise AssertionError(message)


def run_cases(cases, arguments):
    """Runs each test case with the build folder and prints one line for each; further arguments select
    cases by parts of their names. Exits with 1 if a case failed."""
    build, name_parts = arguments[1], arguments[2:]
    failed = 0
    for case in cases:
        if name_parts and not any(part in case.__name__ for part in name_parts):
            continue
        start_time = time.monotonic()
        try:
            case(build)
            outcome = "passed"
        except Exception as error:  # pylint: disable=broad-except
            outcome = f"FAILED: {type(error).__name__}: {error}"
            failed += 1
        print(f"{case.__name__}: {outcome} ({time.monotonic() - start_time:.1f} s)", flush=True)
    raise SystemExit(1 if failed else 0)
