"""A call of a plain service in flight."""

from collections.abc import Callable

from flamingofront.connection.interfaces import CallEvent
from flamingofront.decisions.choice import Candidate
from flamingofront.errors import Executed
from flamingofront.messages import BufferedResponse, CallFailed, OutboundCall, StartAttempt
from flamingofront.process.tasks import Reply, ReplyCollector
from flamingofront.request.active import ActiveRequest
from flamingofront.request.records import PlainWork
from flamingofront.request.stored_answer import StoredAnswer

__all__ = ["PlainRequest"]

NOT_RUN_HEADER = "x-not-run"


class PlainRequest(ActiveRequest):
    """A call of a plain service."""

    @property
    def work(self) -> PlainWork:
        """What the service is asked for."""
        return self.record.work

    def prefix_blocks(self) -> tuple[str, ...]:
        """Return no blocks: plain services have no prefix cache."""
        return ()

    def _call(self, action: StartAttempt, chosen: Candidate) -> OutboundCall:
        headers = (*self.work.headers, ("X-Request-Id", self.request_id))
        return OutboundCall(
            chosen.address,
            self.work.method,
            self.work.path,
            self.work.body,
            headers,
            self.record.service.call_timeout,
            new_connection=self.needs_fresh_connection,
        )

    def _listener(self, attempt_id: str, chosen: Candidate) -> Callable[[CallEvent], None]:
        return ReplyCollector(lambda reply: self._replied(attempt_id, reply))

    def _replied(self, attempt_id: str, reply: Reply) -> None:
        """Take the complete response of the service, or the failure of the call."""
        if isinstance(reply, CallFailed):
            self.handle_call_failure(attempt_id, reply)
        elif reply.headers.get(NOT_RUN_HEADER) == "true":
            self.fail_attempt(attempt_id, Executed.NO, "refused")
        elif reply.headers.get("x-request-id", self.request_id) != self.request_id:
            self.fail_attempt(attempt_id, Executed.UNKNOWN, "crossed answer")
        else:
            self._answered(attempt_id, reply)

    def _answered(self, attempt_id: str, reply: BufferedResponse) -> None:
        if not self.machine.accept_response(attempt_id):
            return
        self.hub.directory.health.record_success(self.endpoint_id)
        self.hub.guard.record_response(self.fingerprint)
        self.hub.metrics.observe("first_token_seconds", self.hub.now() - self.accepted_at)
        content_type = reply.headers.get("content-type", "application/octet-stream")
        self._settle(StoredAnswer(reply.status, content_type, reply.body), None)

    def _complete(self) -> None:
        raise AssertionError("a plain request is completed by its answer")
