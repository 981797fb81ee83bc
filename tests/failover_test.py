#!/usr/bin/env python3
"""Failures of the system's own processes, with real daemons. Usage: failover_test.py BUILD_DIR"""

import http.client
import json
import os
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import fleet as fleets  # noqa: E402
from fleet import Fleet, check, document, run_cases, unix_key, wait_until  # noqa: E402


def check_books(fleet):
    """Every budget must balance: bought = settled + held + free, and nothing negative."""
    for name, row in fleet.spend().items():
        check(row["bought"] == row["settled"] + row["held"] + row["free"], f"{name}: {row}")
        check(min(row["settled"], row["held"], row["free"]) >= 0, f"{name}: {row}")


def started(build, **options):
    fleet = Fleet(build, **options)
    fleet.start()
    fleet.add_model("engine1", "a", "--rate", "100")
    fleet.add_model("engine2", "b", "--rate", "100")
    fleet.add_plain("dispatch1", "c")
    check(fleet.apply(document()).status == 200, "the document is applied")
    fleet.wait_ready(endpoints=3)
    return fleet


def entry_killed_midstream_retry_elsewhere_is_billed_once(build):
    """Guards against a second bill, or a lost budget, when a router dies with a stream open."""
    with started(build) as fleet:
        victim, other = fleet.daemons[2], fleet.daemons[0]
        key = unix_key("retry")

        def broken_stream():
            try:
                victim.chat("long talk", idempotency=key, max_tokens=400)
            except (OSError, http.client.HTTPException):
                pass

        thread = threading.Thread(target=broken_stream)
        thread.start()
        time.sleep(0.4)
        victim.kill()
        thread.join()
        answer = other.chat("long talk", idempotency=key, max_tokens=400)
        check(answer.status == 200 and "[DONE]" in answer.body, f"retry: {answer.status}")
        usage = json.loads(fleets.events_of(answer.body)[-2])["usage"]
        bill = usage["prompt_tokens"] + usage["completion_tokens"]
        wait_until(lambda: fleet.settled("w:hive/north", other) == bill, what=f"a bill of {bill}")
        victim.start()
        wait_until(lambda: fleet.spend(other)["w:hive/north"]["stranded"] == 0, limit=20,
                   what="the grant of the dead incarnation to be freed")
        check(fleet.settled("w:hive/north", other) == bill, "still one bill after the restart")
        check_books(fleet)


def leader_killed_during_top_up_change_is_applied_once(build):
    """Guards against a top-up that is lost or applied twice when the leader dies."""
    with started(build) as fleet:
        leader = fleet.leader()
        others = [daemon for daemon in fleet.daemons if daemon is not leader]
        outcome = []

        def top_up():
            try:
                outcome.append(fleet.apply(document(2_000_000), 1, "top-up", others[0]).status)
            except OSError:
                outcome.append(0)

        thread = threading.Thread(target=top_up)
        thread.start()
        leader.kill()
        thread.join()
        # The operator resends the same change, as after any lost answer.
        answer = wait_until(lambda: (lambda a: a if a.status == 200 else None)(
            fleet.apply(document(2_000_000), 1, "top-up", others[1])), what="the top-up")
        check(answer.json()["version"] == 2, f"{answer.body} after {outcome}")
        leader.start()
        fleet.wait_ready(revision=2, endpoints=1)
        check(fleet.spend()["w:hive/north"]["bought"] == 2_000_000, "the top-up counts once")
        check_books(fleet)


def leader_stopped_longer_than_election_neither_accepts_nor_reverts(build):
    """Guards against an isolated leader that accepts changes or serves old state as current."""
    with started(build) as fleet:
        old = fleet.leader()
        others = [daemon for daemon in fleet.daemons if daemon is not old]
        os.kill(old.process.pid, signal.SIGSTOP)
        answer = wait_until(lambda: (lambda a: a if a.status == 200 else None)(
            fleet.apply(document(3_000_000), 1, "while-stopped", others[0])), what="a new leader")
        check(answer.json()["version"] == 2, answer.body)
        os.kill(old.process.pid, signal.SIGCONT)
        late = fleet.apply(document(9_000_000), 1, "stale-base", old)
        check(late.status == 409 and late.error() == "version_conflict", f"{late.status} {late.body}")
        for _ in range(20):
            bought = fleet.spend(old)["w:hive/north"]["bought"]
            check(bought == 3_000_000, f"the stopped process reports {bought}")
        fleet.wait_ready(revision=2, endpoints=1)
        check_books(fleet)


