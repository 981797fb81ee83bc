"""Judges DENIED after all engines of a plain service have crashed while many clients read the same thing.

Argument: FOLDER. The environment variable PATHS sets how many different things the clients read (1).
"""

import http.client
import os
import random
import socket
import sys
import threading
import time

sys.dont_write_bytecode = True
import standins  # noqa: E402
from standins import BROKEN, HELD, HOST, KEY, PLAIN, ZONES, CannotRun, Engine, play  # noqa: E402

PER_SECOND = 120
DOWN_S = 4.0
CONTACT_S = 3.0
WORK_S = 0.06
PATHS = int(os.environ.get("PATHS", "1"))


class Dispatch(Engine):
    """An engine of the plain service that can crash."""

    def __init__(self, *arguments):
        self.connections = set()
        self.crashed = False
        super().__init__(*arguments)

    def serve(self, handler):
        self.connections.add(handler.connection)
        if handler.path.startswith("/lohu930/"):
            time.sleep(WORK_S)
        if self.crashed:
            handler.close_connection = True
            return
        super().serve(handler)

    def crash(self):
        self.crashed = self.stopped = True
        self.server.socket.close()
        for connection in list(self.connections):
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        threading.Thread(target=self.server.shutdown, daemon=True).start()


def read(fleet, results):
    """A client's read with one retry; keeps the time and the status of each attempt."""
    path = f"/lohu930/{random.randrange(PATHS)}f"
    for _ in range(2):
        entry = random.choice(fleet.entries)
        request = f"{random.getrandbits(64):016x}"
        sent = time.monotonic()
        connection = http.client.HTTPConnection(entry.ip, fleet.ports["frontend"], timeout=2)
        try:
            connection.request("GET", path, headers={
                "Host": HOST, "X-Figchute-Request-Id": request, "X-Figchute-Deadline-Ms": "1500",
                "Authorization": f"Bearer {KEY}"})
            response = connection.getresponse()
            response.read()
            status, own = response.status, response.headers.get("X-Figchute-Response-Stamp") is None
        except (OSError, http.client.HTTPException):
            status, own = 0, False
        finally:
            connection.close()
        fleet.note(f"client {request} GET {path} sent to {entry.name} answered {status} own {own}")
        with fleet.lock:
            results.append((sent, status, own))
        if status not in (0, 408, 421, 429, 500, 502, 503, 504):
            return
        time.sleep(0.1)


def traffic(fleet, results, seconds):
    began = time.monotonic()
    for number in range(int(seconds * PER_SECOND)):
        time.sleep(max(0.0, began + number / PER_SECOND - time.monotonic()))
        threading.Thread(target=read, args=(fleet, results), daemon=True).start()


def scenario(fleet, trouble):
    results = []
    plain = [engine for engine in fleet.engines if engine.service == PLAIN]
    traffic(fleet, results, 8)
    if sum(1 for _, status, _ in results if status == 200) < 0.9 * len(results):
        raise CannotRun("the reads were not served before the crash")
    crashed_at = time.monotonic()
    if trouble:
        fleet.note("the engines of the plain service crash")
        for engine in plain:
            engine.crashed = True
        for engine in plain:
            engine.crash()
    traffic(fleet, results, DOWN_S)
    if trouble:
        fleet.note("the engines are back, under new ids")
        for number in range(len(plain)):
            zone = number % 3
            fleet.engines.append(Dispatch(fleet, PLAIN, ZONES[zone], f"127.{fleet.net}.{zone + 1}.{120 + number}"))
    back_at = time.monotonic()
    traffic(fleet, results, 25)
    time.sleep(2)
    with fleet.lock:
        denied = [sent for sent, status, own in results if own and 400 <= status < 500 and status not in (408, 421, 429)]
        served_late = [status for sent, status, _ in results if sent > back_at + CONTACT_S]
    limit = 5 + len(results) / 500
    late = sum(1 for status in served_late if status == 200)
    text = (f"{len(denied)} of {len(results)} requests ended with a 4xx of the system's own, {limit:.1f} are allowed; "
            f"later than {CONTACT_S:.0f} s after the engines were back {late} of {len(served_late)} were served")
    if denied:
        text += f"; the last denied {denied[-1] - crashed_at:.1f} s after the crash"
    fleet.note(text)
    print(text, flush=True)
    return BROKEN if len(denied) > limit else HELD


standins.PLAIN_ENGINE = Dispatch
play(sys.argv[1], 10**9, scenario)
