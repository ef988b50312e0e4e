"""Reader of the response of an endpoint to one attempt of a forwarded request."""

from typing import TYPE_CHECKING

from flamingofront.connection.interfaces import CallEvent
from flamingofront.errors import Executed
from flamingofront.messages import CallFailed, ResponseData, ResponseEnd, ResponseHead
from flamingofront.request.forward_work import EndpointResponse, EndpointResponseHead
from flamingofront.request.response_memory import CollectedResponse

if TYPE_CHECKING:
    from flamingofront.request.forwarded_request import ForwardedRequest

__all__ = ["FIRST_ERROR_STATUS", "ResponseReader"]

FIRST_ERROR_STATUS = 500
MAX_RESPONSE_BYTES = 8 * 1024 * 1024


class ResponseReader(CollectedResponse):
    """Handles the transport events of one attempt and reports its outcome to the request."""

    def __init__(self, request: "ForwardedRequest", attempt_id: str):
        self._request = request
        self._attempt_id = attempt_id
        self._endpoint_id = request.endpoint_id
        self._sent_at = request.hub.now()
        self._response: EndpointResponseHead | None = None
        self._chunks: list[bytes] = []
        self._received_bytes = 0
        request.relay.discard_partial_event()

    def __call__(self, event: CallEvent) -> None:
        """Handle one event; `ResponseEnd` and `CallFailed` end the attempt."""
        if isinstance(event, ResponseHead):
            self._on_head(event)
        elif isinstance(event, ResponseData):
            self._on_data(event.data)
        elif isinstance(event, ResponseEnd):
            self._on_end()
        else:
            self._on_failure(event)

    def _fail_attempt(self, ran: Executed, reason: str) -> None:
        self._request.fail_attempt(self._attempt_id, ran, reason)

    def _on_head(self, head: ResponseHead) -> None:
        is_direct = self._request.has_direct_attempt
        response = self._request.protocol.decode_response_head(self._request.work.caller_id, head)
        if not response.is_mismatched and not response.wrong_endpoint:
            # Applied before the attempt ends, because the next choice of an endpoint depends on it.
            self._apply_rate_limit(response)
            self._apply_availability(response)
        if response.is_mismatched:
            self._fail_attempt(Executed.UNKNOWN, "crossed answer")
        elif response.wrong_endpoint:
            self._request.hub.directory.mark_address_reused(self._request.endpoint_id)
            self._fail_attempt(Executed.NO, "another endpoint has the address")
        elif response.not_run and self._request.may_be_repeated_rejection(head):
            self._fail_attempt(Executed.UNKNOWN, "may repeat an earlier rejection")
        elif response.not_run:
            self._request.record_rejection()
            self._fail_attempt(Executed.NO, f"refused with status {response.status}")
        else:
            self._response = response
        self._request.has_response = True
        if not response.is_mismatched:
            self._request.record_contact(is_direct)
            if not head.reused and is_direct:
                self._request.hub.paths.monitor.record_connected(self._request.endpoint_id)

    def _apply_rate_limit(self, response: EndpointResponseHead) -> None:
        """Store the rate limit that the response advertises, whatever its status.

        A malformed limit is ignored; a response without one ends the stored limit.
        """
        is_malformed = response.has_rate_limit_header and response.rate_limit is None
        if is_malformed and response.max_rejections is None:
            return
        self._request.hub.limits.record_response(
            self._endpoint_id,
            response.rate_limit,
            self._sent_at,
            self._request.request_id,
            response.max_rejections,
        )

    def _apply_availability(self, response: EndpointResponseHead) -> None:
        """Record that the endpoint is leaving, or that it asks for or ends a back-off."""
        request = self._request
        if response.leaving:
            request.hub.on_endpoint_leaving(self._endpoint_id, request.request_id)
        if response.backoff_seconds is not None:
            request.hub.backoffs.start(
                self._endpoint_id, response.backoff_seconds, request.request_id
            )
        else:
            request.hub.backoffs.record_response(self._endpoint_id, self._sent_at)

    @property
    def _is_stream(self) -> bool:
        return self._response.stream and self._response.status == 200

    def _on_data(self, data: bytes) -> None:
        if self._request.is_current(self._attempt_id):
            self._request.record_contact(self._request.has_direct_attempt)
        if self._is_stream:
            self._relay_events(data)
            return
        self._chunks.append(data)
        self._received_bytes += len(data)
        if self._received_bytes > MAX_RESPONSE_BYTES:
            self.give_up("the answer is too large")
        else:
            self._request.hub.response_memory.record(self, self._received_bytes)

    def give_up(self, reason: str) -> None:
        """End the attempt because of the size or the order of its answer."""
        self._release()
        self._request.record_abandoned()
        self._fail_attempt(Executed.UNKNOWN, reason)

    def _release(self) -> None:
        """Drop what was received, but for an incomplete event, which is the request's."""
        self._chunks.clear()
        self._request.hub.response_memory.forget(self)

    def _relay_events(self, data: bytes) -> None:
        try:
            events = self._request.relay.feed(data)
        except ValueError as exc:
            self.give_up(str(exc))
            return
        if events:
            self._request.forward_events(self._attempt_id, self._response, events)
        is_current = self._request.is_current(self._attempt_id)
        self._count_partial_event(self._request.relay.partial_bytes if is_current else 0)

    def _count_partial_event(self, size: int) -> None:
        """Record the size of an incomplete event, which may end this attempt or another one."""
        if size != self._received_bytes:
            self._received_bytes = size
            self._request.hub.response_memory.forget(self)
            self._request.hub.response_memory.record(self, size)

    def _on_end(self) -> None:
        response = self._response
        body = b"".join(self._chunks)
        self._release()
        complete = EndpointResponse(response.status, response.fields, body)
        if self._is_stream and (
            self._request.relay.has_partial_event or not self._request.has_any_event
        ):
            self._request.report_connection_loss(self._attempt_id)
            self._fail_attempt(Executed.UNKNOWN, "the stream ended within an event")
        elif self._request.has_sent_events and not self._is_stream:
            self._fail_attempt(
                Executed.UNKNOWN, f"the stream went on with status {response.status}"
            )
        elif response.is_refusal and not self._request.work.repeatable:
            # The status would promise to the caller what the endpoint does not state.
            reason = f"status {response.status} without a statement that it did not run"
            self._fail_attempt(Executed.UNKNOWN, reason)
        elif response.status >= FIRST_ERROR_STATUS:
            self._request.handle_endpoint_error(self._attempt_id, complete)
        else:
            self._request.complete_response(self._attempt_id, complete)

    def _on_failure(self, event: CallFailed) -> None:
        self._release()
        self._request.handle_call_failure(self._attempt_id, event)
