#!/usr/bin/env python3
"""Tests failures of the daemons, with real processes. Usage: failover_test.py BUILD_DIR"""

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
from fleet import Fleet, check, document, make_idempotency_key, run_cases, wait_until  # noqa: E402


def check_budget_balances(fleet):
    """Checks that every budget balances (bought = settled + held + free) and no amount is negative."""
    for name, row in fleet.spend().items():
        check(row["bought"] == row["settled"] + row["held"] + row["free"], f"{name}: {row}")
        check(min(row["settled"], row["held"], row["free"]) >= 0, f"{name}: {row}")


def start_fleet(build, **options):
    fleet = Fleet(build, **options)
    fleet.start()
    fleet.add_model("engine1", "a", "--rate", "100")
    fleet.add_model("engine2", "b", "--rate", "100")
    fleet.add_plain("dispatch1", "c")
    check(fleet.apply(document()).status == 200, "the document is accepted")
    fleet.wait_ready(endpoints=3)
    return fleet


def entry_killed_during_stream_retry_on_other_entry_is_billed_once(build):
    """Guards against a double charge, or a lost budget, when an entry is killed during a stream."""
    with start_fleet(build) as fleet:
        killed_entry, other_entry = fleet.daemons[2], fleet.daemons[0]
        key = make_idempotency_key("retry")

        def broken_stream():
            try:
                killed_entry.chat("long talk", idempotency_key=key, max_tokens=400)
            except (OSError, http.client.HTTPException):
                pass

        thread = threading.Thread(target=broken_stream)
        thread.start()
        time.sleep(0.4)
        killed_entry.kill()
        thread.join()
        response = other_entry.chat("long talk", idempotency_key=key, max_tokens=400)
        check(response.status == 200 and "[DONE]" in response.body, f"retry: {response.status}")
        usage = json.loads(fleets.event_data(response.body)[-2])["usage"]
        billed_tokens = usage["prompt_tokens"] + usage["completion_tokens"]
        wait_until(lambda: fleet.settled_tokens("w:hive/north", other_entry) == billed_tokens,
                   description=f"a charge of {billed_tokens} tokens")
        killed_entry.start()
        wait_until(lambda: fleet.spend(other_entry)["w:hive/north"]["stranded"] == 0, timeout_s=20,
                   description="the grant of the killed incarnation to be returned")
        check(fleet.settled_tokens("w:hive/north", other_entry) == billed_tokens,
              "still charged once after the restart")
        check_budget_balances(fleet)


def leader_killed_during_top_up_change_is_applied_once(build):
    """Guards against a top-up that is lost or applied twice when the leader is killed."""
    with start_fleet(build) as fleet:
        leader = fleet.wait_for_leader()
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
        # The operator resends the same change, as after any lost response.
        response = wait_until(lambda: (lambda candidate: candidate if candidate.status == 200 else None)(
            fleet.apply(document(2_000_000), 1, "top-up", others[1])), description="the top-up")
        check(response.json()["version"] == 2, f"{response.body} after {outcome}")
        leader.start()
        fleet.wait_ready(revision=2, endpoints=1)
        check(fleet.spend()["w:hive/north"]["bought"] == 2_000_000, "the top-up is applied once")
        check_budget_balances(fleet)


def leader_paused_longer_than_election_neither_accepts_nor_reverts_changes(build):
    """Guards against an isolated leader that accepts changes or reports outdated state as current."""
    with start_fleet(build) as fleet:
        paused_leader = fleet.wait_for_leader()
        others = [daemon for daemon in fleet.daemons if daemon is not paused_leader]
        os.kill(paused_leader.process.pid, signal.SIGSTOP)
        response = wait_until(lambda: (lambda candidate: candidate if candidate.status == 200 else None)(
            fleet.apply(document(3_000_000), 1, "while-stopped", others[0])), description="a new leader")
        check(response.json()["version"] == 2, response.body)
        os.kill(paused_leader.process.pid, signal.SIGCONT)
        stale_change = fleet.apply(document(9_000_000), 1, "stale-base", paused_leader)
        check(stale_change.status == 409 and stale_change.error_kind() == "version_conflict",
              f"{stale_change.status} {stale_change.body}")
        for _ in range(20):
            bought = fleet.spend(paused_leader)["w:hive/north"]["bought"]
            check(bought == 3_000_000, f"the paused process reports {bought}")
        fleet.wait_ready(revision=2, endpoints=1)
        check_budget_balances(fleet)


