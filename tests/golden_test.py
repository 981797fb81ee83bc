#!/usr/bin/env python3
"""Compares complete sessions with a real daemon to golden files, with ids and times normalised.

Usage: golden_test.py BUILD_DIR [--write]. With --write the golden files are replaced; review the
difference before committing it.
"""

import difflib
import json
import os
import re
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import fleet as fleets  # noqa: E402
from fleet import Fleet, document, wait_until  # noqa: E402

GOLDEN = os.path.join(os.path.dirname(os.path.abspath(__file__)), "golden")
RECORDED_HEADERS = ("content-type", "retry-after", "x-figchute-error", "x-figchute-ran")


def normalise(text):
    """Replaces values that differ between runs with fixed words."""
    text = re.sub(r"vm\d+-\d{10,}(-\d+)?", "REQUEST", text)
    text = re.sub(r'"(created|time)":\d+', r'"\1":TIME', text)
    text = re.sub(r'"(seconds_ago|heard_seconds_ago|age_ms)":[0-9.e+-]+', r'"\1":TIME', text)
    text = re.sub(r'"disk":"[0-9a-f]+"', '"disk":"DISK"', text)
    # Elections and the sizes of grants depend on timing.
    text = re.sub(r'"(term|commit|matched)":\d+', r'"\1":INDEX', text)
    text = re.sub(r'"(held|free)":\d+', r'"\1":TOKENS', text)
    text = re.sub(r"\b1[5-9]\d{8}-", "NOW-", text)
    return text


class Session:
    """Records requests and responses as text."""

    def __init__(self, name):
        self.name = name
        self.lines = []

    def record(self, title, response):
        self.lines.append(f"> {title}")
        self.lines.append(f"< {response.status}")
        for name in RECORDED_HEADERS:
            if name in response.headers:
                self.lines.append(f"< {name}: {response.headers[name]}")
        self.lines += [f"  {line}" for line in normalise(response.body).splitlines() if line]
        self.lines.append("")

    def compare(self, write):
        path = os.path.join(GOLDEN, f"{self.name}.txt")
        actual = "\n".join(self.lines) + "\n"
        if write:
            with open(path, "w", encoding="utf-8") as file:
                file.write(actual)
            return True
        with open(path, encoding="utf-8") as file:
            expected = file.read()
        difference = list(difflib.unified_diff(expected.splitlines(), actual.splitlines(),
                                               path, "actual", lineterm=""))
        print("\n".join(difference) if difference else f"{self.name}: as expected")
        return not difference


def operator_session(fleet):
    session = Session("operator")
    daemon = fleet.daemons[0]

    def send(method, path, body=None, **options):
        session.record(f"{method} {path}", daemon.admin(method, path, body, **options))

    apply = "/v1/documents/hive"
    send("GET", apply)
    send("POST", f"{apply}?base=0&change=first", document(1000))
    send("POST", f"{apply}?base=0&change=first", document(1000))
    send("POST", f"{apply}?base=0&change=second", document(2000))
    send("POST", f"{apply}?base=1&change=lower", document(10))
    send("POST", f"{apply}?base=1&change=bad", "[team]\nname = hive\n[workspace.a]\nbought = -1\ncolour = red\n")
    send("POST", f"{apply}?base=1&change=third", document(3000))
    send("GET", f"{apply}/history")
    other_document = document(1000).replace("name = hive", "name = other")
    send("POST", "/v1/documents/other?base=0&change=foreign-key", other_document)
    send("GET", "/v1/spend")
    send("GET", "/v1/members")
    send("GET", "/v1/spend", key="wrong")
    send("GET", "/v1/nothing")
    return session


def endpoint_session(fleet):
    session = Session("endpoint")
    daemon = fleet.daemons[0]
    valid = {"id": "e1", "address": "127.0.0.1:1", "zone": "a", "kind": "plain", "service": "other",
             "slots": 2}
    malformed = {"id": "e1", "address": "localhost", "zone": "a", "kind": "cloud", "slots": 0}
    for title, body, key in (("announcement", valid, fleets.ENDPOINT_KEY),
                             ("malformed announcement", malformed, fleets.ENDPOINT_KEY),
                             ("announcement with the operator's key", valid, fleets.OPERATOR_KEY)):
        session.record(title, daemon.admin("POST", "/v1/announce", json.dumps(body), key=key))
    return session


def caller_session(fleet):
    session = Session("caller")
    daemon = fleet.daemons[0]
    key = fleets.make_idempotency_key("golden")
    session.record("streamed chat", daemon.chat("hello bees", max_tokens=4))
    session.record("whole chat", daemon.chat("hello bees", max_tokens=4, stream=False))
    session.record("lookup", daemon.call_service("/stock/veil"))
    session.record("booking", daemon.call_service("/bookings", "POST", "noon", idempotency_key=key))
    session.record("booking again",
                   daemon.call_service("/bookings", "POST", "noon", idempotency_key=key))
    session.record("booking without a key", daemon.call_service("/bookings", "POST", "noon"))
    session.record("booking with an old key",
                   daemon.call_service("/bookings", "POST", "noon", idempotency_key="1500000000-old"))
    session.record("other booking under the key",
                   daemon.call_service("/bookings", "POST", "evening", idempotency_key=key))
    session.record("wrong key", daemon.chat("hello", key="wrong"))
    session.record("too much for the budget", daemon.chat("x" * 5000, max_tokens=4))
    wait_until(lambda: fleet.settled_tokens("w:hive/north") == 22,
               description="the charges of both chats")
    session.record("spend", daemon.admin("GET", "/v1/spend"))
    return session


def main(build, write):
    with Fleet(build, zones=("a",)) as fleet:
        fleet.start()
        sessions = [operator_session(fleet)]
        fleet.add_model("engine1", "a", "--rate", "0")
        fleet.add_plain("dispatch1", "a")
        fleet.wait_ready(revision=2, endpoints=2)
        sessions.append(endpoint_session(fleet))
        sessions.append(caller_session(fleet))
        results = [session.compare(write) for session in sessions]
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1], "--write" in sys.argv))
