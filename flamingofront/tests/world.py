"""Small fakes for the tests: hosts in virtual time, joined by a network that can fail.

Each host has its own timer service over the one manual clock, so that a host can be paused (its
timers and its incoming messages wait) or killed. No test that uses it depends on the wall clock.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qsl, unquote, urlsplit

import logbook
import orjson

from flamingofront.connection.interfaces import CallHandle, Exchange, Transport
from flamingofront.daemon import documents_at
from flamingofront.messages import (
    CallFailed,
    InboundRequest,
    ResponseData,
    ResponseEnd,
    ResponseHead,
)
from flamingofront.process.logs import Log
from flamingofront.process.node import EntryNode
from flamingofront.process.settings import EntrySettings, parse_address
from flamingofront.process.timers import ManualClock, TimerService
from flamingofront.standins.engine import EngineOptions, EngineStandIn
from flamingofront.standins.plain import PlainStandIn
from flamingofront.standins.platform import PlatformStandIn
from flamingofront.version.files import statements_of

LATENCY = 0.001
DEMO = """
[services.demo]
kind = "model"
model = "demo"
call_timeout = 2.0
[services.records]
kind = "plain"
non_repeatable = ["POST /certificates"]
call_timeout = 2.0
[workspaces.desk]
[workspaces.other]
[routes.demo]
service = "demo"
[routes.records]
service = "records"
"""

logbook.NullHandler().push_application()


@dataclass
class Host:
    """A machine in the fake network."""

    name: str
    zone: str
    timers: TimerService
    handler: Callable[[InboundRequest, Exchange], None] | None = None
    paused: bool = False
    dead: bool = False
    links: list = field(default_factory=list)


class _Link(CallHandle):
    """One call between two hosts."""

    def __init__(self, world, source: Host, target: Host | None, call, listener):
        self.world, self.source, self.target = world, source, target
        self.call, self.listener = call, listener
        self.exchange: FakeExchange | None = None
        self._wrote = False
        self.closed = False
        self.timer = source.timers.once(call.timeout, self._timed_out)
        source.links.append(self)
        if target is None or target.dead:
            source.timers.once(LATENCY, lambda: self.fail("connect", False))
        elif not world.is_cut(source, target):
            self._wrote = True
            target.links.append(self)
            target.timers.once(LATENCY, self._arrive)

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

    def fail(self, reason: str, wrote: bool) -> None:
        if not self.closed:
            self._close()
            self.listener(CallFailed(reason, wrote))

    def _arrive(self) -> None:
        if self.closed or self.target.dead:
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
            self.target.timers.now(),
        )
        self.exchange = FakeExchange(self)
        self.target.handler(req, self.exchange)

    def back(self, *events) -> None:
        """Carry events to the caller."""
        if self.source.dead or self.world.is_cut(self.source, self.target):
            return
        self.source.timers.once(LATENCY + self.world.extra_delay(), lambda: self._deliver(events))

    def _deliver(self, events) -> None:
        for event in events:
            if self.closed:
                return
            if isinstance(event, ResponseData) and self.call.stream:
                self.timer.cancel()
                self.timer = self.source.timers.once(self.call.timeout, self._timed_out)
            if isinstance(event, ResponseEnd | CallFailed):
                self._close()
            self.listener(event)


class FakeExchange(Exchange):
    """The served side of a call in the fake network."""

    def __init__(self, link: _Link):
        self._link = link
        self.on_gone = None
        self.gone = False

    def caller_gone(self) -> None:
        self.gone = True
        if self.on_gone is not None:
            listener, self.on_gone = self.on_gone, None
            listener()

    def respond(self, status, headers, body) -> None:
        self.begin(status, headers, body, ResponseEnd())

    def begin(self, status, headers, body=b"", *more) -> None:
        names = {name.lower(): value for name, value in headers}
        head = ResponseHead(status, names, tuple(headers))
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

    def __init__(self, node: EntryNode, host: Host):
        self.node, self.host = node, host
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.done = False
        self.answers = 0
        self.broken = False
        self.on_gone = None

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
        if self.on_gone is not None:
            listener, self.on_gone = self.on_gone, None
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


class _FakeTransport(Transport):
    def __init__(self, world: "World", host: Host):
        self._world, self._host = world, host

    def start(self, call, listener):
        target = self._world.hosts.get(call.address)
        return _Link(self._world, self._host, target, call, listener)

    def drop_idle(self, address):
        """Do nothing: each call has a connection of its own here."""


class World:
    """Hosts, their network, the platform, and helpers to act on them."""

    def __init__(self, seed: int = 1, list_lag: float = 0.0):
        self.clock = ManualClock(100.0)
        self.rng = random.Random(seed)
        self.hosts: dict[str, Host] = {}
        self.cuts: set[frozenset[str]] = set()
        self.max_extra_delay = 0.0
        self.engines: dict[str, EngineStandIn] = {}
        self.plains: dict[str, PlainStandIn] = {}
        self.nodes: dict[str, EntryNode] = {}
        self.exited: set[str] = set()
        self._ports = iter(range(1000, 60000))
        host = self._host("platform", "platform")
        self.platform = PlatformStandIn(host.timers, list_lag=list_lag)
        host.handler = self.platform.handle

    def _host(self, name: str, zone: str) -> Host:
        host = Host(name, zone, TimerService(self.clock))
        host.address = f"127.0.0.1:{next(self._ports)}"
        self.hosts[host.address] = host
        return host

    def host(self, name: str) -> Host:
        found = [each for each in self.hosts.values() if each.name == name]
        return found[-1]

    def extra_delay(self) -> float:
        return self.rng.random() * self.max_extra_delay if self.max_extra_delay else 0.0

    # Network

    def cut(self, one: str, other: str) -> None:
        """Lose all messages between two hosts or zones."""
        self.cuts.add(frozenset((one, other)))

    def heal(self) -> None:
        self.cuts.clear()

    def isolate(self, zone: str) -> None:
        """Cut a zone off from all others and the platform."""
        for host in self.hosts.values():
            if host.zone != zone:
                self.cut(zone, host.zone)

    def is_cut(self, one: Host, other: Host) -> bool:
        names = [(a, b) for a in (one.name, one.zone) for b in (other.name, other.zone)]
        return any(frozenset(pair) in self.cuts for pair in names if pair[0] != pair[1])

    # Building

    def engine(self, name: str, zone: str = "zone-a", side: str = "", listed=True, **options):
        host = self._host(name, zone)
        engine = EngineStandIn(name, host.timers, EngineOptions(**options))
        host.handler = engine.handle
        self.engines[name] = engine
        if listed:
            self._list(host, zone, "endpoint", service="demo", side=side)
        return engine

    def plain(self, name: str, zone: str = "zone-a", side: str = ""):
        host = self._host(name, zone)
        plain = PlainStandIn(name, host.timers)
        host.handler = plain.handle
        self.plains[name] = plain
        self._list(host, zone, "endpoint", service="records", side=side)
        return plain

    def _list(self, host: Host, zone: str, role: str, **more) -> None:
        record = {"vm_id": host.name, "zone": zone, "role": role, "address": host.address}
        self.platform.add_vm({**record, **more, "state": "live"})

    def entry(self, name: str, zone: str = "zone-a", **settings) -> EntryNode:
        """Start an entry process; starting one of the same name again replaces it."""
        host = self._host(name, zone)
        address = parse_address(host.address)
        values = dict(
            vm_id=name,
            zone=zone,
            platform=parse_address(self.host("platform").address),
            control_bind=address,
            peers=tuple(
                parse_address(each.address)
                for each in self.hosts.values()
                if each.name in self.nodes and not each.dead
            ),
            drain_timeout=1.0,
        )
        values.update(settings)
        settings = EntrySettings(**values)
        node = EntryNode(
            settings,
            documents_at(str(settings.platform), settings.platform_timeout),
            _FakeTransport(self, host),
            host.timers,
            random.Random(self.rng.random()),
            int(self.clock.now() * 1000) + len(self.hosts),
            Log("entry"),
            on_exit=lambda: self._exit(name),
        )
        host.handler = node.handle_control
        self.nodes[name] = node
        self._list(host, zone, "entry")
        node.start()
        return node

    def _exit(self, name: str) -> None:
        self.exited.add(name)
        self.kill(name)

    # Failures

    def kill(self, name: str) -> None:
        """End a host at once; its peers see resets."""
        host = self.host(name)
        host.dead = True
        if name in self.engines:
            self.engines[name].dead = True
        for link in list(host.links):
            if link.target is host:
                link.source.timers.once(LATENCY, lambda link=link: link.fail("reset", link.wrote))
            else:
                link.cancel()

    def pause(self, name: str) -> None:
        self.host(name).paused = True

    def resume(self, name: str) -> None:
        self.host(name).paused = False

    # Time

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.clock.now() + seconds
        self.run_until(lambda: False, seconds, must=False)
        self.clock.time = max(self.clock.time, end)

    def run_until(self, condition, limit: float = 30.0, must: bool = True) -> float:
        """Let time pass until a condition holds; return the seconds it took."""
        start = self.clock.now()
        while not condition():
            alive = [each for each in self.hosts.values() if not each.dead and not each.paused]
            due = [each.timers.next_due() for each in alive]
            due = [each for each in due if each is not None]
            if not due or min(due) > start + limit:
                assert not must, f"condition did not hold within {limit} s"
                return limit
            self.clock.time = max(self.clock.time, min(due))
            for host in alive:
                if not host.dead and not host.paused:
                    host.timers.run_due()
        return self.clock.now() - start

    # Acting

    def configure(self, text: str = DEMO, node: str | None = None) -> dict:
        """Put a configuration file in force, wait until all nodes have it."""
        outcome = self.operate(statements_of(text), node)
        assert outcome["state"] == "accepted", outcome
        self.run_until(
            lambda: all(
                each.gossip.configuration.revision >= outcome["revision"]
                for name, each in self.nodes.items()
                if not self.host(name).dead
            )
        )
        return outcome

    def ask_control(self, name: str, path: str, data: dict) -> Caller:
        """Send a call to a node's control address without waiting."""
        host = self.host(name)
        caller = Caller(self.nodes[name], host)
        req = InboundRequest("POST", path, {}, {}, orjson.dumps(data))
        self.nodes[name].handle_control(req, caller)
        return caller

    def start_operation(self, statements, node: str | None = None, operator="ops", **more):
        name = node or next(name for name in self.nodes if not self.host(name).dead)
        data = {"statements": statements, "operator": operator, **more}
        return self.ask_control(name, "/operate", data)

    def operate(self, statements, node: str | None = None, operator="ops", **more) -> dict:
        """Carry out statements and return the outcome."""
        statements = [statements] if isinstance(statements, str) else statements
        caller = self.start_operation(statements, node, operator, **more)
        self.run_until(lambda: caller.done)
        return caller.data

    def call(self, node: str, method: str, path: str, body=b"", headers=None, query=None) -> Caller:
        """Send a caller's request to an entry process without waiting."""
        host = self.host(node)
        caller = Caller(self.nodes[node], host)
        data = body if isinstance(body, bytes) else orjson.dumps(body)
        all_headers = {"x-workspace": "desk", **(headers or {})}
        req = InboundRequest(method, path, query or {}, all_headers, data)
        self.nodes[node].handle_caller(req, caller)
        return caller

    def complete(self, node: str, prompt="a b c", tokens=20, stream=True, headers=None) -> Caller:
        """Ask for a completion without waiting."""
        body = {"model": "demo", "prompt": prompt, "max_tokens": tokens, "stream": stream}
        return self.call(node, "POST", "/v1/completions", body, headers)

    def finish(self, *callers: Caller, limit: float = 60.0) -> None:
        """Wait until callers have their answers."""
        self.run_until(lambda: all(each.done for each in callers), limit)


def demo_world(
    zones: tuple[str, ...] = ("zone-a",),
    engines_per_zone: int = 2,
    plains_per_zone: int = 1,
    entries_per_zone: int = 1,
    text: str = DEMO,
    list_lag: float = 0.0,
    seed: int = 1,
    entry_settings: dict | None = None,
    **options,
) -> World:
    """Return a world that is configured and ready."""
    world = World(seed, list_lag)
    for zone in zones:
        letter = zone[-1]
        for number in range(1, engines_per_zone + 1):
            world.engine(f"engine-{letter}{number}", zone, **options)
        for number in range(1, plains_per_zone + 1):
            world.plain(f"plain-{letter}{number}", zone)
        for number in range(1, entries_per_zone + 1):
            world.entry(f"entry-{letter}{number}", zone, **(entry_settings or {}))
    world.run_until(lambda: all(each.ready for each in world.nodes.values()))
    world.configure(text)
    world.run(3.0)
    return world
