"""Starts the project's programs on loopback and plays the platform, the operator, engines and clients.

Only the Python standard library is used. Everything that the programs write goes into a temporary folder.
"""

import collections
import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
ZONES = ["canelones", "montevideo", "san-jose"]
REGION = "sur-uy"
HEARTBEAT_S = 1.2
EVENT_TOKENS = 6
EVENTS = 8
EVENT_S = 0.01
FIRST_EVENT_S = 0.0
KEY = "n2ctnfzs989anu6wsjnb"
HOST = "ficu95.example"
MODEL, PLAIN = "huvo11a", "wuno96b"

COULD_NOT_RUN, BROKEN, HELD = 2, 1, 0

# The class of the engines of the plain service; a case may replace it.
PLAIN_ENGINE = None


class CannotRun(Exception):
    pass


def render(template, fields):
    """Fills in a settings template as the pages of the platform describe it: values and sections."""
    def value(name):
        here = fields
        for part in name.split("."):
            if isinstance(here, list):
                here = here[int(part)] if int(part) < len(here) else None
            else:
                here = here.get(part) if isinstance(here, dict) else None
            if here is None:
                return None
        return here

    def text(found):
        if found is None:
            return ""
        if isinstance(found, bool):
            return "true" if found else "false"
        return ",".join(map(str, found)) if isinstance(found, list) else str(found)

    section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)
    template = section.sub(lambda m: m.group(2) if value(m.group(1)) else "", template)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: text(value(m.group(1))), template)


def free_ports(ips, count):
    """Returns ports that are free on all addresses."""
    found = []
    for port in random.sample(range(21000, 32000), 2000):
        held = []
        try:
            for ip in ips:
                probe = socket.socket()
                held.append(probe)
                probe.bind((ip, port))
            found.append(port)
        except OSError:
            pass
        finally:
            for probe in held:
                probe.close()
        if len(found) == count:
            return found
    raise CannotRun("no free ports")


