#!/usr/bin/env python3
"""Open cases of streams whose engine is only silent for some time, and which are lost because the second
engine is silent as well for longer than two engines may work on a stream. All daemons are real
processes. Usage: stream_move_open_test.py BUILD_DIR"""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from router_fleet import run_cases  # noqa: E402
from stream_move_test import check_stalled_streams_are_whole  # noqa: E402
from stream_standby_test import Fleet, check_stream_is_whole  # noqa: E402


def stream_of_silent_engine_is_not_lost_when_others_are_silent(build):
    check_stalled_streams_are_whole(build, "mute")


def stream_of_silent_engine_is_not_lost_when_another_fails_after_its_head(build):
    """Guards against a call that is given up for a response that has no event yet."""
    with Fleet(build, engines=2) as fleet:
        check_stream_is_whole(fleet, "/chat/stall/late/")


if __name__ == "__main__":
    sys.exit(run_cases([
        stream_of_silent_engine_is_not_lost_when_others_are_silent,
        stream_of_silent_engine_is_not_lost_when_another_fails_after_its_head,
    ], sys.argv[1]))
