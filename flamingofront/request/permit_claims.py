"""Permit claims of the attempts of one request, for endpoints with a rate limit."""

from typing import TYPE_CHECKING

from flamingofront.decisions.choice import Candidate
from flamingofront.messages import StartAttempt
from flamingofront.request.permits import Permit

if TYPE_CHECKING:
    from flamingofront.request.active import ActiveRequest

__all__ = ["PermitClaims"]

# Each claim of an attempt costs a round trip to an arbiter.
MAX_CLAIMS = 4


class PermitClaims:
    """Claims permits for the attempts of one request, one claim at a time."""

    def __init__(self, request: "ActiveRequest"):
        self._request = request
        self._attempt_id: str | None = None
        self._claim_count = 0
        self._held: Permit | None = None
        self._was_rejected = False

    def record_rejection(self) -> None:
        """Record that the endpoint rejected the current attempt for want of room."""
        self._was_rejected = True

    def release(self) -> None:
        """Return the permit of the attempt that has ended, if it needed one."""
        permit, self._held = self._held, None
        was_rejected, self._was_rejected = self._was_rejected, False
        if permit is not None:
            self._request.hub.permits.release(permit, was_rejected)

    def return_unused(self) -> None:
        """Return the permit of an attempt that was withdrawn, if it needed one."""
        permit, self._held = self._held, None
        if permit is not None:
            self._request.hub.permits.return_unused(permit)

    def is_exhausted(self, action: StartAttempt) -> bool:
        """Return True if an attempt may claim no more permits.

        It then needs an endpoint without a rate limit.
        """
        return self._attempt_id == action.attempt_id and self._claim_count >= MAX_CLAIMS

    def claim_permit(self, action: StartAttempt, chosen: Candidate) -> None:
        """Claim a permit for the chosen endpoint; then send the attempt or choose again."""
        if self._attempt_id != action.attempt_id:
            self._attempt_id, self._claim_count = action.attempt_id, 0
        self._claim_count += 1
        request = self._request
        request.hub.permits.claim(
            chosen.endpoint_id,
            request.ticket.share.priority,
            max(0.0, request.machine.facts.choice_deadline - request.hub.now()),
            lambda permit: self._on_decision(action, chosen, permit),
            max(0.0, request.machine.facts.deadline - request.hub.now()),
        )

    def _is_current(self, action: StartAttempt) -> bool:
        return self._request.is_current(action.attempt_id)

    def _on_decision(self, action: StartAttempt, chosen: Candidate, permit: Permit) -> None:
        if permit.is_granted and permit.decision.delay > 0 and self._is_current(action):
            self._request.hub.timers.once(
                permit.decision.delay, lambda: self._send_or_return(action, chosen, permit)
            )
        elif permit.is_granted:
            self._send_or_return(action, chosen, permit)
        elif self._is_current(action):
            self._log_denial(action, permit)
            self._request.dispatch_attempt(action)

    def _send_or_return(self, action: StartAttempt, chosen: Candidate, permit: Permit) -> None:
        """Send the attempt if it is current and the endpoint accepts it, else return the permit."""
        hub = self._request.hub
        if self._is_current(action) and hub.accepts_requests(chosen.endpoint_id):
            self._held = permit
            self._request.record_and_send(action, chosen)
            return
        hub.permits.return_unused(permit)
        if self._is_current(action):
            self._request.dispatch_attempt(action)

    def _log_denial(self, action: StartAttempt, permit: Permit) -> None:
        self._request.log.info(
            "permit denied",
            attempt=action.attempt_id,
            endpoint=permit.endpoint_id,
            rate_limit=permit.rate,
            priority=self._request.ticket.share.priority,
            arbiter=permit.decision.arbiter,
            wait=round(permit.decision.wait, 3),
        )
