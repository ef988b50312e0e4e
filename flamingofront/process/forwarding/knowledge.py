"""What a process knows of the configuration and the endpoints, from the store and from peers."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from flamingofront.errors import ConfigurationError, PlatformError
from flamingofront.process.forwarding.endpoints import EndpointRow, EndpointView
from flamingofront.process.forwarding.follower import TableFollower, TableListener
from flamingofront.process.logs import Log
from flamingofront.process.metrics import Metrics
from flamingofront.process.store import StoredRow, TableStore
from flamingofront.version.forwarding import ForwardingConfiguration

__all__ = ["Knowledge", "SharedTables"]


@dataclass(frozen=True)
class SharedTables:
    """Where the store keeps the configuration and the endpoints, and how rows are decoded.

    Parameters
    ----------
    decode_configuration : callable
        Returns the `ForwardingConfiguration` in a row's value.
    decode_endpoint : callable
        Returns the `EndpointRow` in a row's key and value.
    """

    configuration: str
    configuration_key: str
    endpoints: str
    decode_configuration: Callable[[bytes], ForwardingConfiguration]
    decode_endpoint: Callable[[str, bytes], EndpointRow]


class Knowledge:
    """Configuration in force and endpoints, each with the version up to which it is known.

    A version never goes back within a process. A malformed configuration or row is logged, counted
    and left out; the last good one stays.

    Parameters
    ----------
    on_configuration : callable
        Gets each configuration that comes into force.
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
    ):
        self.configuration = ForwardingConfiguration()
        self.configuration_data = b""
        self.endpoints = endpoints
        self._tables = tables
        self._on_configuration = on_configuration
        self._metrics = metrics
        self._log = log
        self._peer_version = 0
        configuration_listener = TableListener(self._configuration_rows, self._configuration_rows)
        endpoint_listener = TableListener(
            self._endpoints_replaced,
            self._endpoints_changed,
            endpoints.store_lost,
            endpoints.store_back,
        )
        self.followers = (
            TableFollower(store, tables.configuration, configuration_listener, now, rng, log),
            TableFollower(store, tables.endpoints, endpoint_listener, now, rng, log),
        )

    @property
    def cut_off(self) -> bool:
        """True while the store does not answer this process about the endpoints."""
        return self.followers[1].is_cut_off

    def endpoints_version(self) -> int:
        """Return the version of the store up to which the endpoints are known."""
        return max(self.followers[1].version, self._peer_version)

    def _configuration_rows(self, rows: tuple[StoredRow, ...]) -> None:
        for row in rows:
            if row.key == self._tables.configuration_key and row.value is not None:
                self.take_configuration(row.value, "store")

    def take_configuration(self, data: bytes, source: str) -> None:
        """Put a configuration in force if it is well formed and newer than the last one.

        Parameters
        ----------
        source : str
            ``store`` or ``peer``, for the log.
        """
        try:
            cfg = self._tables.decode_configuration(data)
        except ConfigurationError as exc:
            self._metrics.count("platform_errors_total", operation="configuration")
            self._log.error("configuration refused", detail=str(exc), source=source)
            return
        if cfg.version <= self.configuration.version:
            return
        self.configuration = cfg
        self.configuration_data = data
        self._metrics.count("configurations_total")
        self._log.info(
            "configuration in force",
            version=cfg.version,
            source=source,
            routes=len(cfg.routes),
            workspaces=len(cfg.workspaces),
        )
        self._on_configuration(cfg)

    def _decoded(self, rows: tuple[StoredRow, ...]) -> list[EndpointRow]:
        found = []
        for row in rows:
            try:
                found.append(self._tables.decode_endpoint(row.key, row.value))
            except PlatformError as exc:
                self._metrics.count("platform_errors_total", operation="endpoint")
                self._log.error("endpoint row refused", detail=str(exc))
        return found

    def _endpoints_replaced(self, rows: tuple[StoredRow, ...]) -> None:
        present = tuple(each for each in rows if each.value is not None)
        self.endpoints.replace_all(self._decoded(present))

    def _endpoints_changed(self, rows: tuple[StoredRow, ...]) -> None:
        for row in rows:
            if row.value is None:
                self.endpoints.remove(row.key)
            else:
                for each in self._decoded((row,)):
                    self.endpoints.put(each)

    def take_endpoints(self, rows: tuple[EndpointRow, ...], version: int) -> None:
        """Take the endpoints of a peer that the store answers."""
        self._peer_version = version
        self.endpoints.replace_all(rows, confirmed=True)
