"""What a process knows of the configuration and the endpoints, from the store and from peers."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from flamingofront.decisions.rollout import RolloutSpec
from flamingofront.errors import ConfigurationError, PlatformError
from flamingofront.process.forwarding.document_copies import CopySource
from flamingofront.process.forwarding.endpoint_row import EndpointRow
from flamingofront.process.forwarding.endpoints import EndpointView
from flamingofront.process.forwarding.follower import TableListener, TableWatcher
from flamingofront.process.forwarding.news import EndpointHistory, EndpointNews, mark_of
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
MAX_REFUSED_TOLD = 256


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
    may_rest : callable
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
        may_rest: Callable[[], bool] = lambda: False,
        pause: Callable[[], float] = lambda: 0.0,
    ):
        self.on_change: Callable[[], None] = lambda: None
        self.on_rollout: Callable[[RolloutSpec], None] = lambda order: None
        self._history = EndpointHistory()
        self._refused: set[str] = set()
        self.configuration = ForwardingConfiguration()
        self.configuration_data = b""
        self._copies = CopySource()
        self.endpoints = endpoints
        self._tables = tables
        self._on_configuration = on_configuration
        self._configuration_word = VersionTracker()
        self._now = now
        # What peers told: when each table was known, and up to which change the configuration was.
        self._told_at: dict[str, float] = {}
        self._told_position = 0
        self._metrics = metrics
        self._log = log
        self._store = store
        configuration_listener = TableListener(
            lambda rows, version: self._configuration_rows(rows), self._configuration_rows
        )
        endpoint_listener = TableListener(
            self._endpoints_replaced,
            self._endpoints_changed,
            endpoints.store_lost,
            endpoints.store_back,
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
                may_rest,
                known=lambda: self._told_position,
            ),
            TableWatcher(
                store, tables.endpoints, endpoint_listener, now, rng, log, may_rest, pause
            ),
        )

    @property
    def cut_off(self) -> bool:
        """True while the store does not answer this process about the endpoints."""
        return self.watchers[1].is_cut_off

    @property
    def rests(self) -> bool:
        """True while other processes follow the store for this one."""
        return self.watchers[1].rests

    def read_configuration_now(self) -> None:
        """Ask the store for the configuration, also while this process does not follow it."""
        self.watchers[0].look_once()

    def poll_store(self) -> None:
        """Ask the store for both tables, also while this process does not follow it."""
        for each in self.watchers:
            each.look_once()

    def read_rollouts(self) -> None:
        """Read the orders for roll-outs: what peers tell of the configuration is without them."""
        self.watchers[0].read_anew()
        self.watchers[0].look_once()

    def look_at_configuration(self) -> Task:
        """Ask the store whether there is a newer configuration, and put it in force.

        Raises
        ------
        PlatformError
            If the store does not answer, or does not know any more what has changed.
        """
        asked_at = self._now()
        after = self.configuration_position()
        changes = yield from self._store.read_changes(self._tables.configuration, after, 0.0)
        self._configuration_rows(changes.rows)
        self._told_position = max(self._told_position, changes.version)
        self._confirm(self._tables.configuration, asked_at)

    def configuration_position(self) -> int:
        """Return the change of the store up to which the configuration is known."""
        return max(self.watchers[0].version, self._told_position)

    def configuration_age(self) -> float | None:
        """Return the seconds since the configuration was known to be the newest; None if never."""
        return self._age(self.watchers[0])

    def endpoints_age(self) -> float | None:
        """Return the seconds since the endpoints were known to be current; None if never."""
        return self._age(self.watchers[1])

    def _age(self, follower: TableWatcher) -> float | None:
        known = (follower.confirmed_at, self._told_at.get(follower.table))
        times = [each for each in known if each is not None]
        return self._now() - max(times) if times else None

    def _confirm(self, table: str, at: float) -> None:
        self._told_at[table] = max(at, self._told_at.get(table, at))

    def confirm_by_peer(self, report: PeerReport) -> None:
        """Take word of how old a peer's knowledge is, where it is the same as this process's."""
        now = self._now()
        configuration_age, endpoints_age = report.ages
        if report.configuration == self.configuration.version:
            self._told_position = max(self._told_position, report.position)
            if configuration_age is not None:
                self._confirm(self._tables.configuration, now - configuration_age)
        if endpoints_age is not None and report.endpoints <= self.endpoints_mark():
            self._confirm(self._tables.endpoints, now - endpoints_age)

    def configuration_copy(self, after: int) -> bytes:
        """Return the configuration in force for a peer that has another version of it.

        Empty if the peer has this version or a later one.
        """
        return self._copies.copy(after) if after < self.configuration.version else b""

    def endpoints_mark(self) -> int:
        """Return the mark of the last change of the endpoints."""
        return self._history.change_number

    def endpoint_news(self, after: int) -> EndpointNews:
        """Return what a peer is told that knows the endpoints up to a mark."""
        rows = self.endpoints.rows()
        changed = self._history.since(after)
        if changed is None:
            return EndpointNews(self._history.change_number, True, rows)
        present = tuple(each for each in rows if each.endpoint_id in changed)
        gone = changed.difference(each.endpoint_id for each in rows)
        return EndpointNews(self._history.change_number, False, present, tuple(sorted(gone)))

    def _configuration_rows(self, rows: tuple[StoredRow, ...]) -> None:
        for row in rows:
            if row.key == self._tables.configuration_key and row.value is not None:
                self.take_configuration(row.value, FROM_STORE)
            elif self._tables.rollouts.service_of(row.key) and row.value is not None:
                self._take_rollout(row)
        self.on_change()

    def _take_rollout(self, row: StoredRow) -> None:
        """Take an order for a roll-out in; a malformed one moves nothing."""
        service = self._tables.rollouts.service_of(row.key)
        try:
            order = self._tables.rollouts.decode_order(service, row.value, row.version)
        except PlatformError as exc:
            self._metrics.count("platform_errors_total", operation="rollout")
            self._log.warning("roll-out refused", service=service, detail=str(exc))
            return
        self.on_rollout(order)

    def hear_of_configuration(self, version: int, teller: str) -> None:
        """Take word of a peer of the version that it has in force."""
        known = self.configuration.version
        if self._configuration_word.told(version, teller, known, self._now()):
            self._log.info(
                "newer configuration told", version=version, in_force=known, teller=teller
            )

    def configuration_missing_for(self) -> float | None:
        """Return for how long a newer configuration is known of and missing, in seconds."""
        return self._configuration_word.missing_for(self.configuration.version, self._now())

    def take_configuration(self, data: bytes, origin: Provenance) -> None:
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
        missing = self.configuration_missing_for()
        self.configuration = cfg
        self.configuration_data = data
        self._copies.put(cfg.version, data)
        self._metrics.count("configurations_total")
        if missing is not None:
            self._metrics.observe("configuration_missing_seconds", missing)
        self._log.info(
            "configuration in force",
            version=cfg.version,
            source=origin.source,
            teller=origin.teller,
            told_ago_ms=_milliseconds(missing),
            took_ms=_milliseconds(origin.seconds),
            received=origin.size or len(data),
            routes=len(cfg.routes),
            workspaces=len(cfg.workspaces),
        )
        self._on_configuration(cfg)
        if origin.source is Source.PEER:
            self._tell_on()

    def _tell_on(self) -> None:
        """Tell what a peer has told, if others rest on this process."""
        if not self.rests:
            self.on_change()

    def _decoded(self, rows: tuple[StoredRow, ...]) -> list[EndpointRow]:
        """Return the endpoints in rows; one whose row cannot be read gets no work until it can."""
        found = []
        for row in rows:
            try:
                found.append(self._tables.decode_endpoint(row.key, row.value))
            except PlatformError as exc:
                self._refuse_row(row.key, exc)
            else:
                self._refused.discard(row.key)
        return found

    def _refuse_row(self, endpoint_id: str, exc: PlatformError) -> None:
        """Leave an endpoint out, and tell it once: its writer may repeat itself each second."""
        self._metrics.count("platform_errors_total", operation="endpoint")
        if endpoint_id not in self._refused and len(self._refused) < MAX_REFUSED_TOLD:
            self._refused.add(endpoint_id)
            self._log.warning("endpoint row refused", endpoint=endpoint_id, detail=str(exc))
        self.endpoints.put_unreadable(endpoint_id)

    def _endpoints_replaced(self, rows: tuple[StoredRow, ...], version: int) -> None:
        present = tuple(each for each in rows if each.value is not None)
        self._history.restart(mark_of(version))
        self.endpoints.replace_all(self._decoded(present))
        self.on_change()

    def _endpoints_changed(self, rows: tuple[StoredRow, ...]) -> None:
        for row in rows:
            if row.value is None:
                self.endpoints.remove(row.key)
            else:
                for each in self._decoded((row,)):
                    self.endpoints.put(each)
                self._history.record_change(row.key, mark_of(row.version))
        self.on_change()

    def endpoint_gone(self, endpoint_id: str) -> None:
        """Remember for peers that an endpoint is gone.

        Notes
        -----
        That may be after the grace that follows an outage of the store, when later changes are
        known already.
        """
        mark = mark_of(self.watchers[1].version) + 1
        self._history.record_change(endpoint_id, max(mark, self._history.change_number))
        self.on_change()

    def confirm_missing(self, news: EndpointNews) -> None:
        """Take for gone what vanished here, and a peer that had the store all the while lacks.

        Parameters
        ----------
        news : EndpointNews
            All endpoints that the peer knows. One that has grace there, too, is among them.
        """
        present = {each.endpoint_id for each in news.rows}
        for endpoint_id in self.endpoints.missing_ids() - present:
            self.endpoints.confirm_gone(endpoint_id)

    def take_endpoints(self, news: EndpointNews) -> None:
        """Take what a peer tells that the store answers."""
        self.watchers[1].read_anew()
        if news.whole:
            self._history.restart(news.mark)
            self.endpoints.replace_all(news.rows, confirmed=True)
        else:
            for row in news.rows:
                self.endpoints.put(row, from_peer=True)
                self._history.record_change(row.endpoint_id, news.mark)
            for endpoint_id in news.gone:
                self.endpoints.confirm_gone(endpoint_id)
                self._history.record_change(endpoint_id, news.mark)
            self._history.told_up_to(news.mark)
        if news.rows or news.gone:
            self._tell_on()


def _milliseconds(seconds: float | None) -> int | None:
    return None if seconds is None else round(seconds * 1000)
