"""Word of the other entry processes, and this one's: what is made of a report, and what is told."""

from collections.abc import Mapping
from dataclasses import dataclass, replace

from flamingofront.decisions.quota import SharedQuota
from flamingofront.process.forwarding.digests import Claim
from flamingofront.process.forwarding.exchange import PeerSync
from flamingofront.process.forwarding.own_report import LocalReport, ReportSources
from flamingofront.process.forwarding.reports import PeerReport
from flamingofront.process.metrics import Metrics
from flamingofront.process.timers import TimerService

__all__ = ["PeerDispatcher", "UpdateReceivers"]


@dataclass(frozen=True)
class UpdateReceivers:
    """Parts of a process that take what others tell.

    Parameters
    ----------
    reported : ReportSources
        Those whose state is told, too.
    """

    reported: ReportSources
    quota: SharedQuota
    exchange: PeerSync


class PeerDispatcher:
    """Hands what other processes tell to the parts that need it, and makes this one's reports."""

    def __init__(
        self, own: LocalReport, parts: UpdateReceivers, timers: TimerService, metrics: Metrics
    ):
        self._own = own
        self._parts = parts
        self._reported = parts.reported
        self._timers = timers
        self._metrics = metrics

    def own_report(self) -> PeerReport:
        """Return this process's report as it is now."""
        return self._own.make(self._reported, self._parts.quota.get_consumed())

    def take_report(self, report: PeerReport, gap: float | None) -> None:
        """Take a peer's report: its quota use, its counts, its word on the lease, its load.

        Parameters
        ----------
        gap : float or None
            Seconds since the peer was heard before; None if it never was.
        """
        peers, usage = self._reported.peers, self._reported.usage
        self._metrics.count("peer_reports_total", result="heard" if gap is not None else "first")
        continuous = gap is not None and peers.table.in_hearing(gap)
        self.take_sums(report.process, report.spent, continuous and peers.counts_directly())
        self._take_rollouts(report)
        self._reported.hub.guard.merge_update(report.quarantine)
        self._reported.hub.limits.merge(report.limits)
        self._reported.knowledge.endpoints.merge_leaving(report.leaving_endpoints)
        if report.usage is not None:
            usage.merge_report(report.usage, report.process, peers.cluster_time())
        self._reported.lease.observe_report(report)
        self._parts.exchange.sync_with(report)
        if peers.is_relayed:
            peers.relaying.reported(report, continuous, gap is None)

    def take_sums(self, process: str, sums: Mapping[str, float], counts: bool) -> None:
        """Take sums of a peer or a relay: of the quotas, and of the answers during roll-outs.

        Parameters
        ----------
        counts : bool
            True if what they have grown was told by nobody else.
        """
        self._parts.quota.merge_consumed(process, sums, counts, self._timers.now())
        self._reported.rollouts.merge_counts(process, sums, counts)

    def take_belief(self, relay: PeerReport, claim: Claim) -> None:
        """Take what a relay knows, and its word on the duties' holder."""
        self._metrics.count("peer_digests_total")
        self._take_rollouts(relay)
        self._reported.hub.guard.merge_update(relay.quarantine)
        self._reported.hub.limits.merge(relay.limits)
        self._reported.knowledge.endpoints.merge_leaving(relay.leaving_endpoints)
        self._reported.lease.observe_report(
            replace(
                relay,
                fencing=claim.fencing,
                released=claim.released,
                lease_version=claim.lease_version,
            )
        )
        self._parts.exchange.sync_with(relay)

    def _take_rollouts(self, report: PeerReport) -> None:
        """Take a peer's word of roll-outs; an order that it knows first is read from the store."""
        if self._reported.rollouts.merge_update(report.rollouts):
            self._reported.knowledge.reload_rollouts()
