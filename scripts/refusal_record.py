"""What callers and endpoints saw in a play of refusals, and what the logs tell of a case."""

import json
import statistics
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from datetime import datetime
from http import HTTPStatus
from pathlib import Path

from refusal_callers import Attempt
from refusing_endpoint import UNTRUE, Arrival

from flamingofront.tests.promises import (
    REFUSAL_STATUSES,
    AskedRequest,
    list_broken_refusals,
    list_repeated_runs,
)

__all__ = ["LogLines", "RefusalRecord"]

MAX_LINES = 14
MAX_LINE_LENGTH = 600
BURST_SECONDS = 0.3
PART_SECONDS = 6.0


class LogLines:
    """Log lines of the entry processes, by the request that they name."""

    def __init__(self, folder: Path):
        self._by_request: dict[str, list[tuple[float, str]]] = defaultdict(list)
        self._quarantined: list[tuple[float, str]] = []
        self.events: Counter[str] = Counter()
        for path in sorted(folder.glob("front-*.log")):
            for line in path.open(errors="replace"):
                self._add(path.stem, line.rstrip())

    def _add(self, front: str, line: str) -> None:
        try:
            fields = json.loads(line)
            event = fields["event"]
        except (ValueError, KeyError, TypeError):
            self.events["unreadable"] += bool(line)
            return
        if request := str(fields.get("request", "")).partition("#")[0]:
            text = f"{front} {line}"[:MAX_LINE_LENGTH]
            self._by_request[request].append((_parse_time(fields["time"]), text))
        if event in ("request quarantined", "prompt part quarantined"):
            source = str(fields.get("source", "own"))
            self.events[f"{event} by {source}"] += 1
            self._quarantined.append((_parse_time(fields["time"]), f"{event} by {source}"))
        elif event in ("fault", "request stopped by the quarantine", "attempt cancelled"):
            self.events[event] += 1

    def of_request(self, request_id: str) -> list[str]:
        """Return the lines that name a request, with the process that wrote them."""
        return [text for _, text in self._by_request.get(request_id, ())]

    def quarantines_beside(self, request_id: str) -> dict[str, int]:
        """Return the quarantines as a request ended, and those of parts before."""
        if request_id not in self._by_request:
            return {}
        at = max(when for when, _ in self._by_request[request_id])
        found: Counter[str] = Counter()
        for when, what in self._quarantined:
            seconds = PART_SECONDS if what.startswith("prompt") else BURST_SECONDS
            if at - seconds <= when <= at + BURST_SECONDS:
                found[what] += 1
        return dict(found)