class Process:
    """One program of the deploy file on one machine."""

    def __init__(self, fleet, role, zone, ip):
        self.fleet, self.role, self.zone, self.ip = fleet, role, zone, ip
        self.name = f"{'edge' if role == 'entry' else 'core'}-{zone}-{ip.rsplit('.', 1)[1]}"
        self.folder = os.path.join(fleet.folder, self.name)
        os.makedirs(self.folder)
        self.process = None
        self.starts = 0

    def fields(self):
        ports = self.fleet.ports
        listen = ({"control": f"{self.ip}:{ports['control']}"} if self.role == "control" else
                  {"frontend": f"{self.ip}:{ports['frontend']}", "readiness": f"{self.ip}:{ports['readiness']}"})
        fields = {"nodeName": self.name, "zone": self.zone, "region": REGION, "ip": self.ip, "listen": listen,
                  "internalPorts": [ports["internal"], ports["internal"] + 15],
                  "seeds": self.fleet.seeds, "bootstrap": self.starts == 0,
                  "bounds": {"graceS": 8, "retryBudgetRatio": 0.2, "budgetSlack": 58, "retryWindowS": 10}}
        if self.role == "control":
            fields["dataDir"] = os.path.join(self.folder, "data")
        return fields

    def start(self):
        role = self.fleet.deploy["roles"][self.role]
        settings = os.path.join(self.folder, "local.conf")
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            content = render(file.read(), self.fields())
        with open(settings, "w", encoding="utf-8") as file:
            file.write(content)
        command = [settings if word == "/etc/figchute/local.conf" else word for word in role["run"].split()]
        if not os.path.exists(os.path.join(ROOT, command[0])):
            raise CannotRun(f"{command[0]} is not built")
        self.starts += 1
        with open(os.path.join(self.folder, "log"), "ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                            env={name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                                                 if name in os.environ})

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def log(self):
        with open(os.path.join(self.folder, "log"), encoding="utf-8", errors="replace") as file:
            return file.read()


class Engine:
    """A sound engine: it registers, runs what it gets and streams events."""

    def __init__(self, fleet, service, zone, ip):
        self.fleet, self.service, self.zone = fleet, service, zone
        self.id = f"i-{random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.stopped = False
        engine = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *_):
                pass

            def do_GET(self):
                engine.serve(self)

            do_POST = do_GET

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *_):
                pass

        self.server = Server((ip, 0), Handler)
        self.address = f"{ip}:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self.beat, daemon=True).start()

    def beat(self):
        while not self.stopped:
            self.sequence += 1
            body = json.dumps({"backend": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                               "slots": 64, "state": "ready", "warmupLeftMs": 0, "sequence": self.sequence,
                               "born": self.born, "stage": "both",
                               "models": [{"name": "m", "version": 1, "adapters": []}]})
            self.fleet.call_control("PUT", f"/v1/instances/{self.id}", body, tries=3)
            time.sleep(HEARTBEAT_S)

    def reply(self, handler, status, body, headers):
        handler.send_response(status)
        for name, value in headers.items():
            handler.send_header(name, value)
        handler.send_header("Content-Length", str(len(body)))
        handler.end_headers()
        handler.wfile.write(body)

    def serve(self, handler):
        body = handler.rfile.read(int(handler.headers.get("Content-Length") or 0))
        request = handler.headers.get("X-Figchute-Request-Id")
        load = {"X-Figchute-Engine-Load": f"{self.running},0,64"}
        if handler.path == "/healthz":
            self.reply(handler, 200, b"", {"X-Figchute-Instance-Id": self.id, **load})
            return
        if handler.path == "/v1/report":
            self.reply(handler, 200, json.dumps({
                "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False,
                "sequence": self.sequence, "queued": 0, "running": self.running, "kvUsed": 0, "kvTotal": 431128,
                "handles": 0}).encode(), {"Content-Type": "application/json"})
            return
        if handler.headers.get("X-Figchute-Expect-Instance", self.id) != self.id:
            self.reply(handler, 421, b"", {"X-Figchute-Request-Id": request, "X-Figchute-Not-Executed": "1"})
            return
        if request is None:
            self.reply(handler, 400, b"", {"X-Figchute-Not-Executed": "1"})
            return
        self.fleet.note(f"run {request} at {self.id} tenant {handler.headers.get('X-Figchute-Tenant')}")
        stamp = {"X-Figchute-Request-Id": request, "X-Figchute-Response-Stamp": f"{random.getrandbits(64):x}", **load}
        if self.service == PLAIN:
            self.reply(handler, 200, b"done " + body, stamp)
            return
        self.running += 1
        try:
            handler.send_response(200)
            for name, value in {**stamp, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}.items():
                handler.send_header(name, value)
            handler.end_headers()
            time.sleep(FIRST_EVENT_S)
            for number in range(1, EVENTS + 1):
                time.sleep(EVENT_S)
                event = f"id: {number}\ndata: {'x' * 40}\n\n".encode()
                handler.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            handler.wfile.write(b"0\r\n\r\n")
        except OSError:
            handler.close_connection = True
        finally:
            self.running -= 1

    def close(self):
        self.stopped = True
        self.server.shutdown()
        self.server.server_close()


