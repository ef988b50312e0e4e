"""Hosts of the tests, calls between them, and callers: a network in virtual time that can fail."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from urllib.parse import parse_qsl, unquote, urlsplit

import orjson

from flamingofront.connection.call_guard import CallGuard, CallStep
from flamingofront.connection.interfaces import CallHandle, ConnectResult, Exchange, Transport
from flamingofront.messages import (
    NO_IDLE_CONNECTION,
    SEND_WITHDRAWN,
    CallFailed,
    InboundRequest,
    ResponseData,
    ResponseEnd,
    ResponseHead,
)
from flamingofront.process.timers import TimerService

__all__ = [
    "LATENCY",
    "Caller",
    "FakeExchange",
    "FakeTransport",
    "Host",
    "PathFault",
    "stream_texts",
]

LATENCY = 0.001
# After this time a connection without a reply is reset by the kernel of its client.
USER_TIMEOUT_SECONDS = 2.0


class PathFault(StrEnum):
    """How the path from one host to another fails."""

    SILENT = "silent"
    """Packets are lost both ways."""
    REPLIES_LOST = "replies lost"
    """Packets are lost on the way back only, so that requests on open connections arrive."""
    REFUSED = "refused"
    """Open connections are reset, and new ones are refused."""
    HANGING = "hanging"
    """New connections are refused, and open ones are silent."""
    NEW_REFUSED = "new refused"
    """New connections are refused, and open ones work."""
    NEW_SILENT = "new silent"
    """New connections are not answered, and open ones work."""
    ACCEPTED_RESET = "accepted-reset"
    """Connections are established and then reset, as by a forwarder that reaches nobody."""
    ACCEPTED_SILENT = "accepted-silent"
    """Connections are established, and what is sent is acknowledged and not answered."""
    NEW_ACCEPTED_RESET = "new-accepted-reset"
    """New connections are established and then reset, and open ones work."""

    @property
    def blocks_open(self) -> bool:
        """True if open connections fail too."""
        return self not in (
            PathFault.NEW_REFUSED,
            PathFault.NEW_SILENT,
            PathFault.NEW_ACCEPTED_RESET,
        )

    @property
    def accepts(self) -> bool:
        """True if new connections are established."""
        return self in (
            PathFault.ACCEPTED_RESET,
            PathFault.ACCEPTED_SILENT,
            PathFault.NEW_ACCEPTED_RESET,
        )

    @property
    def resets_open(self) -> bool:
        """True if open connections are reset at once."""
        return self in (PathFault.REFUSED, PathFault.ACCEPTED_RESET)

    @property
    def refuses(self) -> bool:
        """True if the client notices at once that no connection is established."""
        return self in (PathFault.REFUSED, PathFault.HANGING, PathFault.NEW_REFUSED)


@dataclass
class Host:
    """A machine in the fake network.

    Attributes
    ----------
    listens_until : float
        Time until which the listening sockets of a process that has ended accept connections, as
        the kernel closes them last. Such connections are reset.
    """

    name: str
    zone: str
    timers: TimerService
    handler: Callable[[InboundRequest, Exchange], None] | None = None
    paused: bool = False
    dead: bool = False
    dark: bool = False
    listens_until: float = 0.0
    links: list = field(default_factory=list)

    @property
    def accepts_while_ending(self) -> bool:
        """True if the process has ended and its listening sockets are still open."""
        return self.dead and self.timers.now() < self.listens_until


class _Link(CallHandle):
    """One call between two hosts."""

    def __init__(self, world, source: Host, target: Host | None, call, listener):
        self.world, self.source, self.target = world, source, target
        self.call, self.listener = call, listener
        self.exchange: FakeExchange | None = None
        self._wrote = False
        self.closed = False
        self.timer = source.timers.once(call.timeout, self._timed_out)
        self.reused = False
        self._unsent: tuple = ()
        source.links.append(self)
        fault = world.path_faults.get((source.name, target.name)) if target is not None else None
        if fault is not None:
            self._start_on_faulty_path(fault)
        elif target is not None and target.dead and world.takes_idle(source, call):
            self._wrote = True
            source.timers.once(2 * LATENCY, lambda: self.fail("reset", True, reused=True))
        elif target is not None and target.accepts_while_ending:
            self._wrote = True
            self._reset_after(2 * LATENCY)
        elif target is None or target.dead:
            reason = "connect" if target is None or target.dark else "refused"
            source.timers.once(LATENCY, lambda: self.fail(reason, False))
        elif not world.is_cut(source, target):
            self.reused = world.takes_idle(source, call)
            if self.reused and world.closes_idle(target):
                self._meet_closed_connection()
            else:
                self._send()

    def _meet_closed_connection(self) -> None:
        """Repeat a call on a new connection if that is safe, else reset it."""
        self._wrote = True
        if self.call.stale_seconds:
            self.reused = False
            self.source.timers.once(2 * LATENCY, self._send)
        else:
            self._reset_after(2 * LATENCY)

    def _send(self) -> None:
        """Write the request, after a handshake if its call is guarded and needs a new connection.

        Notes
        -----
        Calls without a guard, and attempts, are written at once, so that few events are needed for
        each of them, unless connections between the two hosts are delayed.
        """
        guard = self.call.guard
        delay = self.world.path_connect_delays.get((self.source.name, self.target.name), 0.0)
        has_handshake = delay > 0 or self._is_followed
        if self.reused or not has_handshake:
            self._write_guarded(guard)
            return
        if guard is not None:
            guard.record(CallStep.CONNECTING)
            delay += self.world.connect_delays.get(self.source.name, 0.0)
        self.source.timers.once(2 * LATENCY + delay, lambda: self._finish_connect(guard))

    @property
    def _is_followed(self) -> bool:
        """True for a guarded call other than an attempt."""
        return self.call.guard is not None and not self.call.stream

    def _finish_connect(self, guard: CallGuard | None) -> None:
        if not self.closed and not self.source.dead:
            if guard is not None:
                guard.record(CallStep.CONNECTED)
            self._write_guarded(guard)

    def _write_guarded(self, guard: CallGuard | None) -> None:
        if guard is None:
            self._write()
        elif guard.may_send():
            self._write()
            guard.record(CallStep.WRITTEN)
        else:
            # Not at once: whoever starts the call has no handle yet.
            self.source.timers.once(0.0, lambda: self.fail(SEND_WITHDRAWN, False, self.reused))

    def _write(self) -> None:
        self._wrote = True
        self.target.links.append(self)
        delay = LATENCY + self._upload_seconds
        if self._is_followed:
            delay += self.world.delivery_delays.get(self.source.name, 0.0)
        self.target.timers.once(delay, self._arrive)

    @property
    def _upload_seconds(self) -> float:
        """Seconds between the arrival of the head and that of the last byte."""
        return self.world.upload_seconds.get((self.source.name, self.target.name), 0.0)

    def _start_on_faulty_path(self, fault: PathFault) -> None:
        """Use an idle connection if there is one, or fail to establish a new one."""
        self.reused = self.world.takes_idle(self.source, self.call)
        if self.reused and (not fault.blocks_open or fault is PathFault.REPLIES_LOST):
            self._send()
        if self.reused:
            self._wrote = True
            if fault.blocks_open and fault is not PathFault.ACCEPTED_SILENT:
                self._reset_after(USER_TIMEOUT_SECONDS)
        elif self.call.idle_only:
            self.source.timers.once(LATENCY, lambda: self.fail(NO_IDLE_CONNECTION, False))
        elif fault.accepts:
            self._wrote = True
            if fault is not PathFault.ACCEPTED_SILENT:
                self._reset_after(2 * LATENCY)
        elif fault.refuses:
            self.source.timers.once(LATENCY, lambda: self.fail("refused", False))
        elif self.call.connect_timeout is not None:
            self.source.timers.once(self.call.connect_timeout, lambda: self.fail("connect", False))

    def _reset_after(self, seconds: float) -> None:
        self.source.timers.once(seconds, lambda: self.fail("reset", self._wrote, self.reused))

    def path_fails(self, fault: PathFault) -> None:
        """Let the path of this open call fail."""
        if fault.blocks_open and fault is not PathFault.ACCEPTED_SILENT:
            self._reset_after(LATENCY if fault.resets_open else USER_TIMEOUT_SECONDS)

    @property
    def wrote(self) -> bool:
        return self._wrote

    def cancel(self) -> None:
        if not self.closed:
            self._close()
            self._tell_target_gone()

    def _tell_target_gone(self) -> None:
        if self.exchange is not None and not self.target.dead:
            self.target.timers.once(LATENCY, self.exchange.caller_gone)

    def _close(self) -> None:
        self.closed = True
        self.timer.cancel()
        for host in (self.source, self.target):
            if host is not None and self in host.links:
                host.links.remove(self)

    def _timed_out(self) -> None:
        if not self.closed:
            self._close()
            self._tell_target_gone()
            self.listener(CallFailed("timeout", self._wrote))

    def fail(self, reason: str, wrote: bool, reused: bool = False) -> None:
        if not self.closed:
            self._close()
            self.listener(CallFailed(reason, wrote, reused))

    def _arrive(self) -> None:
        # What was written before a reset may be read, which matters for guarded calls.
        is_withdrawn = self.closed and not self._is_followed
        if is_withdrawn or self.target.dead:
            return
        if self._is_followed and self._is_discarded():
            return
        parts = urlsplit(self.call.path)
        query = dict(parse_qsl(parts.query))
        fields = (("Host", self.call.host or self.call.address), *self.call.headers)
        headers = {name.lower(): value for name, value in fields}
        req = InboundRequest(
            self.call.method,
            unquote(parts.path),
            query,
            headers,
            self.call.body,
            self.call.path,
            fields,
            self.target.timers.now() - self._upload_seconds,
        )
        self.exchange = FakeExchange(self)
        self.target.handler(req, self.exchange)

    def _is_discarded(self) -> bool:
        """Return True if a call that is delivered late is repeated by its kernel no more."""
        is_late = self.world.delivery_delays.get(self.source.name, 0.0) > 0.0
        return is_late and (self.source.dead or self.world.is_cut(self.source, self.target))

    def back(self, *events) -> None:
        """Carry events to the caller, in order; those that a cut loses are sent again after it."""
        self._unsent += events
        if self.source.dead or self.world.is_cut(self.source, self.target):
            return
        if self.world.blocks_open(self.source, self.target) or not self._unsent:
            return
        sent, self._unsent = self._unsent, ()
        self.world.carry_back(self, sent)

    def deliver(self, events) -> None:
        """Hand events to the caller, unless the call was given up."""
        for event in events:
            if self.closed:
                return
            if isinstance(event, ResponseData):
                self._renew_timeout()
            if isinstance(event, ResponseEnd | CallFailed):
                self._close()
            if isinstance(event, ResponseEnd):
                self.world.keep_connection(self.source, self.call.address)
            self.listener(event)

    def _renew_timeout(self) -> None:
        seconds = self.call.timeout if self.call.stream else self.call.stall_timeout
        if seconds is not None:
            self.timer.cancel()
            self.timer = self.source.timers.once(seconds, self._timed_out)


class FakeExchange(Exchange):
    """The served side of a call in the fake network."""

    def __init__(self, link: _Link):
        self._link = link
        self.on_disconnect = None
        self.gone = False

    @property
    def source(self) -> str:
        """Name of the host that called."""
        return self._link.source.name

    def caller_gone(self) -> None:
        self.gone = True
        if self.on_disconnect is not None:
            listener, self.on_disconnect = self.on_disconnect, None
            listener()

    def respond(self, status, headers, body) -> None:
        self.begin(status, headers, body, ResponseEnd())

    def begin(self, status, headers, body=b"", *more) -> None:
        names = {name.lower(): value for name, value in headers}
        head = ResponseHead(status, names, tuple(headers), self._link.reused)
        self._link.back(head, *([ResponseData(body)] if body else []), *more)

    def send(self, data: bytes) -> bool:
        self._link.back(ResponseData(data))
        return not self.gone

    def finish(self) -> None:
        self._link.back(ResponseEnd())

    def abort(self) -> None:
        self._link.back(CallFailed("reset", True))


class Caller(Exchange):
    """A caller's connection; keeps all that it is told."""

    def __init__(self, node, host: Host):
        self.node, self.host = node, host
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.done = False
        self.answers = 0
        self.broken = False
        self.on_disconnect = None

    def respond(self, status, headers, body) -> None:
        self.begin(status, headers)
        self.body = body
        self.done = True

    def begin(self, status, headers) -> None:
        self.answers += 1
        self.status = status
        self.headers = {name.lower(): value for name, value in headers}

    def send(self, data: bytes) -> bool:
        self.body += data
        return True

    def finish(self) -> None:
        self.done = True

    def abort(self) -> None:
        self.broken = True
        self.done = True

    def leave(self) -> None:
        """Close the connection."""
        if self.on_disconnect is not None:
            listener, self.on_disconnect = self.on_disconnect, None
            listener()

    @property
    def data(self) -> dict:
        return orjson.loads(self.body)

    @property
    def error(self) -> dict:
        return self.data["error"]

    @property
    def text(self) -> str:
        """The text of a whole completion or of the events of a stream."""
        if not self.headers["content-type"].startswith("text/event-stream"):
            choice = self.data["choices"][0]
            return choice.get("text") or choice["message"]["content"]
        return "".join(stream_texts(self.body))

    @property
    def last_event_id(self) -> str:
        ids = [line[4:] for line in self.body.decode().split("\n") if line.startswith("id: ")]
        return ids[-1]


