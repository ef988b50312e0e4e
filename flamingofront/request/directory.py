"""What a process knows of the endpoints, as candidates for the choice.

Sources are merged here: membership facts, drains in the configuration, load reports, this process's
own attempts, ejections and prefix hints.
"""

import math
import random
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace

from flamingofront.process.membership import Fact, FactTable, Role, VmState
from flamingofront.request.choice import Candidate, report_weight
from flamingofront.request.prefixes import PrefixIndex
from flamingofront.request.retry import EndpointHealth
from flamingofront.version.model import Configuration, DrainKind, Service

__all__ = ["EndpointDirectory", "is_drained"]

SLOWNESS_GAIN = 0.2
MAX_SLOWNESS = 20.0
REPORT_SECONDS = 10.0
DEFAULT_RECLAIM_RATE = 0.05
UNREACHABLE_SECONDS = 1.0


def is_drained(fact: Fact, cfg: Configuration) -> bool:
    """Tell whether an operator has drained an endpoint, its side or its zone."""
    return (
        fact.vm_id in cfg.drained(DrainKind.ENDPOINT)
        or fact.vm_id in cfg.drained(DrainKind.VM)
        or fact.side in cfg.drained(DrainKind.SIDE)
        or fact.zone in cfg.drained(DrainKind.ZONE)
    )


@dataclass(frozen=True)
class _Report:
    load: float
    own_in_flight: int
    at: float


class EndpointDirectory:
    """Endpoints of all services, as this process sees them.

    Parameters
    ----------
    facts : FactTable
        Shared with the membership.
    """

    def __init__(self, facts: FactTable, rng: random.Random):
        self._facts = facts
        self.health = EndpointHealth(rng)
        self.prefixes = PrefixIndex()
        self.configuration = Configuration()
        self.own_share: Callable[[], float] = lambda: 1.0
        self._in_flight: Counter[str] = Counter()
        self._reports: dict[str, _Report] = {}
        self._token_seconds: dict[str, float] = {}
        self._unreachable: dict[str, float] = {}
        self._by_service: dict[str, tuple[Fact, ...]] = {}
        self._seen_changes = -1

    def _endpoints(self, service: str) -> tuple[Fact, ...]:
        """Return the endpoints of a service that are live, from an index kept with the facts."""
        if self._seen_changes != self._facts.changes:
            self._by_service = {}
            for fact in self._facts.select(Role.ENDPOINT):
                self._by_service[fact.service] = (*self._by_service.get(fact.service, ()), fact)
            self._seen_changes = self._facts.changes
        return self._by_service.get(service, ())

    def leaving(self, endpoint_id: str) -> bool:
        """Tell whether an endpoint gets no new work."""
        fact = self._facts.get(endpoint_id)
        if fact is None or fact.state is not VmState.LIVE:
            return True
        return is_drained(fact, self.configuration)

    def candidates(self, service: Service, hashes: tuple[str, ...], now: float) -> list[Candidate]:
        """Return the live endpoints of a service."""
        facts = self._endpoints(service.name)
        ids = tuple(fact.vm_id for fact in facts)
        ejected = self.health.ejected(ids, now)
        usual = self._usual_token_seconds(ids)
        weight = report_weight(sum(self._in_flight[each] for each in ids), len(ids))
        share = self.own_share()
        return [
            replace(
                self._candidate(fact, service, hashes, ejected, usual, now),
                own_share=share,
                report_weight=weight,
            )
            for fact in facts
        ]

    def _candidate(
        self,
        fact: Fact,
        service: Service,
        hashes: tuple[str, ...],
        ejected: frozenset[str],
        usual: float,
        now: float,
    ) -> Candidate:
        endpoint_id = fact.vm_id
        report = self._reports.get(endpoint_id)
        if report is not None and now - report.at > REPORT_SECONDS:
            report = None
        in_flight = self._in_flight[endpoint_id]
        return Candidate(
            endpoint_id=endpoint_id,
            zone=fact.zone,
            address=fact.address,
            side=fact.side,
            price=fact.price,
            slots=service.slots,
            own_in_flight=in_flight,
            reported_load=report.load if report else 0.0,
            own_at_report=report.own_in_flight if report else 0,
            cached_tokens=self.prefixes.cached_tokens(endpoint_id, hashes),
            reclaim_risk=DEFAULT_RECLAIM_RATE if fact.reclaimable else 0.0,
            slowness=self._slowness(endpoint_id, usual),
            leaving=is_drained(fact, self.configuration),
            ejected=endpoint_id in ejected,
            reachable=self._unreachable.get(endpoint_id, -math.inf) <= now,
        )

    def capacity(self, service: Service) -> int:
        """Return the slots of the endpoints that may get new work."""
        cfg = self.configuration
        return sum(
            service.slots for fact in self._endpoints(service.name) if not is_drained(fact, cfg)
        )

    def started(self, endpoint_id: str) -> None:
        """Note an attempt that runs on an endpoint."""
        self._in_flight[endpoint_id] += 1

    def ended(self, endpoint_id: str) -> None:
        """Note that an attempt is over."""
        self._in_flight[endpoint_id] -= 1
        if self._in_flight[endpoint_id] <= 0:
            del self._in_flight[endpoint_id]

    def in_flight(self, endpoint_id: str) -> int:
        """Return the attempts of this process on an endpoint."""
        return self._in_flight[endpoint_id]

    def reported(self, loads: Mapping[str, float], now: float) -> None:
        """Take load reports."""
        for endpoint_id, load in loads.items():
            self._reports[endpoint_id] = _Report(load, self._in_flight[endpoint_id], now)

    def observed(self, endpoint_id: str, token_seconds: float) -> None:
        """Take the time between tokens that an attempt saw."""
        known = self._token_seconds.get(endpoint_id, token_seconds)
        self._token_seconds[endpoint_id] = known + SLOWNESS_GAIN * (token_seconds - known)

    def connect_failed(self, endpoint_id: str, now: float) -> None:
        """Leave an endpoint out for a moment because it could not be connected to."""
        self._unreachable[endpoint_id] = now + UNREACHABLE_SECONDS

    def _usual_token_seconds(self, ids: Iterable[str]) -> float:
        known = sorted(self._token_seconds[each] for each in ids if each in self._token_seconds)
        return known[len(known) // 2] if known else 0.0

    def _slowness(self, endpoint_id: str, usual: float) -> float:
        observed = self._token_seconds.get(endpoint_id)
        if observed is None or usual <= 0:
            return 1.0
        return min(MAX_SLOWNESS, max(0.5, observed / usual))

    def forget(self, endpoint_id: str) -> None:
        """Drop what is known of an endpoint that is gone."""
        self.health.forget(endpoint_id)
        self.prefixes.forget(endpoint_id)
        for table in (self._reports, self._token_seconds, self._unreachable):
            table.pop(endpoint_id, None)
