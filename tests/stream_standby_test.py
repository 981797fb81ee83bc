#!/usr/bin/env python3
"""Tests of the second send of a request whose endpoint is silent. All daemons are real processes.
Usage: stream_standby_test.py BUILD_DIR"""

import copy
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from router_fleet import (CONFIGURATION, Endpoint, RouterFleet, check, has_all_endpoints,  # noqa: E402
                          run_cases, wait_until)
from stream_endpoint import EVENTS, EVENTS_BEFORE_STOP, STALL_S, event_bytes  # noqa: E402
from stream_fleet import Stream, log_of  # noqa: E402

# Longer than two endpoints may work on a stream.
SLOW_HEAD_S = 1.0
# Longer than an engine without a response is taken for sound.
LATE_HEAD_S = 2.5
# Longer than the first call is kept after the head of the second response.
LATE_FAILURE_S = 0.5
# Longer than a lookup waits before it is sent to another endpoint.
LATE_REFUSAL_S = 1.0
MAX_OVERLAP_S = 0.4


class SilentEngine(Endpoint):
    """An engine whose first run of a stream is silent after EVENTS_BEFORE_STOP events: for STALL_S
    with /stall/ in the path, until its connection ends with /gone/. A later run is whole, but with
    /late/ it ends its connection LATE_FAILURE_S after its head, with /void/ it is complete without
    an event, with /slow_head/ its head takes SLOW_HEAD_S, with /late_head/ LATE_HEAD_S, and with /full/
    the first later run of a request is refused."""

    first_run_ended_at = None
    second_run_began_at = None
    refused = False

    def run(self, handler, body):
        if handler.headers.get("Last-Event-Id") is None:
            self.stream_until_silent(handler)
        elif "/full/" in handler.path and not self.refused:
            self.refused = True
            self.answer(handler, 503, b"", {"X-Not-Run": "1"})
        else:
            self.second_run_began_at = time.monotonic()
            self.go_on(handler)

    def begin(self, handler):
        handler.send_response(200)
        handler.send_header("X-Request-Id", handler.headers.get("X-Request-Id"))
        handler.send_header("Content-Type", "text/event-stream")
        handler.send_header("Transfer-Encoding", "chunked")
        handler.send_header("X-Endpoint-Answer", self.name)
        handler.end_headers()
        handler.close_connection = True

    def send_events(self, handler, first, last):
        for number in range(first, last + 1):
            event = event_bytes(number, self.name)
            handler.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            handler.wfile.flush()

    def stream_until_silent(self, handler):
        self.begin(handler)
        self.send_events(handler, 1, EVENTS_BEFORE_STOP)
        handler.connection.settimeout(STALL_S if "/stall/" in handler.path else 20)
        try:
            handler.connection.recv(1)
            self.first_run_ended_at = time.monotonic()
            return
        except TimeoutError:
            pass
        self.send_events(handler, EVENTS_BEFORE_STOP + 1, EVENTS)
        handler.wfile.write(b"0\r\n\r\n")

    def go_on(self, handler):
        if "/slow_head/" in handler.path:
            time.sleep(SLOW_HEAD_S)
        if "/late_head/" in handler.path:
            time.sleep(LATE_HEAD_S)
        self.begin(handler)
        if "/late/" in handler.path:
            handler.wfile.flush()
            time.sleep(LATE_FAILURE_S)
            return
        if "/void/" not in handler.path:
            first = int(handler.headers.get("Last-Event-Id")) + 1
            self.send_events(handler, first, EVENTS)
        handler.wfile.write(b"0\r\n\r\n")


class HangingApp(Endpoint):
    """An application that doesn't answer the first two runs of a request with /twice/ in its path, and
    refuses requests with /late_refusal/ after LATE_REFUSAL_S."""

    def run(self, handler, body):
        request_id = handler.headers.get("X-Request-Id")
        with self.fleet.lock:
            run_count = self.fleet.run_counts.get(request_id, 0) + 1
            self.fleet.run_counts[request_id] = run_count
        if "/twice/" in handler.path and run_count <= 2:
            time.sleep(5)
            handler.close_connection = True
            return
        if "/late_refusal/" in handler.path:
            time.sleep(LATE_REFUSAL_S)
            self.answer(handler, 503, b"", {"X-Not-Run": "1"})
            return
        self.answer(handler, 200, b"done", {"X-Endpoint-Answer": self.name})


