"""Callers that come back for the rest of their answer, at any entry VM.

The text of a request has one holder. A process that is not the holder relays from it; it never
makes a fresh text from an offset.
"""

from collections.abc import Callable
from urllib.parse import quote

import orjson

from flamingofront.connection.interfaces import CallEvent, CallHandle, Exchange, Transport
from flamingofront.connection.server import JSON_HEADERS
from flamingofront.errors import ErrorKind, Executed, PlatformError, RequestError
from flamingofront.messages import OutboundCall, ResponseData, ResponseEnd, ResponseHead
from flamingofront.process.documents import DocumentStore
from flamingofront.process.tasks import Task, TaskRunner
from flamingofront.request.active import ActiveRequest
from flamingofront.request.attachments import (
    RELAY_HEADERS,
    Attachment,
    RelayAttachment,
    StreamAttachment,
    WholeAttachment,
    respond_error,
)
from flamingofront.request.hub import RequestHub
from flamingofront.request.jobs import JobState, JobStatus, fetch_job
from flamingofront.request.records import ModelWork
from flamingofront.request.stored_answer import StoredAnswer

__all__ = ["Reattachment", "parse_origin_vm"]

RELAY_SILENCE_SECONDS = 30.0
RETRY_SECONDS = 1.0


def parse_origin_vm(request_id: str) -> str:
    """Return the VM that accepted a request, which its id begins with."""
    return request_id.rpartition("~")[0]


