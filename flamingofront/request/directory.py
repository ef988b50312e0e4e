"""What a process knows of the endpoints, as candidates for the choice.

Sources are merged here: membership facts, drains in the configuration, load reports, this process's
own attempts, ejections and prefix hints.
"""

import math
import random
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, replace

from flamingofront.decisions.choice import Candidate, report_weight
from flamingofront.decisions.retry import EndpointHealth
from flamingofront.decisions.rollout import VersionRule
from flamingofront.decisions.shares import RemotePrompts
from flamingofront.decisions.zone_reach import ZoneReachability
from flamingofront.process.membership import Fact, FactTable, Role, VmState
from flamingofront.process.rendezvous import rank
from flamingofront.request.prefixes import PrefixIndex
from flamingofront.version.model import Configuration, DrainKind, Service

__all__ = ["MAX_CANDIDATES", "EndpointDirectory", "SharedPrefix", "is_drained"]

SLOWNESS_GAIN = 0.2
MAX_SLOWNESS = 20.0
REPORT_SECONDS = 10.0
DEFAULT_RECLAIM_RATE = 0.05
# Endpoints that cannot be connected to are left out for a time that doubles up to the longest one.
UNREACHABLE_SECONDS = 1.0
LONGEST_UNREACHABLE_SECONDS = 4.0
MAX_CANDIDATES = 32
MAX_WARM = 4


def is_drained(fact: Fact, cfg: Configuration) -> bool:
    """Tell whether an operator has drained an endpoint, its side or its zone."""
    return (
        fact.vm_id in cfg.drained(DrainKind.ENDPOINT)
        or fact.vm_id in cfg.drained(DrainKind.VM)
        or fact.side in cfg.drained(DrainKind.SIDE)
        or fact.zone in cfg.drained(DrainKind.ZONE)
    )


@dataclass(frozen=True)
class SharedPrefix:
    """Leading part of a prompt that other requests have too."""

    key: str
    tokens: int


@dataclass(frozen=True)
class _Report:
    load: float
    local_in_flight: int
    at: float


class _ServiceEndpoints:
    """Live endpoints of one service, and which of them are drained."""

    def __init__(self, facts: Mapping[str, Fact], drained: frozenset[str]):
        self.facts = facts
        self.drained = drained
        self.ids = list(facts)


_NO_ENDPOINTS = _ServiceEndpoints({}, frozenset())


@dataclass(frozen=True)
class _View:
    """What is the same for all candidates of one choice.

    Parameters
    ----------
    home : str
        Endpoint at which all processes expect the shared part of the prompt.
    home_tokens : int
        Tokens of that shared part.
    """

    now: float
    drained: frozenset[str]
    ejected: frozenset[str]
    usual_seconds: float
    home: str
    home_tokens: int
    closed: frozenset[str]
    local_share: float
    report_weight: float


