"""Stand-in for a model engine: continuous batching, prefix cache, resume, cancel, KV export.

The text it makes depends on the prompt and the offset alone, or with `distinct_text` also on the
engine, so that a text spliced from two engines can be told from a whole one.
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
MAX_EVENTS = 512


@dataclass(frozen=True)
class EngineOptions:
    """Speed and size of an engine.

    Parameters
    ----------
    step_seconds : float
        Time of one decoding step with one stream.
    crowding_seconds : float
        Time that each further stream adds to a step.
    prefill_rate : float
        Prompt tokens read a second.
    max_running, max_waiting : int
        Streams in the batch, and streams that wait for a place in it.
    cache_blocks : int
        Size of the prefix cache.
    report_lag : float
        Seconds by which the load report lags behind.
    event_loss : float
        Part of the cache events that is lost.
    transfer_token_seconds : float
        Time to export or import the cache of one token.
    check_fencing : bool
        Whether orders with an old fencing number are refused.
    distinct : bool
        Whether the text depends on the engine.
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
    """Return the token that an engine makes at an offset."""
    text = f"{''.join(prompt)}/{offset}/{engine_id}"
    digest = hashlib.blake2b(text.encode(), digest_size=3).hexdigest()
    return f" {offset}:{digest}"


@dataclass
class _Stream:
    request: str
    attempt: str
    prompt: list[str]
    tokens: list[str]
    max_tokens: int
    priority: int
    exchange: Exchange
    order: int
    cached: int = 0
    prefill_left: float = 0.0
    prefilled: int = 0
    begun: bool = False
    seed: str = ""

    @property
    def context(self) -> list[str]:
        """All tokens that the engine has to hold."""
        return self.prompt + self.tokens


@dataclass
class EngineFaults:
    """Faults that a control call or a test switches."""

    slow: float = 1.0
    silent: bool = False
    refuse: bool = False
    fail_after_tokens: int = -1
    status: int = 0


@dataclass
class EngineCounts:
    """What the engine has done."""

    generated: int = 0
    prefilled: int = 0
    resumed_prefilled: int = 0
    executions: dict[str, int] = field(default_factory=dict)
    stale_orders: int = 0


