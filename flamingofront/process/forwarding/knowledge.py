"""Local view of the configuration and the endpoints, merged from the store and from peers."""

import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from flamingofront.decisions.rollout import RolloutSpec
from flamingofront.errors import ConfigurationError, PlatformError
from flamingofront.process.backoff import Backoff
from flamingofront.process.forwarding.confirmations import StoreConfirmations
from flamingofront.process.forwarding.document_copies import DeltaSource
from flamingofront.process.forwarding.endpoint_row import EndpointRow, is_endpoint_id
from flamingofront.process.forwarding.endpoints import EndpointView
from flamingofront.process.forwarding.follower import BACKOFF, TableListener, TableWatcher
from flamingofront.process.forwarding.news import EndpointHistory, EndpointUpdate, to_change_number
from flamingofront.process.forwarding.provenance import FROM_STORE, Provenance, Source, Way
from flamingofront.process.forwarding.reports import PeerReport
from flamingofront.process.forwarding.rollouts import RolloutRows
from flamingofront.process.forwarding.version_word import VersionTracker
from flamingofront.process.logs import Log
from flamingofront.process.metrics import Metrics
from flamingofront.process.store import StoredRow, TableStore
from flamingofront.process.tasks import Task
from flamingofront.version.forwarding import ForwardingConfiguration

__all__ = ["StoreView", "SharedTables"]

# Long-poll timeout of the endpoint table; `FeedCheck` notices a dead long poll sooner.
ENDPOINT_FEED_WAIT_SECONDS = 10.0
# Characters of the key of an unreadable row that are logged.
MAX_LOGGED_KEY_CHARACTERS = 64
# Limit on unreadable rows that are logged, each once until it is readable again.
MAX_REJECTED_ROWS_LOGGED = 256


@dataclass(frozen=True)
class SharedTables:
    """Tables of the configuration and the endpoints, with their decoders.

    Parameters
    ----------
    decode_configuration : callable
        Returns the `ForwardingConfiguration` in a row's value.
    decode_endpoint : callable
        Returns the `EndpointRow` in a row's key and value.
    rollouts : RolloutRows
        Decoder of rollout rows, which are in the table of the configuration.
    """

    configuration: str
    configuration_key: str
    endpoints: str
    decode_configuration: Callable[[bytes], ForwardingConfiguration]
    decode_endpoint: Callable[[str, bytes], EndpointRow]
    rollouts: RolloutRows