class Fleet:
    """A small deployment: 3 control and 9 entry processes, engines, the operator and clients."""

    def __init__(self, record, prepaid):
        self.lock = threading.Lock()
        self.record = open(record, "w", encoding="utf-8")
        self.began = time.monotonic()
        self.folder = tempfile.mkdtemp(prefix="figchute-review-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.deploy = tomllib.load(file)
        net = random.randint(20, 250)
        control_ips = [f"127.{net}.{zone + 1}.10" for zone in range(3)]
        entry_ips = [f"127.{net}.{zone + 1}.{20 + node}" for zone in range(3) for node in range(3)]
        ports = free_ports(control_ips + entry_ips, 4)
        self.ports = dict(zip(("control", "frontend", "readiness", "internal"), ports))
        self.seeds = [f"{ip}:{self.ports['control']}" for ip in control_ips]
        self.controls = [Process(self, "control", ZONES[i], ip) for i, ip in enumerate(control_ips)]
        self.entries = [Process(self, "entry", ZONES[i // 3], ip) for i, ip in enumerate(entry_ips)]
        self.processes = self.controls + self.entries
        self.net, self.engines = net, []
        self.prepaid, self.version = prepaid, 0
        self.outcomes = []
        self.threads = []

    def note(self, text):
        with self.lock:
            if not self.record.closed:
                self.record.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    def call(self, ip, port, method, path, body=None, timeout=1.0):
        connection = http.client.HTTPConnection(ip, port, timeout=timeout)
        try:
            connection.request(method, path, body, {"Content-Type": "application/json"} if body else {})
            response = connection.getresponse()
            return response.status, response.read()
        finally:
            connection.close()

    def call_control(self, method, path, body=None, tries=20, pause=0.1):
        """Calls any control process, and another one after a failure or a 5xx, as engines and the operator do."""
        for attempt in range(tries):
            control = random.choice(self.controls)
            try:
                status, answer = self.call(control.ip, self.ports["control"], method, path, body)
            except (OSError, http.client.HTTPException):
                status, answer = 0, b""
            if status and status < 500 and status not in (408, 429):
                return status, answer
            time.sleep(pause * min(attempt + 1, 5))
        return 0, b""

    def configuration(self):
        def route(name, prefix, kind, backend, **more):
            return {"name": name, "host": HOST, "pathPrefix": prefix, "routeType": kind, "timeoutMs": 12000,
                    "targetLatencyMs": 500, "priority": 0, "backend": backend, "maxAttempts": 2, "public": False,
                    "stickySessions": kind == "streaming", "streamResume": kind == "streaming", "targetGapMs": 500,
                    **more}
        return {"version": self.version,
                "routes": [route("r-chat", "/pufi791/", "streaming", MODEL),
                           route("r-look", "/lohu930/", "safe", PLAIN)],
                "backends": [{"name": MODEL, "healthPath": "/healthz", "maxConnections": 370, "protocol": "h1",
                              "tls": False, "engine": {"slots": 64, "kvCapacity": 431128, "kvTokenBytes": 163840,
                                                       "linkMbps": 1100000.0, "moves": True, "backups": True,
                                                       "stride": EVENT_TOKENS, "most": 12, "pinMs": 4000.0,
                                                       "holdMs": 2000.0, "handleS": 5.0, "models": [{"name": "m"}]}},
                             {"name": PLAIN, "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1",
                              "tls": False}],
                "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                           "idleTimeoutMs": 15000},
                "tenants": [{"name": "hule930", "apiKeys": [KEY], "priority": 1, "prepaid": self.prepaid}]}

    def configure(self):
        self.version += 1
        status, _ = self.call_control("PUT", "/v1/config", json.dumps(self.configuration()), tries=60)
        self.note(f"configuration {self.version} answered {status}")
        return status == 200

    def ready(self):
        """Returns the entry processes that say that they are ready, as the platform's checks do."""
        ready = []
        for entry in self.entries:
            try:
                if self.call(entry.ip, self.ports["readiness"], "GET", "/v1/readyz", timeout=0.5)[0] == 200:
                    ready.append(entry)
            except (OSError, http.client.HTTPException):
                pass
        return ready

    def wait_ready(self, limit):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if len(self.ready()) == len(self.entries):
                return
            time.sleep(0.2)
        raise CannotRun("the entry processes did not become ready")

    def start(self):
        for process in self.processes:
            process.start()
        for zone in range(3):
            for node in range(2):
                self.engines.append(Engine(self, MODEL, ZONES[zone], f"127.{self.net}.{zone + 1}.{100 + node}"))
            self.engines.append((PLAIN_ENGINE or Engine)(self, PLAIN, ZONES[zone], f"127.{self.net}.{zone + 1}.110"))
        self.engines.append((PLAIN_ENGINE or Engine)(self, PLAIN, ZONES[0], f"127.{self.net}.1.111"))
        if not self.configure():
            raise CannotRun("the first configuration was not accepted")
        self.wait_ready(20)

    def attempt(self, entry, prompt):
        """Sends one client attempt; returns its status, or 0, and whether the answer was whole and signed."""
        request = f"{random.getrandbits(64):016x}"
        headers = {"Host": HOST, "X-Figchute-Request-Id": request, "X-Figchute-Model": "m",
                   "X-Figchute-Token-Counts": f"{prompt},{EVENT_TOKENS * EVENTS}",
                   "X-Figchute-Prompt-Prefix": f"5c1e07a2:{prompt // 2},{request[:8]}:{prompt - prompt // 2}",
                   "X-Figchute-Deadline-Ms": "12000", "Authorization": f"Bearer {KEY}"}
        connection = http.client.HTTPConnection(entry.ip, self.ports["frontend"], timeout=12)
        retry_after = 0.0
        try:
            connection.request("POST", "/pufi791/2f", request.encode() * 12, headers)
            response = connection.getresponse()
            body = response.read()
            whole = response.status == 200 and body.count(b"\n\n") == EVENTS
            signed = response.headers.get("X-Figchute-Response-Stamp") is not None
            status, served = response.status, whole and signed
            retry_after = float(response.headers.get("Retry-After") or 0)
        except (OSError, http.client.HTTPException):
            status, served = 0, False
        finally:
            connection.close()
        self.note(f"client {request} sent to {entry.name} prompt {prompt} answered {status} whole {served}")
        return status, served, retry_after

    def request(self, phase, prompt):
        """A client's request with one retry at another node, after a promise or a failure."""
        status, served, wait = self.attempt(random.choice(self.entries), prompt)
        if not served and status in (0, 408, 421, 429, 502, 503, 504):
            time.sleep(max(wait, 0.05))
            status, served, _ = self.attempt(random.choice(self.entries), prompt)
        with self.lock:
            self.outcomes.append((phase, status, served))

    def traffic(self, phase, seconds, per_second, prompt):
        """Sends requests at a steady rate and waits for their answers."""
        threads = []
        for number in range(int(seconds * per_second)):
            thread = threading.Thread(target=self.request, args=(phase, prompt), daemon=True)
            thread.start()
            threads.append(thread)
            time.sleep(1 / per_second)
        for thread in threads:
            thread.join(30)

    def share(self, phase):
        results = [(status, served) for name, status, served in self.outcomes if name == phase]
        served = sum(1 for _, ok in results if ok)
        statuses = dict(collections.Counter(status for status, _ in results))
        self.note(f"phase {phase}: {served} of {len(results)} served, statuses {statuses}")
        print(f"phase {phase}: {served} of {len(results)} served, statuses {statuses}", flush=True)
        return served / max(len(results), 1)

    def kill_all(self):
        self.note("all processes are killed")
        for process in self.processes:
            process.signal(signal.SIGKILL)
        for process in self.processes:
            process.kill()

    def start_all(self):
        self.note("all processes start again, with their disks")
        for process in self.processes:
            process.start()

    def retirements(self):
        """Returns the lines of control about dead entry processes, for the record."""
        lines = set()
        for control in self.controls:
            for line in control.log().splitlines():
                if "event=holder_retired" in line:
                    lines.add(line.split("event=", 1)[1])
        return sorted(lines)

    def close(self):
        for engine in self.engines:
            engine.close()
        for process in self.processes:
            process.kill()
        with self.lock:
            self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def play(folder, prepaid, scenario):
    """Runs a scenario; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    fleet = None
    try:
        fleet = Fleet(os.path.join(folder, "record.txt"), prepaid)
        fleet.start()
        code = scenario(fleet, trouble)
        for line in fleet.retirements():
            fleet.note(line)
    except (CannotRun, OSError) as problem:
        print(f"cannot run: {problem}", flush=True)
        code = COULD_NOT_RUN
    finally:
        if fleet is not None:
            fleet.close()
    print({BROKEN: "the rule is broken", HELD: "the rule held", COULD_NOT_RUN: "the case could not run"}[code])
    sys.exit(code)
