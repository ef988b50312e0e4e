"""Which requests of a play of silences ended without a whole answer, and what explains it."""

import json
import re
from collections import Counter, defaultdict
from collections.abc import Iterable
from http import HTTPStatus

from refusal_record import LogLines
from silence_callers import DEADLINE_SECONDS, StreamAttempt
from silence_faults import GRACE_SECONDS, PlannedWork, Silence
from silent_endpoint import Work

__all__ = ["SilenceRecord"]

MAX_LINES = 16
# A request whose last byte was sent earlier than this has been read.
UNREAD_SECONDS = 0.2
# Streams and calls end this much sooner than the deadline that their callers name.
DEADLINE_MARGIN_SECONDS = 0.1
# A request that was sent later after SIGTERM is owed an answer.
LATEST_AFTER_STOP_SECONDS = 3.0
LAST_PART = 1 / 6
# An endpoint may notice so much sooner than the caller that an attempt was given up.
LEFT_SECONDS = 0.2
# Requests that are cut so long after planned work lie beside it.
CHANGE_SECONDS = 3.0
RELOAD_SECONDS = 2.0
STOP_SECONDS = GRACE_SECONDS + 1.0
EVENT_ID = re.compile(rb"^id: (\d+)$", re.MULTILINE)
REASON = re.compile(r'"reason":"([^"]*)"')
ERROR = re.compile(r'"event":"request failed".*?"(?:error|kind|failure)":"([^"]*)"')


