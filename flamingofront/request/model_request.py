"""A completion in flight: assembles the answer from the frames that engines stream."""

from collections.abc import Callable

import orjson

from flamingofront.connection.interfaces import CallEvent
from flamingofront.connection.server import states_not_executed
from flamingofront.decisions.admission import Ticket
from flamingofront.decisions.choice import Candidate
from flamingofront.errors import Executed
from flamingofront.messages import (
    Emit,
    Frame,
    OutboundCall,
    ResponseData,
    ResponseEnd,
    ResponseHead,
    StartAttempt,
)
from flamingofront.request.active import ActiveRequest
from flamingofront.request.attachments import make_completion_answer
from flamingofront.request.host import RequestHost
from flamingofront.request.prefixes import block_hashes
from flamingofront.request.records import ModelWork, RequestRecord

__all__ = ["ModelRequest"]


class ModelRequest(ActiveRequest):
    """A completion request to a model engine."""

    def __init__(self, hub: RequestHost, record: RequestRecord, ticket: Ticket):
        self._prefix_blocks: tuple[str, ...] | None = None
        self._kv_handle = ""
        self._cache_endpoint: Candidate | None = None
        self._last_token_at = 0.0
        super().__init__(hub, record, ticket)

    @property
    def work(self) -> ModelWork:
        """Parameters of the completion."""
        return self.record.work

    def prefix_blocks(self) -> tuple[str, ...]:
        """Return the hashes of the prompt's prefix blocks."""
        if self._prefix_blocks is None:
            self._prefix_blocks = block_hashes(self.work.prompt)
        return self._prefix_blocks

    def use_cache(self, kv_handle: str, chosen: Candidate) -> None:
        """Send the next attempt to the endpoint that has imported a KV cache of the request."""
        self._kv_handle = kv_handle
        self._cache_endpoint = chosen

    def dispatch_attempt(self, action: StartAttempt) -> None:
        """Send an attempt to the endpoint with the imported cache if there is one, else choose."""
        chosen, self._cache_endpoint = self._cache_endpoint, None
        if chosen is None or self.hub.directory.is_unavailable(chosen.endpoint_id):
            self._kv_handle = ""
            super().dispatch_attempt(action)
        else:
            self.record_and_send(action, chosen)

    def _build_call(self, action: StartAttempt, chosen: Candidate) -> OutboundCall:
        kv_handle, self._kv_handle = self._kv_handle, ""
        self._last_token_at = self.hub.now()
        body = {
            "request": self.request_id,
            "attempt": action.attempt_id,
            "model": self.work.model,
            "prompt": self.work.prompt,
            "resume": self.machine.assembler.tokens,
            "max_tokens": self.work.max_tokens,
            "priority": self.ticket.share.priority,
            "kv": kv_handle,
        }
        return OutboundCall(
            chosen.address,
            "POST",
            "/generate",
            orjson.dumps(body),
            (("Content-Type", "application/json"),),
            self.record.service.call_timeout,
            stream=True,
            new_connection=self.needs_fresh_connection,
        )

    def _make_listener(self, attempt_id: str, chosen: Candidate) -> Callable[[CallEvent], None]:
        return _FrameReader(self, attempt_id)

    def handle_frame(self, frame: Frame, prefilled: int) -> None:
        """Handle a frame of the current attempt.

        Parameters
        ----------
        prefilled : int
            Number of tokens that the engine prefilled for this frame.
        """
        self.hub.directory.record_contact(self.endpoint_id, self.hub.now())
        self._count_recomputed(frame, prefilled)
        before = sum(self.machine.assembler.dropped.values())
        first = self.machine.assembler.offset == 0
        actions = self.machine.accept_frame(frame)
        if sum(self.machine.assembler.dropped.values()) > before:
            self.hub.metrics.count("frames_dropped_total", reason="assembler")
        if first and self.machine.assembler.offset:
            self.hub.metrics.observe("first_token_seconds", self.hub.now() - self.accepted_at)
        self._record_token_time(frame)
        self.execute(actions)

    def _record_token_time(self, frame: Frame) -> None:
        now = self.hub.now()
        if frame.tokens and self.machine.attempt_id == frame.attempt_id and not frame.final:
            seconds = (now - self._last_token_at) / len(frame.tokens)
            self.hub.directory.record_token_time(self.endpoint_id, seconds)
        self._last_token_at = now

    def _count_recomputed(self, frame: Frame, prefilled: int) -> None:
        if prefilled and self.machine.attempts + self.record.epoch > 1:
            self.hub.metrics.count("tokens_recomputed_total", prefilled, cause="further_attempt")

    def _send_tokens(self, action: Emit) -> None:
        service = self.record.service.name
        self.hub.metrics.count("tokens_sent_total", len(action.tokens), service=service)
        super()._send_tokens(action)

    def _complete_answer(self) -> None:
        self.hub.directory.health.record_success(self.endpoint_id)
        self.hub.guard.record_response(self.fingerprint)
        self.hub.directory.prefixes.add_blocks(self.endpoint_id, self.prefix_blocks())
        # Reading the response to its end keeps the connection reusable.
        self._end_call(cancel=False)
        tokens = self.machine.assembler.tokens
        self._finish(make_completion_answer(self.request_id, self.work, tokens), None)


class _FrameReader:
    """Splits the response of an engine into frames."""

    def __init__(self, request: ModelRequest, attempt_id: str):
        self._request = request
        self._attempt_id = attempt_id
        self._status = 0
        self._buffer = b""

    def __call__(self, event: CallEvent) -> None:
        if isinstance(event, ResponseHead):
            self._status = event.status
        elif isinstance(event, ResponseData):
            self._buffer += event.data
            if self._status == 200:
                self._read_lines()
        elif isinstance(event, ResponseEnd):
            self._on_response_end()
        else:
            self._request.handle_call_failure(self._attempt_id, event)

    def _read_lines(self) -> None:
        *lines, self._buffer = self._buffer.split(b"\n")
        try:
            frames = [orjson.loads(line) for line in lines if line]
            for data in _join_adjacent(frames):
                self._handle_frame(data)
        except (orjson.JSONDecodeError, KeyError, TypeError):
            self._request.fail_attempt(self._attempt_id, Executed.UNKNOWN, "malformed frame")

    def _handle_frame(self, data: dict) -> None:
        if self._request.done or self._request.machine.attempt_id != self._attempt_id:
            return
        frame = Frame(
            data["request"],
            data["attempt"],
            data["offset"],
            tuple(data["tokens"]),
            data.get("final", False),
        )
        self._request.handle_frame(frame, data.get("prefilled", 0))

    def _on_response_end(self) -> None:
        is_rejected = self._status != 200 and states_not_executed(self._buffer)
        executed = Executed.NO if is_rejected else Executed.UNKNOWN
        reason = "refused" if is_rejected else f"ended with status {self._status}"
        self._request.fail_attempt(self._attempt_id, executed, reason)


def _join_adjacent(frames: list[dict]) -> list[dict]:
    """Merge adjacent frames that arrived together, to forward them as one."""
    joined: list[dict] = []
    for data in frames:
        last = joined[-1] if joined else None
        follows = (
            last is not None
            and not last.get("final")
            and (last["request"], last["attempt"]) == (data["request"], data["attempt"])
            and last["offset"] + len(last["tokens"]) == data["offset"]
        )
        if not follows:
            joined.append(data)
            continue
        prefilled = last.get("prefilled", 0) + data.get("prefilled", 0)
        joined[-1] = {
            **data,
            "offset": last["offset"],
            "tokens": last["tokens"] + data["tokens"],
            "prefilled": prefilled,
        }
    return joined