class Reattachment:
    """Finds the holder of a request and attaches a caller to it.

    Parameters
    ----------
    holders : callable
        Returns the control addresses of the VMs that may hold a request, the likeliest first.
    peer_headers : tuple
        Headers that authorize calls to peers.
    """

    def __init__(
        self,
        hub: RequestHub,
        documents: DocumentStore,
        tasks: TaskRunner,
        transport: Transport,
        holders: Callable[[str], list[str]],
        peer_headers: tuple[tuple[str, str], ...] = (),
    ):
        self._hub = hub
        self._documents = documents
        self._tasks = tasks
        self._transport = transport
        self._holders = holders
        self._peer_headers = peer_headers

    def handle(
        self, request_id: str, workspace: str, offset: int, stream: bool, exchange: Exchange
    ) -> None:
        """Attach a caller to a request, here or at its holder."""
        if self._here(request_id, workspace, offset, stream, exchange):
            self._hub.metrics.count("reattachments_total", result="here")
            return
        search = _Search(self, request_id, workspace, offset, stream, exchange)
        search.next_holder()

    def relay(
        self, request_id: str, workspace: str, offset: int, stream: bool, exchange: Exchange
    ) -> bool:
        """Attach a peer to a request that is held here; False if it is not."""
        request = self._hub.active.get(request_id)
        if request is not None and request.record.workspace == workspace and not request.done:
            if not stream or not isinstance(request.record.work, ModelWork):
                line = {"running": True, "offset": request.machine.assembler.offset}
                exchange.respond(200, RELAY_HEADERS, orjson.dumps(line) + b"\n")
                return True
            _check_offset(offset, request.machine.assembler.offset)
            attachment = RelayAttachment(exchange, request_id, request.record.work, offset)
            _attach_at(request, attachment, offset)
            return True
        finished = self._hub.finished.get(request_id, self._hub.now())
        if finished is None or finished.workspace != workspace:
            return False
        work = finished.record.work
        if not isinstance(work, ModelWork):
            work = ModelWork("", (), 1, False)
        if stream:
            _check_offset(offset, len(finished.tokens))
        attachment = RelayAttachment(exchange, request_id, work, offset)
        attachment.tokens(offset, finished.tokens[offset:])
        attachment.complete(finished.answer)
        return True

    def _here(
        self, request_id: str, workspace: str, offset: int, stream: bool, exchange: Exchange
    ) -> bool:
        request = self._hub.active.get(request_id)
        if request is not None and request.record.workspace == workspace and not request.done:
            self._attach(request, offset, stream, exchange)
            return True
        finished = self._hub.finished.get(request_id, self._hub.now())
        if finished is None or finished.workspace != workspace:
            return False
        work = finished.record.work
        if stream and isinstance(work, ModelWork):
            _check_offset(offset, len(finished.tokens))
            attachment: Attachment = StreamAttachment(exchange, request_id, work, offset)
            attachment.tokens(offset, finished.tokens[offset:])
        else:
            attachment = WholeAttachment(exchange, request_id)
        attachment.detach()
        attachment.complete(finished.answer)
        return True

    def _attach(
        self, request: ActiveRequest, offset: int, stream: bool, exchange: Exchange
    ) -> None:
        work = request.record.work
        if stream and isinstance(work, ModelWork):
            attachment = StreamAttachment(exchange, request.request_id, work, offset)
            _attach_at(request, attachment, offset)
        else:
            _respond_running(exchange, request.request_id, request.machine.assembler.offset)

    def job_fetched(
        self,
        status: JobStatus | PlatformError | None,
        request_id: str,
        workspace: str,
        unreachable: bool,
        exchange: Exchange,
    ) -> None:
        """Answer from the job's row, the last place to look."""
        if isinstance(status, PlatformError):
            kind = ErrorKind.STORE_UNAVAILABLE
            exc = RequestError(kind, str(status), Executed.UNKNOWN, RETRY_SECONDS)
            self._refuse(exc, request_id, exchange)
        elif status is None or status.workspace != workspace:
            kind = ErrorKind.HOLDER_UNREACHABLE if unreachable else ErrorKind.UNKNOWN_REQUEST
            retry_after = RETRY_SECONDS if unreachable else None
            self._refuse(RequestError(kind, retry_after=retry_after), request_id, exchange)
        elif status.state is JobState.DONE and status.answer is not None:
            self._hub.metrics.count("reattachments_total", result="stored")
            _respond_stored(exchange, request_id, status.answer)
        else:
            _respond_running(exchange, request_id, 0)

    def _refuse(self, exc: RequestError, request_id: str, exchange: Exchange) -> None:
        self._hub.metrics.count("reattachments_total", result=exc.kind.value)
        respond_error(exchange, exc, request_id)

    def fetch_job(self, request_id: str) -> Task:
        """Return the status of a job, or the `PlatformError` that kept it from being read."""
        try:
            return (yield from fetch_job(self._documents, request_id))
        except PlatformError as exc:
            return exc

    def start_relay(
        self,
        address: str,
        request_id: str,
        workspace: str,
        offset: int,
        stream: bool,
        listener: Callable[[CallEvent], None],
    ) -> CallHandle:
        """Ask a peer for the text of a request."""
        position = f"workspace={quote(workspace)}&offset={offset}&stream={int(stream)}"
        path = f"/peer/requests/{quote(request_id)}?{position}"
        call = OutboundCall(
            address, "GET", path, b"", self._peer_headers, RELAY_SILENCE_SECONDS, stream=True
        )
        return self._transport.start(call, listener)


def _check_offset(offset: int, held: int) -> None:
    if offset > held:
        raise RequestError(
            ErrorKind.UNKNOWN_REQUEST, f"offset {offset} is beyond the text held here ({held})"
        )


def _attach_at(request: ActiveRequest, attachment: Attachment, offset: int) -> None:
    """Give a new reader what is there from its offset on, then all that follows."""
    tokens = request.machine.assembler.tokens
    _check_offset(offset, len(tokens))
    attachment.tokens(offset, tuple(tokens[offset:]))
    request.attach(attachment)


def _respond_running(exchange: Exchange, request_id: str, offset: int) -> None:
    body = {"id": request_id, "status": "running", "offset": offset}
    headers = (*JSON_HEADERS, ("Retry-After", "1"))
    exchange.respond(202, headers, orjson.dumps(body))


