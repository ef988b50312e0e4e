"""Summary of the requests in log lines, by time window and availability zone."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import UTC, datetime
from typing import Any

from flamingofront.logview import parse_line

__all__ = ["RequestSummary", "classify_request", "format_summary", "summarize_requests"]

MIN_FAILED_STATUS = 400
# A request that was first sent after this fraction of its latency objective waited at its process.
LATE_SEND_FRACTION = 0.5


@dataclass(frozen=True)
class RequestSummary:
    """Requests that ended in one time window at the processes of one zone.

    Parameters
    ----------
    start : float
        Start of the window, seconds since the epoch.
    zone : str
        Zone of the processes.
    outcomes : Counter of str
        Requests by outcome, as `classify_request` returns it.
    """

    start: float
    zone: str
    outcomes: Counter[str] = field(default_factory=Counter)


def classify_request(data: dict[str, Any]) -> str:
    """Return the outcome of a request from its last log line.

    Parameters
    ----------
    data : dict
        Fields of a line ``request ended`` or ``request rejected``.

    Returns
    -------
    str
        ``in time``; ``late, waited`` if it was sent late; ``late, sent again`` if an earlier
        attempt failed; ``late at endpoint``; or the error kind, with ``, not sent`` if no attempt
        was sent.
    """
    if data["event"] == "request rejected":
        return f"{data.get('kind', '')}, not sent"
    sent_ms = data.get("sent_ms")
    status = data.get("status", 0)
    if data.get("failure") or not 0 < status < MIN_FAILED_STATUS:
        name = data.get("failure") or ("cut off" if not status else f"status {status}")
        return name if sent_ms is not None else f"{name}, not sent"
    objective, first_ms = data.get("objective_ms", 0), data.get("first_ms")
    if first_ms is None or first_ms <= objective:
        return "in time"
    if sent_ms is not None and sent_ms > LATE_SEND_FRACTION * objective:
        return "late, waited"
    return "late, sent again" if len(data.get("endpoints", ())) > 1 else "late at endpoint"


def summarize_requests(lines: Iterable[str], seconds: float) -> Iterator[RequestSummary]:
    """Yield the summaries of all requests in log lines, by time and zone.

    Parameters
    ----------
    seconds : float
        Length of a time window.
    """
    outcomes: dict[tuple[float, str], Counter[str]] = defaultdict(Counter)
    for data in map(parse_line, lines):
        if data.get("event") in ("request ended", "request rejected"):
            ended_at = datetime.fromisoformat(data["time"]).timestamp()
            start = ended_at // seconds * seconds
            outcomes[start, str(data.get("zone", ""))][classify_request(data)] += 1
    for (start, zone), counts in sorted(outcomes.items()):
        yield RequestSummary(start, zone, counts)


def format_summary(summary: RequestSummary) -> str:
    """Return a summary as one line of text, the most frequent outcomes first."""
    start = datetime.fromtimestamp(summary.start, UTC).isoformat(timespec="milliseconds")
    parts = ", ".join(f"{name} {count}" for name, count in summary.outcomes.most_common())
    return f"{start[:-6]}Z {summary.zone or '-'} {parts}"
