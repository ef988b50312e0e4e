"""Directory of the endpoints, which provides the candidates for endpoint choice.

It merges membership facts, drains in the configuration, load reports, the attempts of this process,
ejections and prefix hints.
"""

import math
import random
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, replace

from flamingofront.decisions.choice import Candidate, compute_report_weight
from flamingofront.decisions.direct_paths import EndpointPath
from flamingofront.decisions.endpoint_rule import EndpointRule
from flamingofront.decisions.retry import EndpointHealth
from flamingofront.decisions.shares import RemotePrompts
from flamingofront.decisions.zone_reach import ZoneReachability
from flamingofront.process.membership import Fact, FactTable, Role, VmState
from flamingofront.process.rendezvous import rank
from flamingofront.request.prefixes import PrefixIndex
from flamingofront.version.model import Configuration, DrainKind, Service

__all__ = ["MAX_CANDIDATES", "EndpointDirectory", "SharedPrefix", "is_drained"]

SLOWNESS_EWMA_WEIGHT = 0.2
MAX_SLOWNESS_RATIO = 20.0
MAX_REPORT_AGE_SECONDS = 10.0
DEFAULT_RECLAIMS_PER_HOUR = 0.05
# Backoff after failed connection attempts: it doubles with each failure up to the maximum.
INITIAL_BACKOFF_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 4.0
MAX_CANDIDATES = 32
MAX_PREFIX_HOLDERS = 4


def is_drained(fact: Fact, cfg: Configuration) -> bool:
    """Return True if an operator has drained an endpoint, its VM, its side or its zone."""
    return (
        fact.vm_id in cfg.drained_targets(DrainKind.ENDPOINT)
        or fact.vm_id in cfg.drained_targets(DrainKind.VM)
        or fact.side in cfg.drained_targets(DrainKind.SIDE)
        or fact.zone in cfg.drained_targets(DrainKind.ZONE)
    )


@dataclass(frozen=True)
class SharedPrefix:
    """Leading part of a prompt that is shared with other requests.

    Parameters
    ----------
    key : str
        Hash of the prefix.
    tokens : int
        Number of tokens in the prefix.
    """

    key: str
    tokens: int


@dataclass(frozen=True)
class _LoadReport:
    load: float
    local_in_flight: int
    received_at: float


class _ServiceEndpoints:
    """Live endpoints of one service, by id, and the ids of the drained ones among them."""

    def __init__(self, facts: Mapping[str, Fact], drained: frozenset[str]):
        self.facts = facts
        self.drained = drained
        self.ids = list(facts)


_NO_ENDPOINTS = _ServiceEndpoints({}, frozenset())


@dataclass(frozen=True)
class _ChoiceContext:
    """Values that all candidates of one choice have in common.

    Parameters
    ----------
    median_token_seconds : float
        Median time between tokens over the candidates; 0 if none was measured.
    prefix_owner : str
        Endpoint that all processes expect to cache the shared prefix of the prompt.
    prefix_owner_tokens : int
        Number of tokens in the shared prefix.
    closed : frozenset of str
        Endpoints that accept no requests now.
    local_share : float
        Share of the load that comes from this process, from 0 to 1.
    """

    now: float
    drained: frozenset[str]
    ejected: frozenset[str]
    median_token_seconds: float
    prefix_owner: str
    prefix_owner_tokens: int
    closed: frozenset[str]
    local_share: float
    report_weight: float


