"""Reattachment of callers that fetch the rest of their answer at any entry VM.

Exactly one process holds the text of a request. Other processes relay the text from it and never
generate it again from an offset.
"""

from collections.abc import Callable
from urllib.parse import quote

import orjson

from flamingofront.connection.interfaces import CallEvent, CallHandle, Exchange, Transport
from flamingofront.connection.server import JSON_HEADERS
from flamingofront.errors import ErrorKind, Executed, PlatformError, RequestError
from flamingofront.messages import (
    STALE_SECONDS,
    OutboundCall,
    ResponseData,
    ResponseEnd,
    ResponseHead,
)
from flamingofront.process.documents import DocumentStore
from flamingofront.process.tasks import Task, TaskRunner
from flamingofront.request.active import ActiveRequest
from flamingofront.request.attachments import (
    RELAY_HEADERS,
    Attachment,
    RelayAttachment,
    ResponseAttachment,
    StreamAttachment,
    respond_error,
)
from flamingofront.request.hub import RequestHub
from flamingofront.request.jobs import JobState, JobStatus, fetch_job
from flamingofront.request.records import ModelWork
from flamingofront.request.stored_answer import StoredAnswer

__all__ = ["Reattachment", "parse_origin_vm"]

RELAY_TIMEOUT_SECONDS = 30.0
RETRY_SECONDS = 1.0


def parse_origin_vm(request_id: str) -> str:
    """Return the id of the VM that accepted a request, by the prefix of the request id."""
    return request_id.rpartition("~")[0]


