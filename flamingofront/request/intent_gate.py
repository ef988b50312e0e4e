"""Requests that are recorded before they are sent, as the attempts see it."""

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


class RecordOutcome(StrEnum):
    """What became of a record at the moment at which its request may be sent."""

    STORED = "done"
    """The store has it."""
    CONCURRENT = "beside"
    """The record is on its way: no earlier send of the request is known."""
    TIMED_OUT = "late"
    """The store has not answered in time, or before; the record follows the request."""
    RATE_LIMITED = "paced"
    """The store is asked no more often for now; the record follows the request."""
    NOT_NEEDED = "needless"
    """An endpoint has answered the request meanwhile."""


@dataclass(frozen=True)
class SendDetails:
    """What is recorded of an attempt: the request's fingerprint, and where it goes."""

    fingerprint: str
    endpoint_id: str
    address: str
    zone: str


class IntentHandle(ABC):
    """A record that was asked for."""

    @abstractmethod
    def withdraw(self) -> None:
        """Take note that the request was not sent."""

    @abstractmethod
    def close(self) -> None:
        """Take note that the endpoint has the request no more, as far as is known here."""


class IntentLog(ABC):
    """Records requests before they are sent."""

    @abstractmethod
    def requires_record(self, fingerprint: str, service: str) -> bool:
        """Tell whether a request to a service has to be recorded."""

    @abstractmethod
    def record_send(
        self, details: SendDetails, on_ready: Callable[[RecordOutcome], None]
    ) -> IntentHandle:
        """Record a request; `on_ready` is called, later, when it may be sent."""

    @abstractmethod
    def record_response(self, fingerprint: str) -> None:
        """Take note that an endpoint has answered a request."""

    @abstractmethod
    def known_records(self) -> tuple[IntentRecord, ...]:
        """Return what is known to be recorded."""

    @abstractmethod
    def count_waiting(self, fingerprint: str) -> int:
        """Return how many requests wait for a record, or for the outcome of earlier sends."""

    @abstractmethod
    def record_crash(self, endpoint_id: str) -> None:
        """Take note that an endpoint has ended without notice."""

    @abstractmethod
    def record_unobserved_crash(self, endpoint_id: str) -> None:
        """Take note of an end about a restart at which nobody knows of a request."""


class NullIntentLog(IntentLog):
    """Records nothing: a process without a store."""

    def requires_record(self, fingerprint: str, service: str) -> bool:
        """Tell whether a request has to be recorded."""
        return False

    def record_send(
        self, details: SendDetails, on_ready: Callable[[RecordOutcome], None]
    ) -> IntentHandle:
        """Raise, as nothing can be recorded."""
        raise RuntimeError("there is no store to record a request in")

    def record_response(self, fingerprint: str) -> None:
        """Take note of nothing."""

    def known_records(self) -> tuple[IntentRecord, ...]:
        """Return nothing."""
        return ()

    def count_waiting(self, fingerprint: str) -> int:
        """Return zero."""
        return 0

    def record_crash(self, endpoint_id: str) -> None:
        """Take note of nothing."""

    def record_unobserved_crash(self, endpoint_id: str) -> None:
        """Take note of nothing."""


class AttemptIntents:
    """Records the attempts of one request, one at a time."""

    def __init__(self, request: "ActiveRequest"):
        self._request = request
        # Records that were asked for, by attempt, and that of the attempt which was sent.
        self._pending: dict[str, IntentHandle] = {}
        self._sent: IntentHandle | None = None

    def requires_record(self) -> bool:
        """Tell whether the next attempt has to be recorded before it is sent."""
        request = self._request
        return request.hub.guard.intents.requires_record(
            request.fingerprint, request.record.service.name
        )

    def record_attempt(self, action: StartAttempt, chosen: Candidate) -> None:
        """Record an attempt, and send it then."""
        request, asked_at = self._request, self._request.hub.now()
        details = SendDetails(request.fingerprint, chosen.endpoint_id, chosen.address, chosen.zone)
        self._pending[action.attempt_id] = request.hub.guard.intents.record_send(
            details, lambda outcome: self._on_recorded(action, chosen, outcome, asked_at)
        )

    def _on_recorded(
        self, action: StartAttempt, chosen: Candidate, outcome: RecordOutcome, asked_at: float
    ) -> None:
        request, handle = self._request, self._pending.pop(action.attempt_id)
        if request.done or request.machine.attempt_id != action.attempt_id:
            handle.withdraw()
            return
        request.log.info(
            "send recorded",
            attempt=action.attempt_id,
            endpoint=chosen.endpoint_id,
            result=outcome.value,
            wait_ms=round((request.hub.now() - asked_at) * 1000, 1),
        )
        if request.is_held:
            handle.withdraw()
            request.held_back()
        elif request.hub.accepts_requests(chosen.endpoint_id):
            self._sent = handle
            request.send(action, chosen)
        else:
            handle.withdraw()
            request.place(action)

    def withdraw(self) -> None:
        """Take note that the endpoint did not get the current attempt, or did not run it."""
        handle, self._sent = self._sent, None
        if handle is not None:
            handle.withdraw()

    def close_current(self) -> None:
        """Take note that the current attempt is over."""
        handle, self._sent = self._sent, None
        if handle is not None:
            handle.close()