class SilenceRecord:
    """All requests of callers, what reached endpoints, and the planned work beside them."""

    def __init__(
        self,
        attempts: list[StreamAttempt],
        arrivals: Iterable[Work],
        work: PlannedWork,
        silences: list[Silence],
        logs: LogLines,
    ):
        self._attempts = attempts
        self._arrivals: dict[str, list[Work]] = defaultdict(list)
        for each in sorted(arrivals, key=lambda each: each.at):
            self._arrivals[each.attempt].append(each)
        self._work = work
        self._silences = silences
        self._logs = logs

    def lost(self) -> list[StreamAttempt]:
        """Return the requests that were read and got no whole answer, without those excused."""
        return [each for each in self._unanswered() if self._was_read(each)]

    def excused(self) -> Counter[str]:
        """Return how many requests without a whole answer are excused, by reason."""
        found = Counter(self._excuse(each) for each in self._attempts if self._is_cut(each))
        del found[""]
        return found

    def unread(self) -> list[StreamAttempt]:
        """Return the requests that crossed the end of their connection."""
        return [each for each in self._unanswered() if not self._was_read(each)]

    def ended_early(self) -> list[StreamAttempt]:
        """Return the requests that an entry process failed while an endpoint was at work."""
        return [
            each
            for each in self._attempts
            if each.answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
            and not self._is_late(each)
            and self._endpoints_at_work(each)
        ]

    def incomplete(self) -> list[StreamAttempt]:
        """Return the streams that look whole, but are not the events of one stream."""
        return [
            each
            for each in self._attempts
            if each.kind.has_parts
            and each.answer.status == HTTPStatus.OK
            and not _is_whole_stream(each)
        ]

    def _unanswered(self) -> list[StreamAttempt]:
        return [each for each in self._attempts if self._is_cut(each) and not self._excuse(each)]

    def _is_cut(self, attempt: StreamAttempt) -> bool:
        return not attempt.answer.status and not attempt.answer.is_unread

    def _was_read(self, attempt: StreamAttempt) -> bool:
        if any(not each.is_rejected for each in self._arrivals[attempt.name]):
            return True
        is_named = bool(self._logs.of_request(attempt.request_id))
        return is_named and attempt.ended_at - attempt.sent_at > UNREAD_SECONDS

    def _excuse(self, attempt: StreamAttempt) -> str:
        if self._is_late(attempt):
            return "deadline"
        for stopped_at in self._work.stops[attempt.front]:
            last_part = stopped_at + GRACE_SECONDS * (1 - LAST_PART)
            is_early = attempt.sent_at <= stopped_at + LATEST_AFTER_STOP_SECONDS
            is_at_end = last_part <= attempt.ended_at <= stopped_at + STOP_SECONDS
            arrivals = self._arrivals[attempt.name]
            if is_early and is_at_end and any(each.is_at_work(last_part) for each in arrivals):
                return "last sixth of the grace"
        return ""

    def _is_late(self, attempt: StreamAttempt) -> bool:
        seconds = attempt.ended_at - attempt.sent_at
        return attempt.has_left or seconds >= DEADLINE_SECONDS - DEADLINE_MARGIN_SECONDS

    def _endpoints_at_work(self, attempt: StreamAttempt) -> list[str]:
        at = attempt.ended_at - LEFT_SECONDS
        return [
            each.endpoint
            for each in self._arrivals[attempt.name]
            if each.is_at_work(at) and not each.is_whole
        ]

    def _beside(self, attempt: StreamAttempt) -> list[str]:
        """Return the planned work and the silences beside the end of a request."""
        first, last, work = attempt.sent_at, attempt.ended_at, self._work
        found = [
            f"stop of its process {last - at:.2f} s before"
            for at in work.stops[attempt.front]
            if at <= last <= at + STOP_SECONDS
        ]
        found += [
            f"reload {last - at:.2f} s before"
            for at in work.reloads[attempt.front]
            if at <= last and first <= at + RELOAD_SECONDS
        ]
        found += [
            f"change {kind} {last - at:.2f} s before"
            for at, kind in work.changes
            if at <= last <= at + CHANGE_SECONDS
        ]
        endpoints = {each.endpoint for each in self._arrivals[attempt.name]}
        found += [
            f"silence of {each.ended_at - each.began_at:.2f} s since {last - each.began_at:.2f} s"
            for each in self._silences
            if each.began_at <= last <= each.ended_at and endpoints & set(each.endpoints)
        ]
        return found

    def reasons(self, attempt: StreamAttempt) -> str:
        """Return the reasons of failed attempts and the error that the log lines name."""
        lines = self._logs.of_request(attempt.request_id)
        failed = [
            match[1]
            for line in lines
            if '"event":"attempt failed"' in line and (match := REASON.search(line))
        ]
        errors = [match[1] for line in lines if (match := ERROR.search(line))]
        return "; ".join((*failed, *errors)) or "no line"

    def explain(self, attempt: StreamAttempt) -> dict[str, object]:
        """Return what is known of one request."""
        return {
            "kind": attempt.kind.name,
            "front": attempt.front,
            "status": attempt.answer.status,
            "detail": attempt.answer.detail,
            "seconds": round(attempt.ended_at - attempt.sent_at, 3),
            "reasons": self.reasons(attempt),
            "beside": self._beside(attempt),
            "at_work": self._endpoints_at_work(attempt),
            "arrivals": [str(each) for each in self._arrivals[attempt.name]],
        }

    def print_case(self, attempt: StreamAttempt, title: str) -> None:
        """Print one case with the log lines that name the request."""
        print(f"{title}: id {attempt.request_id} attempt {attempt.name}")
        print("  " + json.dumps(self.explain(attempt)))
        for line in self._logs.of_request(attempt.request_id)[:MAX_LINES]:
            print("  " + line)

    def describe(self, attempts: list[StreamAttempt]) -> dict[str, object]:
        """Return kinds, causes, endpoints at work and planned work of some requests."""
        beside = (
            {text.split(" ", 1)[0] for text in self._beside(each)} - {"silence"}
            for each in attempts
        )
        return {
            "count": len(attempts),
            "kinds": dict(Counter(each.kind.name for each in attempts)),
            "causes": dict(Counter(map(self.reasons, attempts)).most_common()),
            "endpoint_at_work": sum(bool(self._endpoints_at_work(each)) for each in attempts),
            "beside": dict(Counter(" and ".join(sorted(each)) or "nothing" for each in beside)),
        }

    def counts(self) -> dict[str, object]:
        """Return figures of all requests."""
        failures = Counter(
            f"{each.answer.status} {each.answer.kind}"
            for each in self._attempts
            if each.answer.status > HTTPStatus.BAD_REQUEST
        )
        return {
            "requests": dict(Counter(each.kind.name for each in self._attempts)),
            "statuses": dict(Counter(_describe(each) for each in self._attempts)),
            "failures": dict(failures.most_common()),
            "excused": dict(self.excused()),
        }


def _describe(attempt: StreamAttempt) -> str:
    if attempt.answer.is_unread:
        return "not connected"
    if attempt.has_left:
        return "no end"
    return str(attempt.answer.status or "cut")


def _is_whole_stream(attempt: StreamAttempt) -> bool:
    numbers = [int(each) for each in EVENT_ID.findall(attempt.answer.body)]
    return numbers == list(range(1, attempt.events + 1))
