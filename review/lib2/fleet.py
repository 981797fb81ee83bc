"""Starts the system's programs as separate processes on loopback, with stand-ins for what surrounds
them: an operator, engines and clients, as the users' pages describe them.

Every machine has a loopback IP of its own, because all machines use the same ports. All processes
are ended by their ids when the fleet is closed."""

import http.client
import json
import os
import re
import select
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "figchute-platformd")
TEMPLATE = os.path.join(ROOT, "deploy", "router.ini")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BOUNDS = {"graceS": 8, "retryBudgetRatio": 0.2, "budgetSlack": 58, "retryWindowS": 10}
HEARTBEAT_S = 1.2


class CannotRun(Exception):
    """The case could not run; its exit status is 2."""


def fill(template, fields):
    """Fills in the settings template as the platform does."""

    def value(path):
        current = fields
        for part in path.split("."):
            if isinstance(current, list):
                current = current[int(part)] if int(part) < len(current) else None
            elif isinstance(current, dict):
                current = current.get(part)
            else:
                return None
        return current

    def text(found):
        if found is None:
            return ""
        if isinstance(found, bool):
            return "true" if found else "false"
        if isinstance(found, list):
            return ",".join(str(item) for item in found)
        return str(found)

    def section(match):
        found = value(match.group(1))
        if found is None or found is False:
            return ""
        if not isinstance(found, dict):
            return match.group(2)
        keys = list(found)
        parts = []
        for i, key in enumerate(keys):
            part = match.group(2).replace("{{@}}", key)
            parts.append(part.replace("{{,}}", "," if i + 1 < len(keys) else ""))
        return "".join(parts)

    sections = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)
    filled = sections.sub(section, template)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: text(value(match.group(1))), filled)


def free_port(ips):
    """Returns a port that is free on all the addresses."""
    for _ in range(200):
        with socket.socket() as probe:
            probe.bind((ips[0], 0))
            port = probe.getsockname()[1]
        if port > 50000:
            continue
        try:
            for ip in ips:
                with socket.socket() as other:
                    other.bind((ip, port))
            return port
        except OSError:
            continue
    raise CannotRun("no free port")


