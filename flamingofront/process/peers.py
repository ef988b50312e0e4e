"""Client side of the protocol between entry processes: gossip and requests to peers."""

import random
from collections.abc import Callable
from typing import Any
from urllib.parse import quote

import orjson

from flamingofront.messages import STALE_SECONDS, CallFailed, OutboundCall
from flamingofront.process.dissemination import (
    PUSH_FANOUT,
    Digest,
    DigestReply,
    Dissemination,
    Push,
)
from flamingofront.process.membership import Fact, Role, VmState
from flamingofront.process.metrics import Metrics
from flamingofront.process.rendezvous import rank
from flamingofront.process.tasks import Task, TaskRunner, read_json
from flamingofront.process.timers import TimerService
from flamingofront.request.reattach import parse_origin_vm

__all__ = ["PeerLinks"]

# Number of peers that are tried to find the owner of a request.
MAX_HOLDERS = 4
REQUEST_TIMEOUT_SECONDS = 1.0


class PeerLinks:
    """Sends gossip and requests to peers.

    Parameters
    ----------
    headers : tuple
        Headers that authorize calls to peers.
    seeds : tuple of str
        Control addresses to contact while no peer is known.
    on_exchange : callable
        Called after each successful digest exchange.
    """

    def __init__(
        self,
        dissemination: Dissemination,
        tasks: TaskRunner,
        timers: TimerService,
        metrics: Metrics,
        rng: random.Random,
        headers: tuple[tuple[str, str], ...],
        seeds: tuple[str, ...] = (),
        on_exchange: Callable[[], None] = lambda: None,
    ):
        self._gossip = dissemination
        self._tasks = tasks
        self._timers = timers
        self._metrics = metrics
        self._rng = rng
        self.headers = headers
        self._seeds = seeds
        self._on_exchange = on_exchange

    def exchange_digests(self) -> None:
        """Start a digest exchange with a random peer, or with all seeds while no peer is known."""
        peers = self._gossip.pick_peers(1)
        addresses = [each.address for each in peers]
        if not addresses:
            addresses = list(self._seeds)
        for address in addresses:
            self._tasks.start(self._exchange_digests_with(address))

    def _post(self, address: str, path: str, data: Any, timeout: float = 2.0) -> OutboundCall:
        headers = (("Content-Type", "application/json"), *self.headers)
        return OutboundCall(address, "POST", path, orjson.dumps(data), headers, timeout)

    def _exchange_digests_with(self, address: str) -> Task:
        digest = self._gossip.make_digest(self._timers.now())
        reply = yield self._post(address, "/peer/digest", digest.to_json())
        data = read_json(reply)
        if data is None:
            self._metrics.count("gossip_total", kind="digest", result="failed")
            return
        self._metrics.count("gossip_total", kind="digest", result="ok")
        digest_reply = DigestReply.from_json(data)
        to_peer, onward = self._gossip.apply_reply(digest_reply, self._timers.now())
        if onward is not None:
            self.push(onward)
        self._on_exchange()
        if to_peer is not None:
            yield self._post(address, "/peer/push", to_peer.to_json())

    def push(self, push: Push | None) -> None:
        """Send changes to a few random peers; None has no effect."""
        if push is None:
            return
        for peer in self._gossip.pick_peers(PUSH_FANOUT):
            self._tasks.start(self._send_push(peer, push))

    def _send_push(self, peer: Fact, push: Push) -> Task:
        reply = yield self._post(peer.address, "/peer/push", push.to_json())
        failed = isinstance(reply, CallFailed) or reply.status != 200
        self._metrics.count("gossip_total", kind="push", result="failed" if failed else "ok")

    def handle_digest(self, data: dict) -> dict:
        """Merge a peer's digest and return the reply, both as JSON values."""
        reply = self._gossip.answer_digest(Digest.from_json(data), self._timers.now())
        return reply.to_json()

    def handle_push(self, data: dict) -> None:
        """Apply a peer's push and forward what was new."""
        self.push(self._gossip.apply_push(Push.from_json(data)))

    def rank_holders(self, request_id: str) -> list[str]:
        """Return the addresses of the peers that may own a request, the most likely first.

        Notes
        -----
        The process that accepted a request owns it. After a handover, the owner is one of the first
        live peers in rendezvous order, in which the record was offered.
        """
        peers = {each.vm_id: each for each in self._gossip.peers()}
        ordered = rank(request_id, peers)
        ordered.sort(key=lambda vm_id: peers[vm_id].state is not VmState.LIVE)
        origin = parse_origin_vm(request_id)
        if origin in peers:
            ordered.remove(origin)
            index = 0 if peers[origin].state is VmState.LIVE else 2
            ordered.insert(index, origin)
        return [peers[each].address for each in ordered[:MAX_HOLDERS]]

    def query_not_run(self, vm_id: str, request_id: str) -> Task:
        """Ask the owner of a claim; return True only if it confirms its request was not run."""
        fact = self._gossip.facts.get(vm_id)
        if fact is None or fact.role is not Role.ENTRY:
            return False
        path = f"/peer/claims/{quote(request_id)}"
        reply = yield OutboundCall(
            fact.address,
            "GET",
            path,
            b"",
            self.headers,
            REQUEST_TIMEOUT_SECONDS,
            stale_seconds=STALE_SECONDS,
        )
        data = read_json(reply)
        return data is not None and data["not_run"] is True

    def collect_rows(self, subject: str, on_done: Callable[[list[dict], list[str]], None]) -> None:
        """Collect the rows of a subject from all peers.

        Parameters
        ----------
        on_done : callable
            Called with the rows and the ids of the peers that did not respond.
        """
        _RowCollection(self, subject, on_done).start(self._gossip.peers(), self._tasks)

    def fetch_rows(self, peer: Fact, subject: str) -> Task:
        """Fetch one peer's rows of a subject; return None if it does not respond."""
        reply = yield self._post(
            peer.address, "/peer/rows", {"subject": subject}, REQUEST_TIMEOUT_SECONDS
        )
        data = read_json(reply)
        return None if data is None else data["rows"]


class _RowCollection:
    """Pending collection of rows from all peers."""

    def __init__(
        self,
        links: PeerLinks,
        subject: str,
        on_done: Callable[[list[dict], list[str]], None],
    ):
        self._links = links
        self._subject = subject
        self._on_done = on_done
        self._rows: list[dict] = []
        self._missing: list[str] = []
        self._pending = 0

    def start(self, peers: tuple[Fact, ...], tasks: TaskRunner) -> None:
        """Query all peers concurrently."""
        self._pending = len(peers)
        if not peers:
            self._on_done([], [])
        for peer in peers:
            tasks.start(
                self._links.fetch_rows(peer, self._subject),
                lambda rows, vm_id=peer.vm_id: self._add_rows(vm_id, rows),
            )

    def _add_rows(self, vm_id: str, rows: list[dict] | None) -> None:
        if rows is None:
            self._missing.append(vm_id)
        else:
            self._rows += rows
        self._pending -= 1
        if self._pending == 0:
            self._on_done(self._rows, sorted(self._missing))
