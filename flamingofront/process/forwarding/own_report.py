"""What this process tells the others of itself."""

import random
from dataclasses import dataclass, replace

from flamingofront.process.forwarding.duty import LeaderLease
from flamingofront.process.forwarding.knowledge import StoreView
from flamingofront.process.forwarding.peers import MAX_PEERS_TOLD, Peers
from flamingofront.process.forwarding.reports import PeerReport
from flamingofront.process.forwarding.rollouts import Rollouts
from flamingofront.process.forwarding.usage import UsageBook
from flamingofront.process.timers import TimerService
from flamingofront.request.hub import RequestHub

__all__ = ["LocalReport", "ReportSources"]


@dataclass(frozen=True)
class ReportSources:
    """Parts of a process whose state is reported."""

    hub: RequestHub
    knowledge: StoreView
    lease: LeaderLease
    peers: Peers
    rollouts: Rollouts
    usage: UsageBook


class LocalReport:
    """Makes this process's reports.

    Parameters
    ----------
    identity : PeerReport
        What is the same in all of them.

    Attributes
    ----------
    sequence : int
        Number of the last report.
    leaving : bool
        True once the process is stopping.
    """

    def __init__(self, identity: PeerReport, timers: TimerService, rng: random.Random):
        self.identity = identity
        self.sequence = 0
        self.leaving = False
        self._timers = timers
        self._rng = rng

    def make(self, parts: ReportSources, spent: dict[str, float]) -> PeerReport:
        """Return the report as it is now.

        Parameters
        ----------
        spent : dict of str to float
            Units of quotas that were taken out here in all, by workspace.
        """
        self.sequence += 1
        lease, knowledge, peers = parts.lease.valid_lease(), parts.knowledge, parts.peers
        heard = peers.table.live_reports(self._timers.now())
        directory = parts.hub.directory
        told = {name: round(units) for name, units in spent.items()}
        return replace(
            self.identity,
            sequence=self.sequence,
            wall=self._timers.wall(),
            configuration=knowledge.configuration.version,
            endpoints=knowledge.endpoints_change_number(),
            cut_off=knowledge.is_store_unreachable,
            follows=not knowledge.is_standby,
            leaving=self.leaving,
            fencing=lease.fencing if lease is not None else 0,
            released=parts.lease.released_fencing,
            lease_version=parts.lease.version if lease is not None else 0,
            spent={**told, **parts.rollouts.local_counts()},
            in_flight=directory.in_flight_by_endpoint(),
            backlog=directory.backlog_by_endpoint(),
            peers=self._some_peers(heard),
            usage=parts.usage.collect_counts(
                {each.process for each in heard}, peers.cluster_time()
            ),
            demand=parts.hub.in_flight_by_service(),
            work=self._work(parts.hub),
            rollouts=parts.rollouts.phase_update(),
            quarantine=parts.hub.guard.build_update(),
            limits=parts.hub.limits.recent_changes(),
            leaving_endpoints=knowledge.endpoints.recently_leaving(),
            position=knowledge.configuration_position(),
            ages=(_rounded(knowledge.configuration_age()), _rounded(knowledge.endpoints_age())),
        )

    def _work(self, hub: RequestHub) -> dict[str, tuple[float, float]]:
        """Return the work that this process places, rounded to a thousandth of an endpoint."""
        found = hub.load_meter.get_loads(self._timers.now())
        return {name: (round(each.fast, 3), round(each.slow, 3)) for name, each in found.items()}

    def _some_peers(self, heard: list[PeerReport]) -> tuple[str, ...]:
        count = min(MAX_PEERS_TOLD, len(heard))
        return tuple(each.ip for each in self._rng.sample(heard, count))


def _rounded(age: float | None) -> float | None:
    return None if age is None else round(age, 2)
