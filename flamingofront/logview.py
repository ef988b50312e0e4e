"""Select lines of JSON logs: the way of one request through the log files of several VMs."""

from collections.abc import Iterable, Iterator
from typing import Any

import orjson

__all__ = ["select_lines"]

# Fields that begin each printed line; the others follow as they stand in the log.
LEADING = ("time", "level", "vm", "event")


def select_lines(
    lines: Iterable[str], request: str = "", event: str = "", since: str = "", work: str = ""
) -> Iterator[str]:
    """Yield the chosen lines as text, in order of time.

    Parameters
    ----------
    request : str
        Id that the caller gave, or the one of the log; empty for all.
    event : str
        Name of the event; empty for all.
    since : str
        Time from which on lines are chosen, as in the log.
    work : str
        Digest of what is asked, the same for all repeats of a request; empty for all.

    Notes
    -----
    What is no JSON object, for example the cut last line of a killed process, is passed over.
    """
    parsed = (_parse(line) for line in lines)
    chosen = [
        data
        for data in parsed
        if data
        and (not request or _is_of(data, request))
        and (not work or _is_on(data, work))
        and (not event or data.get("event") == event)
        and str(data.get("time", "")) >= since
    ]
    chosen.sort(key=lambda data: str(data.get("time", "")))
    for data in chosen:
        yield _text(data)


def _is_on(data: dict[str, Any], work: str) -> bool:
    """Tell whether a line is on a piece of work, alone or among others."""
    told = data.get("work")
    return work in told if isinstance(told, list) else told == work


def _parse(line: str) -> dict[str, Any]:
    start = line.find("{")
    if start < 0:
        return {}
    try:
        data = orjson.loads(line[start:])
    except orjson.JSONDecodeError:
        return {}
    return data if isinstance(data, dict) else {}


def _is_of(data: dict[str, Any], request: str) -> bool:
    """Tell whether a line is of a request; the log adds a number to the caller's id."""
    found = str(data.get("request", ""))
    return found == request or found.partition("#")[0] == request


def _text(data: dict[str, Any]) -> str:
    leading = " ".join(str(data.get(name, "-")) for name in LEADING)
    rest = " ".join(f"{name}={value}" for name, value in data.items() if name not in LEADING)
    return f"{leading} {rest}".rstrip()
