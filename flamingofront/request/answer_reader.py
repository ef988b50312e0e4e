"""What an endpoint answers to one attempt of a forwarded request, event by event."""

from typing import TYPE_CHECKING

from flamingofront.connection.interfaces import CallEvent
from flamingofront.errors import Ran
from flamingofront.messages import CallFailed, ResponseData, ResponseEnd, ResponseHead
from flamingofront.request.forward_work import EndpointAnswer, RelayedAnswer

if TYPE_CHECKING:
    from flamingofront.request.forwarded_request import ForwardedRequest

__all__ = ["FIRST_ERROR_STATUS", "ResponseReader"]

FIRST_ERROR_STATUS = 500
MAX_WHOLE_BYTES = 8 * 1024 * 1024


class ResponseReader:
    """Take the events of one attempt."""

    def __init__(self, request: "ForwardedRequest", attempt_id: str):
        self._request = request
        self._attempt_id = attempt_id
        self._endpoint_id = request.endpoint_id
        self._sent_at = request.hub.now()
        self._answer: EndpointAnswer | None = None
        self._parts: list[bytes] = []
        self._size = 0
        request.relay.discard_partial_event()

    def __call__(self, event: CallEvent) -> None:
        """Take one event; the last one ends the attempt."""
        if isinstance(event, ResponseHead):
            self._take_head(event)
        elif isinstance(event, ResponseData):
            self._take_data(event.data)
        elif isinstance(event, ResponseEnd):
            self._take_end()
        else:
            self._take_failure(event)

    def _lost(self, ran: Ran, reason: str) -> None:
        self._request.lost(self._attempt_id, ran, reason)

    def _take_head(self, head: ResponseHead) -> None:
        answer = self._request.protocol.judge(self._request.work.caller_id, head)
        if not answer.crossed and not answer.wrong_endpoint:
            # Before the attempt ends: the next one is chosen by it.
            self._take_limit(answer)
            self._take_availability(answer)
        if answer.crossed:
            self._lost(Ran.UNKNOWN, "crossed answer")
        elif answer.wrong_endpoint:
            self._request.hub.directory.mark_address_reused(self._request.endpoint_id)
            self._lost(Ran.NO, "another endpoint has the address")
        elif answer.not_run:
            self._lost(Ran.NO, f"refused with status {answer.status}")
        else:
            self._answer = answer
        if not answer.crossed:
            directory = self._request.hub.directory
            directory.record_contact(self._request.endpoint_id, self._request.hub.now())

    def _take_limit(self, answer: EndpointAnswer) -> None:
        """Take what the endpoint says of the rate that it takes, whatever else it answers."""
        if answer.names_limit and answer.rate_limit is None:
            return
        self._request.hub.limits.record_response(
            self._endpoint_id, answer.rate_limit, self._sent_at, self._request.request_id
        )

    def _take_availability(self, answer: EndpointAnswer) -> None:
        """Take what the endpoint says of further requests: none at all, or none for a while."""
        request = self._request
        if answer.leaving:
            request.hub.on_endpoint_leaving(self._endpoint_id, request.request_id)
        if answer.pause is not None:
            request.hub.backoffs.start(self._endpoint_id, answer.pause, request.request_id)
        else:
            request.hub.backoffs.record_response(self._endpoint_id, self._sent_at)

    @property
    def _is_stream(self) -> bool:
        return self._answer.stream and self._answer.status == 200

    def _take_data(self, data: bytes) -> None:
        if self._is_stream:
            self._relay(data)
            return
        self._parts.append(data)
        self._size += len(data)
        if self._size > MAX_WHOLE_BYTES:
            self._lost(Ran.UNKNOWN, "the answer is too large")

    def _relay(self, data: bytes) -> None:
        try:
            whole = self._request.relay.feed(data)
        except ValueError as exc:
            self._lost(Ran.UNKNOWN, str(exc))
            return
        if whole:
            self._request.pass_events(self._attempt_id, self._answer, whole)

    def _take_end(self) -> None:
        answer = self._answer
        body = b"".join(self._parts)
        complete = RelayedAnswer(answer.status, answer.fields, body)
        if self._is_stream and (
            self._request.relay.has_partial_event or not self._request.relay.count
        ):
            self._request.connection_broke(self._attempt_id)
            self._lost(Ran.UNKNOWN, "the stream ended within an event")
        elif self._request.begun and not self._is_stream:
            self._lost(Ran.UNKNOWN, f"the stream went on with status {answer.status}")
        elif answer.status >= FIRST_ERROR_STATUS:
            self._request.endpoint_error(self._attempt_id, complete)
        else:
            self._request.answered(self._attempt_id, complete)

    def _take_failure(self, event: CallFailed) -> None:
        self._request.call_failed(self._attempt_id, event)
