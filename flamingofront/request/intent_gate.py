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

    DONE = "done"
    """The store has it."""
    BESIDE = "beside"
    """The record is on its way: no earlier send of the request is known."""
    LATE = "late"
    """The store has not answered in time, or before; the record follows the request."""
    PACED = "paced"
    """The store is asked no more often for now; the record follows the request."""
    NEEDLESS = "needless"
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
    def ended(self) -> None:
        """Take note that the endpoint has the request no more, as far as is known here."""


class IntentLog(ABC):
    """Records requests before they are sent."""

    @abstractmethod
    def needed(self, fingerprint: str, service: str) -> bool:
        """Tell whether a request to a service has to be recorded."""

    @abstractmethod
    def record(self, facts: SendDetails, then: Callable[[RecordOutcome], None]) -> IntentHandle:
        """Record a request; `then` is called, later, when it may be sent."""

    @abstractmethod
    def answered(self, fingerprint: str) -> None:
        """Take note that an endpoint has answered a request."""

    @abstractmethod
    def records(self) -> tuple[IntentRecord, ...]:
        """Return what is known to be recorded."""

    @abstractmethod
    def waiting(self, fingerprint: str) -> int:
        """Return how many requests wait for a record, or for the outcome of earlier sends."""

    @abstractmethod
    def endpoint_ended(self, endpoint_id: str) -> None:
        """Take note that an endpoint has ended without notice."""

    @abstractmethod
    def record_unobserved_crash(self, endpoint_id: str) -> None:
        """Take note of an end about a restart at which nobody knows of a request."""


class NullIntentLog(IntentLog):
    """Records nothing: a process without a store."""

    def needed(self, fingerprint: str, service: str) -> bool:
        """Tell whether a request has to be recorded."""
        return False

    def record(self, facts: SendDetails, then: Callable[[RecordOutcome], None]) -> IntentHandle:
        """Raise, as nothing can be recorded."""
        raise RuntimeError("there is no store to record a request in")

    def answered(self, fingerprint: str) -> None:
        """Take note of nothing."""

    def records(self) -> tuple[IntentRecord, ...]:
        """Return nothing."""
        return ()

    def waiting(self, fingerprint: str) -> int:
        """Return zero."""
        return 0

    def endpoint_ended(self, endpoint_id: str) -> None:
        """Take note of nothing."""

    def record_unobserved_crash(self, endpoint_id: str) -> None:
        """Take note of nothing."""


class AttemptIntents:
    """Records the attempts of one request, one at a time."""

    def __init__(self, request: "ActiveRequest"):
        self._request = request
        # Records that were asked for, by attempt, and that of the attempt which was sent.
        self._asked: dict[str, IntentHandle] = {}
        self._sent: IntentHandle | None = None

    def needed(self) -> bool:
        """Tell whether the next attempt has to be recorded before it is sent."""
        request = self._request
        return request.hub.guard.intents.requires_record(
            request.fingerprint, request.record.service.name
        )

    def ask(self, order: StartAttempt, chosen: Candidate) -> None:
        """Record an attempt, and send it then."""
        request, began = self._request, self._request.hub.now()
        facts = SendDetails(request.fingerprint, chosen.endpoint_id, chosen.address, chosen.zone)
        self._asked[order.attempt_id] = request.hub.guard.intents.record(
            facts, lambda outcome: self._recorded(order, chosen, outcome, began)
        )

    def _recorded(
        self, order: StartAttempt, chosen: Candidate, outcome: RecordOutcome, began: float
    ) -> None:
        request, handle = self._request, self._asked.pop(order.attempt_id)
        if request.done or request.machine.attempt_id != order.attempt_id:
            handle.withdraw()
            return
        request.log.info(
            "send recorded",
            attempt=order.attempt_id,
            endpoint=chosen.endpoint_id,
            result=outcome.value,
            wait_ms=round((request.hub.now() - began) * 1000, 1),
        )
        if request.is_held:
            handle.withdraw()
            request.held_back()
        elif request.hub.accepts_requests(chosen.endpoint_id):
            self._sent = handle
            request.send(order, chosen)
        else:
            handle.withdraw()
            request.place(order)

    def withdraw(self) -> None:
        """Take note that the endpoint did not get the current attempt, or did not run it."""
        handle, self._sent = self._sent, None
        if handle is not None:
            handle.withdraw()

    def released(self) -> None:
        """Take note that the current attempt is over."""
        handle, self._sent = self._sent, None
        if handle is not None:
            handle.ended()