class StoreView:
    """Cached configuration and endpoints, each with the version up to which it is current.

    Versions never decrease within a process. A malformed configuration or row is logged, counted
    and ignored; the last valid one stays active.

    Parameters
    ----------
    on_configuration : callable
        Called with each configuration that becomes active.
    can_stand_by : callable
        Returns True if other processes watch the store for this one.
    pause : callable
        Returns the seconds to wait after an answer with endpoint changes before the next poll.
    backoff : callable
        Returns the delays between failed polls.

    Attributes
    ----------
    on_change : callable
        Called after a change of the configuration or the endpoints.
    on_rollout : callable
        Called with each rollout spec that is read.
    configuration_watcher, endpoint_watcher : TableWatcher
        Watchers of the two tables.
    confirmations : StoreConfirmations
        When the store confirmed these tables, and answered calls, to any process.
    """

    def __init__(
        self,
        store: TableStore,
        tables: SharedTables,
        endpoints: EndpointView,
        on_configuration: Callable[[ForwardingConfiguration], None],
        now: Callable[[], float],
        rng: random.Random,
        metrics: Metrics,
        log: Log,
        can_stand_by: Callable[[], bool] = lambda: False,
        pause: Callable[[], float] = lambda: 0.0,
        backoff: Callable[[], Backoff] = lambda: BACKOFF,
    ):
        self.on_change: Callable[[], None] = lambda: None
        self.on_rollout: Callable[[RolloutSpec], None] = lambda spec: None
        self._history = EndpointHistory()
        self._rejected_rows: set[str] = set()
        self.configuration = ForwardingConfiguration()
        self.configuration_data = b""
        self._deltas = DeltaSource()
        self.endpoints = endpoints
        self._tables = tables
        self._on_configuration = on_configuration
        self._peer_versions = VersionTracker()
        self._now = now
        self.confirmations = StoreConfirmations(now, endpoints.record_store_answer_to_any)
        self._peer_position = 0
        self._metrics = metrics
        self._log = log
        self._store = store
        configuration_listener = TableListener(
            lambda rows, version: self._apply_configuration_rows(rows),
            self._apply_configuration_rows,
        )
        endpoint_listener = TableListener(
            self._reload_endpoints,
            self._apply_endpoint_changes,
            endpoints.record_store_failure,
            endpoints.record_store_unanswered,
            lambda asked_at, time: endpoints.record_store_answer(),
        )
        # No pause here: changes are rare, and one may take a second on a small link.
        self.configuration_watcher = TableWatcher(
            store,
            tables.configuration,
            configuration_listener,
            now,
            rng,
            log,
            can_stand_by,
            peer_version=lambda: self._peer_position,
            clock=self.confirmations.clock,
            answer_age=self.confirmations.answer_age,
            own_answer_at=lambda: self.confirmations.own_answer_at,
            backoff=backoff,
        )
        self.endpoint_watcher = TableWatcher(
            store,
            tables.endpoints,
            endpoint_listener,
            now,
            rng,
            log,
            can_stand_by,
            pause,
            wait=ENDPOINT_FEED_WAIT_SECONDS,
            clock=self.confirmations.clock,
            answer_age=self.confirmations.answer_age,
            own_answer_at=lambda: self.confirmations.own_answer_at,
            backoff=backoff,
            reads_after_failure=True,
        )
        self.watchers = (self.configuration_watcher, self.endpoint_watcher)

    @property
    def is_store_unreachable(self) -> bool:
        """True while polls of the endpoint table fail, or are not answered."""
        return self.endpoint_watcher.is_unreachable or self.endpoints.is_store_away

    @property
    def is_standby(self) -> bool:
        """True while other processes watch the store for this one."""
        return self.endpoint_watcher.is_standby

    def poll_configuration(self) -> None:
        """Request a poll of the configuration, also in standby."""
        self.configuration_watcher.poll_once()

    def poll_endpoints(self) -> None:
        """Request a poll of the endpoints, also in standby."""
        self.endpoint_watcher.poll_once()

    def reload_rollouts(self) -> None:
        """Request a reload of the rollout specs, which peers do not send with a configuration."""
        self.configuration_watcher.schedule_reload()
        self.configuration_watcher.poll_once()

    def refresh_configuration(self) -> Task:
        """Poll the store for a newer configuration and activate it.

        Raises
        ------
        PlatformError
            If the store does not answer, or its change history does not reach back far enough.
        """
        asked_at = self._now()
        after = self.configuration_position()
        changes = yield from self._store.read_changes(self._tables.configuration, after, 0.0)
        self._apply_configuration_rows(changes.rows)
        if changes.version >= after:  # else it is a stale read
            self._peer_position = max(self._peer_position, changes.version)
            self.confirmations.record(self._tables.configuration, asked_at)

    def configuration_position(self) -> int:
        """Return the feed position up to which the configuration is current."""
        return max(self.configuration_watcher.version, self._peer_position)

    def configuration_age(self) -> float | None:
        """Return the seconds since the configuration was confirmed as the newest; None if never."""
        return self._compute_age(self.configuration_watcher)

    def endpoints_age(self) -> float | None:
        """Return the seconds since the endpoints were confirmed as current; None if never."""
        return self._compute_age(self.endpoint_watcher)

    def _compute_age(self, watcher: TableWatcher) -> float | None:
        return self.confirmations.age(watcher.table, watcher.confirmed_at)

    def confirmed_times(self) -> tuple[float | None, float | None]:
        """Return the store's times up to which configuration and endpoints are known to be current.

        None for a table that was never confirmed, or by a store that tells no time.
        """
        configuration, endpoints = (
            self.confirmations.latest_time(each.table, each.confirmed_time)
            for each in self.watchers
        )
        return configuration, endpoints

    def merge_peer_ages(self, report: PeerReport) -> None:
        """Merge the staleness that a peer reports for state that this process has, too."""
        tables = (self._tables.configuration, self._tables.endpoints)
        configuration, endpoints = zip(tables, report.ages, report.confirmed, strict=True)
        self.confirmations.merge_answer(report.answered)
        if report.configuration == self.configuration.version:
            self._peer_position = max(self._peer_position, report.position)
            self.confirmations.merge(*configuration)
        if report.endpoints <= self.endpoints_change_number():
            self.confirmations.merge(*endpoints)

    def build_configuration_delta(self, base_version: int) -> bytes:
        """Return the delta from a peer's version to the active configuration.

        Empty if the peer has this version or a later one.
        """
        return (
            self._deltas.build_delta(base_version)
            if base_version < self.configuration.version
            else b""
        )

    def endpoints_change_number(self) -> int:
        """Return the number of the last change of the endpoints."""
        return self._history.change_number

    def build_endpoint_update(self, after: int) -> EndpointUpdate:
        """Return the changes after a change number, or all endpoints if it is too old."""
        rows = self.endpoints.rows()
        changed = self._history.changes_since(after)
        if changed is None:
            return EndpointUpdate(self._history.change_number, True, rows)
        present = tuple(each for each in rows if each.endpoint_id in changed)
        removed = tuple(sorted(changed.difference(each.endpoint_id for each in rows)))
        revisions = {each: self.endpoints.removed_revision(each) for each in removed}
        return EndpointUpdate(self._history.change_number, False, present, removed, revisions)

    def _apply_configuration_rows(self, rows: tuple[StoredRow, ...]) -> None:
        for row in rows:
            if row.key == self._tables.configuration_key and row.value is not None:
                self.apply_configuration(row.value, FROM_STORE)
            elif self._tables.rollouts.service_of(row.key) and row.value is not None:
                self._apply_rollout(row)
        self.on_change()

    def _apply_rollout(self, row: StoredRow) -> None:
        """Decode a rollout spec and pass it on; a malformed one is logged and ignored."""
        service = self._tables.rollouts.service_of(row.key)
        try:
            spec = self._tables.rollouts.decode_order(service, row.value, row.version)
        except PlatformError as exc:
            self._metrics.count("platform_errors_total", operation="rollout")
            self._log.warning("rollout spec rejected", service=service, detail=str(exc))
            return
        self.on_rollout(spec)

    def record_peer_version(self, version: int, sender: str) -> None:
        """Record the version of the configuration that a peer reports as active."""
        active = self.configuration.version
        if self._peer_versions.record_report(version, sender, active, self._now()):
            self._log.info(
                "peer reported a newer configuration",
                version=version,
                in_force=active,
                teller=sender,
            )

    def configuration_lag(self) -> float | None:
        """Return the seconds since a newer configuration was first reported; None if none was."""
        return self._peer_versions.missing_seconds(self.configuration.version, self._now())

    def apply_configuration(self, data: bytes, origin: Provenance) -> None:
        """Activate a configuration if it is valid and newer than the active one."""
        if data == self.configuration_data:
            return
        try:
            cfg = self._tables.decode_configuration(data)
        except ConfigurationError as exc:
            self._metrics.count("platform_errors_total", operation="configuration")
            self._log.error("configuration rejected", detail=str(exc), source=origin.source)
            return
        if cfg.version <= self.configuration.version:
            return
        lag = self.configuration_lag()
        self.configuration = cfg
        self.configuration_data = data
        self._deltas.add_version(cfg.version, data)
        self._metrics.count("configurations_total")
        if lag is not None:
            self._metrics.observe("configuration_missing_seconds", lag)
        self._log.info(
            "configuration activated",
            version=cfg.version,
            source=origin.source,
            teller=origin.sender,
            told_ago_ms=_to_milliseconds(lag),
            took_ms=_to_milliseconds(origin.fetch_seconds),
            received=origin.size_bytes or len(data),
            routes=len(cfg.routes),
            workspaces=len(cfg.workspaces),
        )
        self._on_configuration(cfg)
        if origin.source is Source.PEER:
            self._notify_zone()

    def _notify_zone(self) -> None:
        """Report an update from a peer to the zone, unless this process is in standby."""
        if not self.is_standby:
            self.on_change()

    def _decode_endpoints(self, rows: tuple[StoredRow, ...]) -> list[EndpointRow]:
        """Decode endpoint rows; endpoints with an unreadable row get no new requests."""
        found = []
        for row in rows:
            try:
                decoded = self._tables.decode_endpoint(row.key, row.value)
                found.append(replace(decoded, revision=row.version))
            except PlatformError as exc:
                self._reject_row(row.key, exc)
            else:
                self._rejected_rows.discard(row.key[:MAX_LOGGED_KEY_CHARACTERS])
        return found

    def _reject_row(self, endpoint_id: str, exc: PlatformError) -> None:
        """Mark an endpoint as unreadable; logged once, since writers may repeat every second."""
        self._metrics.count("platform_errors_total", operation="endpoint")
        key = endpoint_id[:MAX_LOGGED_KEY_CHARACTERS]
        if key not in self._rejected_rows and len(self._rejected_rows) < MAX_REJECTED_ROWS_LOGGED:
            self._rejected_rows.add(key)
            self._log.warning("endpoint row rejected", endpoint=key, detail=str(exc))
        self.endpoints.mark_unreadable(endpoint_id)

    def _reload_endpoints(self, rows: tuple[StoredRow, ...], version: int) -> None:
        """Replace all endpoints; the change number grows only if some have changed.

        Notes
        -----
        The version of the store grows with each write to any table. If it were the number, peers
        would take it for changes that they lack, and fetch and reload in turn.
        """
        present = tuple(each for each in rows if each.value is not None)
        before = self.endpoints.rows()
        self.endpoints.replace_all(
            self._decode_endpoints(present), origin=self._describe_answer(Way.READ), version=version
        )
        if not self._history.change_number or self.endpoints.rows() != before:
            newest = max((each.version for each in present), default=0)
            change_number = max(to_change_number(newest), self._history.change_number)
            self._history.reset(change_number, complete_since=to_change_number(version))
        self.on_change()

    def _describe_answer(self, way: Way) -> Provenance:
        """Return the origin of the endpoints in the last answer of the store."""
        return Provenance(
            Source.STORE, way=way, max_delay=self.endpoint_watcher.unconfirmed_seconds
        )

    def _apply_endpoint_changes(self, rows: tuple[StoredRow, ...]) -> None:
        origin = self._describe_answer(Way.FEED)
        for row in rows:
            if not is_endpoint_id(row.key):
                self._decode_endpoints((row,) if row.value is not None else ())
                continue
            if row.value is None:
                self.endpoints.remove(row.key, origin, row.version)
            else:
                for each in self._decode_endpoints((row,)):
                    self.endpoints.merge_row(each, origin=origin)
                self._history.record_change(row.key, to_change_number(row.version))
        self.on_change()

    def record_removed_endpoint(self, endpoint_id: str) -> None:
        """Record for updates to peers that an endpoint was removed.

        Notes
        -----
        This may be at the end of its grace period, when later changes are already recorded.
        """
        change_number = to_change_number(self.endpoint_watcher.version) + 1
        self._history.record_change(endpoint_id, max(change_number, self._history.change_number))
        self.on_change()

    def drop_missing_rows(self, update: EndpointUpdate, peer: str) -> None:
        """Remove endpoints with a missing row that a peer does not have either.

        Parameters
        ----------
        update : EndpointUpdate
            All endpoints of a peer that can reach the store, those in their grace period included.
        """
        present = {each.endpoint_id for each in update.rows}
        for endpoint_id in self.endpoints.missing_ids() - present:
            self.endpoints.confirm_deleted(endpoint_id, self._describe_update(peer))

    def _describe_update(self, peer: str) -> Provenance:
        """Return the origin of the endpoints in an update of a peer."""
        return Provenance(Source.PEER, peer, way=Way.UPDATE, max_delay=self.endpoints_age())

    def apply_endpoint_update(self, update: EndpointUpdate, peer: str) -> None:
        """Merge an update from a peer that can reach the store."""
        self.endpoint_watcher.schedule_reload()
        origin = self._describe_update(peer)
        if update.is_full:
            self._history.reset(update.change_number)
            self.endpoints.replace_all(update.rows, True, origin)
        else:
            for row in update.rows:
                self.endpoints.merge_row(row, True, origin)
                self._history.record_change(row.endpoint_id, update.change_number)
            for endpoint_id in update.removed:
                revision = update.removed_revisions.get(endpoint_id, 0)
                self.endpoints.confirm_deleted(endpoint_id, origin, revision)
                self._history.record_change(endpoint_id, update.change_number)
            self._history.advance_to(update.change_number)
        if update.rows or update.removed:
            self._notify_zone()


def _to_milliseconds(seconds: float | None) -> int | None:
    return None if seconds is None else round(seconds * 1000)
