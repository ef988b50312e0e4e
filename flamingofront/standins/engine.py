"""Stand-in for a model engine: continuous batching, prefix cache, resume, cancel, KV transfer.

The generated text depends only on the prompt and the offset. With `distinct_text` it also depends
on the engine, so that tests can detect a text spliced from two engines.
"""

import hashlib
import random
from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

import orjson

from flamingofront.connection.interfaces import Exchange
from flamingofront.connection.server import JSON_HEADERS
from flamingofront.messages import InboundRequest
from flamingofront.process.timers import TimerService
from flamingofront.request.prefixes import BLOCK_TOKENS, block_hashes

__all__ = ["EngineOptions", "EngineStandIn", "compute_token"]

FRAME_HEADERS = (("Content-Type", "application/x-ndjson"),)
MAX_CACHE_EVENTS = 512


@dataclass(frozen=True)
class EngineOptions:
    """Speed and capacity of an engine.

    Parameters
    ----------
    step_seconds : float
        Duration of one decoding step with a single stream.
    crowding_seconds : float
        Time that each further stream adds to a step.
    prefill_rate : float
        Prompt tokens processed per second.
    max_running, max_waiting : int
        Maximum number of streams in the batch, and in the queue for it.
    cache_blocks : int
        Size of the prefix cache in blocks.
    report_lag : float
        Age in seconds up to which a load report is reused.
    event_loss : float
        Fraction of cache events that are lost.
    transfer_token_seconds : float
        Time to export or import the KV cache of one token.
    check_fencing : bool
        True to reject orders with an outdated fencing token.
    distinct : bool
        True if the generated text depends on the engine.
    """

    step_seconds: float = 0.01
    crowding_seconds: float = 0.0005
    prefill_rate: float = 8000.0
    max_running: int = 16
    max_waiting: int = 32
    cache_blocks: int = 2048
    report_lag: float = 0.5
    event_loss: float = 0.05
    transfer_token_seconds: float = 0.0001
    check_fencing: bool = True
    distinct_text: bool = False


def compute_token(prompt: Sequence[str], offset: int, engine_id: str = "") -> str:
    """Return the token that an engine generates at an offset; `engine_id` for distinct text."""
    text = f"{''.join(prompt)}/{offset}/{engine_id}"
    digest = hashlib.blake2b(text.encode(), digest_size=3).hexdigest()
    return f" {offset}:{digest}"


@dataclass
class _Stream:
    """One request in the queue or the batch.

    Parameters
    ----------
    number : int
        Arrival number; streams of equal priority start in this order.
    cached : int
        Tokens of the context found in the prefix cache or imported.
    prefill_left : float
        Seconds of prefill that remain.
    prefilled : int
        Tokens that have to be prefilled.
    seed : str
        Engine id if the text depends on the engine, otherwise empty.
    """

    request: str
    attempt: str
    prompt: list[str]
    tokens: list[str]
    max_tokens: int
    priority: int
    exchange: Exchange
    number: int
    cached: int = 0
    prefill_left: float = 0.0
    prefilled: int = 0
    has_started: bool = False
    seed: str = ""

    @property
    def context(self) -> list[str]:
        """Tokens of the prompt and of the response so far."""
        return self.prompt + self.tokens


@dataclass
class EngineFaults:
    """Faults that a control call or a test sets.

    Parameters
    ----------
    slow : float
        Factor by which steps take longer.
    silent : bool
        True to leave all calls without a response.
    refuse : bool
        True to reject new requests.
    fail_after_tokens : int
        Offset at which streams are aborted; -1 for none.
    status : int
        HTTP status of the response to new requests; 0 for none.
    """

    slow: float = 1.0
    silent: bool = False
    refuse: bool = False
    fail_after_tokens: int = -1
    status: int = 0


@dataclass
class EngineCounts:
    """Tokens generated and prefilled, executions by request id, and orders rejected as stale.

    Parameters
    ----------
    resumed_prefilled : int
        Part of `prefilled` that belongs to resumed requests and to further attempts.
    """

    generated: int = 0
    prefilled: int = 0
    resumed_prefilled: int = 0
    executions: dict[str, int] = field(default_factory=dict)
    stale_orders: int = 0


