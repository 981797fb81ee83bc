#!/usr/bin/env python3
"""Tests that a stream whose engine is only silent for some time is not lost where no other engine goes
on with it. All programs are real processes. Usage: stream_move_test.py BUILD_DIR"""

import os
import signal
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from router_fleet import check, run_cases  # noqa: E402
from stream_endpoint import EVENTS, EVENTS_BEFORE_STOP  # noqa: E402
from stream_fleet import StreamFleet, log_of, request_line  # noqa: E402

# Streams with a length can't be continued at another engine.
FRAMINGS = ("chunked", "unframed")
WAVE = 4


def check_stalled_streams_are_whole(build, fault):
    """Starts streams whose engine is silent for some time; other engines answer them with a fault."""
    with StreamFleet(build, engines=4) as fleet:
        streams = [fleet.start_stream(f"/chat/{framing}/stall/{fault}/")
                   for framing in FRAMINGS for _ in range(WAVE)]
        lost = [f"{stream.outcome()}, {log_of(fleet, stream)}"
                for stream in streams if not stream.wait().is_whole()]
        check(not lost, f"{len(lost)} of {len(streams)} were lost, the first: {lost and lost[0]}")
        lines = [request_line(fleet.entries[0], stream.request_id) for stream in streams]
        check(any(int(line["sends"]) > 1 for line in lines), "no other engine was tried")


def stream_of_silent_engine_is_not_lost_when_others_refuse_it(build):
    check_stalled_streams_are_whole(build, "busy")


def stream_of_silent_engine_is_not_lost_when_others_answer_500(build):
    check_stalled_streams_are_whole(build, "denied")


def stream_of_silent_engine_is_not_lost_when_others_drop_it(build):
    check_stalled_streams_are_whole(build, "dropped")


def stream_of_silent_engine_is_not_lost_when_others_end_it_empty(build):
    check_stalled_streams_are_whole(build, "empty")


def stream_of_silent_engine_is_continued_at_another(build):
    """Guards against events that are lost or repeated where the silent engine goes on later."""
    check_stalled_streams_are_whole(build, "whole")


def stream_of_engine_that_stays_silent_is_continued(build):
    """Guards against a stream that waits for an engine that is gone without a reset."""
    with StreamFleet(build, engines=4) as fleet:
        for framing in FRAMINGS:
            stream = fleet.start_stream(f"/chat/{framing}/between/")
            stream.wait_for_events(EVENTS_BEFORE_STOP)
            engine = fleet.engine(stream.engine_name())
            engine.process.send_signal(signal.SIGSTOP)
            check(stream.wait().is_whole(), f"{stream.outcome()}, {log_of(fleet, stream)}")
            engine.process.send_signal(signal.SIGCONT)


def stream_of_ended_engine_is_continued_when_another_refuses_it(build):
    """Guards against a refusal that counts as an attempt, although the request has not run."""
    with StreamFleet(build, engines=4) as fleet:
        stream = fleet.start_stream("/chat/chunked/between/")
        stream.wait_for_events(EVENTS_BEFORE_STOP)
        owner = fleet.engine(stream.engine_name())
        for engine in fleet.engines:
            if engine is not owner:
                engine.process.send_signal(signal.SIGUSR1)
        owner.end(signal.SIGKILL)
        check(stream.wait().is_whole(), f"{stream.outcome()}, {log_of(fleet, stream)}")
        line = request_line(fleet.entries[0], stream.request_id)
        check(int(line["sends"]) > 2 and line["events"] == str(EVENTS), f"{line}")


if __name__ == "__main__":
    sys.exit(run_cases([
        stream_of_silent_engine_is_not_lost_when_others_refuse_it,
        stream_of_silent_engine_is_not_lost_when_others_answer_500,
        stream_of_silent_engine_is_not_lost_when_others_drop_it,
        stream_of_silent_engine_is_not_lost_when_others_end_it_empty,
        stream_of_silent_engine_is_continued_at_another,
        stream_of_engine_that_stays_silent_is_continued,
        stream_of_ended_engine_is_continued_when_another_refuses_it,
    ], sys.argv[1]))
