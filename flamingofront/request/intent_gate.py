"""Write-ahead log of sends, as the attempts use it.

Some requests are recorded before they are sent, so that crashes can be attributed to them even if
the sending process fails too.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from flamingofront.decisions.choice import Candidate
from flamingofront.decisions.send_intents import IntentRecord
from flamingofront.messages import StartAttempt

if TYPE_CHECKING:
    from flamingofront.request.active import ActiveRequest

__all__ = [
    "AttemptIntents",
    "IntentLog",
    "IntentHandle",
    "NullIntentLog",
    "RecordOutcome",
    "SendDetails",
]


# Prompts may hold hundreds of parts, and a transaction many records.
MAX_RECORDED_PARTS = 16


class RecordOutcome(StrEnum):
    """State of the record of a send at the time at which the request may be sent."""

    STORED = "done"
    """The store has acknowledged the record."""
    CONCURRENT = "beside"
    """The record is written concurrently, because no earlier send of the request is known."""
    TIMED_OUT = "late"
    """The store did not respond in time, now or before; the record is written after the send."""
    RATE_LIMITED = "paced"
    """The rate limit for store writes is reached; the record is written after the send."""
    NOT_NEEDED = "needless"
    """An endpoint has responded to the same request meanwhile."""


@dataclass(frozen=True)
class SendDetails:
    """Recorded details of an attempt: the fingerprint and parts of the request, and its target."""

    fingerprint: str
    endpoint_id: str
    address: str
    zone: str
    parts: tuple[str, ...] = ()


class IntentHandle(ABC):
    """Handle of the record of one send."""

    @abstractmethod
    def withdraw(self) -> None:
        """Remove the record because the request was not sent or not run."""

    @abstractmethod
    def close(self) -> None:
        """Record that the endpoint no longer has the request, as far as this process knows."""


class IntentLog(ABC):
    """Records requests before they are sent to an endpoint."""

    @abstractmethod
    def requires_record(self, fingerprint: str, service: str) -> bool:
        """Return True if a request to a service has to be recorded before it is sent."""

    @abstractmethod
    def record_send(
        self, details: SendDetails, on_ready: Callable[[RecordOutcome], None]
    ) -> IntentHandle:
        """Record a send and call `on_ready`, always later, when the request may be sent."""

    @abstractmethod
    def record_response(self, fingerprint: str) -> None:
        """Record that an endpoint has responded to a request."""

    @abstractmethod
    def known_records(self) -> tuple[IntentRecord, ...]:
        """Return the intents that are in the store, as far as this process knows."""

    @abstractmethod
    def count_waiting(self, fingerprint: str) -> int:
        """Return the number of requests that wait for their record or for earlier sends."""

    @abstractmethod
    def record_crash(self, endpoint_id: str) -> None:
        """Record that an endpoint has crashed."""

    @abstractmethod
    def record_unobserved_crash(self, endpoint_id: str) -> None:
        """Record an unobserved crash shortly before or after a restart of an entry process."""


class NullIntentLog(IntentLog):
    """Intent log of a process without a store; records nothing."""

    def requires_record(self, fingerprint: str, service: str) -> bool:
        """Return False."""
        return False

    def record_send(
        self, details: SendDetails, on_ready: Callable[[RecordOutcome], None]
    ) -> IntentHandle:
        """Raise an error, because there is no store."""
        raise RuntimeError("cannot record a send: the process has no store")

    def record_response(self, fingerprint: str) -> None:
        """Do nothing."""

    def known_records(self) -> tuple[IntentRecord, ...]:
        """Return an empty tuple."""
        return ()

    def count_waiting(self, fingerprint: str) -> int:
        """Return zero."""
        return 0

    def record_crash(self, endpoint_id: str) -> None:
        """Do nothing."""

    def record_unobserved_crash(self, endpoint_id: str) -> None:
        """Do nothing."""


class AttemptIntents:
    """Records the attempts of one request, one attempt at a time."""

    def __init__(self, request: "ActiveRequest"):
        self._request = request
        # Handles of pending records by attempt id, and the handle of the attempt that was sent.
        self._pending: dict[str, IntentHandle] = {}
        self._sent: IntentHandle | None = None

    def requires_record(self) -> bool:
        """Return True if the next attempt has to be recorded before it is sent."""
        request = self._request
        return request.hub.guard.intents.requires_record(
            request.fingerprint, request.record.service.name
        )

    def record_attempt(self, action: StartAttempt, chosen: Candidate) -> None:
        """Record an attempt, then send it."""
        request, asked_at = self._request, self._request.hub.now()
        details = SendDetails(
            request.fingerprint,
            chosen.endpoint_id,
            chosen.address,
            chosen.zone,
            request.identity.parts[:MAX_RECORDED_PARTS],
        )
        self._pending[action.attempt_id] = request.hub.guard.intents.record_send(
            details, lambda outcome: self._on_recorded(action, chosen, outcome, asked_at)
        )

    def _on_recorded(
        self, action: StartAttempt, chosen: Candidate, outcome: RecordOutcome, asked_at: float
    ) -> None:
        request, handle = self._request, self._pending.pop(action.attempt_id)
        if not request.is_current(action.attempt_id):
            handle.withdraw()
            return
        request.log.info(
            "send recorded",
            attempt=action.attempt_id,
            endpoint=chosen.endpoint_id,
            result=outcome.value,
            wait_ms=round((request.hub.now() - asked_at) * 1000, 1),
        )
        if request.is_quarantined:
            handle.withdraw()
            request.fail_quarantined()
        elif request.hub.accepts_requests(chosen.endpoint_id):
            self._sent = handle
            request.send_attempt(action, chosen)
        else:
            handle.withdraw()
            request.dispatch_attempt(action)

    def withdraw(self) -> None:
        """Remove the record of the current attempt, which was not received or not run."""
        handle, self._sent = self._sent, None
        if handle is not None:
            handle.withdraw()

    def close_current(self) -> None:
        """Record that the endpoint no longer has the request of the current attempt."""
        handle, self._sent = self._sent, None
        if handle is not None:
            handle.close()
