"""Anti-entropy with peers: fetches newer configuration and endpoint state from them."""

import random
from collections.abc import Callable

from flamingofront.messages import STALE_SECONDS, BufferedResponse, OutboundCall, Sleep
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
# A change that a peer reported is fetched from the peer if it does not arrive from the store within
# these times. An unresponsive store is noticed only after a long poll of some seconds, and standby
# processes may rely on this one meanwhile. The second is longer than a relay's pause between polls.
CONFIGURATION_GRACE_SECONDS = 0.25
ENDPOINTS_GRACE_SECONDS = 1.1
# A standby process polls the store itself if no peer has delivered a reported configuration within
# this time.
PEER_FETCH_GRACE_SECONDS = 1.5
# Mean interval between two fetches of a reported configuration: the peer that reported it may be at
# its rate limit.
RETRY_INTERVAL_SECONDS = 0.1
# More than one, since a peer may have crashed.
MAX_CONCURRENT_FETCHES = 2
# Without a report from a process that watches the store for this long, a standby process polls the
# store itself. Several digests arrive in this time, of which a few may be lost.
WATCHER_TIMEOUT_SECONDS = 0.7
# It also polls if its configuration is staler than this: a long poll takes 3.5 s at most.
MAX_CONFIGURATION_STALENESS_SECONDS = 4.5
# As long as two watchers need to notice one after the other that the endpoints were not confirmed
# for a while, and the answer to the second takes to arrive here.
MAX_ENDPOINTS_STALENESS_SECONDS = 1.6
STORE_POLL_INTERVAL_SECONDS = 1.0
STALENESS_CHECK_SECONDS = 0.2
CONFIGURATION_PATH = "/forwarding/configuration"
ENDPOINTS_PATH = "/forwarding/endpoints"


