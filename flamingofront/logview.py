"""Filter JSON log lines, for example to trace one request through the logs of several VMs."""

from collections.abc import Iterable, Iterator
from typing import Any

import orjson

__all__ = ["parse_line", "select_lines"]

# Fields printed first, by value only. All other fields follow as name=value in log order.
LEADING_FIELDS = ("time", "level", "vm", "event")


def select_lines(
    lines: Iterable[str], request: str = "", event: str = "", since: str = "", work: str = ""
) -> Iterator[str]:
    """Yield the log lines that match all filters, formatted as text and sorted by time.

    Parameters
    ----------
    request : str
        Request id, either the caller's or the numbered id in the log; empty for all.
    event : str
        Name of the event; empty for all.
    since : str
        Earliest time to include, in the time format of the log; empty for all.
    work : str
        Digest of the request content, equal for all repeats of a request; empty for all.

    Notes
    -----
    Lines that are not a JSON object are skipped, for example the truncated last line of a killed
    process.
    """
    parsed = (parse_line(line) for line in lines)
    selected = [
        data
        for data in parsed
        if data
        and (not request or _has_request(data, request))
        and (not work or _has_work(data, work))
        and (not event or data.get("event") == event)
        and str(data.get("time", "")) >= since
    ]
    selected.sort(key=lambda data: str(data.get("time", "")))
    for data in selected:
        yield _format_line(data)


def _has_work(data: dict[str, Any], work: str) -> bool:
    """Return True if the ``work`` field of a line is, or contains, this digest."""
    value = data.get("work")
    return work in value if isinstance(value, list) else value == work


def parse_line(line: str) -> dict[str, Any]:
    """Return the JSON object of a line, or an empty dict if it has none."""
    start = line.find("{")
    if start < 0:
        return {}
    try:
        data = orjson.loads(line[start:])
    except orjson.JSONDecodeError:
        return {}
    return data if isinstance(data, dict) else {}


def _has_request(data: dict[str, Any], request: str) -> bool:
    """Return True if a line belongs to a request; logged ids end in ``#`` and a number."""
    logged_id = str(data.get("request", ""))
    return logged_id == request or logged_id.partition("#")[0] == request


def _format_line(data: dict[str, Any]) -> str:
    leading = " ".join(str(data.get(name, "-")) for name in LEADING_FIELDS)
    rest = " ".join(f"{name}={value}" for name, value in data.items() if name not in LEADING_FIELDS)
    return f"{leading} {rest}".rstrip()
