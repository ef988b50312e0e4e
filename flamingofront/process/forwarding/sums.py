"""Sums over entry processes: what a relay tells, and what a process reckons with."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from flamingofront.decisions.demand import OfferedLoad
from flamingofront.process.forwarding.digests import Digest
from flamingofront.process.forwarding.reports import PeerReport

__all__ = ["OthersLoad", "add_demand", "add_work", "load_of", "load_without", "total_loads"]


@dataclass(frozen=True)
class OthersLoad:
    """What one or more other entry processes run.

    Parameters
    ----------
    age : float
        Seconds since it was so.
    in_flight : mapping of str to int
        Attempts that run, by endpoint.
    backlog : mapping of str to int
        Prompt tokens that wait to be read, by endpoint.
    demand : mapping of str to float
        Requests that run, by service.
    work : mapping of str to (float, float)
        Fast and slow mean of the work placed, in busy endpoints, by service.
    """

    age: float = 0.0
    in_flight: Mapping[str, int] = field(default_factory=dict)
    backlog: Mapping[str, int] = field(default_factory=dict)
    demand: Mapping[str, float] = field(default_factory=dict)
    work: Mapping[str, tuple[float, float]] = field(default_factory=dict)


def load_of(report: PeerReport, age: float) -> OthersLoad:
    """Return what one process runs."""
    return OthersLoad(age, report.in_flight, report.backlog, report.demand or {}, report.work or {})


def load_without(digest: Digest, own: PeerReport | None, age: float) -> OthersLoad:
    """Return what the processes of a digest run, apart from what this one had told of itself."""
    in_flight = Counter({name: each[0] for name, each in digest.loads.items()})
    backlog = Counter({name: each[1] for name, each in digest.loads.items()})
    demand = Counter(digest.demand or {})
    work = {name: OfferedLoad(*each) for name, each in (digest.work or {}).items()}
    if own is not None:
        in_flight -= Counter(own.in_flight)
        backlog -= Counter(own.backlog)
        demand -= Counter(own.demand or {})
        for name, each in (own.work or {}).items():
            if name in work:
                work[name] = _less(work[name], OfferedLoad(*each))
    told = {name: (each.fast, each.slow) for name, each in work.items()}
    return OthersLoad(age, in_flight, backlog, demand, told)


def _less(work: OfferedLoad, part: OfferedLoad) -> OfferedLoad:
    return OfferedLoad(max(0.0, work.fast - part.fast), max(0.0, work.slow - part.slow))


def total_loads(loads: Iterable[OthersLoad]) -> dict[str, tuple[int, int]]:
    """Return by endpoint the attempts that run and the prompt tokens that wait, where any do."""
    in_flight: Counter[str] = Counter()
    backlog: Counter[str] = Counter()
    for each in loads:
        in_flight.update(each.in_flight)
        backlog.update(each.backlog)
    names = in_flight.keys() | backlog.keys()
    found = {name: (max(0, in_flight[name]), max(0, backlog[name])) for name in names}
    return {name: each for name, each in found.items() if any(each)}


def add_demand(loads: Iterable[OthersLoad]) -> dict[str, float]:
    """Return the requests that run, by service."""
    total: Counter[str] = Counter()
    for each in loads:
        total.update(each.demand)
    return dict(total)


def add_work(loads: Iterable[OthersLoad]) -> dict[str, tuple[float, float]]:
    """Return the work that is placed, by service, rounded to a thousandth of an endpoint."""
    total: dict[str, OfferedLoad] = {}
    for each in loads:
        for name, means in each.work.items():
            total[name] = total.get(name, OfferedLoad()) + OfferedLoad(*means)
    return {name: (round(each.fast, 3), round(each.slow, 3)) for name, each in total.items()}