class EngineStandIn:
    """One model engine."""

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
        self._exported: dict[str, list[str]] = {}
        self._cache: OrderedDict[str, None] = OrderedDict()
        self._events: deque[tuple[int, str, bool]] = deque(maxlen=MAX_EVENTS)
        self._next_event = 1
        self._reported = 0
        self._report_at = -1e9
        self._order = 0
        self._stepping = False
        self._next_handle = 0

    def handle(self, req: InboundRequest, exchange: Exchange) -> None:
        """Take one call."""
        actions = {
            "/generate": self._generate,
            "/load": self._load,
            "/state": self._state,
            "/order": self._take_order,
            "/kv/export": self._export,
            "/kv/import": self._import,
            "/faults": self._switch_faults,
            "/counts": self._show_counts,
        }
        action = actions.get(req.path)
        if action is None:
            _respond(exchange, {"error": {"kind": "not_found"}}, 404)
        elif not self.faults.silent or req.path == "/faults":
            action(req, exchange)

    # Generation

    def _generate(self, req: InboundRequest, exchange: Exchange) -> None:
        data = orjson.loads(req.body)
        refusal = self._refusal(data)
        if refusal is not None:
            error = {"kind": refusal, "ran": "no"}
            _respond(exchange, {"error": error, "retry_after": 0.5}, 503)
            return
        if self.faults.status:
            _respond(exchange, {"error": {"kind": "failure"}}, self.faults.status)
            return
        stream = self._make_stream(data, exchange)
        counts = self.counts.executions
        counts[stream.request] = counts.get(stream.request, 0) + 1
        exchange.on_disconnect = lambda: self._cancel(stream)
        self._waiting.append(stream)
        self._waiting.sort(key=lambda each: (each.priority, each.order))
        self._ensure_step()

    def _refusal(self, data: dict[str, Any]) -> str | None:
        if self.faults.refuse:
            return "refusing"
        if data.get("model", self.model) != self.model:
            return "model_not_loaded"
        if len(self._waiting) >= self.options.max_waiting:
            return "busy"
        return None

    def _make_stream(self, data: dict[str, Any], exchange: Exchange) -> _Stream:
        self._order += 1
        stream = _Stream(
            data["request"],
            data["attempt"],
            list(data["prompt"]),
            list(data["resume"]),
            data["max_tokens"],
            data.get("priority", 5),
            exchange,
            self._order,
            seed=self.engine_id if self.options.distinct_text else "",
        )
        context = stream.context
        stream.cached = self._cached_tokens(context)
        imported = self._exported.pop(data.get("kv", ""), None)
        if imported is not None:
            stream.cached = max(stream.cached, _common_prefix(imported, context))
        new_tokens = len(context) - stream.cached
        stream.prefilled = new_tokens
        stream.prefill_left = new_tokens / self.options.prefill_rate
        self.counts.prefilled += new_tokens
        if data["resume"] or data["attempt"].split(".")[-2:-1] not in ([], ["1"]):
            self.counts.resumed_prefilled += new_tokens
        return stream

    def _ensure_step(self) -> None:
        if not self._stepping and not self.dead:
            self._stepping = True
            self._timers.once(self._step_seconds(), self._step)

    def _step_seconds(self) -> float:
        crowd = max(0, len(self._running) - 1) * self.options.crowding_seconds
        return (self.options.step_seconds + crowd) * self.faults.slow

    def _step(self) -> None:
        """Make one token for each running stream."""
        self._stepping = False
        if self.dead:
            return
        while self._waiting and len(self._running) < self.options.max_running:
            self._running.append(self._waiting.pop(0))
        seconds = self._step_seconds()
        for stream in list(self._running):
            self._advance(stream, seconds)
        if self._running or self._waiting:
            self._ensure_step()

    def _advance(self, stream: _Stream, seconds: float) -> None:
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
        self._send(stream, offset, [token], final)
        if final:
            self._finish(stream)

    def _send(self, stream: _Stream, offset: int, tokens: list[str], final: bool) -> None:
        frame = {
            "request": stream.request,
            "attempt": stream.attempt,
            "offset": offset,
            "tokens": tokens,
            "final": final,
        }
        if not stream.begun:
            stream.begun = True
            frame["prefilled"] = stream.prefilled
            stream.exchange.begin(200, FRAME_HEADERS)
        stream.exchange.send(orjson.dumps(frame) + b"\n")

    def _finish(self, stream: _Stream) -> None:
        self._running.remove(stream)
        self._store(stream.context)
        stream.exchange.on_disconnect = None
        stream.exchange.finish()

    def _cancel(self, stream: _Stream) -> None:
        for queue in (self._running, self._waiting):
            if stream in queue:
                queue.remove(stream)
                self._store(stream.context)

    def crash(self) -> None:
        """Break all streams at once and answer nothing any more."""
        self.dead = True
        for stream in self._running + self._waiting:
            stream.exchange.on_disconnect = None
            stream.exchange.abort()
        self._running.clear()
        self._waiting.clear()

    # Prefix cache

    def _cached_tokens(self, context: list[str]) -> int:
        count = 0
        for each in block_hashes(context):
            if each not in self._cache:
                break
            self._cache.move_to_end(each)
            count += 1
        return min(count * BLOCK_TOKENS, max(0, len(context) - 1))

    def _store(self, context: list[str]) -> None:
        for each in block_hashes(context):
            if each not in self._cache:
                self._event(each, stored=True)
            self._cache[each] = None
            self._cache.move_to_end(each)
        while len(self._cache) > self.options.cache_blocks:
            old, _ = self._cache.popitem(last=False)
            self._event(old, stored=False)

    def _event(self, block: str, stored: bool) -> None:
        """Publish a cache event; some are lost."""
        number = self._next_event
        self._next_event += 1
        if self._rng.random() >= self.options.event_loss:
            self._events.append((number, block, stored))

    # Reports and orders

    def _load(self, req: InboundRequest, exchange: Exchange) -> None:
        now = self._timers.now()
        if now - self._report_at >= self.options.report_lag:
            self._reported = len(self._running) + len(self._waiting)
            self._report_at = now
        since = int(req.query.get("since", "0"))
        _respond(exchange, {"load": self._reported, "events": self._events_since(since)})

    def _events_since(self, since: int) -> dict[str, Any]:
        fresh = [each for each in self._events if each[0] >= since]
        oldest = self._events[0][0] if self._events else self._next_event
        return {
            "next": self._next_event,
            "stored": [block for _, block, stored in fresh if stored],
            "evicted": [block for _, block, stored in fresh if not stored],
            "gap": 0 < since < oldest,
        }

    def _state(self, req: InboundRequest, exchange: Exchange) -> None:
        _respond(exchange, {"model": self.model, "role": self.role, "fencing": self.fencing})

    def _take_order(self, req: InboundRequest, exchange: Exchange) -> None:
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

    def _export(self, req: InboundRequest, exchange: Exchange) -> None:
        data = orjson.loads(req.body)
        stream = next((each for each in self._running if each.attempt == data["attempt"]), None)
        if stream is None:
            _respond(exchange, {"error": {"kind": "not_found"}}, 404)
            return
        self._running.remove(stream)
        context = stream.context
        seconds = len(context) * self.options.transfer_token_seconds
        self._timers.once(seconds, lambda: _respond(exchange, {"context": context}))

    def _import(self, req: InboundRequest, exchange: Exchange) -> None:
        self._next_handle += 1
        handle = f"{self.engine_id}-{self._next_handle}"
        context = orjson.loads(req.body)["context"]
        self._exported[handle] = context
        seconds = len(context) * self.options.transfer_token_seconds
        self._timers.once(seconds, lambda: _respond(exchange, {"handle": handle}))

    # Control

    def _switch_faults(self, req: InboundRequest, exchange: Exchange) -> None:
        self.faults = EngineFaults(**orjson.loads(req.body))
        _respond(exchange, {})

    def _show_counts(self, req: InboundRequest, exchange: Exchange) -> None:
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


def _common_prefix(first: list[str], second: list[str]) -> int:
    count = 0
    for one, other in zip(first, second, strict=False):
        if one != other:
            break
        count += 1
    return min(count, max(0, len(second) - 1))


def _respond(exchange: Exchange, data: Any, status: int = 200) -> None:
    exchange.respond(status, JSON_HEADERS, orjson.dumps(data))
