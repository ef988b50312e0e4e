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
        self._claim_count = 0

    def is_exhausted(self, action: StartAttempt) -> bool:
        """Tell whether an attempt has asked often enough: it goes where no permit is needed."""
        return self._attempt_id == action.attempt_id and self._claim_count >= MAX_CLAIMS

    def claim_permit(self, action: StartAttempt, chosen: Candidate) -> None:
        """Ask whether an endpoint with a limit takes one more request."""
        if self._attempt_id != action.attempt_id:
            self._attempt_id, self._claim_count = action.attempt_id, 0
        self._claim_count += 1
        request = self._request
        request.hub.permits.claim(
            chosen.endpoint_id,
            request.ticket.share.priority,
            max(0.0, request.machine.facts.choose_until - request.hub.now()),
            lambda permit: self._on_decision(action, chosen, permit),
        )

    def _is_current(self, action: StartAttempt) -> bool:
        return not self._request.done and self._request.machine.attempt_id == action.attempt_id

    def _on_decision(self, action: StartAttempt, chosen: Candidate, permit: Permit) -> None:
        if permit.is_granted and permit.decision.delay > 0 and self._is_current(action):
            self._request.hub.timers.once(
                permit.decision.delay, lambda: self._send_or_return(action, chosen, permit)
            )
        elif permit.is_granted:
            self._send_or_return(action, chosen, permit)
        elif self._is_current(action):
            self._log_denial(action, permit)
            self._request.place(action)

    def _send_or_return(self, action: StartAttempt, chosen: Candidate, permit: Permit) -> None:
        """Send an attempt whose turn has come, if it is still wanted and the endpoint takes it."""
        hub = self._request.hub
        if self._is_current(action) and hub.accepts_requests(chosen.endpoint_id):
            self._request.launch(action, chosen)
            return
        hub.permits.return_unused(permit)
        if self._is_current(action):
            self._request.place(action)

    def _log_denial(self, action: StartAttempt, permit: Permit) -> None:
        self._request.log.info(
            "permit refused",
            attempt=action.attempt_id,
            endpoint=permit.endpoint_id,
            rate_limit=permit.rate,
            priority=self._request.ticket.share.priority,
            arbiter=permit.decision.arbiter,
            wait=round(permit.decision.wait, 3),
        )
