"""Ask peers for what they know better: the configuration and the endpoints."""

import random
from collections.abc import Callable

from flamingofront.messages import OutboundCall, Sleep, WholeResponse
from flamingofront.process.forwarding.document_copies import apply_delta
from flamingofront.process.forwarding.knowledge import StoreView
from flamingofront.process.forwarding.news import EndpointUpdate, decode_endpoint_update
from flamingofront.process.forwarding.provenance import Provenance, Source
from flamingofront.process.forwarding.reports import PeerReport
from flamingofront.process.forwarding.version_word import VersionTracker
from flamingofront.process.logs import Log
from flamingofront.process.tasks import Task, TaskRunner

__all__ = ["CONFIGURATION_PATH", "ENDPOINTS_PATH", "PeerSync"]

FETCH_TIMEOUT_SECONDS = 1.0
# What a peer knows is asked for when the store has not brought it by itself meanwhile, in seconds.
# A silent store is noticed after a waiting call of some seconds only, and others may rest on this
# process all the while. The second is longer than the pause after which a relay asks it again.
CONFIGURATION_GRACE_SECONDS = 0.25
ENDPOINTS_GRACE_SECONDS = 1.1
# A process that others follow the store for asks it by itself if no peer has told a configuration
# that is known of for so long, in seconds.
PEER_FETCH_GRACE_SECONDS = 1.5
# Pause in the mean between two questions for a configuration that is known of: one that has told of
# it may be busy with others.
RETRY_INTERVAL_SECONDS = 0.1
# Peers that are asked for the configuration at the same time: one of them may be gone.
MAX_CONCURRENT_FETCHES = 2
# Without word of a process that follows the store for so long, a process that rests asks the store
# itself: some digests, of which a few may be lost.
WATCHER_TIMEOUT_SECONDS = 0.7
# So does one whose knowledge is older: a waiting call of a relay takes 3.5 s at most.
MAX_STALENESS_SECONDS = 4.5
# Pause between two such looks.
STORE_POLL_INTERVAL_SECONDS = 1.0
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
        self.remote_watchers: Callable[[], list[str]] = lambda: []
        self.zone_peers: Callable[[], list[str]] = lambda: []
        self._store_view = knowledge
        self._tasks = tasks
        self._now = now
        self._rng = rng
        self._log = log
        self._is_fetching_endpoints = self._is_fetching_missing = self._is_retrying = False
        self._configuration_fetches: set[str] = set()
        self._endpoint_versions = VersionTracker()
        self._watcher_report_at = now()
        self._polled_at = now()

    def sync_with(self, report: PeerReport) -> None:
        """Ask a peer for what it knows better, if the store does not bring it in time."""
        now = self._now()
        self._store_view.record_peer_version(report.configuration, report.vm_id)
        self._store_view.merge_peer_ages(report)
        waited = self._store_view.configuration_lag() or 0.0
        can_reach_store = report.follows and not report.cut_off
        if can_reach_store:
            self._watcher_report_at = now
        mark = self._store_view.endpoints_change_number()
        self._endpoint_versions.record_report(
            report.endpoints if can_reach_store else 0, report.vm_id, mark, now
        )
        lagged = self._endpoint_versions.missing_seconds(mark, now) or 0.0
        newer_endpoints = can_reach_store and report.endpoints > mark
        is_unreachable, is_standby = (
            self._store_view.is_store_unreachable,
            self._store_view.is_standby,
        )
        if report.configuration > self._store_view.configuration.version:
            if is_unreachable or is_standby or waited >= CONFIGURATION_GRACE_SECONDS:
                self._start_configuration_fetch(report.vm_id, report.address)
                self._start_retries()
            if is_standby and waited >= PEER_FETCH_GRACE_SECONDS:
                self._store_view.poll_configuration()
        if (
            can_reach_store
            and report.endpoints >= mark
            and self._store_view.endpoints.missing_ids()
        ):
            self._start_missing_fetch(report)
        if newer_endpoints and (is_unreachable or is_standby or lagged >= ENDPOINTS_GRACE_SECONDS):
            self._start_endpoint_fetch(report.vm_id, report.address)

    def check_staleness(self) -> None:
        """Ask the store itself if no word comes of those who follow it, or only of old knowledge.

        Notes
        -----
        To be called several times a second.
        """
        now = self._now()
        if not self._store_view.is_standby or now - self._polled_at < STORE_POLL_INTERVAL_SECONDS:
            return
        quiet = now - self._watcher_report_at
        ages = (self._store_view.configuration_age(), self._store_view.endpoints_age())
        if quiet < WATCHER_TIMEOUT_SECONDS and all(
            age is None or age < MAX_STALENESS_SECONDS for age in ages
        ):
            return
        self._polled_at = now
        self._log.info("store is asked without word of it", quiet=quiet, ages=ages)
        self._store_view.poll_store()
        for address in self.remote_watchers()[:MAX_CONCURRENT_FETCHES]:
            self._start_configuration_fetch(address, address)
            self._start_endpoint_fetch(address, address)

    def _start_retries(self) -> None:
        """Ask processes of the zone in turn while the configuration is missing."""
        if not self._is_retrying:
            self._is_retrying = True
            self._tasks.start(self._retry_zone_peers(), self._end_retries)

    def _end_retries(self, result: object) -> None:
        self._is_retrying = False

    def _retry_zone_peers(self) -> Task:
        known = self._store_view.configuration.version
        while self._store_view.configuration.version == known:
            yield Sleep(RETRY_INTERVAL_SECONDS * (0.5 + self._rng.random()))
            if self._store_view.configuration_lag() is None:
                return
            for address in self.zone_peers()[:1]:
                self._start_configuration_fetch(address, address)

    def _start_configuration_fetch(self, peer: str, address: str) -> None:
        """Ask a peer for the configuration, unless it or enough others are being asked."""
        asked = self._configuration_fetches
        if peer in asked or len(asked) >= MAX_CONCURRENT_FETCHES:
            return
        asked.add(peer)
        task = self._fetch_configuration(peer, address)
        self._tasks.start(task, lambda _: asked.discard(peer))

    def _fetch_configuration(self, peer: str, address: str) -> Task:
        base, version = self._store_view.configuration_data, self._store_view.configuration.version
        asked_at = self._now()
        data = yield from self._request_peer(peer, address, f"{CONFIGURATION_PATH}?after={version}")
        if not data:
            return
        try:
            document = apply_delta(data, base)
        except ValueError as exc:
            self._log.error("peer's configuration refused", peer=peer, detail=str(exc))
            return
        origin = Provenance(Source.PEER, peer, self._now() - asked_at, len(data))
        self._store_view.apply_configuration(document, origin)

    def _start_endpoint_fetch(self, peer: str, address: str) -> None:
        """Ask a peer for the endpoints, unless one is being asked."""
        if self._is_fetching_endpoints:
            return
        self._is_fetching_endpoints = True
        self._tasks.start(self._fetch_endpoints(peer, address), self._end_endpoint_fetch)

    def _end_endpoint_fetch(self, result: object) -> None:
        self._is_fetching_endpoints = False

    def _start_missing_fetch(self, report: PeerReport) -> None:
        """Ask a peer for all endpoints: what vanished here may be gone since an outage or not.

        Notes
        -----
        A process that alone was out of touch cannot tell rows that lapsed from those that went.
        """
        if not self._is_fetching_missing:
            self._is_fetching_missing = True
            self._tasks.start(self._fetch_missing(report), self._end_missing_fetch)

    def _end_missing_fetch(self, result: object) -> None:
        self._is_fetching_missing = False

    def _fetch_missing(self, report: PeerReport) -> Task:
        path = f"{ENDPOINTS_PATH}?after=all"
        data = yield from self._request_peer(report.vm_id, report.address, path)
        news = self._decode_endpoint_update(report.vm_id, data) if data else None
        if news is not None and news.is_full:
            self._store_view.drop_missing_rows(news)

    def _fetch_endpoints(self, peer: str, address: str) -> Task:
        path = f"{ENDPOINTS_PATH}?after={self._store_view.endpoints_change_number()}"
        data = yield from self._request_peer(peer, address, path)
        if data:
            self._apply_endpoint_update(peer, data)

    def _request_peer(self, peer: str, address: str, path: str) -> Task:
        reply = yield OutboundCall(
            address, "GET", path, timeout=FETCH_TIMEOUT_SECONDS, stall_timeout=FETCH_TIMEOUT_SECONDS
        )
        if isinstance(reply, WholeResponse) and reply.status == 200:
            return reply.body
        self._log.info("peer did not answer", peer=peer, path=path, reply=str(reply)[:80])
        return b""

    def _decode_endpoint_update(self, peer: str, data: bytes) -> EndpointUpdate | None:
        try:
            return decode_endpoint_update(data)
        except ValueError as exc:
            self._log.error("peer's endpoints refused", peer=peer, detail=str(exc))
            return None

    def _apply_endpoint_update(self, peer: str, data: bytes) -> None:
        news = self._decode_endpoint_update(peer, data)
        if news is None:
            return
        self._log.info(
            "endpoints from peer",
            peer=peer,
            mark=news.change_number,
            whole=news.is_full,
            rows=len(news.rows),
            gone=len(news.removed),
        )
        if news.change_number > self._store_view.endpoints_change_number():
            self._store_view.apply_endpoint_update(news)
