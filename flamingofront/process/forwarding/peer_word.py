"""Dispatch of the state received from other entry processes, and building of the local report."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

from flamingofront.decisions.gossip_scope import GossipScope
from flamingofront.decisions.quota import SharedQuota
from flamingofront.process.forwarding.digests import LeaseClaim
from flamingofront.process.forwarding.exchange import PeerSync
from flamingofront.process.forwarding.own_report import LocalReport, ReportSources
from flamingofront.process.forwarding.provenance import Provenance, Source, Way
from flamingofront.process.forwarding.reports import PeerReport
from flamingofront.process.metrics import Metrics
from flamingofront.process.timers import TimerService

__all__ = ["PeerDispatcher", "UpdateReceivers"]


@dataclass(frozen=True)
class UpdateReceivers:
    """Components that receive the state of other processes.

    Parameters
    ----------
    reported : ReportSources
        Components whose state is also part of the local report.
    """

    reported: ReportSources
    quota: SharedQuota
    exchange: PeerSync


class PeerDispatcher:
    """Passes reports and digests to the components that use them, and builds the local report.

    Attributes
    ----------
    on_message : callable
        Called with the sender's state in each report and digest, before it is applied.
    """

    def __init__(
        self,
        local_report: LocalReport,
        receivers: UpdateReceivers,
        timers: TimerService,
        metrics: Metrics,
    ):
        self._local_report = local_report
        self._receivers = receivers
        self._reported = receivers.reported
        self._timers = timers
        self._metrics = metrics
        self.on_message: Callable[[PeerReport], None] = lambda report: None

    def build_report(self, scope: GossipScope) -> PeerReport:
        """Return a new report of this process with the current state."""
        consumed = self._receivers.quota.get_consumed()
        return self._local_report.build(self._reported, consumed, scope)

    def apply_report(self, report: PeerReport, since_previous: float | None) -> None:
        """Apply a peer's report: quota consumption, usage, lease, load and rollouts.

        Parameters
        ----------
        since_previous : float or None
            Seconds since the peer's previous report; None if this is the first one.
        """
        self.on_message(report)
        peers, usage = self._reported.peers, self._reported.usage
        self._metrics.count(
            "peer_reports_total", result="heard" if since_previous is not None else "first"
        )
        # While this process stands still, the others share the whole quota, and respond.
        is_continuous = since_previous is not None and peers.table.is_within_timeout(
            since_previous - peers.seconds_unread()
        )
        self.apply_sums(
            report.process, report.consumed, is_continuous and peers.is_counting_directly()
        )
        self._apply_rollouts(report)
        self._reported.hub.guard.merge_updates(
            report.quarantine, report.suspect_parts, report.part_times
        )
        self._reported.hub.limits.merge(report.limits)
        self._merge_leaving(report, Way.REPORT)
        if report.usage is not None:
            sent_after = peers.cluster_time() - peers.seconds_unread()
            usage.merge_report(report.usage, report.process, sent_after)
        self._reported.lease.observe_report(report)
        self._receivers.exchange.sync_with(report)
        if peers.is_relayed:
            peers.relaying.receive_report(report, is_continuous, since_previous is None)

    def apply_sums(self, process: str, totals: Mapping[str, float], is_counted: bool) -> None:
        """Apply the running totals of a peer or relay: quota units and rollout responses.

        Parameters
        ----------
        totals : mapping of str to float
            Totals since the start of the sender.
        is_counted : bool
            True if the increase since the sender's last totals was not reported by another source.
        """
        self._receivers.quota.merge_consumed(process, totals, is_counted, self._timers.now())
        self._reported.rollouts.merge_counts(process, totals, is_counted)

    def apply_relay_state(self, relay: PeerReport, claim: LeaseClaim) -> None:
        """Apply the state of a relay and the lease advertisement that it forwards."""
        self.on_message(relay)
        self._metrics.count("peer_digests_total")
        transit = self._reported.peers.cluster_time() - relay.wall
        self._metrics.observe("digest_transit_seconds", max(0.0, transit))
        self._apply_rollouts(relay)
        self._reported.hub.guard.merge_updates(
            relay.quarantine, relay.suspect_parts, relay.part_times
        )
        self._reported.hub.limits.merge(relay.limits)
        self._merge_leaving(relay, Way.DIGEST)
        self._reported.lease.observe_report(
            replace(
                relay,
                fencing=claim.fencing,
                released=claim.released,
                lease_version=claim.lease_version,
            )
        )
        self._receivers.exchange.sync_with(relay)

    def _merge_leaving(self, report: PeerReport, way: Way) -> None:
        """Merge the endpoints that began to leave, or were removed, according to a peer."""
        if not report.leaving_endpoints and not report.removed_endpoints:
            return
        knowledge = self._reported.knowledge
        origin = Provenance(
            Source.PEER,
            report.vm_id,
            way=way,
            max_delay=knowledge.endpoints_age(),
            transit=self._reported.peers.cluster_time() - report.wall,
            sender_age=report.ages[1],
        )
        knowledge.endpoints.merge_leaving(report.leaving_endpoints, origin)
        knowledge.endpoints.merge_removed(report.removed_endpoints, origin)

    def _apply_rollouts(self, report: PeerReport) -> None:
        """Merge a peer's rollouts, and read those from the store that are newer there."""
        if self._reported.rollouts.merge_update(report.rollouts):
            self._reported.knowledge.reload_rollouts()
