#!/usr/bin/env python3
"""Failures of endpoints and callers, with real daemons. Usage: endpoint_test.py BUILD_DIR"""

import json
import os
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import fleet as fleets  # noqa: E402
from fleet import Fleet, check, document, run_cases, unix_key, wait_until  # noqa: E402


def started(build, models=2, rate="100"):
    fleet = Fleet(build, zones=("a",))
    fleet.start()
    for index in range(models):
        fleet.add_model(f"engine{index + 1}", "a", "--rate", rate)
    fleet.add_plain("dispatch1", "a")
    check(fleet.apply(document()).status == 200, "the document is applied")
    fleet.wait_ready(endpoints=models + 1)
    return fleet


def in_background(work):
    """Starts work() in a thread. Returns the thread and the list that gets the result."""
    results = []
    thread = threading.Thread(target=lambda: results.append(work()))
    thread.start()
    return thread, results


def leaving_endpoint_finishes_streams_and_gets_no_new_work(build):
    """Guards against a planned stop that cuts a stream, and against new work after the leave."""
    with started(build) as fleet:
        entry, (first, second, _) = fleet.daemons[0], fleet.standins
        running = [in_background(lambda: entry.chat("planned stop", max_tokens=300))
                   for _ in range(4)]
        time.sleep(0.3)
        first.command("leave")
        time.sleep(2)
        before = json.dumps(first.runs())
        answers = [entry.chat(f"after the leave {i}", max_tokens=8) for i in range(10)]
        check(all(answer.status == 200 for answer in answers), "the other engine takes new work")
        check(json.dumps(first.runs()) == before, "no new work on the leaving endpoint")
        for thread, results in running:
            thread.join()
            check(results[0].status == 200 and "[DONE]" in results[0].body, "no stream is cut")


def silent_connection_stream_continues_elsewhere(build):
    """Guards against a stream that waits for ever on a connection that has gone silent."""
    with started(build) as fleet:
        entry, engines = fleet.daemons[0], fleet.standins[:2]
        whole = fleets.text_of(entry.chat("silence", max_tokens=120).body)
        thread, results = in_background(lambda: entry.chat("silence", max_tokens=120))
        time.sleep(0.5)
        for engine in engines:
            engine.command("silent")
        thread.join()
        answer = results[0]
        check(answer.status == 200 and "[DONE]" in answer.body, f"{answer.status} {answer.body[-200:]}")
        check(fleets.text_of(answer.body) == whole, "no byte is repeated or lost")


def crossed_answer_is_dropped_and_request_runs_elsewhere(build):
    """Guards against an answer that belongs to another request reaching a caller."""
    with started(build) as fleet:
        entry = fleet.daemons[0]
        for engine in fleet.standins[:2]:
            engine.command("crossed", count=1)
        answers = [entry.chat(f"crossed {i}", max_tokens=8) for i in range(6)]
        good = [answer for answer in answers if answer.status == 200]
        bad = [answer.error() for answer in answers if answer.status != 200]
        check(all("[DONE]" in answer.body for answer in good), "whole answers")
        check(all(kind in ("answer_mismatch", "endpoint_failed") for kind in bad), str(bad))
        check(entry.counters().get("answers_mismatched", 0) >= 1, "the crossed answer is counted")
        check(len(good) >= 4, f"only the crossed requests may fail: {bad}")


def crashing_request_is_quarantined_and_others_are_served(build):
    """Guards against one request that takes down every endpoint as its caller retries."""
    with started(build, models=4) as fleet:
        entry = fleet.daemons[0]
        for engine in fleet.standins[:4]:
            engine.command("crash_on_prompt", text="poison pill")
        answers = [entry.chat("poison pill", max_tokens=8) for _ in range(4)]
        check(all(answer.status >= 400 for answer in answers), "the request is never answered")
        check(answers[-1].error() == "quarantined", answers[-1].error())
        alive = [engine for engine in fleet.standins[:4] if engine.process.poll() is None]
        check(len(alive) >= 2, f"{len(alive)} of 4 engines live")
        check(entry.chat("harmless", max_tokens=8).status == 200, "other requests are served")


