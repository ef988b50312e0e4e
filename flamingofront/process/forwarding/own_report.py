"""The report that this process sends to its peers."""

import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from flamingofront.decisions.gossip_scope import GossipScope
from flamingofront.process.forwarding.duty import LeaderLease
from flamingofront.process.forwarding.knowledge import StoreView
from flamingofront.process.forwarding.peers import MAX_PEERS_LISTED, Peers
from flamingofront.process.forwarding.reports import PeerReport
from flamingofront.process.forwarding.rollouts import Rollouts
from flamingofront.process.forwarding.usage import UsageBook
from flamingofront.process.timers import TimerService
from flamingofront.request.hub import RequestHub

__all__ = ["LocalReport", "ReportSources"]


@dataclass(frozen=True)
class ReportSources:
    """Components of a process whose state goes into its report."""

    hub: RequestHub
    knowledge: StoreView
    lease: LeaderLease
    peers: Peers
    rollouts: Rollouts
    usage: UsageBook


class LocalReport:
    """Builds this process's reports.

    Parameters
    ----------
    identity : PeerReport
        Fields that are the same in all reports.

    Attributes
    ----------
    sequence : int
        Number of the last report.
    leaving : bool
        True during a graceful shutdown.
    delay_ms : callable
        Returns the mean delay until a new connection is read; None if it is not known.
    """

    def __init__(self, identity: PeerReport, timers: TimerService, rng: random.Random):
        self.identity = identity
        self.sequence = 0
        self.leaving = False
        self.delay_ms: Callable[[], int | None] = lambda: None
        self._timers = timers
        self._rng = rng

    def build(
        self, sources: ReportSources, consumed: dict[str, float], scope: GossipScope
    ) -> PeerReport:
        """Return a new report with the current state.

        Parameters
        ----------
        scope : GossipScope
            Evidence on crashes to include.
        consumed : dict of str to float
            Quota units consumed by this process since its start, by workspace.
        """
        self.sequence += 1
        lease, knowledge, peers = sources.lease.valid_lease(), sources.knowledge, sources.peers
        live = peers.table.live_reports(self._timers.now())
        directory = sources.hub.directory
        suspect_parts = sources.hub.guard.build_part_update(scope)
        rounded_units = {name: round(units) for name, units in consumed.items()}
        return replace(
            self.identity,
            sequence=self.sequence,
            wall=self._timers.wall(),
            configuration=knowledge.configuration.version,
            endpoints=knowledge.endpoints_change_number(),
            store_unreachable=knowledge.is_store_unreachable,
            watches_store=not knowledge.is_standby,
            leaving=self.leaving,
            fencing=lease.fencing if lease is not None else 0,
            released=sources.lease.released_fencing,
            lease_version=sources.lease.version if lease is not None else 0,
            consumed={**rounded_units, **sources.rollouts.local_counts()},
            in_flight=directory.in_flight_by_endpoint(),
            backlog=directory.backlog_by_endpoint(),
            peers=self._sample_peers(live),
            usage=sources.usage.collect_counts(
                {each.process for each in live}, peers.cluster_time()
            ),
            demand=sources.hub.in_flight_by_service(),
            work=self._round_work(sources.hub),
            rollouts=sources.rollouts.phase_update(),
            quarantine=sources.hub.guard.build_update(scope),
            delay_ms=self.delay_ms(),
            suspect_parts=suspect_parts,
            part_times=sources.hub.guard.build_part_times(suspect_parts),
            limits=sources.hub.limits.recent_changes(),
            leaving_endpoints=knowledge.endpoints.recently_leaving(),
            position=knowledge.configuration_position(),
            ages=(_round_age(knowledge.configuration_age()), _round_age(knowledge.endpoints_age())),
            confirmed=knowledge.confirmed_times(),
            answered=knowledge.confirmations.answered_time(),
            removed_endpoints=knowledge.endpoints.recently_removed(),
        )

    def _round_work(self, hub: RequestHub) -> dict[str, tuple[float, float]]:
        """Return the load that this process places, in endpoint-seconds per second to 0.001."""
        averages = hub.load_meter.get_loads(self._timers.now())
        return {name: (round(each.fast, 3), round(each.slow, 3)) for name, each in averages.items()}

    def _sample_peers(self, live: list[PeerReport]) -> tuple[str, ...]:
        count = min(MAX_PEERS_LISTED, len(live))
        return tuple(each.ip for each in self._rng.sample(live, count))


def _round_age(age: float | None) -> float | None:
    return None if age is None else round(age, 2)