def all_restarted_after_500_changes_keep_the_last_document(build):
    """Guards against documents that are lost or revert when everything restarts."""
    with Fleet(build) as fleet:
        fleet.start()
        connection = http.client.HTTPConnection("127.0.0.1", fleet.daemons[0].admin_port, timeout=15)
        for version in range(500):
            connection.request("POST", f"/v1/documents/hive?base={version}&change=c{version}",
                               document(1_000_000 + version),
                               {"Authorization": f"Bearer {fleets.OPERATOR_KEY}"})
            answer = connection.getresponse()
            body = answer.read()
            check(answer.status == 200, f"change {version}: {answer.status} {body}")
        for daemon in fleet.daemons:
            daemon.kill()
        begun = time.monotonic()
        for daemon in fleet.daemons:
            daemon.start()
        wait_until(lambda: fleet.leader(), what="a leader after the restart")
        fleet.wait_ready(revision=500, endpoints=0)
        print(f"recovery after 500 changes: {1000 * (time.monotonic() - begun):.0f} ms")
        shown = fleet.daemons[1].admin("GET", "/v1/documents/hive").json()
        check(shown["version"] == 500, f"version {shown['version']}")
        check(fleet.spend()["w:hive/north"]["bought"] == 1_000_499, "the last amount holds")


def control_replaced_then_another_lost_loses_nothing(build):
    """Guards against a replacement that counts towards the majority before it has caught up."""
    with started(build) as fleet:
        dead = fleet.daemons[2]
        dead.kill()
        fleets.shutil.rmtree(dead.folder)
        others = fleet.daemons[:2]
        wait_until(lambda: fleet.leader(), what="a leader of two")
        for operation in ("remove", "add"):
            answer = wait_until(lambda operation=operation: (lambda a: a if a.status == 200 else None)(
                others[0].admin("POST", f"/v1/members?{operation}={dead.id}")), what=operation)
            check(answer.status == 200, answer.body)
            if operation == "remove":
                wait_until(lambda: dead.id not in members(others[0]), what="the removal")
        dead.start()
        wait_until(lambda: members(others[0]).get(dead.id) is True, limit=25,
                   what="the replacement to be a voter")
        check(fleet.apply(document(4_000_000), 1, "after-repair").status == 200, "a change")
        victim = fleet.leader() if fleet.leader() is not dead else others[1]
        victim.kill()
        survivor = next(d for d in fleet.daemons if d.process is not None and d is not dead)
        answer = wait_until(lambda: (lambda a: a if a.status == 200 else None)(
            fleet.apply(document(5_000_000), 2, "after-loss", survivor)), what="a second change")
        check(answer.json()["version"] == 3, answer.body)
        check(fleet.spend(survivor)["w:hive/north"]["bought"] == 5_000_000, "nothing is lost")


def members(daemon):
    rows = daemon.admin("GET", "/v1/members").json()["members"]
    return {row["process"]: row["voter"] for row in rows}


def minority_refuses_bookings_but_answers_lookups_and_chat(build):
    """Guards against bookings without a majority, and against lookups that need one."""
    with started(build) as fleet:
        alone = fleet.daemons[2]
        check(alone.chat("warm the grants").status == 200, "a chat before the cut")
        fleet.daemons[0].kill()
        fleet.daemons[1].kill()
        booking = alone.plain("/bookings", "POST", "noon", idempotency=unix_key("cut"))
        check(booking.status == 503 and booking.error() == "no_quorum",
              f"{booking.status} {booking.error()}")
        check(booking.headers["x-figchute-ran"] == "no", "refused as not run")
        check("bookings" not in json.dumps(fleet.standins[2].runs()), "the booking did not run")
        for _ in range(5):
            check(alone.plain("/stock/veil").status == 200, "lookups go on")
        chat = alone.chat("still there?", max_tokens=16)
        check(chat.status == 200 and "[DONE]" in chat.body, f"chat: {chat.status} {chat.body}")


def racing_operators_one_wins_and_resend_gets_first_outcome(build):
    """Guards against two winners under one base version, and against a change applied twice."""
    with started(build) as fleet:
        answers = {}

        def apply(index):
            answers[index] = fleet.apply(document(2_000_000 + index), 1, f"race-{index}",
                                         fleet.daemons[index])

        threads = [threading.Thread(target=apply, args=(index,)) for index in range(3)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        winners = [index for index, answer in answers.items() if answer.status == 200]
        losers = [answer for answer in answers.values() if answer.status == 409]
        check(len(winners) == 1 and len(losers) == 2, str({i: a.body for i, a in answers.items()}))
        again = fleet.apply(document(2_000_000 + winners[0]), 1, f"race-{winners[0]}")
        check(again.status == 200 and again.json()["version"] == 2, again.body)
        bad = fleet.apply("[team]\nname = hive\ncolour = red\n", 2, "bad")
        check(bad.status == 422 and "colour" in bad.body, f"{bad.status} {bad.body}")


if __name__ == "__main__":
    run_cases([
        entry_killed_midstream_retry_elsewhere_is_billed_once,
        leader_killed_during_top_up_change_is_applied_once,
        leader_stopped_longer_than_election_neither_accepts_nor_reverts,
        all_restarted_after_500_changes_keep_the_last_document,
        control_replaced_then_another_lost_loses_nothing,
        minority_refuses_bookings_but_answers_lookups_and_chat,
        racing_operators_one_wins_and_resend_gets_first_outcome,
    ], sys.argv)
