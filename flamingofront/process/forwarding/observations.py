"""Observations of endpoints and zones, from local responses and from peers.

They feed the decisions: loads, unread prompts, partitioned zones, estimated engine rates.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

from flamingofront.decisions.demand import OfferedLoad
from flamingofront.decisions.engine_rates import EngineRates
from flamingofront.decisions.shares import EndpointRing, RingPosition, select_preferred_endpoints
from flamingofront.process.forwarding.peers import REPORT_PERIOD_SECONDS, Peers
from flamingofront.process.forwarding.reports import LoadDelta
from flamingofront.process.logs import Log
from flamingofront.process.membership import FactTable, Role
from flamingofront.process.metrics import Metrics
from flamingofront.process.timers import TimerService
from flamingofront.request.hub import RequestHub

__all__ = ["Observations"]

# Period of merging the loads of peers; equal to their report period.
LOAD_PERIOD_SECONDS = 0.25
# Period of the log lines with the estimated engine rates.
RATES_LOG_PERIOD_SECONDS = 5.0
# Largest age of the load data of peers: one report period, one digest period and the delays of the
# datagrams.
STALE_LOAD_SECONDS = 1.0
# Assumed rates of a service without estimates.
DEFAULT_RATES = EngineRates()


class Observations:
    """Collects observations of endpoints and zones, and sends local placements to peers.

    Parameters
    ----------
    facts : FactTable
        Endpoints, shared with the directory.
    local_id, zone : str
        VM and availability zone of this process.
    sequence : callable
        Returns the number of the last report, to which a load delta refers.
    """

    def __init__(
        self,
        hub: RequestHub,
        peers: Peers,
        facts: FactTable,
        local_id: str,
        zone: str,
        sequence: Callable[[], int],
        timers: TimerService,
        metrics: Metrics,
        log: Log,
    ):
        self._hub = hub
        self._peers = peers
        self._facts = facts
        self._local_id = local_id
        self._zone = zone
        self._sequence = sequence
        self._timers = timers
        self._metrics = metrics
        self._log = log
        self._changes: dict[str, tuple[int, int]] = {}
        self._partitioned: set[str] = set()
        self._stale = True
        self._restarted_at: dict[str, float] = {}

    def start(self) -> None:
        """Install the callbacks and start the timers."""
        self._hub.directory.on_load_change = self._record_load_change
        self._hub.directory.preferred_endpoints = self.preferred_endpoints
        self._peers.shared_endpoints = self.find_shared_endpoints
        self._hub.directory.refresh_loads = self._refresh_if_stale
        self._timers.every(LOAD_PERIOD_SECONDS, self._refresh_loads, relaxed=True)
        self._timers.every(LOAD_PERIOD_SECONDS, self._check_zones, relaxed=True)
        self._timers.every(RATES_LOG_PERIOD_SECONDS, self._log_engine_rates, relaxed=True)

    def _record_load_change(self, endpoint_id: str, requests: int, tokens: int) -> None:
        """Collect load changes, and send them at the end of this event loop iteration."""
        if not self._changes:
            self._timers.once(0.0, self._send_load_delta)
        before = self._changes.get(endpoint_id, (0, 0))
        self._changes[endpoint_id] = (before[0] + requests, before[1] + tokens)

    def _send_load_delta(self) -> None:
        changes, self._changes = self._changes, {}
        nonzero = {name: each for name, each in changes.items() if each != (0, 0)}
        if nonzero:
            self._peers.send_load_delta(self._sequence(), nonzero)

    def apply_load_delta(self, delta: LoadDelta) -> None:
        """Apply a peer's load delta to the directory."""
        self._metrics.count("peer_notes_total")
        directory, now = self._hub.directory, self._timers.now()
        for endpoint_id, (requests, tokens) in delta.changes.items():
            if self._peers.is_relayed:
                directory.noted_prompts.add(endpoint_id, requests, tokens, now)
            else:
                directory.apply_peer_change(endpoint_id, requests, tokens)

    def preferred_endpoints(self, endpoints: Mapping[str, str]) -> tuple[str, ...]:
        """Return the endpoints that this process tries first; none in small deployments.

        Parameters
        ----------
        endpoints : mapping of str to str
            Zone by endpoint.
        """
        if not self._peers.is_relayed:
            return ()
        return select_preferred_endpoints(
            self._ring_positions()[self._local_id], self._peers.relaying.known_zones(), endpoints
        )

    def _ring_positions(self) -> dict[str, RingPosition]:
        """Return the position of each process of the zone among the processes, by VM."""
        names = sorted(self._peers.relaying.zone_members())
        return {
            name: RingPosition(self._zone, number, len(names)) for number, name in enumerate(names)
        }

    def find_shared_endpoints(self, endpoints: Iterable[str]) -> dict[str, list[str]]:
        """Return the given endpoints that other processes of the zone prefer too, by IP address."""
        zone_ips, zones = self._peers.relaying.zone_members(), self._peers.relaying.known_zones()
        found: dict[str, list[str]] = {}
        for service in {fact.service for fact in map(self._facts.get, endpoints) if fact}:
            ring = EndpointRing(zones, self._hub.directory.zones_of(service))
            for name, ring_position in self._ring_positions().items():
                shared = set(ring.select(ring_position)).intersection(endpoints)
                if shared and name != self._local_id:
                    found.setdefault(zone_ips[name], []).extend(sorted(shared))
        return found

    def discard_earlier_loads(self, endpoint_id: str) -> None:
        """Ignore the load that peers report for an earlier incarnation of an endpoint.

        Notes
        -----
        Reports and digests contain that load for a while after the restart.
        """
        self._restarted_at[endpoint_id] = self._timers.now()
        self._stale = True

    def _recently_restarted(self, now: float) -> set[str]:
        """Return the endpoints whose load in reports is still that of an earlier incarnation."""
        for name, at in list(self._restarted_at.items()):
            if now - at >= STALE_LOAD_SECONDS:
                del self._restarted_at[name]
        return set(self._restarted_at)

    def mark_loads_stale(self) -> None:
        """Mark the merged loads as stale after a relay has sent new ones.

        Notes
        -----
        They are merged before the next placement. With 64 processes, digests arrive twelve times a
        second and five placements are made: merging at each digest took 16 % of a process's time
        (profile of 12 s of usual traffic).
        """
        self._stale = True

    def _refresh_loads(self) -> None:
        """Merge the loads now, or with relays before the next placement."""
        if self._peers.is_relayed:
            self._stale = True
        else:
            self.update_directory_loads()

    def _refresh_if_stale(self) -> None:
        if self._stale:
            self.update_directory_loads()

    def update_directory_loads(self) -> None:
        """Pass the load of all processes at each endpoint to the directory."""
        self._stale = False
        now = self._timers.now()
        directory = self._hub.directory
        loads = Counter(directory.in_flight_by_endpoint())
        backlog: Counter[str] = Counter()
        seconds = {
            name: each.estimate().token_seconds for name, each in self._hub.rates.list_services()
        }
        restarted = self._recently_restarted(now)
        for peer_load in self._peers.peer_loads():
            for name, requests in peer_load.in_flight.items():
                if name not in restarted:
                    loads[name] += requests
            # The engine has read a part of the backlog since the report was made.
            elapsed = max(0.0, peer_load.age - REPORT_PERIOD_SECONDS)
            for name, tokens in peer_load.backlog.items():
                if name in restarted:
                    continue
                fact = self._facts.get(name)
                per_token = seconds.get(fact.service) if fact is not None else None
                backlog[name] += max(
                    0, tokens - round(elapsed / (per_token or DEFAULT_RATES.token_seconds))
                )
        directory.apply_load_reports(loads, now)
        directory.set_peer_backlog(backlog)

    def _check_zones(self) -> None:
        """Detect partitioned zones, and move the requests that wait there to other zones."""
        now = self._timers.now()
        self._hub.paths.monitor.check_if_unanswered(
            self._hub.failover.unanswered_since_in_any_zone()
        )
        self._hub.paths.monitor.check_silent(self._hub.failover.silent_endpoints())
        self._hub.failover.leave_lost_paths()
        if self._hub.paths.monitor.has_losses:
            self._hub.paths.check_open_connections()
        self._hub.failover.fail_over_unresponsive_peers()
        zones = self._hub.directory.zones
        unreachable = self._peers.unreachable_zones() - {self._zone}
        zones.set_unresponsive_zones(unreachable)
        for zone in unreachable:
            zones.record_pending(zone, self._hub.failover.unanswered_since(zone), now)
        all_zones = {each.zone for each in self._facts.select(Role.ENDPOINT)}
        partitioned = {zone for zone in all_zones if zones.is_partitioned(zone, now)}
        for zone in partitioned ^ self._partitioned:
            event = "zone partitioned" if zone in partitioned else "zone reachable again"
            self._log.warning(event, of_zone=zone, silent=sorted(unreachable))
        self._partitioned = partitioned
        for zone in partitioned:
            self._hub.failover.fail_over_zone(zone)

    def _log_engine_rates(self) -> None:
        """Log the estimated rates of the endpoints, on which placement and fleet size depend."""
        work = self._hub.load_meter.get_loads(self._timers.now())
        for name, rates in self._hub.rates.list_services():
            now, load = rates.estimate(), work.get(name, OfferedLoad())
            self._log.info(
                "engine rates",
                service=name,
                answers=rates.response_count,
                token_us=round(now.token_seconds * 1e6, 2),
                base_ms=round(now.base_seconds * 1e3, 1),
                pause_ms=round(now.pause_seconds * 1e3, 1),
                events=round(now.events, 1),
                work=(round(load.fast, 3), round(load.slow, 3)),
            )
