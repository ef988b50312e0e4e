"""Graceful shutdown of an entry process: finish requests in time, hand over the others."""

from collections.abc import Callable
from enum import StrEnum

from flamingofront.process.membership import Fact
from flamingofront.process.metrics import Metrics
from flamingofront.process.tasks import TaskRunner
from flamingofront.process.timers import Timer, TimerService
from flamingofront.request.active import ActiveRequest
from flamingofront.request.handover import (
    HandoverResult,
    HandoverTarget,
    offer_record,
    rank_targets,
)
from flamingofront.request.hub import RequestHub
from flamingofront.request.model_request import ModelRequest

__all__ = ["DrainController", "DrainState"]

HANDOVER_RETRY_SECONDS = 0.5


class DrainState(StrEnum):
    """Drain state of an entry process."""

    OPEN = "open"
    DRAINING = "draining"
    HANDING_OVER = "handing_over"
    DRAINED = "drained"


class DrainController:
    """Drains an entry process.

    Parameters
    ----------
    peers : callable
        Returns the peers that may receive requests by handover.
    headers : tuple
        Headers that authorize calls to peers.
    on_drained : callable
        Called when no request is left in this process.
    """

    def __init__(
        self,
        own_id: str,
        zone: str,
        hub: RequestHub,
        tasks: TaskRunner,
        timers: TimerService,
        metrics: Metrics,
        peers: Callable[[], tuple[Fact, ...]],
        headers: tuple[tuple[str, str], ...],
        on_drained: Callable[[], None],
    ):
        self.state = DrainState.OPEN
        self._own_id = own_id
        self._zone = zone
        self._hub = hub
        self._tasks = tasks
        self._timers = timers
        self._metrics = metrics
        self._peers = peers
        self._headers = headers
        self._on_drained = on_drained
        self._timer: Timer | None = None
        self._avoid_zone: str | None = None

    @property
    def is_open(self) -> bool:
        """True if new requests are accepted."""
        return self.state is DrainState.OPEN

    def begin(self, seconds: float, zone_is_leaving: bool = False) -> None:
        """Reject new requests; hand over those still in flight after `seconds`.

        Parameters
        ----------
        seconds : float
            Time until the handover starts.
        zone_is_leaving : bool
            True if at least half of the zone is leaving: peers in other zones are preferred.

        Notes
        -----
        A later call with less time brings the handover forward; one with more time has no effect.
        """
        if self.state in (DrainState.HANDING_OVER, DrainState.DRAINED):
            return
        if zone_is_leaving:
            self._avoid_zone = self._zone
        due = self._timers.now() + max(0.0, seconds)
        if self._timer is not None and self._timer.due <= due:
            return
        if self._timer is not None:
            self._timer.cancel()
        self.state = DrainState.DRAINING
        self._timer = self._timers.once(seconds, self._hand_over_all)
        self.finish_if_idle()

    def reopen(self) -> None:
        """Accept new requests again, unless a handover is in progress."""
        if self.state is DrainState.HANDING_OVER:
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self.state = DrainState.OPEN

    def finish_if_idle(self) -> None:
        """Complete the drain if no request is left."""
        ending = self.state in (DrainState.DRAINING, DrainState.HANDING_OVER)
        if ending and not self._hub.active:
            self.state = DrainState.DRAINED
            if self._timer is not None:
                self._timer.cancel()
            self._on_drained()

    def _hand_over_all(self) -> None:
        self.state = DrainState.HANDING_OVER
        for request in list(self._hub.active.values()):
            if isinstance(request, ModelRequest) and request.can_hand_over:
                self.hand_over(request)
        self.finish_if_idle()
        if self.state is DrainState.HANDING_OVER:
            self._timer = self._timers.once(HANDOVER_RETRY_SECONDS, self._hand_over_all)

    def hand_over(self, request: ActiveRequest) -> None:
        """Freeze a request and offer its record to peers."""
        targets = rank_targets(request.request_id, self._peers(), self._avoid_zone)
        if not targets:
            self._metrics.count("handovers_total", result="no_peer")
            return
        record = request.freeze()
        task = offer_record(record, self._own_id, targets, self._headers, self._timers.now)
        self._tasks.start(task, lambda outcome: self._handle_offer_result(request, *outcome))

    def _handle_offer_result(
        self, request: ActiveRequest, result: HandoverResult, target: HandoverTarget | None
    ) -> None:
        self._metrics.count("handovers_total", result=result.value)
        if result is HandoverResult.NOT_TAKEN:
            # No peer accepted the record, so the request can safely continue in this process.
            self._hub.resume_frozen(request)
            return
        self._hub.record_move(request.request_id, target.vm_id)
        request.notify_moved()
        self.finish_if_idle()
