"""Permits that the attempts of one request ask for, before they are sent."""

from typing import TYPE_CHECKING

from flamingofront.decisions.choice import Candidate
from flamingofront.messages import StartAttempt
from flamingofront.request.permits import Permit

if TYPE_CHECKING:
    from flamingofront.request.active import ActiveRequest

__all__ = ["PermitClaims"]

# Endpoints with a limit that one attempt asks for a permit: each costs a way there and back.
MAX_CLAIMS = 4


class PermitClaims:
    """Asks for permits on behalf of one request, one at a time."""

    def __init__(self, request: "ActiveRequest"):
        self._request = request
        self._attempt_id: str | None = None
        self._count = 0

    def exhausted(self, order: StartAttempt) -> bool:
        """Tell whether an attempt has asked often enough: it goes where no permit is needed."""
        return self._attempt_id == order.attempt_id and self._count >= MAX_CLAIMS

    def ask(self, order: StartAttempt, chosen: Candidate) -> None:
        """Ask whether an endpoint with a limit takes one more request."""
        if self._attempt_id != order.attempt_id:
            self._attempt_id, self._count = order.attempt_id, 0
        self._count += 1
        request = self._request
        request.hub.permits.claim(
            chosen.endpoint_id,
            request.ticket.share.priority,
            max(0.0, request.machine.facts.choose_until - request.hub.now()),
            lambda permit: self._decided(order, chosen, permit),
        )

    def _is_current(self, order: StartAttempt) -> bool:
        return not self._request.done and self._request.machine.attempt_id == order.attempt_id

    def _decided(self, order: StartAttempt, chosen: Candidate, permit: Permit) -> None:
        if permit.given and permit.decision.delay > 0 and self._is_current(order):
            self._request.hub.timers.once(
                permit.decision.delay, lambda: self._use(order, chosen, permit)
            )
        elif permit.given:
            self._use(order, chosen, permit)
        elif self._is_current(order):
            self._log_refusal(order, permit)
            self._request.place(order)

    def _use(self, order: StartAttempt, chosen: Candidate, permit: Permit) -> None:
        """Send an attempt whose turn has come, if it is still wanted and the endpoint takes it."""
        hub = self._request.hub
        if self._is_current(order) and hub.accepts_requests(chosen.endpoint_id):
            self._request.launch(order, chosen)
            return
        hub.permits.return_unused(permit)
        if self._is_current(order):
            self._request.place(order)

    def _log_refusal(self, order: StartAttempt, permit: Permit) -> None:
        self._request.log.info(
            "permit refused",
            attempt=order.attempt_id,
            endpoint=permit.endpoint_id,
            rate_limit=permit.rate,
            priority=self._request.ticket.share.priority,
            arbiter=permit.decision.arbiter,
            wait=round(permit.decision.wait, 3),
        )
