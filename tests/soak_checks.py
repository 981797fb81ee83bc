"""The rules of the soak of streams."""

import collections
import re

from soak_calls import KEEP_TIME_S
from soak_faults import LEAVE, RESTART
from soak_runs import longest_overlap_s, runs_of_requests
from stream_endpoint import EVENTS

# The end of a stream reaches its caller and the log up to this time after the process wrote it.
SIGNAL_MARGIN_S = 0.15
PRINTED_FAULTS_S = 2
# Two engines work on a stream for no longer than this.
MAX_OVERLAP_S = 0.4
# An entry process that got SIGTERM ends its streams and exits 0.5 s before grace_s of its settings.
EXIT_DELAY_S = 4.5
EXIT_MARGIN_S = 0.1
# The router ends a stream up to this time before its deadline.
DEADLINE_MARGIN_S = 0.3
# A stream that can end this time before its deadline has to.
SPARE_S = 1.5
ENGINE_FAULTS = ("SIGKILL", "SIGTERM", "SIGSTOP,SIGKILL", "SIGSTOP,SIGCONT")
ENTRY_FAULTS = ("SIGKILL", "SIGSTOP,SIGCONT")
BODY_ENDS = {"chunked": "last_chunk", "unframed": "connection_end", "length": "length"}
LOG_REQUEST = re.compile(r" request=(\S+)")