def _respond_stored(exchange: Exchange, request_id: str, answer: StoredAnswer) -> None:
    headers = (("Content-Type", answer.content_type), ("X-Request-Id", request_id))
    exchange.respond(answer.status, headers, answer.body)


class _Search:
    """Ask possible holders one after the other, then relay from the first that has the request."""

    def __init__(
        self,
        owner: Reattachment,
        request_id: str,
        workspace: str,
        offset: int,
        stream: bool,
        exchange: Exchange,
    ):
        self._owner = owner
        self.request_id = request_id
        self._workspace = workspace
        self._offset = offset
        self._stream = stream
        self._exchange = exchange
        self._left = owner._holders(request_id)
        self._unreachable = False

    def next_holder(self) -> None:
        """Ask the next possible holder, or look for a job if none is left."""
        if not self._left:
            self._look_for_job()
            return
        relay = _Relay(self, self._exchange)
        handle = self._owner.start_relay(
            self._left.pop(0),
            self.request_id,
            self._workspace,
            self._offset,
            self._stream,
            relay,
        )
        self._exchange.on_disconnect = handle.cancel

    def not_held(self, reachable: bool) -> None:
        """A peer doesn't hold the request or could not be asked."""
        self._unreachable = self._unreachable or not reachable
        self.next_holder()

    def _look_for_job(self) -> None:
        self._exchange.on_disconnect = None
        owner = self._owner
        owner._tasks.start(
            owner.fetch_job(self.request_id),
            lambda status: owner.job_fetched(
                status, self.request_id, self._workspace, self._unreachable, self._exchange
            ),
        )

    def reader(self, work: ModelWork) -> Attachment:
        """Return the attachment that fits what the caller wants."""
        self._owner._hub.metrics.count("reattachments_total", result="relayed")
        if self._stream and work.model:
            return StreamAttachment(self._exchange, self.request_id, work, self._offset)
        return WholeAttachment(self._exchange, self.request_id)


class _Relay:
    """Pass the lines of a holder on to the caller."""

    def __init__(self, search: _Search, exchange: Exchange):
        self._search = search
        self._exchange = exchange
        self._status = 0
        self._buffer = b""
        self._reader: Attachment | None = None
        self._finished = False

    def __call__(self, event: CallEvent) -> None:
        if isinstance(event, ResponseHead):
            self._status = event.status
        elif isinstance(event, ResponseData):
            if self._status == 200:
                self._take_lines(event.data)
        elif isinstance(event, ResponseEnd):
            self._ended(reachable=True)
        else:
            self._ended(reachable=False)

    def _ended(self, reachable: bool) -> None:
        if self._finished:
            return
        if self._reader is None:
            self._search.not_held(reachable)
        else:
            self._finished = True
            self._reader.detach()
            self._reader.moved(0)

    def _take_lines(self, data: bytes) -> None:
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        for line in lines:
            if line and not self._finished:
                self._take_line(orjson.loads(line))

    def _take_line(self, data: dict) -> None:
        if "work" in data:
            work = data["work"]
            gone = self._exchange.on_disconnect
            self._reader = self._search.reader(
                ModelWork(work["model"], (), 1, work["chat"], work["stream"])
            )
            self._exchange.on_disconnect = gone
        elif "running" in data:
            self._finished = True
            self._exchange.on_disconnect = None
            _respond_running(self._exchange, self._search.request_id, data["offset"])
        elif "tokens" in data:
            if not self._reader.tokens(data["offset"], tuple(data["tokens"])):
                self._finished = True
                self._reader.abort()
        else:
            self._finish(data)

    def _finish(self, data: dict) -> None:
        self._finished = True
        self._reader.detach()
        if data.get("done"):
            self._reader.complete(StoredAnswer(200, data["type"], data["body"].encode()))
        elif data.get("moved"):
            self._reader.moved(0)
        else:
            error = data["error"]
            self._reader.failed(
                RequestError(
                    ErrorKind(error["kind"]),
                    error["detail"],
                    Executed(error["ran"]),
                    data.get("retry_after"),
                )
            )