class Record:
    """The file record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(path, "w", encoding="utf-8")

    def line(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.started:8.3f} s  {text}\n")
            self.file.flush()

    def close(self):
        self.file.close()


class Machine:
    def __init__(self, fleet, name, role, ip, zone):
        self.fleet = fleet
        self.name = name
        self.role = role
        self.ip = ip
        self.zone = zone
        self.process = None
        self.starts = 0
        self.folder = os.path.join(fleet.folder, name)
        os.makedirs(self.folder)

    def settings(self):
        fleet = self.fleet
        fields = {"nodeName": self.name, "zone": self.zone, "ip": self.ip,
                  "zones": {zone: "region" for zone in fleet.zones},
                  "internalPorts": [fleet.ports["peers"], fleet.ports["tunnels"]],
                  "seeds": [f"{control.ip}:{fleet.ports['control']}" for control in fleet.controls[:3]],
                  "bootstrap": self.starts == 0, "bounds": BOUNDS,
                  "limits": {"linkMbps": 1000.0}}
        if self.role == "entry":
            fields["listen"] = {"frontend": f"{self.ip}:{fleet.ports['frontend']}",
                                "readiness": f"{self.ip}:{fleet.ports['readiness']}"}
        else:
            fields["listen"] = {"control": f"{self.ip}:{fleet.ports['control']}"}
            fields["dataDir"] = os.path.join(self.folder, "data")
        with open(TEMPLATE, encoding="utf-8") as template:
            return fill(template.read(), fields)

    def start(self):
        path = os.path.join(self.folder, "local.conf")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        os.makedirs(os.path.join(self.folder, "data"), exist_ok=True)
        self.starts += 1
        log = open(os.path.join(self.folder, f"log-{self.starts}"), "w", encoding="utf-8")
        self.process = subprocess.Popen([PROGRAM, "--config", path], cwd=ROOT, stdout=log,
                                        stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)
        log.close()

    def signal(self, number):
        self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Fleet:
    """Control and entry processes with the commands and the template of the deploy file."""

    def __init__(self, record, controls=3, entries=3, zones=("a", "b", "c"), base="127.91.0"):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("target/figchute-platformd is missing")
        self.record = record
        self.zones = list(zones)
        self.folder = tempfile.mkdtemp(prefix="figchute-review-")
        self.engines = []
        self.lock = threading.Lock()
        self.runs = []  # (time, request id, engine, headers)
        ips = [f"{base}.{i + 1}" for i in range(controls + entries)]
        self.ports = {}
        for name in ("peers", "tunnels", "control", "frontend", "readiness"):
            port = free_port(ips)
            while port in self.ports.values():
                port = free_port(ips)
            self.ports[name] = port
        self.controls = []
        self.entries = []
        for i in range(controls):
            self.controls.append(Machine(self, f"core-{i + 1}", "control", ips[i],
                                         self.zones[i % len(self.zones)]))
        for i in range(entries):
            self.entries.append(Machine(self, f"edge-{i + 1}", "entry", ips[controls + i],
                                        self.zones[i % len(self.zones)]))

    def start(self):
        for machine in self.controls + self.entries:
            machine.start()

    def close(self):
        for engine in self.engines:
            engine.close()
        for machine in self.entries + self.controls:
            machine.end()
        shutil.rmtree(self.folder, ignore_errors=True)

    # The operator and the callers of control.

    def control_call(self, method, path, body=None, timeout=1.0, control=None):
        machine = control or self.controls[int(time.monotonic() * 1000) % len(self.controls)]
        connection = http.client.HTTPConnection(machine.ip, self.ports["control"], timeout=timeout)
        try:
            headers = {"Content-Type": "application/json"} if body is not None else {}
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            return response.status, response.read()
        finally:
            connection.close()

    def put_configuration(self, configuration, limit=15):
        body = json.dumps(configuration)
        until = time.monotonic() + limit
        while time.monotonic() < until:
            try:
                status, _ = self.control_call("PUT", "/v1/config", body)
                if status == 200:
                    self.record.line(f"operator: version {configuration['version']} acknowledged")
                    return
                if status in (400, 409, 412, 413, 422):
                    raise CannotRun(f"the configuration was refused with {status}")
            except OSError:
                pass
            time.sleep(0.2)
        raise CannotRun("the configuration was not acknowledged")

    def wait_ready(self, limit=15):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if all(self.readiness(entry) == 200 for entry in self.entries):
                return
            time.sleep(0.2)
        raise CannotRun("the entry processes are not ready")

    def readiness(self, entry):
        connection = http.client.HTTPConnection(entry.ip, self.ports["readiness"], timeout=1)
        try:
            connection.request("GET", "/v1/readyz")
            return connection.getresponse().status
        except OSError:
            return 0
        finally:
            connection.close()

    def note_run(self, request_id, engine, headers):
        with self.lock:
            self.runs.append((time.monotonic(), request_id, engine.id, headers))
        self.record.line(f"engine {engine.id} runs {request_id}")

    def frontend(self, entry):
        return entry.ip, self.ports["frontend"]


class Engine:
    """A sound engine: it announces itself, checks the instance that a request expects, runs the
    request and answers it with its signature. answer(engine, connection, head, body) writes the
    response; the default answers 800 bytes."""

    def __init__(self, fleet, name, service, ip, zone="a", slots=64, answer=None, born=None, port=0):
        self.fleet = fleet
        self.id = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.answer = answer or answer_plain
        self.sequence = 0
        self.state = "ready"
        self.born = born or int(time.time() * 1000)
        self.is_open = True
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((ip, port))
        self.listener.listen(512)
        self.address = "%s:%d" % self.listener.getsockname()
        fleet.engines.append(self)
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.announce_periodically, daemon=True).start()

    def announcement(self):
        self.sequence += 1
        return {"backend": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state, "warmupLeftMs": 0,
                "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
                "sequence": self.sequence, "born": self.born}

    def announce(self):
        body = json.dumps(self.announcement())
        for control in self.fleet.controls:
            try:
                status, _ = self.fleet.control_call("PUT", f"/v1/instances/{self.id}", body,
                                                    control=control)
                if 200 <= status < 300:
                    return True
            except (OSError, http.client.HTTPException):
                continue
        return False

    def announce_periodically(self):
        while self.is_open:
            self.announce()
            time.sleep(HEARTBEAT_S)

    def close(self):
        self.is_open = False
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()

    def accept(self):
        while self.is_open:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        reader = Reader(connection)
        try:
            while self.is_open:
                head = reader.head()
                if head is None:
                    break
                body = reader.body(head)
                expected = head.fields.get("x-figchute-expect-instance")
                request_id = head.fields.get("x-figchute-request-id", "")
                if expected is not None and expected != self.id:
                    connection.sendall(b"HTTP/1.1 421 Misdirected Request\r\nX-Figchute-Instance-Id: "
                                       + self.id.encode() + b"\r\nContent-Length: 0\r\n\r\n")
                    continue
                if head.start.startswith("GET /healthz"):
                    connection.sendall(b"HTTP/1.1 200 OK\r\nX-Figchute-Instance-Id: "
                                       + self.id.encode() + b"\r\nContent-Length: 0\r\n\r\n")
                    continue
                self.fleet.note_run(request_id, self, head.fields)
                if self.answer(self, connection, head, body) is False:
                    break
        except OSError:
            pass
        finally:
            connection.close()

    def response_head(self, request_id, *lines):
        return ("HTTP/1.1 200 OK\r\n"
                f"X-Figchute-Request-Id: {request_id}\r\n"
                f"X-Figchute-Response-Stamp: {self.id}.{request_id}\r\n"
                f"X-Figchute-Engine-Load: 1,0,{self.slots}\r\n"
                + "".join(line + "\r\n" for line in lines) + "\r\n").encode()


def answer_plain(engine, connection, head, _body, size=800):
    request_id = head.fields["x-figchute-request-id"]
    body = (request_id + ".").encode() * (size // (len(request_id) + 1) + 1)
    connection.sendall(engine.response_head(request_id, f"Content-Length: {size}") + body[:size])


class Head:
    def __init__(self, text):
        lines = text.split("\r\n")
        self.start = lines[0]
        self.fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            if name:
                self.fields[name.strip().lower()] = value.strip()


class Reader:
    """Reads HTTP messages from a connection."""

    def __init__(self, connection):
        self.connection = connection
        self.buffer = b""

    def more(self):
        data = self.connection.recv(65536)
        self.buffer += data
        return bool(data)

    def head(self):
        while b"\r\n\r\n" not in self.buffer:
            if not self.more():
                return None
        text, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
        return Head(text.decode("latin-1"))

    def exactly(self, size):
        while len(self.buffer) < size:
            if not self.more():
                raise ConnectionError("the connection ended inside a body")
        data, self.buffer = self.buffer[:size], self.buffer[size:]
        return data

    def line(self):
        while b"\r\n" not in self.buffer:
            if not self.more():
                raise ConnectionError("the connection ended inside a body")
        text, _, self.buffer = self.buffer.partition(b"\r\n")
        return text

    def body(self, head):
        if head.fields.get("transfer-encoding", "").lower() == "chunked":
            data = b""
            while True:
                size = int(self.line().split(b";")[0], 16)
                if size == 0:
                    while self.line():
                        pass
                    return data
                data += self.exactly(size)
                self.exactly(2)
        return self.exactly(int(head.fields.get("content-length", "0")))


def run_case(folder, case):
    """Runs case(record) -> list of broken rules, and ends with the status that the case has."""
    record = Record(os.path.join(folder, "record.txt"))
    record.line(f"TROUBLE={1 if TROUBLE else 0}")
    try:
        broken = case(record)
    except CannotRun as error:
        record.line(f"the case cannot run: {error}")
        print(f"cannot run: {error}")
        record.close()
        os._exit(2)
    except BaseException as error:  # a fault of the script itself is no result
        record.line(f"the script failed: {error!r}")
        print(f"cannot run: {error!r}")
        record.close()
        os._exit(2)
    for line in broken:
        record.line(f"BROKEN {line}")
        print(f"BROKEN {line}")
    if not broken:
        record.line("held")
        print("held")
    record.close()
    os._exit(1 if broken else 0)