def all_restarted_after_500_changes_keep_the_last_document(build):
    """Guards against documents that are lost or reverted when all daemons restart."""
    with Fleet(build) as fleet:
        fleet.start()
        connection = http.client.HTTPConnection("127.0.0.1", fleet.daemons[0].admin_port, timeout=15)
        for version in range(500):
            connection.request("POST", f"/v1/documents/hive?base={version}&change=c{version}",
                               document(1_000_000 + version),
                               {"Authorization": f"Bearer {fleets.OPERATOR_KEY}"})
            response = connection.getresponse()
            body = response.read()
            check(response.status == 200, f"change {version}: {response.status} {body}")
        for daemon in fleet.daemons:
            daemon.kill()
        start_time = time.monotonic()
        for daemon in fleet.daemons:
            daemon.start()
        fleet.wait_for_leader()
        fleet.wait_ready(revision=500, endpoints=0)
        print(f"recovery after 500 changes: {1000 * (time.monotonic() - start_time):.0f} ms")
        shown_document = fleet.daemons[1].admin("GET", "/v1/documents/hive").json()
        check(shown_document["version"] == 500, f"version {shown_document['version']}")
        check(fleet.spend()["w:hive/north"]["bought"] == 1_000_499, "the last amount is in force")


def control_replaced_and_another_killed_loses_no_change(build):
    """Guards against a replacement that counts towards the majority before it has caught up."""
    with start_fleet(build) as fleet:
        replaced = fleet.daemons[2]
        replaced.kill()
        fleets.shutil.rmtree(replaced.folder)
        others = fleet.daemons[:2]
        fleet.wait_for_leader()
        for operation in ("remove", "add"):
            response = wait_until(
                lambda operation=operation: (
                    lambda candidate: candidate if candidate.status == 200 else None)(
                        others[0].admin("POST", f"/v1/members?{operation}={replaced.id}")),
                description=operation)
            check(response.status == 200, response.body)
            if operation == "remove":
                wait_until(lambda: replaced.id not in members(others[0]), description="the removal")
        replaced.start()
        wait_until(lambda: members(others[0]).get(replaced.id) is True, timeout_s=25,
                   description="the replacement to be a voter")
        check(fleet.apply(document(4_000_000), 1, "after-repair").status == 200, "a change is accepted")
        leader = fleet.wait_for_leader()
        killed = leader if leader is not replaced else others[1]
        killed.kill()
        survivor = next(d for d in fleet.daemons if d.process is not None and d is not replaced)
        response = wait_until(lambda: (lambda candidate: candidate if candidate.status == 200 else None)(
            fleet.apply(document(5_000_000), 2, "after-loss", survivor)), description="a second change")
        check(response.json()["version"] == 3, response.body)
        check(fleet.spend(survivor)["w:hive/north"]["bought"] == 5_000_000, "no change is lost")


def members(daemon):
    rows = daemon.admin("GET", "/v1/members").json()["members"]
    return {row["process"]: row["voter"] for row in rows}


def minority_refuses_bookings_but_serves_lookups_and_chats(build):
    """Guards against bookings without a majority, and against lookups that require one."""
    with start_fleet(build) as fleet:
        minority = fleet.daemons[2]
        check(minority.chat("warm the grants").status == 200, "a chat before the loss of the majority")
        fleet.daemons[0].kill()
        fleet.daemons[1].kill()
        booking = minority.call_service("/bookings", "POST", "noon",
                                        idempotency_key=make_idempotency_key("cut"))
        check(booking.status == 503 and booking.error_kind() == "no_quorum",
              f"{booking.status} {booking.error_kind()}")
        check(booking.headers["x-figchute-ran"] == "no", "the refusal is marked as not run")
        check("bookings" not in json.dumps(fleet.standins[2].runs()), "the booking did not run")
        for _ in range(5):
            check(minority.call_service("/stock/veil").status == 200, "lookups are still served")
        chat = minority.chat("still there?", max_tokens=16)
        check(chat.status == 200 and "[DONE]" in chat.body, f"chat: {chat.status} {chat.body}")


def concurrent_changes_one_is_accepted_and_resend_returns_first_outcome(build):
    """Guards against two changes accepted for one base version, and a change applied twice."""
    with start_fleet(build) as fleet:
        responses = {}

        def apply(index):
            responses[index] = fleet.apply(document(2_000_000 + index), 1, f"race-{index}",
                                           fleet.daemons[index])

        threads = [threading.Thread(target=apply, args=(index,)) for index in range(3)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        accepted = [index for index, response in responses.items() if response.status == 200]
        conflicting = [response for response in responses.values() if response.status == 409]
        check(len(accepted) == 1 and len(conflicting) == 2,
              str({i: response.body for i, response in responses.items()}))
        resent = fleet.apply(document(2_000_000 + accepted[0]), 1, f"race-{accepted[0]}")
        check(resent.status == 200 and resent.json()["version"] == 2, resent.body)
        invalid = fleet.apply("[team]\nname = hive\ncolour = red\n", 2, "bad")
        check(invalid.status == 422 and "colour" in invalid.body, f"{invalid.status} {invalid.body}")


if __name__ == "__main__":
    run_cases([
        entry_killed_during_stream_retry_on_other_entry_is_billed_once,
        leader_killed_during_top_up_change_is_applied_once,
        leader_paused_longer_than_election_neither_accepts_nor_reverts_changes,
        all_restarted_after_500_changes_keep_the_last_document,
        control_replaced_and_another_killed_loses_no_change,
        minority_refuses_bookings_but_serves_lookups_and_chats,
        concurrent_changes_one_is_accepted_and_resend_returns_first_outcome,
    ], sys.argv)