class Checker:
    """Compares what callers received with the logs and the faults."""

    def __init__(self, fleet, plan):
        self.fleet = fleet
        self.plan = plan
        self.failures = []
        self.tallies = collections.Counter()
        # Streams whose engines were sound, and those that were broken off, by what their engines did.
        self.sound = collections.Counter()
        self.sound_broken_off = collections.Counter()
        # The longest time in which two undisturbed engines worked on a stream.
        self.longest_overlap_s = 0
        self.runs = {}
        self.lines = {}

    def read_logs(self):
        self.runs = runs_of_requests(self.fleet.read_records())
        self.lines = {}
        for entry in self.fleet.entries:
            for line in entry.log().splitlines():
                match = LOG_REQUEST.search(line)
                if match:
                    self.lines.setdefault(match.group(1), []).append((entry.name, line))

    def request_lines(self, stream):
        """Returns the fields of the lines that report the end of a stream."""
        return [dict(field.split("=", 1) for field in line.split() if "=" in field)
                for _, line in self.lines.get(stream.request_id, []) if " event=request " in line]

    def check(self, stream):
        self.tallies[stream.outcome()] += 1
        broken = ["a stream did not end"] if stream.timed_out else []
        if stream.is_answered():
            broken += self.check_received(stream)
            broken += self.check_sound(stream)
            broken += self.check_overlap(stream)
            broken += self.check_log(stream)
        elif not stream.received:
            broken += self.check_unanswered(stream)
        self.failures += [(stream, text) for text in broken]

    def check_received(self, stream):
        """Rule 1: what looks complete is complete."""
        ids = stream.events()
        engines = {name for _, name in stream.event_sources()}
        if ids != list(range(1, len(ids) + 1)):
            yield "1: events are missing, repeated or out of order"
        if stream.route != "chat" and len(engines) > 1:
            yield "1: a stream of a route that is not resumable has events of several engines"
        if not stream.looks_complete():
            return
        if stream.ends_by_itself() or stream.route != "chat":
            if len(ids) != EVENTS:
                yield "1: a stream looks complete and has not all events"
            if not stream.ends_by_itself():
                yield "1: a stream looks complete that its engine never ended"
        elif len(ids) < EVENTS or not self.was_continued(stream):
            yield "1: a stream looks complete that no engine ended"
        elif stream.how != "deadline" and len(ids) != EVENTS:
            yield "1: a stream looks complete and has more than all events"

    def was_continued(self, stream):
        return any(" event=stream_continued " in line
                   for _, line in self.lines.get(stream.request_id, []))

    def check_sound(self, stream):
        """Rule 2: a stream whose engines are sound ends whole, also if one of them is silent for some time or
        leaves, or if others refuse the stream. A change of the configuration and SIGHUP break off no stream,
        nor does SIGTERM before the entry process exits."""
        if not stream.ends_by_itself() or self.is_disturbed(stream) or self.is_out_of_time(stream):
            return
        kinds = self.kinds_of(stream)
        self.sound.update(kinds)
        if not stream.looks_complete():
            self.sound_broken_off.update(kinds)
            # Rules 2 and 4 conflict here: KNOWN-RED.txt, stream_move_open_test. It is counted only.
            if "silent_second" not in kinds:
                yield "2: a sound stream is broken off"

    def is_disturbed(self, stream):
        """Returns whether a process that a stream used got a signal that may break it off."""
        period = (stream.started_at, stream.ended_at + SIGNAL_MARGIN_S)
        entry = stream.entry.name
        if self.plan.during(entry, *period, ENTRY_FAULTS):
            return True
        if any(stream.ended_at > fault.began_at + EXIT_DELAY_S - EXIT_MARGIN_S
               for fault in self.plan.during(entry, *period, ("SIGTERM",))):
            return True
        return any(self.plan.during(engine, *period, ENGINE_FAULTS)
                   for engine in self.engines_of(stream))

    def is_out_of_time(self, stream):
        """Returns whether a stream may have reached its deadline or the time-out of its route."""
        limit_s = min(stream.deadline_s(),
                      self.plan.route_timeout_s(stream.route, stream.started_at))
        began_at = min(run.began_at for run in self.runs[stream.request_id])
        needed_s = began_at - stream.started_at + stream.expected_s() + SPARE_S
        lasted_s = stream.ended_at - stream.started_at
        return needed_s > limit_s and lasted_s > limit_s - DEADLINE_MARGIN_S

    def kinds_of(self, stream):
        kinds = [stream.how, "all"] + (["slow"] if stream.is_slow else [])
        runs = self.runs[stream.request_id]
        if len(runs) > 1:
            kinds.append("moved")
        if any(self.plan.during(run.engine, run.began_at, run.ended_at, (LEAVE,)) for run in runs):
            kinds.append("leave")
        if self.was_sent_to_silent_engine(stream):
            kinds.append("silent_second")
        return kinds

    def was_sent_to_silent_engine(self, stream):
        """Returns whether an engine that was to go on with a stream sent nothing."""
        runs = self.runs[stream.request_id]
        if "/mute/" in stream.path and any(run.answered_at is None and not run.was_refused for run in runs):
            return True
        period = (stream.started_at, stream.ended_at + SIGNAL_MARGIN_S)
        sent_to = {name for _, line in self.lines.get(stream.request_id, [])
                   if " outcome=not_connected " not in line
                   for name in re.findall(r" endpoint=(\w+)", line)}
        return any(self.plan.during(name, *period, ("SIGSTOP,SIGKILL", "SIGSTOP,SIGCONT"))
                   for name in sent_to - self.engines_of(stream))

    def engines_of(self, stream):
        """Returns the names of all engines that answered a stream. One that refused or failed it doesn't matter
        to the engine that it was to replace."""
        names = {name for _, name in stream.event_sources()}
        return names | {run.engine for run in self.runs.get(stream.request_id, [])
                        if run.answered_at is not None}

    def check_overlap(self, stream):
        """Rule 4: two engines work on a stream only for the time of its handover."""
        overlap_s, engines = longest_overlap_s(self.runs.get(stream.request_id, []))
        period = (stream.started_at, stream.ended_at + SIGNAL_MARGIN_S)
        if any(self.plan.during(name, *period, ENGINE_FAULTS + ENTRY_FAULTS)
               for name in engines | {stream.entry.name}):
            return
        self.longest_overlap_s = max(self.longest_overlap_s, overlap_s)
        if overlap_s > MAX_OVERLAP_S:
            yield f"4: {' and '.join(sorted(engines))} worked on a stream at once for {overlap_s:.3f} s"

    def was_killed(self, stream):
        return bool(self.plan.during(stream.entry.name, stream.started_at,
                                     stream.ended_at + SIGNAL_MARGIN_S, ("SIGKILL",)))

    def check_log(self, stream):
        """Rule 3: an answered stream has one request line that says what its caller saw."""
        lines = self.request_lines(stream)
        if not lines and self.was_killed(stream):
            return
        if len(lines) != 1:
            yield f"3: a stream has {len(lines)} request lines"
            return
        line = lines[0]
        looks_complete = stream.looks_complete()
        received = len(stream.events())
        if line["outcome"] not in ("answered", "cut"):
            yield f"3: an answered stream has the outcome {line['outcome']}"
        if line["status"] != str(stream.status()):
            yield "3: the status is not the one that the caller got"
        if looks_complete and line["outcome"] != "answered":
            yield "3: a stream looks complete and was not answered"
        if line["outcome"] == "answered" and not self.was_killed(stream):
            if not looks_complete:
                yield "3: a stream was answered and looks broken off"
            if int(line["events"]) != received:
                yield f"3: a stream has {received} events and the line another number"
        if int(line["events"]) < received:
            yield f"3: a stream has {received} events and the line fewer"
        is_between_sends = line["body_end"] == "-" and line["outcome"] == "cut"
        # The field is that of the last answer, which may have refused to go on with the stream.
        is_refused = line["outcome"] == "cut" and self.was_refused_last(stream)
        if line["body_end"] != BODY_ENDS[stream.framing] and not is_between_sends and not is_refused:
            yield f"3: the end of a body of framing {stream.framing} is {line['body_end']}"

    def was_refused_last(self, stream):
        runs = self.runs.get(stream.request_id, [])
        return bool(runs) and any(record["step"] == "refused" for record in runs[-1].steps)

    def check_unanswered(self, stream):
        """An entry process that goes on running answers all requests."""
        # The process may have ended after the last use of a kept connection.
        began_at = stream.started_at - (KEEP_TIME_S if stream.is_kept_connection else 0)
        ends = ("SIGKILL", "SIGTERM", RESTART)
        if self.plan.during(stream.entry.name, began_at, stream.ended_at, ends):
            return
        # After a pause the process may find the answer and the deadline at once. The reset of the
        # stream then overtakes its head.
        is_cut = any(line["outcome"] == "cut" for line in self.request_lines(stream))
        paused = self.plan.during(stream.entry.name, stream.started_at, stream.ended_at,
                                  ("SIGSTOP,SIGCONT",))
        if not is_cut or not paused or not stream.was_reset:
            yield "an entry process that went on running did not answer"

    def report(self, origin):
        """Prints the broken rules, with the log lines of each request and the faults around it."""
        for stream, text in self.failures:
            ended = "reset" if stream.was_reset else "timed out" if stream.timed_out else "closed"
            connection = "kept" if stream.is_kept_connection else "new"
            print(f"BROKEN {text}\n  {stream.request_id} {stream.path} HTTP/{stream.version} at "
                  f"{stream.entry.name}, {connection} connection, "
                  f"{stream.started_at - origin:.3f} to {stream.ended_at - origin:.3f} s, "
                  f"{stream.outcome()}, {ended}, events {stream.event_sources()}")
            for run in self.runs.get(stream.request_id, []):
                print(f"  {run.describe(origin)}")
            for name, line in self.lines.get(stream.request_id, []):
                print(f"  {name}: {line}")
            for fault in self.plan.faults:
                if fault.changes_state(stream.started_at - PRINTED_FAULTS_S,
                                       stream.ended_at + PRINTED_FAULTS_S):
                    print(f"  {fault.describe(origin)}")