class EngineStandIn:
    """One model engine with its batch, queue and prefix cache."""

    def __init__(
        self,
        engine_id: str,
        timers: TimerService,
        options: EngineOptions | None = None,
        model: str = "demo",
        rng: random.Random | None = None,
    ):
        self.engine_id = engine_id
        self.model = model
        self.role = "both"
        self.fencing = 0
        self.options = options or EngineOptions()
        self.faults = EngineFaults()
        self.counts = EngineCounts()
        self.orders: list[tuple[int, str]] = []
        self.dead = False
        self._timers = timers
        self._rng = rng or random.Random(engine_id)
        self._running: list[_Stream] = []
        self._waiting: list[_Stream] = []
        self._imported: dict[str, list[str]] = {}
        self._cache: OrderedDict[str, None] = OrderedDict()
        self._events: deque[tuple[int, str, bool]] = deque(maxlen=MAX_CACHE_EVENTS)
        self._next_event = 1
        self._reported_load = 0
        self._reported_at = -1e9
        self._stream_number = 0
        self._is_step_scheduled = False
        self._next_handle = 0

    def handle(self, req: InboundRequest, exchange: Exchange) -> None:
        """Handle one call of an entry process, or a control call of a test."""
        actions = {
            "/generate": self._start_generation,
            "/load": self._report_load,
            "/state": self._report_state,
            "/order": self._apply_order,
            "/kv/export": self._export_stream,
            "/kv/import": self._import_context,
            "/faults": self._set_faults,
            "/counts": self._report_counts,
        }
        action = actions.get(req.path)
        if action is None:
            _respond(exchange, {"error": {"kind": "not_found"}}, 404)
        elif not self.faults.silent or req.path == "/faults":
            action(req, exchange)

    # Generation

    def _start_generation(self, req: InboundRequest, exchange: Exchange) -> None:
        data = orjson.loads(req.body)
        rejection = self._get_rejection(data)
        if rejection is not None:
            error = {"kind": rejection, "ran": "no"}
            _respond(exchange, {"error": error, "retry_after": 0.5}, 503)
            return
        if self.faults.status:
            _respond(exchange, {"error": {"kind": "failure"}}, self.faults.status)
            return
        stream = self._make_stream(data, exchange)
        counts = self.counts.executions
        counts[stream.request] = counts.get(stream.request, 0) + 1
        exchange.on_disconnect = lambda: self._cancel_stream(stream)
        self._waiting.append(stream)
        self._waiting.sort(key=lambda each: (each.priority, each.number))
        self._schedule_step()

    def _get_rejection(self, data: dict[str, Any]) -> str | None:
        """Return the error kind with which to reject a request, or None to accept it."""
        if self.faults.refuse:
            return "refusing"
        if data.get("model", self.model) != self.model:
            return "model_not_loaded"
        if len(self._waiting) >= self.options.max_waiting:
            return "busy"
        return None

    def _make_stream(self, data: dict[str, Any], exchange: Exchange) -> _Stream:
        self._stream_number += 1
        stream = _Stream(
            data["request"],
            data["attempt"],
            list(data["prompt"]),
            list(data["resume"]),
            data["max_tokens"],
            data.get("priority", 5),
            exchange,
            self._stream_number,
            seed=self.engine_id if self.options.distinct_text else "",
        )
        context = stream.context
        stream.cached = self._count_cached_tokens(context)
        imported = self._imported.pop(data.get("kv", ""), None)
        if imported is not None:
            stream.cached = max(stream.cached, _count_common_prefix(imported, context))
        new_tokens = len(context) - stream.cached
        stream.prefilled = new_tokens
        stream.prefill_left = new_tokens / self.options.prefill_rate
        self.counts.prefilled += new_tokens
        if data["resume"] or data["attempt"].split(".")[-2:-1] not in ([], ["1"]):
            self.counts.resumed_prefilled += new_tokens
        return stream

    def _schedule_step(self) -> None:
        if not self._is_step_scheduled and not self.dead:
            self._is_step_scheduled = True
            self._timers.once(self._compute_step_seconds(), self._run_step)

    def _compute_step_seconds(self) -> float:
        extra_seconds = max(0, len(self._running) - 1) * self.options.crowding_seconds
        return (self.options.step_seconds + extra_seconds) * self.faults.slow

    def _run_step(self) -> None:
        """Fill the batch from the queue and advance each running stream by one step."""
        self._is_step_scheduled = False
        if self.dead:
            return
        while self._waiting and len(self._running) < self.options.max_running:
            self._running.append(self._waiting.pop(0))
        seconds = self._compute_step_seconds()
        for stream in list(self._running):
            self._advance_stream(stream, seconds)
        if self._running or self._waiting:
            self._schedule_step()

    def _advance_stream(self, stream: _Stream, seconds: float) -> None:
        """Continue the prefill of a stream or generate its next token."""
        if stream.prefill_left > 0:
            stream.prefill_left -= seconds / self.faults.slow
            if stream.prefill_left > 0:
                return
        offset = len(stream.tokens)
        token = compute_token(stream.prompt, offset, stream.seed)
        stream.tokens.append(token)
        self.counts.generated += 1
        if 0 <= self.faults.fail_after_tokens <= offset:
            self._running.remove(stream)
            stream.exchange.abort()
            return
        final = len(stream.tokens) >= stream.max_tokens
        self._send_frame(stream, offset, [token], final)
        if final:
            self._finish_stream(stream)

    def _send_frame(self, stream: _Stream, offset: int, tokens: list[str], final: bool) -> None:
        frame = {
            "request": stream.request,
            "attempt": stream.attempt,
            "offset": offset,
            "tokens": tokens,
            "final": final,
        }
        if not stream.has_started:
            stream.has_started = True
            frame["prefilled"] = stream.prefilled
            stream.exchange.begin(200, FRAME_HEADERS)
        stream.exchange.send(orjson.dumps(frame) + b"\n")

    def _finish_stream(self, stream: _Stream) -> None:
        self._running.remove(stream)
        self._cache_context(stream.context)
        stream.exchange.on_disconnect = None
        stream.exchange.finish()

    def _cancel_stream(self, stream: _Stream) -> None:
        for queue in (self._running, self._waiting):
            if stream in queue:
                queue.remove(stream)
                self._cache_context(stream.context)

    def crash(self) -> None:
        """Abort all streams and stop responding, as after a crash."""
        self.dead = True
        for stream in self._running + self._waiting:
            stream.exchange.on_disconnect = None
            stream.exchange.abort()
        self._running.clear()
        self._waiting.clear()

    # Prefix cache

    def _count_cached_tokens(self, context: list[str]) -> int:
        count = 0
        for each in block_hashes(context):
            if each not in self._cache:
                break
            self._cache.move_to_end(each)
            count += 1
        return min(count * BLOCK_TOKENS, max(0, len(context) - 1))

    def _cache_context(self, context: list[str]) -> None:
        for each in block_hashes(context):
            if each not in self._cache:
                self._publish_event(each, stored=True)
            self._cache[each] = None
            self._cache.move_to_end(each)
        while len(self._cache) > self.options.cache_blocks:
            evicted, _ = self._cache.popitem(last=False)
            self._publish_event(evicted, stored=False)

    def _publish_event(self, block: str, stored: bool) -> None:
        """Publish a cache event, or lose it with probability `event_loss`."""
        number = self._next_event
        self._next_event += 1
        if self._rng.random() >= self.options.event_loss:
            self._events.append((number, block, stored))

    # Reports and orders

    def _report_load(self, req: InboundRequest, exchange: Exchange) -> None:
        now = self._timers.now()
        if now - self._reported_at >= self.options.report_lag:
            self._reported_load = len(self._running) + len(self._waiting)
            self._reported_at = now
        since = int(req.query.get("since", "0"))
        _respond(exchange, {"load": self._reported_load, "events": self._get_events_since(since)})

    def _get_events_since(self, since: int) -> dict[str, Any]:
        """Return the cache events from number `since` on, and whether earlier ones are missing."""
        recent = [each for each in self._events if each[0] >= since]
        oldest = self._events[0][0] if self._events else self._next_event
        return {
            "next": self._next_event,
            "stored": [block for _, block, stored in recent if stored],
            "evicted": [block for _, block, stored in recent if not stored],
            "gap": 0 < since < oldest,
        }

    def _report_state(self, req: InboundRequest, exchange: Exchange) -> None:
        _respond(exchange, {"model": self.model, "role": self.role, "fencing": self.fencing})

    def _apply_order(self, req: InboundRequest, exchange: Exchange) -> None:
        """Load a model or change the role, unless the fencing token is outdated."""
        data = orjson.loads(req.body)
        if self.options.check_fencing and data["fencing"] < self.fencing:
            self.counts.stale_orders += 1
            _respond(exchange, {"error": {"kind": "stale_fencing"}}, 409)
            return
        self.fencing = max(self.fencing, data["fencing"])
        if data["order"] == "load":
            self.model = data["model"]
        else:
            self.role = data["role"]
        self.orders.append((data["fencing"], data["order"]))
        _respond(exchange, {"model": self.model, "role": self.role})

    # KV cache transfer

    def _export_stream(self, req: InboundRequest, exchange: Exchange) -> None:
        """Remove a running stream and respond with its context."""
        data = orjson.loads(req.body)
        stream = next((each for each in self._running if each.attempt == data["attempt"]), None)
        if stream is None:
            _respond(exchange, {"error": {"kind": "not_found"}}, 404)
            return
        self._running.remove(stream)
        context = stream.context
        seconds = len(context) * self.options.transfer_token_seconds
        self._timers.once(seconds, lambda: _respond(exchange, {"context": context}))

    def _import_context(self, req: InboundRequest, exchange: Exchange) -> None:
        self._next_handle += 1
        handle = f"{self.engine_id}-{self._next_handle}"
        context = orjson.loads(req.body)["context"]
        self._imported[handle] = context
        seconds = len(context) * self.options.transfer_token_seconds
        self._timers.once(seconds, lambda: _respond(exchange, {"handle": handle}))

    # Control calls of tests

    def _set_faults(self, req: InboundRequest, exchange: Exchange) -> None:
        self.faults = EngineFaults(**orjson.loads(req.body))
        _respond(exchange, {})

    def _report_counts(self, req: InboundRequest, exchange: Exchange) -> None:
        _respond(
            exchange,
            {
                "generated": self.counts.generated,
                "prefilled": self.counts.prefilled,
                "resumed_prefilled": self.counts.resumed_prefilled,
                "executions": self.counts.executions,
                "running": len(self._running),
                "waiting": len(self._waiting),
            },
        )


def _count_common_prefix(first: list[str], second: list[str]) -> int:
    count = 0
    for one, other in zip(first, second, strict=False):
        if one != other:
            break
        count += 1
    return min(count, max(0, len(second) - 1))


def _respond(exchange: Exchange, data: Any, status: int = 200) -> None:
    exchange.respond(status, JSON_HEADERS, orjson.dumps(data))
