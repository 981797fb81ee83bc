#!/usr/bin/env python3
"""Tests how the streams of an engine end that drains: it announces so, closes its listening socket
0.5 s later and lets its streams go on. All programs are real processes.
Usage: draining_stream_test.py BUILD_DIR"""

import copy
import os
import signal
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from router_fleet import CONFIGURATION, check, run_cases  # noqa: E402
from stream_fleet import ROUTES, StreamFleet, log_of, request_line  # noqa: E402
from tunnel_stream_test import TunnelFleet  # noqa: E402

# The time that control may take to acknowledge that the engine drains.
DEADLINE_MS = 18000

DRAIN_CONFIGURATION = copy.deepcopy(CONFIGURATION)
for configured_route in DRAIN_CONFIGURATION["routes"]:
    configured_route["timeoutMs"] = DEADLINE_MS


def make_fleet(build):
    return StreamFleet(build, engines=1, configuration=DRAIN_CONFIGURATION)


def start_stream(fleet, how, route="report"):
    stream = fleet.start_stream(f"/{route}/unframed/{how}/", **{"X-Deadline-Ms": str(DEADLINE_MS)})
    stream.wait_for_events(2)
    return stream


def check_whole(fleet, streams):
    cut = [f"{stream.outcome()}, {log_of(fleet, stream)}"
           for stream in streams if not stream.wait().is_whole()]
    check(not cut, f"{len(cut)} of {len(streams)} are not whole, the first: {cut and cut[0]}")


def last_stream_of_draining_engine_stays_whole(build):
    """Guards against a whole body that is broken off because nothing but its ended connection led to
    the engine."""
    for route in ROUTES:
        with make_fleet(build) as fleet:
            stream = start_stream(fleet, "drained", route)
            fleet.engines[0].drain()
            check_whole(fleet, [stream])


def streams_of_draining_engine_ending_together_stay_whole(build):
    """Guards against bodies that confirm each other's ends only if one outlasts the other."""
    with make_fleet(build) as fleet:
        streams = [start_stream(fleet, "drained") for _ in range(6)]
        fleet.engines[0].drain()
        check_whole(fleet, streams)


def streams_of_draining_engine_ending_in_turn_stay_whole(build):
    """Guards against the last of several bodies being broken off."""
    with make_fleet(build) as fleet:
        streams = [start_stream(fleet, how) for how in ("drained", "drainedlate", "drained")]
        fleet.engines[0].drain()
        check_whole(fleet, streams)


def stream_of_killed_draining_engine_never_looks_complete(build):
    """Guards against a connection that proves the life of a process that has ended."""
    for count in (1, 4):
        with make_fleet(build) as fleet:
            streams = [start_stream(fleet, "between") for _ in range(count)]
            fleet.engines[0].drain()
            fleet.engines[0].end(signal.SIGKILL)
            complete = [stream.outcome() for stream in streams if stream.wait().looks_complete()]
            check(not complete, f"{complete}")


def last_tunnelled_stream_of_draining_engine_stays_whole(build):
    """Guards against the same where the connections lead through another entry process."""
    fleet = TunnelFleet(build)
    fleet.configuration = DRAIN_CONFIGURATION
    with fleet:
        stream = start_stream(fleet, "drained")
        fleet.engine(stream.engine_name()).drain()
        check_whole(fleet, [stream])
        line = request_line(fleet.user, stream.request_id)
        check(line["tunnel"] != "-", f"no tunnel was used: {line}")


if __name__ == "__main__":
    sys.exit(run_cases([
        last_stream_of_draining_engine_stays_whole,
        streams_of_draining_engine_ending_together_stay_whole,
        streams_of_draining_engine_ending_in_turn_stay_whole,
        stream_of_killed_draining_engine_never_looks_complete,
        last_tunnelled_stream_of_draining_engine_stays_whole,
    ], sys.argv[1]))