class EndpointDirectory:
    """Endpoints of all services, as this process sees them.

    Parameters
    ----------
    facts : FactTable
        Shared with the membership.
    zone : str
        Availability zone of this process.

    Attributes
    ----------
    sample_size : callable
        Returns how many endpoints of a service are looked at for one choice.
    first : callable
        Returns the endpoints that are looked at first, of those of a service with their zones;
        none if all are looked at alike.
    on_load : callable
        Gets each change of this process's load: endpoint, attempts and prompt tokens.
    before_choice : callable
        Called before loads are looked at, to bring those of other processes up to date.
    """

    def __init__(self, facts: FactTable, rng: random.Random, zone: str = ""):
        self._facts = facts
        self._zone = zone
        self.sample_size: Callable[[], int] = lambda: MAX_CANDIDATES
        self.first: Callable[[Mapping[str, str]], tuple[str, ...]] = lambda endpoints: ()
        self.refresh_loads: Callable[[], None] = lambda: None
        self.noted = RemotePrompts()
        self.health = EndpointHealth(rng)
        self.prefixes = PrefixIndex()
        self.configuration = Configuration()
        self.local_share: Callable[[], float] = lambda: 1.0
        self._in_flight: Counter[str] = Counter()
        self._reported_at: float | None = None
        self._backlog: Counter[str] = Counter()
        self.on_load: Callable[[str, int, int], None] = lambda endpoint_id, requests, tokens: None
        self._peer_backlog: dict[str, int] = {}
        self._reports: dict[str, _Report] = {}
        self._token_seconds: dict[str, float] = {}
        self._unreachable: dict[str, float] = {}
        self._connect_failures: Counter[str] = Counter()
        self._reached_at: dict[str, float] = {}
        self.zones = ZoneReachability()
        self._index: dict[str, _ServiceEndpoints] = {}
        self._basis = (-1, -1)

    def _endpoints(self, service: str) -> "_ServiceEndpoints":
        """Return the live endpoints of a service, from an index kept with facts and drains."""
        basis = (self._facts.changes, self.configuration.revision)
        if basis != self._basis:
            self._basis = basis
            self._index = self._build_index()
        return self._index.get(service, _NO_ENDPOINTS)

    def _build_index(self) -> "dict[str, _ServiceEndpoints]":
        by_service: dict[str, dict[str, Fact]] = {}
        for fact in self._facts.select(Role.ENDPOINT):
            by_service.setdefault(fact.service, {})[fact.vm_id] = fact
        cfg = self.configuration
        return {
            name: _ServiceEndpoints(
                facts, frozenset(each.vm_id for each in facts.values() if is_drained(each, cfg))
            )
            for name, facts in by_service.items()
        }

    def leaving(self, endpoint_id: str) -> bool:
        """Tell whether an endpoint gets no new work."""
        fact = self._facts.get(endpoint_id)
        if fact is None or fact.state is not VmState.LIVE:
            return True
        return is_drained(fact, self.configuration)

    def is_leaving(self, endpoint_id: str) -> bool:
        """Tell whether an endpoint is there and has announced that it leaves."""
        fact = self._facts.get(endpoint_id)
        return fact is not None and fact.state is VmState.LEAVING

    def candidates(
        self,
        service: Service,
        hashes: tuple[str, ...],
        now: float,
        rng: random.Random,
        shared: "SharedPrefix | None" = None,
        whole: bool = False,
        rule: VersionRule | None = None,
        closed: frozenset[str] = frozenset(),
    ) -> list[Candidate]:
        """Return live endpoints of a service to choose from.

        Parameters
        ----------
        shared : SharedPrefix, optional
            Part of the prompt that other requests have too. Processes do not tell one another what
            the caches hold; they all expect it at the same endpoint, by its hash.
        whole : bool
            Return all endpoints, also where there are many.
        rule : VersionRule, optional
            Which versions may be chosen, during a roll-out.
        closed : frozenset of str
            Endpoints that take nothing now by what they have said themselves.

        Notes
        -----
        Of many endpoints only a random part is looked at, with those that hold the prompt's prefix:
        the time of a choice then does not grow with the fleet, and processes that all have the same
        late word of the loads do not all pick the same endpoint.
        """
        self.refresh_loads()
        endpoints = self._endpoints(service.name)
        if rule is not None:
            endpoints = _ServiceEndpoints(rule.select(endpoints.facts), endpoints.drained)
        ejected = self.health.list_ejected(endpoints.facts, now)
        home = self._home(endpoints, shared)
        if whole or len(endpoints.facts) <= self.sample_size():
            facts = list(endpoints.facts.values())
        else:
            facts = self._sample(
                endpoints, ejected | closed, (home, *self._warmest(hashes)), now, rng
            )
        ids = [fact.vm_id for fact in facts]
        view = _View(
            now=now,
            drained=endpoints.drained,
            ejected=ejected,
            usual_seconds=self._usual_token_seconds(ids),
            home=home,
            home_tokens=shared.tokens if shared is not None else 0,
            closed=closed,
            local_share=self.local_share(),
            report_weight=report_weight(sum(self._in_flight[each] for each in ids), len(ids)),
        )
        return [self._candidate(fact, service, hashes, view) for fact in facts]

    @staticmethod
    def _home(endpoints: "_ServiceEndpoints", shared: "SharedPrefix | None") -> str:
        if shared is None:
            return ""
        staying = [each for each in endpoints.ids if each not in endpoints.drained]
        return rank(shared.key, staying)[0] if staying else ""

    def _warmest(self, hashes: tuple[str, ...]) -> list[str]:
        return sorted(self.prefixes.longest_prefix_holders(hashes))[:MAX_WARM]

    def _sample(
        self,
        endpoints: "_ServiceEndpoints",
        ejected: Collection[str],
        wanted: Iterable[str],
        now: float,
        rng: random.Random,
    ) -> list[Fact]:
        """Return some endpoints that can be used, and the wanted.

        Notes
        -----
        They are those that this process uses first, or else half of them of its own zone.
        """
        usable = [
            name
            for name, fact in endpoints.facts.items()
            if name not in endpoints.drained
            and name not in ejected
            and self._is_reachable(fact, now)
        ]
        if not usable:
            return list(endpoints.facts.values())
        size = self.sample_size()
        chosen = dict.fromkeys(self.first({name: endpoints.facts[name].zone for name in usable}))
        if not chosen:
            near = [each for each in usable if endpoints.facts[each].zone == self._zone]
            chosen = dict.fromkeys(rng.sample(near, min(size // 2, len(near))))
        chosen.update(dict.fromkeys(rng.sample(usable, min(size - len(chosen), len(usable)))))
        chosen.update(dict.fromkeys(each for each in wanted if each in endpoints.facts))
        return [endpoints.facts[each] for each in chosen]

    def _candidate(
        self, fact: Fact, service: Service, hashes: tuple[str, ...], view: "_View"
    ) -> Candidate:
        endpoint_id = fact.vm_id
        report = self._reports.get(endpoint_id)
        if report is not None and view.now - report.at > REPORT_SECONDS:
            report = None
        noted_requests, noted_tokens = self.noted.get_counts(endpoint_id, view.now)
        backlog = self._backlog[endpoint_id] + self._peer_backlog.get(endpoint_id, 0)
        return Candidate(
            endpoint_id=endpoint_id,
            zone=fact.zone,
            address=fact.address,
            side=fact.side,
            price=fact.price,
            slots=fact.slots or service.slots,
            local_in_flight=self._in_flight[endpoint_id],
            reported_load=(report.load if report else 0.0) + noted_requests,
            local_at_report=report.local_in_flight if report else 0,
            cached_tokens=self._cached_tokens(endpoint_id, hashes, view),
            backlog_tokens=backlog + noted_tokens,
            reclaim_risk=DEFAULT_RECLAIM_RATE if fact.reclaimable else 0.0,
            slowness=self._slowness(endpoint_id, view.usual_seconds),
            leaving=endpoint_id in view.drained,
            ejected=endpoint_id in view.ejected,
            reachable=self._is_reachable(fact, view.now),
            local_share=view.local_share,
            report_weight=view.report_weight,
            closed=endpoint_id in view.closed,
        )

    def _cached_tokens(self, endpoint_id: str, hashes: tuple[str, ...], view: "_View") -> int:
        known = self.prefixes.cached_tokens(endpoint_id, hashes)
        return max(known, view.home_tokens) if endpoint_id == view.home else known

    def capacity(self, service: Service) -> int:
        """Return the slots of the endpoints that may get new work."""
        endpoints = self._endpoints(service.name)
        return service.slots * (len(endpoints.facts) - len(endpoints.drained))

    def zones_of(self, service: str) -> dict[str, str]:
        """Return the zone of each endpoint that may get new work of a service."""
        endpoints = self._endpoints(service)
        return {
            name: fact.zone
            for name, fact in endpoints.facts.items()
            if name not in endpoints.drained
        }

    def slots(self, service: str) -> int:
        """Return the slots that the endpoints of a service tell; 0 if they tell none."""
        facts = self._endpoints(service).facts
        return max((fact.slots for fact in facts.values()), default=0)

    def mark_address_reused(self, endpoint_id: str) -> None:
        """Leave an endpoint out whose address belongs to another one now."""
        self._facts.mark(endpoint_id, VmState.GONE)

    def started(self, endpoint_id: str) -> None:
        """Note an attempt that runs on an endpoint."""
        self._in_flight[endpoint_id] += 1
        self.on_load(endpoint_id, 1, 0)

    def ended(self, endpoint_id: str) -> None:
        """Note that an attempt is over."""
        self._in_flight[endpoint_id] -= 1
        self.on_load(endpoint_id, -1, 0)
        if self._in_flight[endpoint_id] <= 0:
            del self._in_flight[endpoint_id]

    def in_flight(self, endpoint_id: str) -> int:
        """Return the attempts of this process on an endpoint."""
        return self._in_flight[endpoint_id]

    def queued(self, endpoint_id: str, tokens: int) -> None:
        """Note prompt tokens that an endpoint has to read."""
        self._backlog[endpoint_id] += tokens
        self.on_load(endpoint_id, 0, tokens)

    def remove_backlog(self, endpoint_id: str, tokens: int) -> None:
        """Note that an endpoint has read them, or need not any more."""
        self._backlog[endpoint_id] -= tokens
        self.on_load(endpoint_id, 0, -tokens)
        if self._backlog[endpoint_id] <= 0:
            del self._backlog[endpoint_id]

    def backlog_by_endpoint(self) -> dict[str, int]:
        """Return the prompt tokens that wait on behalf of this process, by endpoint."""
        return dict(self._backlog)

    def set_peer_backlog(self, tokens: Mapping[str, int]) -> None:
        """Take the prompt tokens that wait on behalf of the other processes."""
        self._peer_backlog = dict(tokens)

    def apply_peer_change(self, endpoint_id: str, requests: int, tokens: int) -> None:
        """Take what another process has just begun or ended at an endpoint."""
        self._peer_backlog[endpoint_id] = max(0, self._peer_backlog.get(endpoint_id, 0) + tokens)
        report = self._reports.get(endpoint_id)
        if report is not None:
            load = max(0.0, report.load + requests)
            self._reports[endpoint_id] = replace(report, load=load)

    def in_flight_by_endpoint(self) -> dict[str, int]:
        """Return the attempts of this process, by endpoint."""
        return dict(self._in_flight)

    def load_of(self, endpoint_id: str) -> float:
        """Return the requests that an endpoint runs, by its last report and own attempts."""
        report = self._reports.get(endpoint_id)
        own = float(self._in_flight[endpoint_id])
        if report is None:
            return own
        return max(own, report.load + own - report.local_in_flight)

    def load_report_age(self, now: float) -> float | None:
        """Return the seconds since the last load reports; None if there were none."""
        return None if self._reported_at is None else round(now - self._reported_at, 3)

    def reported(self, loads: Mapping[str, float], now: float) -> None:
        """Take load reports."""
        self._reported_at = now
        for endpoint_id, load in loads.items():
            self._reports[endpoint_id] = _Report(load, self._in_flight[endpoint_id], now)

    def observed(self, endpoint_id: str, token_seconds: float) -> None:
        """Take the time between tokens that an attempt saw."""
        known = self._token_seconds.get(endpoint_id, token_seconds)
        self._token_seconds[endpoint_id] = known + SLOWNESS_GAIN * (token_seconds - known)

    def record_connect_failure(self, endpoint_id: str, now: float, refused: bool = False) -> None:
        """Leave an endpoint out for a moment because it could not be connected to.

        Parameters
        ----------
        refused : bool
            True if its VM answered that no process listens there: that says nothing against its
            zone. Counted as for a silent one, the ends of eight engines had seven processes take
            zones for cut off 30 times in eight seconds, and leave out what served on there.
        """
        tries = self._connect_failures[endpoint_id]
        self._connect_failures[endpoint_id] += 1
        seconds = min(LONGEST_UNREACHABLE_SECONDS, UNREACHABLE_SECONDS * 2**tries)
        self._unreachable[endpoint_id] = now + seconds
        fact = self._facts.get(endpoint_id)
        if fact is not None and not refused:
            self.zones.record_connect_failure(fact.zone, endpoint_id, now)

    def reached(self, endpoint_id: str, now: float) -> None:
        """Note that an endpoint has sent something."""
        self._reached_at[endpoint_id] = now
        if endpoint_id in self._connect_failures:
            del self._connect_failures[endpoint_id]
        fact = self._facts.get(endpoint_id)
        if fact is not None:
            self.zones.record_response(fact.zone, now)

    def last_contact_at(self, endpoint_id: str) -> float:
        """Return when an endpoint last sent something; minus infinity if it never did."""
        return self._reached_at.get(endpoint_id, -math.inf)

    def is_reachable(self, endpoint_id: str, now: float) -> bool:
        """Tell whether an endpoint seems to be reached from here."""
        fact = self._facts.get(endpoint_id)
        return fact is not None and self._is_reachable(fact, now)

    def _is_reachable(self, fact: Fact, now: float) -> bool:
        if self._unreachable.get(fact.vm_id, -math.inf) > now:
            return False
        return not self.zones.is_partitioned(fact.zone, now)

    def version_of(self, endpoint_id: str) -> str:
        """Return the version of an endpoint's software; empty if it is not known."""
        fact = self._facts.get(endpoint_id)
        return fact.side if fact is not None else ""

    def address_of(self, endpoint_id: str) -> str:
        """Return the address of an endpoint; empty if it is not known."""
        fact = self._facts.get(endpoint_id)
        return fact.address if fact is not None else ""

    def is_replaced(self, endpoint_id: str) -> bool:
        """Tell whether another endpoint is known at the address of one that is gone."""
        address = self.address_of(endpoint_id)
        states = (VmState.LIVE, VmState.LEAVING)
        others = (each for state in states for each in self._facts.select(Role.ENDPOINT, state))
        return any(each.address == address and each.vm_id != endpoint_id for each in others)

    def service_of(self, endpoint_id: str) -> str:
        """Return the service of an endpoint; empty if it is not known."""
        fact = self._facts.get(endpoint_id)
        return fact.service if fact is not None else ""

    def ready_endpoints(self) -> list[str]:
        """Return the endpoints that are there and do not leave."""
        return [each.vm_id for each in self._facts.select(Role.ENDPOINT, VmState.LIVE)]

    def zone_of(self, endpoint_id: str) -> str:
        """Return the availability zone of an endpoint; empty if it is not known."""
        fact = self._facts.get(endpoint_id)
        return fact.zone if fact is not None else ""

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
        self.noted.forget(endpoint_id)
        tables = (
            self._reports,
            self._peer_backlog,
            self._token_seconds,
            self._unreachable,
            self._connect_failures,
            self._reached_at,
        )
        for table in tables:
            table.pop(endpoint_id, None)