def booking_whose_endpoint_dies_is_never_run_again(build):
    """Guards against a second run of a non-idempotent call after an unknown outcome."""
    with started(build, models=1) as fleet:
        entry, plain = fleet.daemons[0], fleet.standins[1]
        second = fleet.add_plain("dispatch2", "a")
        fleet.wait_ready(endpoints=3)
        for engine in (plain, second):
            engine.command("crash_on_prompt", text="crash booking")
        key = unix_key("once")
        first = entry.plain("/bookings", "POST", "crash booking", idempotency=key)
        again = entry.plain("/bookings", "POST", "crash booking", idempotency=key)
        check(first.error() == "outcome_unknown" and first.headers["x-figchute-ran"] == "unknown",
              f"{first.status} {first.error()}")
        check(again.error() == "outcome_unknown", f"{again.status} {again.error()}")
        alive = [engine for engine in (plain, second) if engine.process.poll() is None]
        check(len(alive) == 1, "exactly one endpoint ran the booking")
        other = entry.plain("/bookings", "POST", "other content", idempotency=key)
        check(other.error() in ("key_conflict", "outcome_unknown"), other.error())
        check(entry.plain("/bookings", "POST", "x").error() == "key_required", "a key is required")
        old = entry.plain("/bookings", "POST", "x", idempotency="1500000000-old")
        check(old.error() == "key_expired", old.error())


def spent_budget_refuses_as_not_run_and_never_overspends(build):
    """Guards against spend above the budget, and against a refusal of what still fits."""
    with Fleet(build, zones=("a",)) as fleet:
        fleet.start()
        engine = fleet.add_model("engine1", "a", "--rate", "0")
        check(fleet.apply(document(400)).status == 200, "the document is applied")
        fleet.wait_ready(endpoints=1)
        entry = fleet.daemons[0]
        threads = [in_background(lambda i=i: entry.chat(f"spend {i}", max_tokens=20))
                   for i in range(40)]
        for thread, _ in threads:
            thread.join()
        answers = [results[0] for _, results in threads]
        refused = [answer for answer in answers if answer.status == 402]
        check(refused, "the budget runs out")
        check(all(answer.headers["x-figchute-ran"] == "no" for answer in refused), "not run")
        bills = 0
        for answer in answers:
            if answer.status == 200:
                usage = json.loads(fleets.events_of(answer.body)[-2])["usage"]
                bills += usage["prompt_tokens"] + usage["completion_tokens"]
        wait_until(lambda: fleet.settled("w:hive/north") == bills, what=f"bills of {bills}")
        check(bills <= 400, f"spent {bills} of 400")
        check(entry.plain("/stock/veil").status in (200, 503), "a lookup needs no budget")
        check(engine.process.poll() is None, "the engine lives")


def malformed_requests_get_clear_errors_and_daemon_lives(build):
    """Guards against bad input that stops the daemon or is taken for something else."""
    with started(build, models=1) as fleet:
        entry = fleet.daemons[0]
        auth = {"Authorization": "Bearer key-keeper-0001"}
        cases = [("not json", "bad_request"), ("{}", "bad_request"),
                 (json.dumps({"model": "none", "messages": [{"role": "user", "content": "x"}]}),
                  "unknown_model")]
        for body, kind in cases:
            answer = fleets.request(entry.callers_port, "POST", "/v1/chat/completions", body, auth)
            check(answer.error() == kind, f"{body}: {answer.status} {answer.error()}")
        check(entry.chat("x", key="wrong").error() == "unauthenticated", "a wrong key")
        check(fleets.request(entry.callers_port, "GET", "/nowhere", None, auth).error()
              == "not_found", "a wrong path")
        answer = fleets.request(entry.callers_port, "GET", "/services/none/x", None, auth)
        check(answer.error() == "unknown_service", answer.error())
        for raw in (b"garbage\r\n\r\n", b"POST /v1/chat/completions HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
                    b"GET / HTTP/1.1\r\nX: " + b"y" * 100_000 + b"\r\n\r\n"):
            with socket.create_connection(("127.0.0.1", entry.callers_port), 5) as connection:
                connection.sendall(raw)
                connection.settimeout(12)
                check(b" 4" in connection.recv(4096)[:16], f"{raw[:30]} is refused")
        check(entry.admin("GET", "/v1/spend", key="wrong").status == 401, "a wrong operator key")
        check(entry.admin("POST", "/v1/announce", "{}", key="wrong").status == 401, "a wrong endpoint key")
        check(entry.chat("still alive", max_tokens=8).status == 200, "the daemon lives on")


if __name__ == "__main__":
    run_cases([
        leaving_endpoint_finishes_streams_and_gets_no_new_work,
        silent_connection_stream_continues_elsewhere,
        crossed_answer_is_dropped_and_request_runs_elsewhere,
        crashing_request_is_quarantined_and_others_are_served,
        booking_whose_endpoint_dies_is_never_run_again,
        spent_budget_refuses_as_not_run_and_never_overspends,
        malformed_requests_get_clear_errors_and_daemon_lives,
    ], sys.argv)
