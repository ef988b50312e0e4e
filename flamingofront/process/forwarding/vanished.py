"""Endpoints that ended while no entry process ran: nobody has seen their rows go."""

from flamingofront.errors import PlatformError
from flamingofront.process.forwarding.duty import LEADER_KEY, LEADER_PARTITION, LEADER_TABLE
from flamingofront.process.forwarding.endpoint_row import EndpointRow
from flamingofront.process.forwarding.knowledge import SharedTables
from flamingofront.process.store import StoredRow, TableStore
from flamingofront.process.tasks import Task

__all__ = ["UnobservedRemovals"]


class UnobservedRemovals:
    """Asks the store for the rows of endpoints that went since an entry process last wrote there.

    Notes
    -----
    The lease of the duties is renewed each second while any entry process runs, so the version of
    its row tells when the last one was there. The store keeps its history for some seconds only.
    """

    def __init__(self, store: TableStore, tables: SharedTables):
        self._store = store
        self._tables = tables

    def read(self) -> Task:
        """Return the ids of endpoints that vanished without notice; raises `PlatformError`."""
        found = yield from self._store.read(LEADER_TABLE, LEADER_PARTITION)
        row = next((each for each in found.rows if each.key == LEADER_KEY), None)
        if row is None:
            return ()
        changes = yield from self._store.read_changes(self._tables.endpoints, row.version, 0.0)
        return self._vanished(changes.rows)

    def _vanished(self, rows: tuple[StoredRow, ...]) -> tuple[str, ...]:
        is_ready: dict[str, bool] = {}
        vanished: dict[str, None] = {}
        for row in rows:
            if row.value is not None:
                is_ready[row.key] = self._decoded_ready(row)
                vanished.pop(row.key, None)
            elif is_ready.get(row.key, True):
                vanished[row.key] = None
        return tuple(vanished)

    def _decoded_ready(self, row: StoredRow) -> bool:
        """Tell whether a row is that of an endpoint in use; one that cannot be read is not."""
        try:
            found: EndpointRow = self._tables.decode_endpoint(row.key, row.value)
        except PlatformError:
            return False
        return found.ready
