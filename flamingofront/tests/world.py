"""Small fakes for the tests: hosts in virtual time, joined by a network that can fail.

Each host has its own timer service over the one manual clock, so that a host can be paused (its
timers and its incoming messages wait) or killed. No test that uses it depends on the wall clock.
"""

import itertools
import random
from collections.abc import Iterable

import logbook
import orjson

from flamingofront.daemon import open_document_store
from flamingofront.messages import (
    InboundRequest,
)
from flamingofront.process.logs import Log
from flamingofront.process.node import EntryNode
from flamingofront.process.settings import EntrySettings, parse_address
from flamingofront.process.timers import ManualClock, TimerService
from flamingofront.standins.engine import EngineOptions, EngineStandIn
from flamingofront.standins.plain import PlainStandIn
from flamingofront.standins.platform import PlatformStandIn
from flamingofront.tests.network import LATENCY, Caller, FakeTransport, Host, PathFault
from flamingofront.version.files import load_statements

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


class World:
    """Hosts, their network, the platform, and helpers to act on them."""

    def __init__(self, seed: int = 1, list_lag: float = 0.0):
        self.clock = ManualClock(100.0)
        self.rng = random.Random(seed)
        self.hosts: dict[str, Host] = {}
        self.cuts: set[frozenset[str]] = set()
        # Faults of one-way paths, by the names of the calling and the called host.
        self.path_faults: dict[tuple[str, str], PathFault] = {}
        self.max_extra_delay = 0.0
        # Seconds by which the connections of guarded calls are established late, by source.
        self.connect_delays: dict[str, float] = {}
        # Seconds by which guarded calls arrive late once they are written, by source. They arrive
        # also if the source has given them up or stands still, but not if it was killed.
        self.delivery_delays: dict[str, float] = {}
        # Seconds until connections from one host to another are established, for all calls.
        self.path_connect_delays: dict[tuple[str, str], float] = {}
        # Seconds that requests from one host to another take from their head to their last byte.
        self.upload_seconds: dict[tuple[str, str], float] = {}
        # Connections that are kept, by host and address; none unless a test wants them.
        self.keeps_connections = False
        self.idle: set[tuple[str, str]] = set()
        # Hosts that close connections while they are idle, so that the next call is reset.
        self.closing: set[str] = set()
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

    def fail_paths(self, sources: Iterable[str], targets: Iterable[str], fault: PathFault) -> None:
        """Let the paths from some hosts to others fail; open calls fail as the fault says."""
        for pair in itertools.product(sources, targets):
            self.path_faults[pair] = fault
            for link in list(self.host(pair[0]).links):
                if link.target is not None and (link.source.name, link.target.name) == pair:
                    link.path_fails(fault)
            if fault.resets_open:
                self.idle.discard((pair[0], self.host(pair[1]).address))

    def blocks_open(self, source: Host, target: Host) -> bool:
        """Return True if nothing comes back to a host on its open connections to another."""
        fault = self.path_faults.get((source.name, target.name))
        return fault is not None and fault.blocks_open

    def heal(self) -> None:
        self.cuts.clear()
        self.path_faults.clear()
        for link in [each for host in self.hosts.values() for each in host.links]:
            if link.target is not None and link.exchange is not None:
                link.back()

    def isolate(self, zone: str) -> None:
        """Cut a zone off from all others and the platform."""
        for host in self.hosts.values():
            if host.zone != zone:
                self.cut(zone, host.zone)

    def is_cut(self, one: Host, other: Host) -> bool:
        names = [(a, b) for a in (one.name, one.zone) for b in (other.name, other.zone)]
        return any(frozenset(pair) in self.cuts for pair in names if pair[0] != pair[1])

    def carry_back(self, link, events) -> None:
        """Carry events of a call back to the host that made it."""
        delay = LATENCY + self.extra_delay()
        link.source.timers.once(delay, lambda: link.deliver(events))

    def keep_connection(self, source: Host, address: str) -> None:
        """Keep a connection for the next call, if this world keeps any."""
        if self.keeps_connections:
            self.idle.add((source.name, address))

    def takes_idle(self, source: Host, call) -> bool:
        """Take the idle connection for a call; return False if it needs a new connection."""
        known = (source.name, call.address)
        if call.new_connection or known not in self.idle:
            return False
        self.idle.discard(known)
        return True

    def closes_idle(self, target: Host) -> bool:
        """Return True if a host has closed its idle connections."""
        return target.name in self.closing

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
            open_document_store(
                str(settings.platform),
                settings.platform_timeout,
                host.timers.now,
                Log("entry"),
            ),
            FakeTransport(self, host),
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

    def kill(self, name: str, dark: bool = False, silent: bool = False) -> None:
        """End a host at once; its peers see resets.

        Parameters
        ----------
        dark : bool
            True if its VM answers nobody any more: connections are not even refused.
        silent : bool
            True if its open connections are not reset either.
        """
        host = self.host(name)
        host.dead, host.dark = True, dark
        if name in self.engines:
            self.engines[name].dead = True
        for link in list(host.links):
            if link.target is not host:
                link.cancel()
            elif not silent:
                link.source.timers.once(LATENCY, lambda link=link: link.fail("reset", link.wrote))

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
        outcome = self.operate(load_statements(text), node)
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
