"""Endpoints that crashed while no entry process ran to observe the removal of their rows."""

from flamingofront.errors import PlatformError
from flamingofront.process.forwarding.endpoint_row import EndpointRow
from flamingofront.process.forwarding.knowledge import SharedTables
from flamingofront.process.forwarding.lease_row import LEADER_KEY, LEADER_PARTITION, LEADER_TABLE
from flamingofront.process.store import StoredRow, TableStore
from flamingofront.process.tasks import Task

__all__ = ["UnobservedRemovals"]


class UnobservedRemovals:
    """Finds endpoint rows that were removed since the last entry process wrote to the store.

    Notes
    -----
    The leader lease is renewed every second while any entry process runs, so the version of its row
    marks when the last one ran. The store keeps its change history for some seconds only.
    """

    def __init__(self, store: TableStore, tables: SharedTables):
        self._store = store
        self._tables = tables

    def read(self) -> Task:
        """Return the ids of endpoints that were removed without leaving first.

        Raises
        ------
        PlatformError
            If the store does not answer, or its change history does not reach back far enough.
        """
        found = yield from self._store.read(LEADER_TABLE, LEADER_PARTITION)
        row = next((each for each in found.rows if each.key == LEADER_KEY), None)
        if row is None:
            return ()
        changes = yield from self._store.read_changes(self._tables.endpoints, row.version, 0.0)
        return self._find_removals(changes.rows)

    def _find_removals(self, rows: tuple[StoredRow, ...]) -> tuple[str, ...]:
        is_ready: dict[str, bool] = {}
        removed: dict[str, None] = {}
        for row in rows:
            if row.value is not None:
                is_ready[row.key] = self._is_ready(row)
                removed.pop(row.key, None)
            elif is_ready.get(row.key, True):
                removed[row.key] = None
        return tuple(removed)

    def _is_ready(self, row: StoredRow) -> bool:
        """Return True if the row is that of a ready endpoint; False if it cannot be decoded."""
        try:
            found: EndpointRow = self._tables.decode_endpoint(row.key, row.value)
        except PlatformError:
            return False
        return found.ready
