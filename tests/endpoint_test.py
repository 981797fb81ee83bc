#!/usr/bin/env python3
"""Tests failures of endpoints and callers, with real daemons. Usage: endpoint_test.py BUILD_DIR"""

import json
import os
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import fleet as fleets  # noqa: E402
from fleet import Fleet, check, document, make_idempotency_key, run_cases, wait_until  # noqa: E402


def start_fleet(build, models=2, rate="100"):
    fleet = Fleet(build, zones=("a",))
    fleet.start()
    for index in range(models):
        fleet.add_model(f"engine{index + 1}", "a", "--rate", rate)
    fleet.add_plain("dispatch1", "a")
    check(fleet.apply(document()).status == 200, "the document is accepted")
    fleet.wait_ready(endpoints=models + 1)
    return fleet


def run_in_background(function):
    """Calls function() in a thread. Returns the thread and the list that receives the result."""
    results = []
    thread = threading.Thread(target=lambda: results.append(function()))
    thread.start()
    return thread, results


def leaving_endpoint_completes_streams_and_receives_no_new_requests(build):
    """Guards against a planned stop that interrupts a stream, and new requests after the leave."""
    with start_fleet(build) as fleet:
        entry, (first, second, _) = fleet.daemons[0], fleet.standins
        running = [run_in_background(lambda: entry.chat("planned stop", max_tokens=300))
                   for _ in range(4)]
        time.sleep(0.3)
        first.command("leave")
        time.sleep(2)
        runs_before = json.dumps(first.runs())
        responses = [entry.chat(f"after the leave {i}", max_tokens=8) for i in range(10)]
        check(all(response.status == 200 for response in responses),
              "the other engine accepts new requests")
        check(json.dumps(first.runs()) == runs_before,
              "the leaving endpoint receives no new requests")
        for thread, results in running:
            thread.join()
            check(results[0].status == 200 and "[DONE]" in results[0].body, "no stream is interrupted")


def stream_on_silent_connection_continues_on_other_endpoint(build):
    """Guards against a stream that waits forever on a connection that no longer delivers data."""
    with start_fleet(build) as fleet:
        entry, engines = fleet.daemons[0], fleet.standins[:2]
        expected_text = fleets.stream_text(entry.chat("silence", max_tokens=120).body)
        thread, results = run_in_background(lambda: entry.chat("silence", max_tokens=120))
        time.sleep(0.5)
        for engine in engines:
            engine.command("silent")
        thread.join()
        response = results[0]
        check(response.status == 200 and "[DONE]" in response.body,
              f"{response.status} {response.body[-200:]}")
        check(fleets.stream_text(response.body) == expected_text, "no byte is repeated or lost")


def mismatched_response_is_discarded_and_request_runs_on_other_endpoint(build):
    """Guards against delivering a caller the response to another request."""
    with start_fleet(build) as fleet:
        entry = fleet.daemons[0]
        for engine in fleet.standins[:2]:
            engine.command("crossed", count=1)
        responses = [entry.chat(f"crossed {i}", max_tokens=8) for i in range(6)]
        successful = [response for response in responses if response.status == 200]
        error_kinds = [response.error_kind() for response in responses if response.status != 200]
        check(all("[DONE]" in response.body for response in successful), "responses are complete")
        check(all(kind in ("answer_mismatch", "endpoint_failed") for kind in error_kinds),
              str(error_kinds))
        check(entry.counters().get("answers_mismatched", 0) >= 1, "the mismatched response is counted")
        check(len(successful) >= 4,
              f"only requests with a mismatched response may fail: {error_kinds}")


def crashing_request_is_quarantined_and_others_are_served(build):
    """Guards against a request that crashes every endpoint as its caller retries it."""
    with start_fleet(build, models=4) as fleet:
        entry = fleet.daemons[0]
        for engine in fleet.standins[:4]:
            engine.command("crash_on_prompt", text="poison pill")
        responses = [entry.chat("poison pill", max_tokens=8) for _ in range(4)]
        check(all(response.status >= 400 for response in responses), "the request never succeeds")
        check(responses[-1].error_kind() == "quarantined", responses[-1].error_kind())
        running_engines = [engine for engine in fleet.standins[:4] if engine.process.poll() is None]
        check(len(running_engines) >= 2, f"{len(running_engines)} of 4 engines are running")
        check(entry.chat("harmless", max_tokens=8).status == 200, "other requests are served")