class PeerSync:
    """Compares peer reports with the local view and fetches what is newer there.

    A process that watches the store fetches from peers only while the store does not answer it, or
    not in time. A standby process fetches each change as soon as a peer reports it: a delta of the
    configuration takes at most a tenth of the bytes of a read from the store.

    Parameters
    ----------
    now : callable
        Time of the timer service.

    Attributes
    ----------
    remote_watchers : callable
        Returns the addresses of processes in other zones that watch the store.
    zone_peers : callable
        Returns the addresses of the other processes of the zone, in random order.
    on_peer_cut_off : callable
        Called when a peer begins to report that the store does not answer it.
    """

    def __init__(
        self,
        store_view: StoreView,
        tasks: TaskRunner,
        now: Callable[[], float],
        rng: random.Random,
        log: Log,
    ):
        self.remote_watchers: Callable[[], list[str]] = lambda: []
        self.zone_peers: Callable[[], list[str]] = lambda: []
        self.on_peer_cut_off: Callable[[], None] = lambda: None
        self._cut_off_peers: set[str] = set()
        self._store_view = store_view
        self._tasks = tasks
        self._now = now
        self._rng = rng
        self._log = log
        self._is_fetching_endpoints = self._is_fetching_missing = self._is_retrying = False
        self._configuration_fetches: set[str] = set()
        self._endpoint_versions = VersionTracker()
        self._watcher_report_at = now()
        self._polled_at = now()

    def endpoints_lag(self) -> float | None:
        """Return the seconds since a peer reported newer endpoints; None if none are missing."""
        change_number = self._store_view.endpoints_change_number()
        return self._endpoint_versions.missing_seconds(change_number, self._now())

    def sync_with(self, report: PeerReport) -> None:
        """Merge a peer's report, and fetch what is newer there and overdue from the store."""
        now = self._now()
        self._store_view.record_peer_version(report.configuration, report.vm_id)
        self._store_view.merge_peer_ages(report)
        self._record_reach(report)
        waited = self._store_view.configuration_lag() or 0.0
        can_reach_store = report.watches_store and not report.store_unreachable
        if can_reach_store:
            self._watcher_report_at = now
        change_number = self._store_view.endpoints_change_number()
        self._endpoint_versions.record_report(
            report.endpoints if can_reach_store else 0, report.vm_id, change_number, now
        )
        endpoint_lag = self._endpoint_versions.missing_seconds(change_number, now) or 0.0
        has_newer_endpoints = can_reach_store and report.endpoints > change_number
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
            and report.endpoints >= change_number
            and self._store_view.endpoints.missing_ids()
        ):
            self._start_missing_fetch(report)
        if has_newer_endpoints and (
            is_unreachable or is_standby or endpoint_lag >= ENDPOINTS_GRACE_SECONDS
        ):
            self._start_endpoint_fetch(report.vm_id, report.address)

    def _record_reach(self, report: PeerReport) -> None:
        """Record whether the store answers a peer."""
        if not report.store_unreachable:
            self._cut_off_peers.discard(report.vm_id)
        elif report.vm_id not in self._cut_off_peers:
            self._cut_off_peers.add(report.vm_id)
            self.on_peer_cut_off()

    def check_staleness(self) -> None:
        """Poll the store if no watcher reports to this standby process, or the state is stale.

        Notes
        -----
        To be called several times a second.
        """
        now = self._now()
        if not self._store_view.is_standby or now - self._polled_at < STORE_POLL_INTERVAL_SECONDS:
            return
        quiet = now - self._watcher_report_at
        ages = (self._store_view.configuration_age(), self._store_view.endpoints_age())
        is_unwatched = quiet >= WATCHER_TIMEOUT_SECONDS or _exceeds(
            ages[0], MAX_CONFIGURATION_STALENESS_SECONDS
        )
        if not is_unwatched and not _exceeds(ages[1], MAX_ENDPOINTS_STALENESS_SECONDS):
            return
        self._polled_at = now
        self._log.info("polling the store: no recent report from a watcher", quiet=quiet, ages=ages)
        self._store_view.poll_endpoints()
        watchers = self.remote_watchers()[:MAX_CONCURRENT_FETCHES]
        for address in watchers:
            self._start_endpoint_fetch(address, address)
        if is_unwatched:
            self._store_view.poll_configuration()
            for address in watchers:
                self._start_configuration_fetch(address, address)

    def _start_retries(self) -> None:
        """Fetch from peers of the zone in turn until the newer configuration arrives."""
        if not self._is_retrying:
            self._is_retrying = True
            self._tasks.start(self._retry_zone_peers(), self._end_retries)

    def _end_retries(self, result: object) -> None:
        self._is_retrying = False

    def _retry_zone_peers(self) -> Task:
        outdated = self._store_view.configuration.version
        while self._store_view.configuration.version == outdated:
            yield Sleep(RETRY_INTERVAL_SECONDS * (0.5 + self._rng.random()))
            if self._store_view.configuration_lag() is None:
                return
            for address in self.zone_peers()[:1]:
                self._start_configuration_fetch(address, address)

    def _start_configuration_fetch(self, peer: str, address: str) -> None:
        """Fetch the configuration from a peer, unless enough such fetches are in progress."""
        fetching = self._configuration_fetches
        if peer in fetching or len(fetching) >= MAX_CONCURRENT_FETCHES:
            return
        fetching.add(peer)
        task = self._fetch_configuration(peer, address)
        self._tasks.start(task, lambda _: fetching.discard(peer))

    def _fetch_configuration(self, peer: str, address: str) -> Task:
        base, version = self._store_view.configuration_data, self._store_view.configuration.version
        started_at = self._now()
        data = yield from self._request_peer(peer, address, f"{CONFIGURATION_PATH}?after={version}")
        if not data:
            return
        try:
            document = apply_delta(data, base)
        except ValueError as exc:
            self._log.error("configuration from peer rejected", peer=peer, detail=str(exc))
            return
        origin = Provenance(Source.PEER, peer, self._now() - started_at, len(data))
        self._store_view.apply_configuration(document, origin)

    def _start_endpoint_fetch(self, peer: str, address: str) -> None:
        """Fetch endpoint changes from a peer, unless a fetch is in progress."""
        if self._is_fetching_endpoints:
            return
        self._is_fetching_endpoints = True
        self._tasks.start(self._fetch_endpoints(peer, address), self._end_endpoint_fetch)

    def _end_endpoint_fetch(self, result: object) -> None:
        self._is_fetching_endpoints = False

    def _start_missing_fetch(self, report: PeerReport) -> None:
        """Fetch all endpoints from a peer to decide on the rows that are missing here.

        Notes
        -----
        A process that alone was partitioned cannot tell expired rows from deleted ones.
        """
        if not self._is_fetching_missing:
            self._is_fetching_missing = True
            self._tasks.start(self._fetch_missing(report), self._end_missing_fetch)

    def _end_missing_fetch(self, result: object) -> None:
        self._is_fetching_missing = False

    def _fetch_missing(self, report: PeerReport) -> Task:
        path = f"{ENDPOINTS_PATH}?after=all"
        data = yield from self._request_peer(report.vm_id, report.address, path)
        update = self._decode_endpoint_update(report.vm_id, data) if data else None
        if update is not None and update.is_full:
            self._store_view.drop_missing_rows(update, report.vm_id)

    def _fetch_endpoints(self, peer: str, address: str) -> Task:
        path = f"{ENDPOINTS_PATH}?after={self._store_view.endpoints_change_number()}"
        data = yield from self._request_peer(peer, address, path)
        if data:
            self._apply_endpoint_update(peer, data)

    def _request_peer(self, peer: str, address: str, path: str) -> Task:
        reply = yield OutboundCall(
            address,
            "GET",
            path,
            timeout=FETCH_TIMEOUT_SECONDS,
            stall_timeout=FETCH_TIMEOUT_SECONDS,
            stale_seconds=STALE_SECONDS,
        )
        if isinstance(reply, BufferedResponse) and reply.status == 200:
            return reply.body
        self._log.info("fetch from peer failed", peer=peer, path=path, reply=str(reply)[:80])
        return b""

    def _decode_endpoint_update(self, peer: str, data: bytes) -> EndpointUpdate | None:
        try:
            return decode_endpoint_update(data)
        except ValueError as exc:
            self._log.error("endpoint update from peer rejected", peer=peer, detail=str(exc))
            return None

    def _apply_endpoint_update(self, peer: str, data: bytes) -> None:
        update = self._decode_endpoint_update(peer, data)
        if update is None:
            return
        self._log.info(
            "received endpoint update from peer",
            peer=peer,
            mark=update.change_number,
            whole=update.is_full,
            rows=len(update.rows),
            gone=len(update.removed),
        )
        if update.change_number > self._store_view.endpoints_change_number():
            self._store_view.apply_endpoint_update(update, peer)


def _exceeds(age: float | None, limit: float) -> bool:
    return age is not None and age >= limit