class Fleet(RouterFleet):
    """Daemons with engines and applications of this file. Use it as a context manager."""

    def __init__(self, build, engines=0, apps=0, configuration=CONFIGURATION):
        super().__init__(build)
        self.counts = (engines, apps)
        self.configuration = configuration
        self.run_counts = {}

    def __enter__(self):
        super().__enter__()
        try:
            engines, apps = self.counts
            for kind, service, count in ((SilentEngine, "engines", engines), (HangingApp, "app", apps)):
                for _ in range(count):
                    number = len(self.endpoints)
                    self.endpoints.append(
                        kind(self, f"endpoint{number}", service, f"{self.net}.{200 + number}"))
            self.apply(self.configuration)
            self.wait_ready()
            wait_until(lambda: has_all_endpoints(self.entries[0], engines + apps),
                       "the entry process has all endpoints")
        except BaseException:
            self.__exit__(*sys.exc_info())
            raise
        return self

    def start_stream(self, path, **more):
        return Stream(self.entries[0].callers, path, self.headers("chat.example", **more))


def with_attempts(route_name, count):
    """Returns the configuration with another number of attempts for a route."""
    configuration = copy.deepcopy(CONFIGURATION)
    for route in configuration["routes"]:
        if route["name"] == route_name:
            route["maxAttempts"] = count
    return configuration


def check_stream_is_whole(fleet, path, **more):
    stream = fleet.start_stream(path, **more)
    check(stream.wait().is_whole(), f"{stream.outcome()}, {log_of(fleet, stream)}")
    return stream


def stream_of_gone_engine_is_continued_at_engine_that_refused_once(build):
    """Guards against an engine that has refused a standby send and is never asked again."""
    with Fleet(build, engines=2) as fleet:
        check_stream_is_whole(fleet, "/chat/gone/full/")


def stream_of_silent_engine_is_not_ended_by_empty_second_response(build):
    """Guards against a stream that ends as complete although its engine has more events."""
    with Fleet(build, engines=2) as fleet:
        check_stream_is_whole(fleet, "/chat/stall/void/")


def stream_of_gone_engine_is_continued_at_late_engine_without_others(build):
    """Guards against a standby send that is given up although no other engine can be chosen."""
    with Fleet(build, engines=2, configuration=with_attempts("chat", 3)) as fleet:
        check_stream_is_whole(fleet, "/chat/gone/late_head/", **{"X-Deadline-Ms": "7500"})


def two_engines_work_on_stream_for_400_ms_at_most(build):
    """Guards against two runs of a stream while the second response has no head."""
    with Fleet(build, engines=2) as fleet:
        check_stream_is_whole(fleet, "/chat/gone/slow_head/")
        ended_at = [engine.first_run_ended_at for engine in fleet.endpoints]
        began_at = [engine.second_run_began_at for engine in fleet.endpoints]
        overlap = max(filter(None, ended_at)) - max(filter(None, began_at))
        check(overlap < MAX_OVERLAP_S, f"both worked for {overlap:.3f} s")


def lookup_is_sent_to_third_endpoint_when_two_hang(build):
    """Guards against a standby send without a head that is kept until the deadline."""
    configuration = with_attempts("look", 3)
    for route in configuration["routes"]:
        if route["name"] == "look":
            route["timeoutMs"] = 4000
    with Fleet(build, apps=3, configuration=configuration) as fleet:
        for _ in range(30):
            fleet.call("GET", "app.example", "/look/x")
        started_at = time.monotonic()
        answer = fleet.call("GET", "app.example", "/look/twice/")
        elapsed_s = time.monotonic() - started_at
        check(answer.status == 200, f"status {answer.status} after {elapsed_s:.3f} s")
        check(elapsed_s < 3, f"answered after {elapsed_s:.3f} s")


def lookup_that_both_endpoints_refuse_is_refused_as_not_run(build):
    """Guards against a request that counts as run, and is charged, although no endpoint ran it."""
    with Fleet(build, apps=2, configuration=with_attempts("look", 2)) as fleet:
        for _ in range(10):
            fleet.call("GET", "app.example", "/look/x")
        answer = fleet.call("GET", "app.example", "/look/late_refusal/")
        check(answer.status == 503, f"status {answer.status}, {answer.body}, {fleet.entries[0].log()[-900:]}")


if __name__ == "__main__":
    sys.exit(run_cases([
        stream_of_gone_engine_is_continued_at_engine_that_refused_once,
        stream_of_silent_engine_is_not_ended_by_empty_second_response,
            stream_of_gone_engine_is_continued_at_late_engine_without_others,
        two_engines_work_on_stream_for_400_ms_at_most,
        lookup_is_sent_to_third_endpoint_when_two_hang,
        lookup_that_both_endpoints_refuse_is_refused_as_not_run,
    ], sys.argv[1]))
