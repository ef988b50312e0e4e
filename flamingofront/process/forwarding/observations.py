"""What a process observes of endpoints and zones, from its own answers and from its peers.

Fed to the decisions: loads, prompts that wait, zones that are cut off, rates that were learned.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

from flamingofront.decisions.demand import OfferedLoad
from flamingofront.decisions.engine_rates import EngineRates
from flamingofront.decisions.shares import RingPosition, select_preferred_endpoints
from flamingofront.process.forwarding.peers import REPORT_SECONDS, Peers
from flamingofront.process.forwarding.reports import LoadDelta
from flamingofront.process.logs import Log
from flamingofront.process.membership import FactTable, Role
from flamingofront.process.metrics import Metrics
from flamingofront.process.timers import TimerService
from flamingofront.request.hub import RequestHub

__all__ = ["Observations"]

# How often the loads that peers tell are taken together; as often as they report.
LOAD_SECONDS = 0.25
# Pause between two lines in the log on what was learned of the endpoints.
RATES_LOG_SECONDS = 5.0
# Word of what others place is so old at most: a report's pause, a digest's, and their ways.
OLD_WORD_SECONDS = 1.0
# What an endpoint is taken to need as long as nothing was learned of its service.
USUAL = EngineRates()


class Observations:
    """Gathers what is seen of endpoints and zones, and tells peers of own placements.

    Parameters
    ----------
    facts : FactTable
        Endpoints, shared with the directory.
    own_id, zone : str
        VM and availability zone of this process.
    sequence : callable
        Returns the number of the last report: a note to peers says which one it follows.
    """

    def __init__(
        self,
        hub: RequestHub,
        peers: Peers,
        facts: FactTable,
        own_id: str,
        zone: str,
        sequence: Callable[[], int],
        timers: TimerService,
        metrics: Metrics,
        log: Log,
    ):
        self._hub = hub
        self._peers = peers
        self._facts = facts
        self._own_id = own_id
        self._zone = zone
        self._sequence = sequence
        self._timers = timers
        self._metrics = metrics
        self._log = log
        self._changes: dict[str, tuple[int, int]] = {}
        self._cut_off: set[str] = set()
        self._stale = True
        self._restarted_at: dict[str, float] = {}

    def start(self) -> None:
        """Begin to observe."""
        self._hub.directory.on_load_change = self._load_changed
        self._hub.directory.preferred_endpoints = self.select_preferred_endpoints
        self._peers.sharers = self.sharers
        self._hub.directory.refresh_loads = self._spread_if_stale
        self._timers.every(LOAD_SECONDS, self._loads_due, relaxed=True)
        self._timers.every(LOAD_SECONDS, self._watch_zones, relaxed=True)
        self._timers.every(RATES_LOG_SECONDS, self._log_rates, relaxed=True)

    def _load_changed(self, endpoint_id: str, requests: int, tokens: int) -> None:
        """Gather what changes at endpoints, and tell it when this turn of work is done."""
        if not self._changes:
            self._timers.once(0.0, self._tell_load)
        before = self._changes.get(endpoint_id, (0, 0))
        self._changes[endpoint_id] = (before[0] + requests, before[1] + tokens)

    def _tell_load(self) -> None:
        changes, self._changes = self._changes, {}
        told = {name: each for name, each in changes.items() if each != (0, 0)}
        if told:
            self._peers.tell_load(self._sequence(), told)

    def noted(self, note: LoadDelta) -> None:
        """Take what a peer has placed at endpoints, or what they have read of it."""
        self._metrics.count("peer_notes_total")
        directory, now = self._hub.directory, self._timers.now()
        for endpoint_id, (requests, tokens) in note.changes.items():
            if self._peers.is_relayed:
                directory.noted_prompts.add(endpoint_id, requests, tokens, now)
            else:
                directory.apply_peer_change(endpoint_id, requests, tokens)

    def select_preferred_endpoints(self, endpoints: Mapping[str, str]) -> tuple[str, ...]:
        """Return the endpoints that this process uses first; none where processes are few."""
        if not self._peers.is_relayed:
            return ()
        return select_preferred_endpoints(
            self._places()[self._own_id], self._peers.relaying.known_zones(), endpoints
        )

    def _places(self) -> dict[str, RingPosition]:
        """Return where the processes of the zone stand among all."""
        names = sorted(self._peers.relaying.zone_members())
        return {
            name: RingPosition(self._zone, number, len(names)) for number, name in enumerate(names)
        }

    def sharers(self, endpoints: Iterable[str]) -> dict[str, list[str]]:
        """Return the endpoints that other processes of the zone use first too, by IP number."""
        near, zones = self._peers.relaying.zone_members(), self._peers.relaying.known_zones()
        found: dict[str, list[str]] = {}
        for service in {fact.service for fact in map(self._facts.get, endpoints) if fact}:
            known = self._hub.directory.zones_of(service)
            for name, place in self._places().items():
                shared = set(select_preferred_endpoints(place, zones, known)).intersection(
                    endpoints
                )
                if shared and name != self._own_id:
                    found.setdefault(near[name], []).extend(sorted(shared))
        return found

    def endpoint_restarted(self, endpoint_id: str) -> None:
        """Reckon without what others had placed at the earlier start of an endpoint.

        Notes
        -----
        Their word of it is in reports and digests for a while longer.
        """
        self._restarted_at[endpoint_id] = self._timers.now()
        self._stale = True

    def _just_restarted(self, now: float) -> set[str]:
        """Return the endpoints of which others' word is still that of an earlier start."""
        for name, at in list(self._restarted_at.items()):
            if now - at >= OLD_WORD_SECONDS:
                del self._restarted_at[name]
        return set(self._restarted_at)

    def loads_told(self) -> None:
        """Take note that a relay has told what all processes run.

        Notes
        -----
        It is worked out with the next choice. Among 64 processes word comes twelve times a second,
        and five choices are made: working it out each time took 16 in 100 of a process's time
        (profile of 12 s of usual traffic).
        """
        self._stale = True

    def _loads_due(self) -> None:
        """Take the loads together now, or among many processes with the next choice."""
        if self._peers.is_relayed:
            self._stale = True
        else:
            self.spread_loads()

    def _spread_if_stale(self) -> None:
        if self._stale:
            self.spread_loads()

    def spread_loads(self) -> None:
        """Tell the directory what all processes together run at each endpoint."""
        self._stale = False
        now = self._timers.now()
        directory = self._hub.directory
        loads = Counter(directory.in_flight_by_endpoint())
        backlog: Counter[str] = Counter()
        seconds = {
            name: each.estimate().token_seconds for name, each in self._hub.rates.list_services()
        }
        unknown = self._just_restarted(now)
        for others in self._peers.peer_loads():
            for name, requests in others.in_flight.items():
                if name not in unknown:
                    loads[name] += requests
            # Of what waited when an old report was made the engine has read a part since.
            spent = max(0.0, others.age - REPORT_SECONDS)
            for name, tokens in others.backlog.items():
                if name in unknown:
                    continue
                fact = self._facts.get(name)
                known = seconds.get(fact.service) if fact is not None else None
                backlog[name] += max(0, tokens - round(spent / (known or USUAL.token_seconds)))
        directory.apply_load_reports(loads, now)
        directory.set_peer_backlog(backlog)

    def _watch_zones(self) -> None:
        """Look which zones are cut off; what waits there goes on elsewhere."""
        now = self._timers.now()
        zones = self._hub.directory.zones
        silent = self._peers.unreachable_zones() - {self._zone}
        zones.set_unresponsive_zones(silent)
        for zone in silent:
            zones.record_pending(zone, self._hub.unanswered_since(zone), now)
        known = {each.zone for each in self._facts.select(Role.ENDPOINT)}
        cut_off = {zone for zone in known if zones.is_partitioned(zone, now)}
        for zone in cut_off ^ self._cut_off:
            event = "zone cut off" if zone in cut_off else "zone reached again"
            self._log.warning(event, of_zone=zone, silent=sorted(silent))
        self._cut_off = cut_off
        for zone in cut_off:
            self._hub.fail_over_zone(zone)

    def _log_rates(self) -> None:
        """Tell what was learned of the endpoints: placement and the fleet follow from it."""
        work = self._hub.load_meter.get_loads(self._timers.now())
        for name, rates in self._hub.rates.list_services():
            now, asked = rates.estimate(), work.get(name, OfferedLoad())
            self._log.info(
                "rates learned",
                service=name,
                answers=rates.response_count,
                token_us=round(now.token_seconds * 1e6, 2),
                base_ms=round(now.base_seconds * 1e3, 1),
                pause_ms=round(now.pause_seconds * 1e3, 1),
                events=round(now.events, 1),
                work=(round(asked.fast, 3), round(asked.slow, 3)),
            )
