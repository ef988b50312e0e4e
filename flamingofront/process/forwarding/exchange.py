"""Ask peers for what they know better: the configuration and the endpoints."""

import random
from collections.abc import Callable

from flamingofront.messages import BufferedResponse, OutboundCall, Sleep
from flamingofront.process.forwarding.document_copies import apply_copy
from flamingofront.process.forwarding.knowledge import StoreView
from flamingofront.process.forwarding.news import EndpointNews, decode_news
from flamingofront.process.forwarding.provenance import Provenance, Source
from flamingofront.process.forwarding.reports import PeerReport
from flamingofront.process.forwarding.version_word import VersionTracker
from flamingofront.process.logs import Log
from flamingofront.process.tasks import Task, TaskRunner

__all__ = ["CONFIGURATION_PATH", "ENDPOINTS_PATH", "PeerSync"]

ASK_TIMEOUT = 1.0
# What a peer knows is asked for when the store has not brought it by itself meanwhile, in seconds.
# A silent store is noticed after a waiting call of some seconds only, and others may rest on this
# process all the while. The second is longer than the pause after which a relay asks it again.
CONFIGURATION_GRACE_SECONDS = 0.25
ENDPOINTS_LEAD_SECONDS = 1.1
# A process that others follow the store for asks it by itself if no peer has told a configuration
# that is known of for so long, in seconds.
STORE_LEAD_SECONDS = 1.5
# Pause in the mean between two questions for a configuration that is known of: one that has told of
# it may be busy with others.
RETRY_SECONDS = 0.1
# Peers that are asked for the configuration at the same time: one of them may be gone.
MAX_ASKED = 2
# Without word of a process that follows the store for so long, a process that rests asks the store
# itself: some digests, of which a few may be lost.
QUIET_SECONDS = 0.7
# So does one whose knowledge is older: a waiting call of a relay takes 3.5 s at most.
OLD_SECONDS = 4.5
# Pause between two such looks.
LOOK_SECONDS = 1.0
# Pause between two checks of whether one is due.
STALENESS_CHECK_SECONDS = 0.2
CONFIGURATION_PATH = "/forwarding/configuration"
ENDPOINTS_PATH = "/forwarding/endpoints"