class RefusalRecord:
    """All requests of callers and what reached endpoints.

    Notes
    -----
    Each attempt of a caller is judged by itself, by a header that entry processes pass on: the id
    of a request does not tell attempts apart if a caller repeats it.
    """

    def __init__(self, attempts: list[Attempt], arrivals: Iterable[Arrival]):
        self._attempts = {each.name: each for each in attempts}
        self._arrivals: dict[str, list[Arrival]] = defaultdict(list)
        for each in arrivals:
            self._arrivals[each.attempt].append(each)
        self._asked = [
            AskedRequest(each.name, each.kind.path, each.answer, each.kind.is_repeatable)
            for each in attempts
        ]

    def _runs(self) -> Iterator[tuple[str, str]]:
        for name, arrivals in self._arrivals.items():
            for each in arrivals:
                if not each.is_rejected:
                    yield name, each.endpoint

    def broken(self) -> list[Attempt]:
        """Return the requests that were refused though an endpoint had them."""
        return [
            self._attempts[each.request_id]
            for each in list_broken_refusals(self._asked, self._runs())
        ]

    def repeated(self) -> list[Attempt]:
        """Return the requests that may run once and ran more than once."""
        return [self._attempts[name] for name, _ in list_repeated_runs(self._asked, self._runs())]

    def mismatched(self) -> list[Attempt]:
        """Return the requests that got the answer to another one."""
        return [
            each
            for each in self._attempts.values()
            if each.answer.fields.get("x-flamingofront-request-id", each.request_id)
            != each.request_id
        ]

    def explain(self, attempt: Attempt, logs: LogLines) -> dict[str, object]:
        """Return what distinguishes the causes of a case."""
        lines = logs.of_request(attempt.request_id)
        arrivals = [each for each in self._arrivals[attempt.name] if not each.is_rejected]
        return {
            "cause": _guess_cause(attempt, arrivals, lines),
            "kind": attempt.kind.name,
            "status": attempt.answer.status,
            "error": attempt.answer.kind,
            "front": attempt.front,
            "sent_at": round(attempt.sent_at, 3),
            "answered_at": round(attempt.ended_at, 3),
            "arrivals": [str(each) for each in self._arrivals[attempt.name]],
            "named_by": sorted({line.split(" ", 1)[0] for line in lines}),
            "quarantines": logs.quarantines_beside(attempt.request_id),
        }

    def counts(self) -> dict[str, object]:
        """Return figures of all requests and of those that never reached an endpoint."""
        whole = [each for each in self._attempts.values() if not each.has_left]
        failures: Counter[str] = Counter()
        unwritten: Counter[str] = Counter()
        delays = []
        for each in whole:
            answer, has_arrived = each.answer, each.name in self._arrivals
            if answer.status in REFUSAL_STATUSES or answer.status >= HTTPStatus.BAD_GATEWAY:
                failures[f"{answer.status} {answer.kind}, {self._describe_arrival(each)}"] += 1
            if not has_arrived and not answer.is_unread and answer.status:
                has_retry = answer.retry_after is not None
                unwritten[f"{answer.status}{' with Retry-After' if has_retry else ''}"] += 1
                if answer.status == HTTPStatus.SERVICE_UNAVAILABLE:
                    delays.append(each.ended_at - each.sent_at)
        return {
            "requests": len(self._attempts),
            "once": sum(not each.kind.is_repeatable for each in self._attempts.values()),
            "arrivals": sum(map(len, self._arrivals.values())),
            "statuses": dict(Counter(each.answer.status for each in whole)),
            "no_answer": dict(Counter(each.answer.detail for each in whole if each.answer.detail)),
            "left": len(self._attempts) - len(whole),
            "failures": dict(failures.most_common()),
            "unwritten": dict(unwritten),
            "unwritten_503_median_s": round(statistics.median(delays), 4) if delays else None,
        }

    def _describe_arrival(self, attempt: Attempt) -> str:
        arrivals = self._arrivals.get(attempt.name, ())
        if not arrivals:
            return "not written"
        return "rejected" if all(each.is_rejected for each in arrivals) else "ran"

    def print_case(self, attempt: Attempt, logs: LogLines, title: str) -> None:
        """Print what is known of one case."""
        print(f"{title}: id {attempt.request_id} attempt {attempt.name}")
        print("  " + json.dumps(self.explain(attempt, logs)))
        print(f"  answer {attempt.answer.fields} {attempt.answer.body[:200]!r}")
        for line in logs.of_request(attempt.request_id)[:MAX_LINES]:
            print("  " + line)


def _parse_time(text: str) -> float:
    return datetime.fromisoformat(text).timestamp()


def _guess_cause(attempt: Attempt, arrivals: list[Arrival], lines: list[str]) -> str:
    """Return the cause that the log lines and the arrivals point to."""
    events = [line.partition('"event":"')[2].partition('"')[0] for line in lines]
    if "request stopped by the quarantine" in events:
        return "stopped by a quarantine"
    if any(each.how == UNTRUE for each in arrivals):
        return "untrue statement of an endpoint"
    is_passed = any(each.answered == attempt.answer.status for each in arrivals)
    if attempt.answer.kind == "endpoint" and is_passed:
        return "answer of an endpoint passed on"
    if "request ended" in events and "attempt started" in events[events.index("request ended") :]:
        return "sent after its end"
    if any('"attempt failed"' in line and '"ran":"no"' in line for line in lines):
        return "written, taken as not written"
    if "request ended" in events and "request failed" not in events:
        return "answer of another request"
    return "unknown"