def booking_whose_endpoint_crashes_is_never_run_again(build):
    """Guards against a second run of a non-idempotent call after an unknown outcome."""
    with start_fleet(build, models=1) as fleet:
        entry, plain = fleet.daemons[0], fleet.standins[1]
        second = fleet.add_plain("dispatch2", "a")
        fleet.wait_ready(endpoints=3)
        for engine in (plain, second):
            engine.command("crash_on_prompt", text="crash booking")
        key = make_idempotency_key("once")
        first = entry.call_service("/bookings", "POST", "crash booking", idempotency_key=key)
        repeated = entry.call_service("/bookings", "POST", "crash booking", idempotency_key=key)
        check(first.error_kind() == "outcome_unknown"
              and first.headers["x-figchute-ran"] == "unknown",
              f"{first.status} {first.error_kind()}")
        check(repeated.error_kind() == "outcome_unknown", f"{repeated.status} {repeated.error_kind()}")
        running_engines = [engine for engine in (plain, second) if engine.process.poll() is None]
        check(len(running_engines) == 1, "exactly one endpoint ran the booking")
        conflicting = entry.call_service("/bookings", "POST", "other content", idempotency_key=key)
        check(conflicting.error_kind() in ("key_conflict", "outcome_unknown"),
              conflicting.error_kind())
        check(entry.call_service("/bookings", "POST", "x").error_kind() == "key_required",
              "a key is required")
        expired = entry.call_service("/bookings", "POST", "x", idempotency_key="1500000000-old")
        check(expired.error_kind() == "key_expired", expired.error_kind())


def exhausted_budget_refuses_requests_as_not_run_and_is_never_overspent(build):
    """Guards against spending above the budget, and the refusal of a request that still fits."""
    with Fleet(build, zones=("a",)) as fleet:
        fleet.start()
        engine = fleet.add_model("engine1", "a", "--rate", "0")
        check(fleet.apply(document(400)).status == 200, "the document is accepted")
        fleet.wait_ready(endpoints=1)
        entry = fleet.daemons[0]
        threads = [run_in_background(lambda i=i: entry.chat(f"spend {i}", max_tokens=20))
                   for i in range(40)]
        for thread, _ in threads:
            thread.join()
        responses = [results[0] for _, results in threads]
        refused = [response for response in responses if response.status == 402]
        check(refused, "the budget is exhausted")
        check(all(response.headers["x-figchute-ran"] == "no" for response in refused),
              "the refusals are marked as not run")
        billed_tokens = 0
        for response in responses:
            if response.status == 200:
                usage = json.loads(fleets.event_data(response.body)[-2])["usage"]
                billed_tokens += usage["prompt_tokens"] + usage["completion_tokens"]
        wait_until(lambda: fleet.settled_tokens("w:hive/north") == billed_tokens,
                   description=f"charges of {billed_tokens} tokens")
        check(billed_tokens <= 400, f"spent {billed_tokens} of 400")
        check(entry.call_service("/stock/veil").status in (200, 503), "a lookup requires no budget")
        check(engine.process.poll() is None, "the engine is running")


def malformed_requests_return_specific_errors_and_daemon_keeps_running(build):
    """Guards against malformed input that stops the daemon or is misinterpreted."""
    with start_fleet(build, models=1) as fleet:
        entry = fleet.daemons[0]
        auth = {"Authorization": "Bearer key-keeper-0001"}
        cases = [("not json", "bad_request"), ("{}", "bad_request"),
                 (json.dumps({"model": "none", "messages": [{"role": "user", "content": "x"}]}),
                  "unknown_model")]
        for body, kind in cases:
            response = fleets.request(entry.callers_port, "POST", "/v1/chat/completions", body, auth)
            check(response.error_kind() == kind, f"{body}: {response.status} {response.error_kind()}")
        check(entry.chat("x", key="wrong").error_kind() == "unauthenticated", "a wrong key")
        check(fleets.request(entry.callers_port, "GET", "/nowhere", None, auth).error_kind()
              == "not_found", "a wrong path")
        response = fleets.request(entry.callers_port, "GET", "/services/none/x", None, auth)
        check(response.error_kind() == "unknown_service", response.error_kind())
        for raw in (b"garbage\r\n\r\n", b"POST /v1/chat/completions HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
                    b"GET / HTTP/1.1\r\nX: " + b"y" * 100_000 + b"\r\n\r\n"):
            with socket.create_connection(("127.0.0.1", entry.callers_port), 5) as connection:
                connection.sendall(raw)
                connection.settimeout(12)
                check(b" 4" in connection.recv(4096)[:16], f"{raw[:30]} is refused")
        check(entry.admin("GET", "/v1/spend", key="wrong").status == 401, "a wrong operator key")
        check(entry.admin("POST", "/v1/announce", "{}", key="wrong").status == 401,
              "a wrong endpoint key")
        check(entry.chat("still alive", max_tokens=8).status == 200, "the daemon is still running")


if __name__ == "__main__":
    run_cases([
        leaving_endpoint_completes_streams_and_receives_no_new_requests,
        stream_on_silent_connection_continues_on_other_endpoint,
        mismatched_response_is_discarded_and_request_runs_on_other_endpoint,
        crashing_request_is_quarantined_and_others_are_served,
        booking_whose_endpoint_crashes_is_never_run_again,
        exhausted_budget_refuses_requests_as_not_run_and_is_never_overspent,
        malformed_requests_return_specific_errors_and_daemon_keeps_running,
    ], sys.argv)
