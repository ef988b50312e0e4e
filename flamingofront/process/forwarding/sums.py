"""Sums of the load of entry processes, for digests and for placement."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from flamingofront.decisions.demand import OfferedLoad
from flamingofront.process.forwarding.digests import Digest
from flamingofront.process.forwarding.reports import PeerReport

__all__ = [
    "PeerLoad",
    "sum_demand",
    "sum_work",
    "load_from_report",
    "load_from_digest",
    "sum_loads",
]


@dataclass(frozen=True)
class PeerLoad:
    """Load of one or more other entry processes.

    Parameters
    ----------
    age : float
        Age of the data in seconds.
    in_flight : mapping of str to int
        Attempts in flight, by endpoint.
    backlog : mapping of str to int
        Prompt tokens not yet read, by endpoint.
    demand : mapping of str to float
        Requests in flight, by service.
    work : mapping of str to (float, float)
        Fast and slow moving average of the load placed, in endpoint-seconds per second, by service.
    """

    age: float = 0.0
    in_flight: Mapping[str, int] = field(default_factory=dict)
    backlog: Mapping[str, int] = field(default_factory=dict)
    demand: Mapping[str, float] = field(default_factory=dict)
    work: Mapping[str, tuple[float, float]] = field(default_factory=dict)


def load_from_report(report: PeerReport, age: float) -> PeerLoad:
    """Return the load of the process that sent a report."""
    return PeerLoad(age, report.in_flight, report.backlog, report.demand or {}, report.work or {})


def load_from_digest(digest: Digest, local: PeerReport | None, age: float) -> PeerLoad:
    """Return the load of the processes of a digest, without the part of the local report."""
    in_flight = Counter({name: each[0] for name, each in digest.loads.items()})
    backlog = Counter({name: each[1] for name, each in digest.loads.items()})
    demand = Counter(digest.demand or {})
    work = {name: OfferedLoad(*each) for name, each in (digest.work or {}).items()}
    if local is not None:
        in_flight -= Counter(local.in_flight)
        backlog -= Counter(local.backlog)
        demand -= Counter(local.demand or {})
        for name, each in (local.work or {}).items():
            if name in work:
                work[name] = _subtract_work(work[name], OfferedLoad(*each))
    averages = {name: (each.fast, each.slow) for name, each in work.items()}
    return PeerLoad(age, in_flight, backlog, demand, averages)


def _subtract_work(work: OfferedLoad, other: OfferedLoad) -> OfferedLoad:
    return OfferedLoad(max(0.0, work.fast - other.fast), max(0.0, work.slow - other.slow))


def sum_loads(loads: Iterable[PeerLoad]) -> dict[str, tuple[int, int]]:
    """Return by endpoint the attempts in flight and unread prompt tokens, where nonzero."""
    in_flight: Counter[str] = Counter()
    backlog: Counter[str] = Counter()
    for each in loads:
        in_flight.update(each.in_flight)
        backlog.update(each.backlog)
    names = in_flight.keys() | backlog.keys()
    found = {name: (max(0, in_flight[name]), max(0, backlog[name])) for name in names}
    return {name: each for name, each in found.items() if any(each)}


def sum_demand(loads: Iterable[PeerLoad]) -> dict[str, float]:
    """Return the requests in flight, by service."""
    total: Counter[str] = Counter()
    for each in loads:
        total.update(each.demand)
    return dict(total)


def sum_work(loads: Iterable[PeerLoad]) -> dict[str, tuple[float, float]]:
    """Return the load placed, in endpoint-seconds per second to 0.001, by service."""
    total: dict[str, OfferedLoad] = {}
    for each in loads:
        for name, means in each.work.items():
            total[name] = total.get(name, OfferedLoad()) + OfferedLoad(*means)
    return {name: (round(each.fast, 3), round(each.slow, 3)) for name, each in total.items()}