class PeerSync:
    """Compares what peers report with what is known here.

    A process that follows the store asks its peers only while the store does not answer it, or not
    in time. One that rests asks a peer for each change as soon as it hears of it: a copy of the
    configuration takes a tenth of the bytes of a read, or less.

    Parameters
    ----------
    now : callable
        Time of the timer service.

    Attributes
    ----------
    distant : callable
        Returns the addresses of processes elsewhere that follow the store.
    near : callable
        Returns the addresses of the other processes of the zone, in random order.
    """

    def __init__(
        self,
        knowledge: StoreView,
        tasks: TaskRunner,
        now: Callable[[], float],
        rng: random.Random,
        log: Log,
    ):
        self.distant: Callable[[], list[str]] = lambda: []
        self.near: Callable[[], list[str]] = lambda: []
        self._store_view = knowledge
        self._tasks = tasks
        self._now = now
        self._rng = rng
        self._log = log
        self._asking = self._asking_missing = self._is_asking_others = False
        self._asked_for_configuration: set[str] = set()
        self._endpoints = VersionTracker()
        self._reader_heard_at = now()
        self._looked_at = now()

    def compare(self, report: PeerReport) -> None:
        """Ask a peer for what it knows better, if the store does not bring it in time."""
        now = self._now()
        self._store_view.hear_of_configuration(report.configuration, report.vm_id)
        self._store_view.confirm_by_peer(report)
        waited = self._store_view.configuration_missing_for() or 0.0
        reached = report.watches_store and not report.store_unreachable
        if reached:
            self._reader_heard_at = now
        mark = self._store_view.endpoints_mark()
        self._endpoints.told(report.endpoints if reached else 0, report.vm_id, mark, now)
        lagged = self._endpoints.missing_for(mark, now) or 0.0
        newer_endpoints = reached and report.endpoints > mark
        cut_off, rests = self._store_view.is_store_unreachable, self._store_view.is_standby
        if report.configuration > self._store_view.configuration.version:
            if cut_off or rests or waited >= CONFIGURATION_GRACE_SECONDS:
                self._ask_configuration(report.vm_id, report.address)
                self._ask_others_too()
            if rests and waited >= STORE_LEAD_SECONDS:
                self._store_view.read_configuration_now()
        if reached and report.endpoints >= mark and self._store_view.endpoints.missing_ids():
            self._ask_missing(report)
        if newer_endpoints and (cut_off or rests or lagged >= ENDPOINTS_LEAD_SECONDS):
            self._ask_endpoints(report.vm_id, report.address)

    def watch(self) -> None:
        """Ask the store itself if no word comes of those who follow it, or only of old knowledge.

        Notes
        -----
        To be called several times a second.
        """
        now = self._now()
        if not self._store_view.is_standby or now - self._looked_at < LOOK_SECONDS:
            return
        quiet = now - self._reader_heard_at
        ages = (self._store_view.configuration_age(), self._store_view.endpoints_age())
        if quiet < QUIET_SECONDS and all(age is None or age < OLD_SECONDS for age in ages):
            return
        self._looked_at = now
        self._log.info("store is asked without word of it", quiet=quiet, ages=ages)
        self._store_view.poll_store()
        for address in self.distant()[:MAX_ASKED]:
            self._ask_configuration(address, address)
            self._ask_endpoints(address, address)

    def _ask_others_too(self) -> None:
        """Ask processes of the zone in turn while the configuration is missing."""
        if not self._is_asking_others:
            self._is_asking_others = True
            self._tasks.start(self._ask_others(), self._asked_others)

    def _asked_others(self, result: object) -> None:
        self._is_asking_others = False

    def _ask_others(self) -> Task:
        known = self._store_view.configuration.version
        while self._store_view.configuration.version == known:
            yield Sleep(RETRY_SECONDS * (0.5 + self._rng.random()))
            if self._store_view.configuration_missing_for() is None:
                return
            for address in self.near()[:1]:
                self._ask_configuration(address, address)

    def _ask_configuration(self, peer: str, address: str) -> None:
        """Ask a peer for the configuration, unless it or enough others are being asked."""
        asked = self._asked_for_configuration
        if peer in asked or len(asked) >= MAX_ASKED:
            return
        asked.add(peer)
        task = self._fetch_configuration(peer, address)
        self._tasks.start(task, lambda _: asked.discard(peer))

    def _fetch_configuration(self, peer: str, address: str) -> Task:
        base, version = self._store_view.configuration_data, self._store_view.configuration.version
        asked_at = self._now()
        data = yield from self._get(peer, address, f"{CONFIGURATION_PATH}?after={version}")
        if not data:
            return
        try:
            document = apply_copy(data, base)
        except ValueError as exc:
            self._log.error("peer's configuration refused", peer=peer, detail=str(exc))
            return
        origin = Provenance(Source.PEER, peer, self._now() - asked_at, len(data))
        self._store_view.take_configuration(document, origin)

    def _ask_endpoints(self, peer: str, address: str) -> None:
        """Ask a peer for the endpoints, unless one is being asked."""
        if self._asking:
            return
        self._asking = True
        self._tasks.start(self._fetch_endpoints(peer, address), self._asked)

    def _asked(self, result: object) -> None:
        self._asking = False

    def _ask_missing(self, report: PeerReport) -> None:
        """Ask a peer for all endpoints: what vanished here may be gone since an outage or not.

        Notes
        -----
        A process that alone was out of touch cannot tell rows that lapsed from those that went.
        """
        if not self._asking_missing:
            self._asking_missing = True
            self._tasks.start(self._fetch_missing(report), self._asked_missing)

    def _asked_missing(self, result: object) -> None:
        self._asking_missing = False

    def _fetch_missing(self, report: PeerReport) -> Task:
        path = f"{ENDPOINTS_PATH}?after=all"
        data = yield from self._get(report.vm_id, report.address, path)
        news = self._decoded_news(report.vm_id, data) if data else None
        if news is not None and news.whole:
            self._store_view.confirm_missing(news)

    def _fetch_endpoints(self, peer: str, address: str) -> Task:
        path = f"{ENDPOINTS_PATH}?after={self._store_view.endpoints_mark()}"
        data = yield from self._get(peer, address, path)
        if data:
            self._take_endpoints(peer, data)

    def _get(self, peer: str, address: str, path: str) -> Task:
        reply = yield OutboundCall(
            address, "GET", path, timeout=ASK_TIMEOUT, stall_timeout=ASK_TIMEOUT
        )
        if isinstance(reply, BufferedResponse) and reply.status == 200:
            return reply.body
        self._log.info("peer did not answer", peer=peer, path=path, reply=str(reply)[:80])
        return b""

    def _decoded_news(self, peer: str, data: bytes) -> EndpointNews | None:
        try:
            return decode_news(data)
        except ValueError as exc:
            self._log.error("peer's endpoints refused", peer=peer, detail=str(exc))
            return None

    def _take_endpoints(self, peer: str, data: bytes) -> None:
        news = self._decoded_news(peer, data)
        if news is None:
            return
        self._log.info(
            "endpoints from peer",
            peer=peer,
            mark=news.mark,
            whole=news.whole,
            rows=len(news.rows),
            gone=len(news.gone),
        )
        if news.mark > self._store_view.endpoints_mark():
            self._store_view.take_endpoints(news)