def stream_texts(body: bytes) -> list[str]:
    """Return the texts in a completion's event stream."""
    texts = []
    for block in body.decode().split("\n\n"):
        lines = block.split("\n")
        data = next((line[6:] for line in lines if line.startswith("data: ")), "[DONE]")
        if data == "[DONE]" or any(line.startswith("event: ") for line in lines):
            continue
        choice = orjson.loads(data)["choices"][0]
        texts.append(choice["text"] if "text" in choice else choice["delta"].get("content", ""))
    return texts


class FakeTransport(Transport):
    def __init__(self, world, host: Host):
        self._world, self._host = world, host

    def start(self, call, listener):
        target = self._world.hosts.get(call.address)
        return _Link(self._world, self._host, target, call, listener)

    def probe(self, address, timeout, listener):
        target = self._world.hosts.get(address)
        timers = self._host.timers
        fault = target and self._world.path_faults.get((self._host.name, target.name))
        if fault is not None and fault.accepts:
            timers.once(2 * LATENCY, lambda: listener(ConnectResult.CONNECTED))
        elif fault is not None:
            result = ConnectResult.REFUSED if fault.refuses else ConnectResult.UNANSWERED
            timers.once(2 * LATENCY if fault.refuses else timeout, lambda: listener(result))
        elif (
            target is None or target.paused or target.dark or self._world.is_cut(self._host, target)
        ):
            timers.once(timeout, lambda: listener(ConnectResult.UNANSWERED))
        else:
            is_refused = target.dead and not target.accepts_while_ending
            reach = ConnectResult.REFUSED if is_refused else ConnectResult.CONNECTED
            timers.once(2 * LATENCY, lambda: listener(reach))

    def has_idle(self, address):
        return (self._host.name, address) in self._world.idle

    def drop_idle(self, address):
        self._world.idle.discard((self._host.name, address))