class Reattachment:
    """Finds the holder of a request and attaches a caller to it.

    Parameters
    ----------
    holders : callable
        Returns the control addresses of the VMs that may hold a request, the most likely first.
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

    def attach_caller(
        self, request_id: str, workspace: str, offset: int, stream: bool, exchange: Exchange
    ) -> None:
        """Attach a caller to a request, locally or through its holder."""
        if self._attach_locally(request_id, workspace, offset, stream, exchange):
            self._hub.metrics.count("reattachments_total", result="here")
            return
        search = _HolderSearch(self, request_id, workspace, offset, stream, exchange)
        search.query_next_holder()

    def attach_peer(
        self, request_id: str, workspace: str, offset: int, stream: bool, exchange: Exchange
    ) -> bool:
        """Attach a peer to a request of this process; return False if it has no such request."""
        request = self._hub.active.get(request_id)
        if request is not None and request.record.workspace == workspace and not request.done:
            if not stream or not isinstance(request.record.work, ModelWork):
                line = {"running": True, "offset": request.machine.assembler.offset}
                exchange.respond(200, RELAY_HEADERS, orjson.dumps(line) + b"\n")
                return True
            _check_offset(offset, request.machine.assembler.offset)
            attachment = RelayAttachment(exchange, request_id, request.record.work, offset)
            _attach_from(request, attachment, offset)
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
        attachment.send_tokens(offset, finished.tokens[offset:])
        attachment.send_answer(finished.answer)
        return True

    def _attach_locally(
        self, request_id: str, workspace: str, offset: int, stream: bool, exchange: Exchange
    ) -> bool:
        request = self._hub.active.get(request_id)
        if request is not None and request.record.workspace == workspace and not request.done:
            self._attach_to_request(request, offset, stream, exchange)
            return True
        finished = self._hub.finished.get(request_id, self._hub.now())
        if finished is None or finished.workspace != workspace:
            return False
        work = finished.record.work
        if stream and isinstance(work, ModelWork):
            _check_offset(offset, len(finished.tokens))
            attachment: Attachment = StreamAttachment(exchange, request_id, work, offset)
            attachment.send_tokens(offset, finished.tokens[offset:])
        else:
            attachment = ResponseAttachment(exchange, request_id)
        attachment.detach()
        attachment.send_answer(finished.answer)
        return True

    def _attach_to_request(
        self, request: ActiveRequest, offset: int, stream: bool, exchange: Exchange
    ) -> None:
        work = request.record.work
        if stream and isinstance(work, ModelWork):
            attachment = StreamAttachment(exchange, request.request_id, work, offset)
            _attach_from(request, attachment, offset)
        else:
            _respond_running(exchange, request.request_id, request.machine.assembler.offset)

    def answer_from_job(
        self,
        status: JobStatus | PlatformError | None,
        request_id: str,
        workspace: str,
        unreachable: bool,
        exchange: Exchange,
    ) -> None:
        """Respond by the status of a stored job, after no process was found to hold the request.

        Parameters
        ----------
        unreachable : bool
            True if a possible holder could not be reached.
        """
        if isinstance(status, PlatformError):
            kind = ErrorKind.STORE_UNAVAILABLE
            exc = RequestError(kind, str(status), Executed.UNKNOWN, RETRY_SECONDS)
            self._reject(exc, request_id, exchange)
        elif status is None or status.workspace != workspace:
            kind = ErrorKind.HOLDER_UNREACHABLE if unreachable else ErrorKind.UNKNOWN_REQUEST
            retry_after = RETRY_SECONDS if unreachable else None
            self._reject(RequestError(kind, retry_after=retry_after), request_id, exchange)
        elif status.state is JobState.DONE and status.answer is not None:
            self._hub.metrics.count("reattachments_total", result="stored")
            _respond_stored(exchange, request_id, status.answer)
        else:
            _respond_running(exchange, request_id, 0)

    def _reject(self, exc: RequestError, request_id: str, exchange: Exchange) -> None:
        self._hub.metrics.count("reattachments_total", result=exc.kind.value)
        respond_error(exchange, exc, request_id)

    def fetch_job(self, request_id: str) -> Task:
        """Return the status of a job, or the `PlatformError` if the store is unavailable."""
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
        """Request the text of a request from a peer, as a stream."""
        position = f"workspace={quote(workspace)}&offset={offset}&stream={int(stream)}"
        path = f"/peer/requests/{quote(request_id)}?{position}"
        call = OutboundCall(
            address,
            "GET",
            path,
            b"",
            self._peer_headers,
            RELAY_TIMEOUT_SECONDS,
            stream=True,
            stale_seconds=STALE_SECONDS,
        )
        return self._transport.start(call, listener)


def _check_offset(offset: int, available: int) -> None:
    if offset > available:
        raise RequestError(
            ErrorKind.UNKNOWN_REQUEST,
            f"offset {offset} is beyond the text held here ({available})",
        )


def _attach_from(request: ActiveRequest, attachment: Attachment, offset: int) -> None:
    """Send the tokens from an offset on to a new consumer and attach it for later ones."""
    tokens = request.machine.assembler.tokens
    _check_offset(offset, len(tokens))
    attachment.send_tokens(offset, tuple(tokens[offset:]))
    request.attach(attachment)


def _respond_running(exchange: Exchange, request_id: str, offset: int) -> None:
    body = {"id": request_id, "status": "running", "offset": offset}
    headers = (*JSON_HEADERS, ("Retry-After", "1"))
    exchange.respond(202, headers, orjson.dumps(body))


def _respond_stored(exchange: Exchange, request_id: str, answer: StoredAnswer) -> None:
    headers = (("Content-Type", answer.content_type), ("X-Request-Id", request_id))
    exchange.respond(answer.status, headers, answer.body)


class _HolderSearch:
    """Asks possible holders in turn and relays from the first one that has the request."""

    def __init__(
        self,
        reattachment: Reattachment,
        request_id: str,
        workspace: str,
        offset: int,
        stream: bool,
        exchange: Exchange,
    ):
        self._reattachment = reattachment
        self.request_id = request_id
        self._workspace = workspace
        self._offset = offset
        self._stream = stream
        self._exchange = exchange
        self._candidates = reattachment._holders(request_id)
        self._unreachable = False

    def query_next_holder(self) -> None:
        """Ask the next possible holder, or read the stored job if none is left."""
        if not self._candidates:
            self._fetch_job_status()
            return
        relay = _RelayReader(self, self._exchange)
        handle = self._reattachment.start_relay(
            self._candidates.pop(0),
            self.request_id,
            self._workspace,
            self._offset,
            self._stream,
            relay,
        )
        self._exchange.on_disconnect = handle.cancel

    def skip_holder(self, is_reachable: bool) -> None:
        """Continue the search after a peer that lacks the request or is unreachable."""
        self._unreachable = self._unreachable or not is_reachable
        self.query_next_holder()

    def _fetch_job_status(self) -> None:
        self._exchange.on_disconnect = None
        reattachment = self._reattachment
        reattachment._tasks.start(
            reattachment.fetch_job(self.request_id),
            lambda status: reattachment.answer_from_job(
                status, self.request_id, self._workspace, self._unreachable, self._exchange
            ),
        )

    def make_attachment(self, work: ModelWork) -> Attachment:
        """Return an attachment for a stream or a complete answer, as the caller requested."""
        self._reattachment._hub.metrics.count("reattachments_total", result="relayed")
        if self._stream and work.model:
            return StreamAttachment(self._exchange, self.request_id, work, self._offset)
        return ResponseAttachment(self._exchange, self.request_id)


class _RelayReader:
    """Relays the lines of a holder to the caller."""

    def __init__(self, search: _HolderSearch, exchange: Exchange):
        self._search = search
        self._exchange = exchange
        self._status = 0
        self._buffer = b""
        self._attachment: Attachment | None = None
        self._finished = False

    def __call__(self, event: CallEvent) -> None:
        if isinstance(event, ResponseHead):
            self._status = event.status
        elif isinstance(event, ResponseData):
            if self._status == 200:
                self._read_lines(event.data)
        elif isinstance(event, ResponseEnd):
            self._on_response_end(is_reachable=True)
        else:
            self._on_response_end(is_reachable=False)

    def _on_response_end(self, is_reachable: bool) -> None:
        if self._finished:
            return
        if self._attachment is None:
            self._search.skip_holder(is_reachable)
        else:
            self._finished = True
            self._attachment.detach()
            self._attachment.send_moved(0)

    def _read_lines(self, data: bytes) -> None:
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        for line in lines:
            if line and not self._finished:
                self._handle_line(orjson.loads(line))

    def _handle_line(self, data: dict) -> None:
        if "work" in data:
            work = data["work"]
            callback = self._exchange.on_disconnect
            self._attachment = self._search.make_attachment(
                ModelWork(work["model"], (), 1, work["chat"], work["stream"])
            )
            self._exchange.on_disconnect = callback
        elif "running" in data:
            self._finished = True
            self._exchange.on_disconnect = None
            _respond_running(self._exchange, self._search.request_id, data["offset"])
        elif "tokens" in data:
            if not self._attachment.send_tokens(data["offset"], tuple(data["tokens"])):
                self._finished = True
                self._attachment.abort()
        else:
            self._finish(data)

    def _finish(self, data: dict) -> None:
        self._finished = True
        self._attachment.detach()
        if data.get("done"):
            self._attachment.send_answer(StoredAnswer(200, data["type"], data["body"].encode()))
        elif data.get("moved"):
            self._attachment.send_moved(0)
        else:
            error = data["error"]
            self._attachment.send_error(
                RequestError(
                    ErrorKind(error["kind"]),
                    error["detail"],
                    Executed(error["ran"]),
                    data.get("retry_after"),
                )
            )
