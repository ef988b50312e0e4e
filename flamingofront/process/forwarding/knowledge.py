"""What a process knows of the configuration and the endpoints, from the store and from peers."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from flamingofront.decisions.rollout import RolloutOrder
from flamingofront.errors import ConfigurationError, PlatformError
from flamingofront.process.forwarding.document_copies import DeltaSource
from flamingofront.process.forwarding.endpoint_row import EndpointRow
from flamingofront.process.forwarding.endpoints import EndpointView
from flamingofront.process.forwarding.follower import TableListener, TableWatcher
from flamingofront.process.forwarding.news import EndpointHistory, EndpointUpdate, to_change_number
from flamingofront.process.forwarding.provenance import FROM_STORE, Provenance, Source
from flamingofront.process.forwarding.reports import PeerReport
from flamingofront.process.forwarding.rollouts import RolloutRows
from flamingofront.process.forwarding.version_word import VersionTracker
from flamingofront.process.logs import Log
from flamingofront.process.metrics import Metrics
from flamingofront.process.store import StoredRow, TableStore
from flamingofront.process.tasks import Task
from flamingofront.version.forwarding import ForwardingConfiguration

__all__ = ["StoreView", "SharedTables"]

# Rows that cannot be read of which a line is written, until they can be read again.
MAX_REJECTED_ROWS_LOGGED = 256


@dataclass(frozen=True)
class SharedTables:
    """Where the store keeps the configuration and the endpoints, and how rows are decoded.

    Parameters
    ----------
    decode_configuration : callable
        Returns the `ForwardingConfiguration` in a row's value.
    decode_endpoint : callable
        Returns the `EndpointRow` in a row's key and value.
    rollouts : RolloutRows
        Orders for roll-outs stand in the table of the configuration.
    """

    configuration: str
    configuration_key: str
    endpoints: str
    decode_configuration: Callable[[bytes], ForwardingConfiguration]
    decode_endpoint: Callable[[str, bytes], EndpointRow]
    rollouts: RolloutRows


class StoreView:
    """Configuration in force and endpoints, each with the version up to which it is known.

    A version never goes back within a process. A malformed configuration or row is logged, counted
    and left out; the last good one stays.

    Parameters
    ----------
    on_configuration : callable
        Gets each configuration that comes into force.
    can_stand_by : callable
        Returns whether other processes follow the store for this one.

    Attributes
    ----------
    on_change : callable
        Called after the store told of a change.
    on_rollout : callable
        Gets each order for a roll-out.
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
    ):
        self.on_change: Callable[[], None] = lambda: None
        self.on_rollout: Callable[[RolloutOrder], None] = lambda order: None
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
        # What peers told: when each table was known, and up to which change the configuration was.
        self._peer_confirmed_at: dict[str, float] = {}
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
            endpoints.mark_store_unreachable,
            endpoints.mark_store_reachable,
        )
        self.watchers = (
            # Without a pause: a change is rare, and may take a second of a small link.
            TableWatcher(
                store,
                tables.configuration,
                configuration_listener,
                now,
                rng,
                log,
                can_stand_by,
                peer_version=lambda: self._peer_position,
            ),
            TableWatcher(
                store, tables.endpoints, endpoint_listener, now, rng, log, can_stand_by, pause
            ),
        )

    @property
    def is_store_unreachable(self) -> bool:
        """True while the store does not answer this process about the endpoints."""
        return self.watchers[1].is_unreachable

    @property
    def is_standby(self) -> bool:
        """True while other processes follow the store for this one."""
        return self.watchers[1].is_standby

    def poll_configuration(self) -> None:
        """Ask the store for the configuration, also while this process does not follow it."""
        self.watchers[0].poll_once()

    def poll_store(self) -> None:
        """Ask the store for both tables, also while this process does not follow it."""
        for each in self.watchers:
            each.poll_once()

    def reload_rollouts(self) -> None:
        """Read the orders for roll-outs: what peers tell of the configuration is without them."""
        self.watchers[0].schedule_reload()
        self.watchers[0].poll_once()

    def refresh_configuration(self) -> Task:
        """Ask the store whether there is a newer configuration, and put it in force.

        Raises
        ------
        PlatformError
            If the store does not answer, or does not know any more what has changed.
        """
        asked_at = self._now()
        after = self.configuration_position()
        changes = yield from self._store.changes(self._tables.configuration, after, 0.0)
        self._apply_configuration_rows(changes.rows)
        self._peer_position = max(self._peer_position, changes.version)
        self._record_confirmation(self._tables.configuration, asked_at)

    def configuration_position(self) -> int:
        """Return the change of the store up to which the configuration is known."""
        return max(self.watchers[0].version, self._peer_position)

    def configuration_age(self) -> float | None:
        """Return the seconds since the configuration was known to be the newest; None if never."""
        return self._staleness(self.watchers[0])

    def endpoints_age(self) -> float | None:
        """Return the seconds since the endpoints were known to be current; None if never."""
        return self._staleness(self.watchers[1])

    def _staleness(self, follower: TableWatcher) -> float | None:
        known = (follower.confirmed_at, self._peer_confirmed_at.get(follower.table))
        times = [each for each in known if each is not None]
        return self._now() - max(times) if times else None

    def _record_confirmation(self, table: str, at: float) -> None:
        self._peer_confirmed_at[table] = max(at, self._peer_confirmed_at.get(table, at))

    def merge_peer_ages(self, report: PeerReport) -> None:
        """Take word of how old a peer's knowledge is, where it is the same as this process's."""
        now = self._now()
        configuration_age, endpoints_age = report.ages
        if report.configuration == self.configuration.version:
            self._peer_position = max(self._peer_position, report.position)
            if configuration_age is not None:
                self._record_confirmation(self._tables.configuration, now - configuration_age)
        if endpoints_age is not None and report.endpoints <= self.endpoints_change_number():
            self._record_confirmation(self._tables.endpoints, now - endpoints_age)

    def configuration_delta(self, after: int) -> bytes:
        """Return the configuration in force for a peer that has another version of it.

        Empty if the peer has this version or a later one.
        """
        return self._deltas.delta_from(after) if after < self.configuration.version else b""

    def endpoints_change_number(self) -> int:
        """Return the mark of the last change of the endpoints."""
        return self._history.change_number

    def build_endpoint_update(self, after: int) -> EndpointUpdate:
        """Return what a peer is told that knows the endpoints up to a mark."""
        rows = self.endpoints.rows()
        changed = self._history.changes_since(after)
        if changed is None:
            return EndpointUpdate(self._history.change_number, True, rows)
        present = tuple(each for each in rows if each.endpoint_id in changed)
        gone = changed.difference(each.endpoint_id for each in rows)
        return EndpointUpdate(self._history.change_number, False, present, tuple(sorted(gone)))

    def _apply_configuration_rows(self, rows: tuple[StoredRow, ...]) -> None:
        for row in rows:
            if row.key == self._tables.configuration_key and row.value is not None:
                self.apply_configuration(row.value, FROM_STORE)
            elif self._tables.rollouts.service_of(row.key) and row.value is not None:
                self._apply_rollout(row)
        self.on_change()

    def _apply_rollout(self, row: StoredRow) -> None:
        """Take an order for a roll-out in; a malformed one moves nothing."""
        service = self._tables.rollouts.service_of(row.key)
        try:
            order = self._tables.rollouts.decode_order(service, row.value, row.version)
        except PlatformError as exc:
            self._metrics.count("platform_errors_total", operation="rollout")
            self._log.warning("roll-out refused", service=service, detail=str(exc))
            return
        self.on_rollout(order)

    def record_peer_version(self, version: int, teller: str) -> None:
        """Take word of a peer of the version that it has in force."""
        known = self.configuration.version
        if self._peer_versions.record_report(version, teller, known, self._now()):
            self._log.info(
                "newer configuration told", version=version, in_force=known, teller=teller
            )

    def configuration_lag(self) -> float | None:
        """Return for how long a newer configuration is known of and missing, in seconds."""
        return self._peer_versions.missing_seconds(self.configuration.version, self._now())

    def apply_configuration(self, data: bytes, origin: Provenance) -> None:
        """Put a configuration in force if it is well formed and newer than the last one."""
        if data == self.configuration_data:
            return
        try:
            cfg = self._tables.decode_configuration(data)
        except ConfigurationError as exc:
            self._metrics.count("platform_errors_total", operation="configuration")
            self._log.error("configuration refused", detail=str(exc), source=origin.source)
            return
        if cfg.version <= self.configuration.version:
            return
        missing = self.configuration_lag()
        self.configuration = cfg
        self.configuration_data = data
        self._deltas.add_version(cfg.version, data)
        self._metrics.count("configurations_total")
        if missing is not None:
            self._metrics.observe("configuration_missing_seconds", missing)
        self._log.info(
            "configuration in force",
            version=cfg.version,
            source=origin.source,
            teller=origin.sender,
            told_ago_ms=_to_milliseconds(missing),
            took_ms=_to_milliseconds(origin.fetch_seconds),
            received=origin.size_bytes or len(data),
            routes=len(cfg.routes),
            workspaces=len(cfg.workspaces),
        )
        self._on_configuration(cfg)
        if origin.source is Source.PEER:
            self._notify_zone()

    def _notify_zone(self) -> None:
        """Tell what a peer has told, if others rest on this process."""
        if not self.is_standby:
            self.on_change()

    def _decode_endpoints(self, rows: tuple[StoredRow, ...]) -> list[EndpointRow]:
        """Return the endpoints in rows; one whose row cannot be read gets no work until it can."""
        found = []
        for row in rows:
            try:
                found.append(self._tables.decode_endpoint(row.key, row.value))
            except PlatformError as exc:
                self._reject_row(row.key, exc)
            else:
                self._rejected_rows.discard(row.key)
        return found

    def _reject_row(self, endpoint_id: str, exc: PlatformError) -> None:
        """Leave an endpoint out, and tell it once: its writer may repeat itself each second."""
        self._metrics.count("platform_errors_total", operation="endpoint")
        if (
            endpoint_id not in self._rejected_rows
            and len(self._rejected_rows) < MAX_REJECTED_ROWS_LOGGED
        ):
            self._rejected_rows.add(endpoint_id)
            self._log.warning("endpoint row refused", endpoint=endpoint_id, detail=str(exc))
        self.endpoints.mark_unreadable(endpoint_id)

    def _reload_endpoints(self, rows: tuple[StoredRow, ...], version: int) -> None:
        present = tuple(each for each in rows if each.value is not None)
        self._history.reset(to_change_number(version))
        self.endpoints.replace_all(self._decode_endpoints(present))
        self.on_change()

    def _apply_endpoint_changes(self, rows: tuple[StoredRow, ...]) -> None:
        for row in rows:
            if row.value is None:
                self.endpoints.remove(row.key)
            else:
                for each in self._decode_endpoints((row,)):
                    self.endpoints.merge_row(each)
                self._history.record_change(row.key, to_change_number(row.version))
        self.on_change()

    def record_removed_endpoint(self, endpoint_id: str) -> None:
        """Remember for peers that an endpoint is gone.

        Notes
        -----
        That may be after the grace that follows an outage of the store, when later changes are
        known already.
        """
        mark = to_change_number(self.watchers[1].version) + 1
        self._history.record_change(endpoint_id, max(mark, self._history.change_number))
        self.on_change()

    def drop_missing_rows(self, news: EndpointUpdate) -> None:
        """Take for gone what vanished here, and a peer that had the store all the while lacks.

        Parameters
        ----------
        news : EndpointUpdate
            All endpoints that the peer knows. One that has grace there, too, is among them.
        """
        present = {each.endpoint_id for each in news.rows}
        for endpoint_id in self.endpoints.missing_ids() - present:
            self.endpoints.confirm_deleted(endpoint_id)

    def apply_endpoint_update(self, news: EndpointUpdate) -> None:
        """Take what a peer tells that the store answers."""
        self.watchers[1].schedule_reload()
        if news.is_full:
            self._history.reset(news.change_number)
            self.endpoints.replace_all(news.rows, confirmed=True)
        else:
            for row in news.rows:
                self.endpoints.merge_row(row, from_peer=True)
                self._history.record_change(row.endpoint_id, news.change_number)
            for endpoint_id in news.removed:
                self.endpoints.confirm_deleted(endpoint_id)
                self._history.record_change(endpoint_id, news.change_number)
            self._history.advance_to(news.change_number)
        if news.rows or news.removed:
            self._notify_zone()


def _to_milliseconds(seconds: float | None) -> int | None:
    return None if seconds is None else round(seconds * 1000)
