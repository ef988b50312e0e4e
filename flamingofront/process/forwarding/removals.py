"""Removed endpoints, with the revision of the store up to which their rows are outdated."""

from collections.abc import Callable

from flamingofront.process.store import get_era

__all__ = ["DEPARTURE_REPORT_SECONDS", "EndpointRemovals"]

# An endpoint is reported as leaving or removed for this long: several reports, since a few may be
# lost.
DEPARTURE_REPORT_SECONDS = 3.0
# Limit per report, latest removals first. Peers fetch the others with the endpoint update.
MAX_REPORTED_REMOVED = 64
# Removed endpoints whose revision is kept, so that late reports do not bring them back.
MAX_KEPT_REMOVALS = 4096


class EndpointRemovals:
    """Order of removals and rows, whatever way a process learns of them.

    Parameters
    ----------
    now : callable
        Time of the timer service.
    """

    def __init__(self, now: Callable[[], float]):
        self._now = now
        self._revisions: dict[str, int] = {}
        self._learned_at: dict[str, float] = {}

    def record(self, endpoint_id: str, revision: int) -> None:
        """Record the revision of a removal; 0 if it is unknown."""
        if not revision:
            return
        self._revisions[endpoint_id] = max(self.revision_of(endpoint_id), revision)
        while len(self._revisions) > MAX_KEPT_REMOVALS:
            self._revisions.pop(next(iter(self._revisions)))

    def revision_of(self, endpoint_id: str) -> int:
        """Return the revision up to which rows of an endpoint are outdated; 0 if unknown."""
        return self._revisions.get(endpoint_id, 0)

    def record_learned(self, endpoint_id: str) -> None:
        """Record that this process has just learned of a removal."""
        self._learned_at[endpoint_id] = self._now()

    def list_recent(self) -> list[tuple[str, int]]:
        """Return id and revision of the removals to report, latest first."""
        since = self._now() - DEPARTURE_REPORT_SECONDS
        self._learned_at = {name: at for name, at in self._learned_at.items() if at > since}
        latest = sorted(self._learned_at, key=lambda name: -self._learned_at[name])
        known = [(name, self.revision_of(name)) for name in latest]
        return [each for each in known if each[1]][:MAX_REPORTED_REMOVED]

    def has_returned(
        self, endpoint_id: str, row_revision: int, read_version: int, last_revision: int = 0
    ) -> bool:
        """Return True if the store had a row after the removal that this process learned of.

        Parameters
        ----------
        row_revision : int
            Revision in which the row was written; 0 if unknown.
        read_version : int
            Revision of the store at which it had the row; 0 if unknown.
        last_revision : int
            Revision of the last row before the removal.

        Notes
        -----
        A store that was restored from a snapshot has rows again that were removed, in a later era.
        """
        removed = self.revision_of(endpoint_id)
        is_same_era = get_era(max(row_revision, read_version)) == get_era(
            max(removed, last_revision)
        )
        is_written_after = 0 < removed < row_revision
        return is_same_era and (is_written_after or 0 < read_version >= removed)