class EndpointDirectory:
    """Local view of the endpoints of all services.

    Parameters
    ----------
    facts : FactTable
        Membership facts, shared with the membership.
    zone : str
        Availability zone of this process.

    Attributes
    ----------
    sample_size : callable
        Returns the number of endpoints of a service that are sampled for one choice.
    preferred_endpoints : callable
        Gets the zones of usable endpoints by id and returns the ids to sample first; empty if there
        is no preference.
    on_load_change : callable
        Called with each change of the load from this process: endpoint id, change of the number of
        attempts and change of the prompt tokens that wait for prefill.
    refresh_loads : callable
        Called before each choice, to update the loads from other processes.
    local_share : callable
        Returns the share of the load that comes from this process, from 0 to 1.
    path_to : callable
        Returns the `EndpointPath` on which attempts reach an endpoint.
    is_current : callable
        Returns False while so little is known of recent changes that no endpoint may be chosen.
    describe_knowledge : callable
        Returns fields for the log: the age of what is known of an endpoint, and where from.
    noted_prompts : RemotePrompts
        Prompts that other processes have reported recently; load reports may not include them yet.
    """

    def __init__(self, facts: FactTable, rng: random.Random, zone: str = ""):
        self._facts = facts
        self._zone = zone
        self.sample_size: Callable[[], int] = lambda: MAX_CANDIDATES
        self.preferred_endpoints: Callable[[Mapping[str, str]], tuple[str, ...]] = (
            lambda endpoints: ()
        )
        self.refresh_loads: Callable[[], None] = lambda: None
        self.path_to: Callable[[str], EndpointPath] = lambda endpoint_id: EndpointPath.DIRECT
        self.is_current: Callable[[], bool] = lambda: True
        self.describe_knowledge: Callable[[str], Mapping[str, object]] = lambda endpoint_id: {}
        self.noted_prompts = RemotePrompts()
        self.health = EndpointHealth(rng)
        self.prefixes = PrefixIndex()
        self.configuration = Configuration()
        self.local_share: Callable[[], float] = lambda: 1.0
        self._in_flight: Counter[str] = Counter()
        self._reported_at: float | None = None
        self._backlog: Counter[str] = Counter()
        self.on_load_change: Callable[[str, int, int], None] = (
            lambda endpoint_id, requests, tokens: None
        )
        self._peer_backlog: dict[str, int] = {}
        self._reports: dict[str, _LoadReport] = {}
        self._token_seconds: dict[str, float] = {}
        self._backoff_until: dict[str, float] = {}
        self._connect_failures: Counter[str] = Counter()
        self._last_contact_at: dict[str, float] = {}
        self._last_contact_of_any = -math.inf
        self.zones = ZoneReachability()
        self._index: dict[str, _ServiceEndpoints] = {}
        self._index_key = (-1, -1)

    def _endpoints_of(self, service: str) -> "_ServiceEndpoints":
        """Return the live endpoints of a service, rebuilding the index after a change."""
        index_key = (self._facts.changes, self.configuration.revision)
        if index_key != self._index_key:
            self._index_key = index_key
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

    def is_unavailable(self, endpoint_id: str) -> bool:
        """Return True if an endpoint gets no new requests: it is unknown, not live, or drained."""
        fact = self._facts.get(endpoint_id)
        if fact is None or fact.state is not VmState.LIVE:
            return True
        return is_drained(fact, self.configuration)

    def is_leaving(self, endpoint_id: str) -> bool:
        """Return True if an endpoint is known and has announced its shutdown."""
        fact = self._facts.get(endpoint_id)
        return fact is not None and fact.state is VmState.LEAVING

    def candidates(
        self,
        service: Service,
        hashes: tuple[str, ...],
        now: float,
        rng: random.Random,
        shared: "SharedPrefix | None" = None,
        include_all: bool = False,
        rule: EndpointRule | None = None,
        closed: frozenset[str] = frozenset(),
    ) -> list[Candidate]:
        """Return the live endpoints of a service among which to choose.

        Parameters
        ----------
        hashes : tuple of str
            Hashes of the prefix blocks of the prompt.
        shared : SharedPrefix, optional
            Prefix of the prompt that is shared with other requests. Processes do not exchange cache
            contents; they all expect the prefix at the endpoint chosen by rendezvous hashing.
        include_all : bool
            Return all endpoints instead of a sample.
        rule : EndpointRule, optional
            Rule that restricts the endpoints, during a rollout or for a stream in progress.
        closed : frozenset of str
            Endpoints that accept no requests now, by their rate limit or a back-off they asked for.

        Notes
        -----
        If there are many endpoints, a random sample is returned, plus the endpoints that cache a
        prefix of the prompt. The time of a choice then does not grow with the fleet, and processes
        that work with the same stale load reports do not all choose the same endpoint.
        """
        self.refresh_loads()
        endpoints = self._endpoints_of(service.name)
        if rule is not None:
            endpoints = _ServiceEndpoints(rule.select(endpoints.facts), endpoints.drained)
        ejected = self.health.list_ejected(endpoints.facts, now)
        prefix_owner = self._find_prefix_owner(endpoints, shared)
        if include_all or len(endpoints.facts) <= self.sample_size():
            facts = list(endpoints.facts.values())
        else:
            facts = self._sample_endpoints(
                endpoints,
                ejected | closed,
                (prefix_owner, *self._find_prefix_holders(hashes)),
                now,
                rng,
            )
        ids = [fact.vm_id for fact in facts]
        context = _ChoiceContext(
            now=now,
            drained=endpoints.drained,
            ejected=ejected,
            median_token_seconds=self._median_token_seconds(ids),
            prefix_owner=prefix_owner,
            prefix_owner_tokens=shared.tokens if shared is not None else 0,
            closed=closed,
            local_share=self.local_share(),
            report_weight=compute_report_weight(
                sum(self._in_flight[each] for each in ids), len(ids)
            ),
        )
        return [self._make_candidate(fact, service, hashes, context) for fact in facts]

    @staticmethod
    def _find_prefix_owner(endpoints: "_ServiceEndpoints", shared: "SharedPrefix | None") -> str:
        if shared is None:
            return ""
        undrained = [each for each in endpoints.ids if each not in endpoints.drained]
        return rank(shared.key, undrained)[0] if undrained else ""

    def _find_prefix_holders(self, hashes: tuple[str, ...]) -> list[str]:
        return sorted(self.prefixes.longest_prefix_holders(hashes))[:MAX_PREFIX_HOLDERS]

    def _sample_endpoints(
        self,
        endpoints: "_ServiceEndpoints",
        excluded: Collection[str],
        required: Iterable[str],
        now: float,
        rng: random.Random,
    ) -> list[Fact]:
        """Return a sample of the usable endpoints, plus the required ones.

        Notes
        -----
        The sample starts with the preferred endpoints; if there are none, half of it is taken from
        the zone of this process.
        """
        usable = [
            name
            for name, fact in endpoints.facts.items()
            if name not in endpoints.drained
            and name not in excluded
            and self._is_reachable(fact, now)
        ]
        if not usable:
            return list(endpoints.facts.values())
        size = self.sample_size()
        chosen = dict.fromkeys(
            self.preferred_endpoints({name: endpoints.facts[name].zone for name in usable})
        )
        if not chosen:
            local = [each for each in usable if endpoints.facts[each].zone == self._zone]
            chosen = dict.fromkeys(rng.sample(local, min(size // 2, len(local))))
        chosen.update(dict.fromkeys(rng.sample(usable, min(size - len(chosen), len(usable)))))
        chosen.update(dict.fromkeys(each for each in required if each in endpoints.facts))
        return [endpoints.facts[each] for each in chosen]

    def _make_candidate(
        self, fact: Fact, service: Service, hashes: tuple[str, ...], context: "_ChoiceContext"
    ) -> Candidate:
        endpoint_id = fact.vm_id
        report = self._reports.get(endpoint_id)
        if report is not None and context.now - report.received_at > MAX_REPORT_AGE_SECONDS:
            report = None
        noted_requests, noted_tokens = self.noted_prompts.get_counts(endpoint_id, context.now)
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
            cached_tokens=self._cached_tokens(endpoint_id, hashes, context),
            backlog_tokens=backlog + noted_tokens,
            reclaim_risk=DEFAULT_RECLAIMS_PER_HOUR if fact.reclaimable else 0.0,
            slowness=self._slowness(endpoint_id, context.median_token_seconds),
            leaving=endpoint_id in context.drained,
            ejected=endpoint_id in context.ejected,
            reachable=self._is_reachable(fact, context.now),
            local_share=context.local_share,
            report_weight=context.report_weight,
            closed=endpoint_id in context.closed,
            path=self.path_to(endpoint_id),
        )

    def _cached_tokens(
        self, endpoint_id: str, hashes: tuple[str, ...], context: "_ChoiceContext"
    ) -> int:
        cached = self.prefixes.cached_tokens(endpoint_id, hashes)
        return (
            max(cached, context.prefix_owner_tokens)
            if endpoint_id == context.prefix_owner
            else cached
        )

    def capacity(self, service: Service) -> int:
        """Return the total number of slots of the undrained endpoints of a service."""
        endpoints = self._endpoints_of(service.name)
        return service.slots * (len(endpoints.facts) - len(endpoints.drained))

    def zones_of(self, service: str) -> dict[str, str]:
        """Return the zones, by id, of the endpoints of a service that may get new requests."""
        endpoints = self._endpoints_of(service)
        return {
            name: fact.zone
            for name, fact in endpoints.facts.items()
            if name not in endpoints.drained
        }

    def endpoints_of_version(self, service: str, version: str) -> list[str]:
        """Return the ids of the endpoints of a service and version that may get new requests."""
        endpoints = self._endpoints_of(service)
        return [
            name
            for name, fact in endpoints.facts.items()
            if fact.side == version and name not in endpoints.drained
        ]

    def advertised_slots(self, service: str) -> int:
        """Return the most slots that an endpoint of a service advertises; 0 if none does."""
        facts = self._endpoints_of(service).facts
        return max((fact.slots for fact in facts.values()), default=0)

    def slots_of(self, endpoint_id: str) -> int:
        """Return the requests that an endpoint runs at once; 1 if it advertises none."""
        fact = self._facts.get(endpoint_id)
        return max(1, fact.slots) if fact is not None else 1

    def mark_address_reused(self, endpoint_id: str) -> None:
        """Mark an endpoint as gone because another endpoint now has its address."""
        self._facts.advance_state(endpoint_id, VmState.GONE)

    def record_attempt_start(self, endpoint_id: str) -> None:
        """Count an attempt of this process that starts at an endpoint."""
        self._in_flight[endpoint_id] += 1
        self.on_load_change(endpoint_id, 1, 0)

    def record_attempt_end(self, endpoint_id: str) -> None:
        """Stop counting an attempt of this process at an endpoint."""
        self._in_flight[endpoint_id] -= 1
        self.on_load_change(endpoint_id, -1, 0)
        if self._in_flight[endpoint_id] <= 0:
            del self._in_flight[endpoint_id]

    def in_flight_at(self, endpoint_id: str) -> int:
        """Return the number of attempts of this process in flight at an endpoint."""
        return self._in_flight[endpoint_id]

    def add_backlog(self, endpoint_id: str, tokens: int) -> None:
        """Add prompt tokens that an endpoint has to prefill for this process."""
        if not tokens:
            return  # removed by nobody, so that the endpoint would be reported for good
        self._backlog[endpoint_id] += tokens
        self.on_load_change(endpoint_id, 0, tokens)

    def remove_backlog(self, endpoint_id: str, tokens: int) -> None:
        """Remove prompt tokens that an endpoint has prefilled or no longer has to."""
        self._backlog[endpoint_id] -= tokens
        self.on_load_change(endpoint_id, 0, -tokens)
        if self._backlog[endpoint_id] <= 0:
            del self._backlog[endpoint_id]

    def backlog_by_endpoint(self) -> dict[str, int]:
        """Return the prompt tokens of this process that wait for prefill, by endpoint."""
        return dict(self._backlog)

    def set_peer_backlog(self, tokens: Mapping[str, int]) -> None:
        """Replace the prompt tokens of other processes that wait for prefill, by endpoint."""
        self._peer_backlog = dict(tokens)

    def apply_peer_change(self, endpoint_id: str, requests: int, tokens: int) -> None:
        """Apply a change of the load from another process at an endpoint.

        Parameters
        ----------
        requests : int
            Change of the number of attempts.
        tokens : int
            Change of the prompt tokens that wait for prefill.
        """
        self._peer_backlog[endpoint_id] = max(0, self._peer_backlog.get(endpoint_id, 0) + tokens)
        report = self._reports.get(endpoint_id)
        if report is not None:
            load = max(0.0, report.load + requests)
            self._reports[endpoint_id] = replace(report, load=load)

    def in_flight_by_endpoint(self) -> dict[str, int]:
        """Return the number of attempts of this process in flight, by endpoint."""
        return dict(self._in_flight)

    def load_of(self, endpoint_id: str) -> float:
        """Return the requests that an endpoint runs, by its last report and the local attempts."""
        report = self._reports.get(endpoint_id)
        local_load = float(self._in_flight[endpoint_id])
        if report is None:
            return local_load
        return max(local_load, report.load + local_load - report.local_in_flight)

    def load_report_age(self, now: float) -> float | None:
        """Return the seconds since the last load report; None if there was none."""
        return None if self._reported_at is None else round(now - self._reported_at, 3)

    def apply_load_reports(self, loads: Mapping[str, float], now: float) -> None:
        """Store reported loads, by endpoint id, in requests."""
        self._reported_at = now
        for endpoint_id, load in loads.items():
            self._reports[endpoint_id] = _LoadReport(load, self._in_flight[endpoint_id], now)

    def record_token_time(self, endpoint_id: str, token_seconds: float) -> None:
        """Update the moving average of the seconds between tokens of an endpoint."""
        average = self._token_seconds.get(endpoint_id, token_seconds)
        self._token_seconds[endpoint_id] = average + SLOWNESS_EWMA_WEIGHT * (
            token_seconds - average
        )

    def record_connect_failure(
        self, endpoint_id: str, now: float, is_refused: bool = False
    ) -> None:
        """Exclude an endpoint for an exponential backoff after a failed connection attempt.

        Parameters
        ----------
        is_refused : bool
            True if the VM refused the connection. This shows that the zone is reachable, so it is
            not counted as a failure of the zone. When it was counted, crashes of eight engines made
            seven processes treat zones as partitioned 30 times in eight seconds and exclude healthy
            endpoints there.
        """
        failures = self._connect_failures[endpoint_id]
        self._connect_failures[endpoint_id] += 1
        seconds = min(MAX_BACKOFF_SECONDS, INITIAL_BACKOFF_SECONDS * 2**failures)
        self._backoff_until[endpoint_id] = now + seconds
        fact = self._facts.get(endpoint_id)
        if fact is not None and not is_refused:
            self.zones.record_connect_failure(fact.zone, endpoint_id, now)

    def record_contact(self, endpoint_id: str, now: float, is_direct: bool = True) -> None:
        """Record that data from an endpoint has been received.

        Parameters
        ----------
        is_direct : bool
            False if it came through a peer, which tells nothing about the paths of this VM.
        """
        self._last_contact_at[endpoint_id] = now
        if not is_direct:
            return
        self._last_contact_of_any = now
        if endpoint_id in self._connect_failures:
            del self._connect_failures[endpoint_id]
        fact = self._facts.get(endpoint_id)
        if fact is not None:
            self.zones.record_response(fact.zone, now)

    def last_contact_at(self, endpoint_id: str) -> float:
        """Return the time of the last data from an endpoint; minus infinity if there was none."""
        return self._last_contact_at.get(endpoint_id, -math.inf)

    def find_neighbour(self, endpoint_id: str, excluded: Collection[str]) -> str:
        """Return the live endpoint of the same zone with the latest data; empty if there is none.

        Parameters
        ----------
        excluded : collection of str
            Endpoints that may have crashed.
        """
        zone = self.zone_of(endpoint_id)
        found = [
            each
            for each in self.ready_endpoints()
            if each != endpoint_id and each not in excluded and self.zone_of(each) == zone
        ]
        return max(found, key=self.last_contact_at, default="")

    def last_contact_of_any(self) -> float:
        """Return the time of the last data from any endpoint; minus infinity if there was none."""
        return self._last_contact_of_any

    def is_reachable(self, endpoint_id: str, now: float) -> bool:
        """Return True if an endpoint is not in connect backoff and its zone is not partitioned."""
        fact = self._facts.get(endpoint_id)
        return fact is not None and self._is_reachable(fact, now)

    def _is_reachable(self, fact: Fact, now: float) -> bool:
        path = self.path_to(fact.vm_id)
        if path is not EndpointPath.DIRECT:
            return path is EndpointPath.PROXIED
        if self._backoff_until.get(fact.vm_id, -math.inf) > now:
            return False
        return not self.zones.is_partitioned(fact.zone, now)

    def forget_failures(self, endpoint_ids: Iterable[str]) -> None:
        """Drop the failures of endpoints, after they turned out to be those of the paths."""
        for each in endpoint_ids:
            self._backoff_until.pop(each, None)
            self._connect_failures.pop(each, None)
            self.health.forget(each)
            self.zones.forget(self.zone_of(each), each)

    def version_of(self, endpoint_id: str) -> str:
        """Return the software version of an endpoint; empty if the endpoint is unknown."""
        fact = self._facts.get(endpoint_id)
        return fact.side if fact is not None else ""

    def address_of(self, endpoint_id: str) -> str:
        """Return the address of an endpoint; empty if the endpoint is unknown."""
        fact = self._facts.get(endpoint_id)
        return fact.address if fact is not None else ""

    def is_replaced(self, endpoint_id: str) -> bool:
        """Return True if another live or leaving endpoint has the address of this one."""
        address = self.address_of(endpoint_id)
        states = (VmState.LIVE, VmState.LEAVING)
        endpoints = (each for state in states for each in self._facts.select(Role.ENDPOINT, state))
        return any(each.address == address and each.vm_id != endpoint_id for each in endpoints)

    def service_of(self, endpoint_id: str) -> str:
        """Return the service of an endpoint; empty if the endpoint is unknown."""
        fact = self._facts.get(endpoint_id)
        return fact.service if fact is not None else ""

    def ready_endpoints(self) -> list[str]:
        """Return the ids of all live endpoints, without those that are leaving."""
        return [each.vm_id for each in self._facts.select(Role.ENDPOINT, VmState.LIVE)]

    def zone_of(self, endpoint_id: str) -> str:
        """Return the availability zone of an endpoint; empty if the endpoint is unknown."""
        fact = self._facts.get(endpoint_id)
        return fact.zone if fact is not None else ""

    def _median_token_seconds(self, ids: Iterable[str]) -> float:
        seconds = sorted(self._token_seconds[each] for each in ids if each in self._token_seconds)
        return seconds[len(seconds) // 2] if seconds else 0.0

    def _slowness(self, endpoint_id: str, median: float) -> float:
        observed = self._token_seconds.get(endpoint_id)
        if observed is None or median <= 0:
            return 1.0
        return min(MAX_SLOWNESS_RATIO, max(0.5, observed / median))

    def forget(self, endpoint_id: str) -> None:
        """Remove all state of an endpoint that has left."""
        self.health.forget(endpoint_id)
        self.prefixes.forget(endpoint_id)
        self.noted_prompts.forget(endpoint_id)
        tables = (
            self._reports,
            self._peer_backlog,
            self._token_seconds,
            self._backoff_until,
            self._connect_failures,
            self._last_contact_at,
        )
        for table in tables:
            table.pop(endpoint_id, None)
