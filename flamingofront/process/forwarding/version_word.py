"""Tracking of versions that peers reported and this process does not have yet."""

__all__ = ["VersionTracker"]


class VersionTracker:
    """The newest version that peers reported, and since when a newer version is missing here.

    Attributes
    ----------
    newest : int
        Newest version that was reported; 0 before the first report.
    sender : str
        VM that reported it first.
    """

    def __init__(self):
        self.newest = 0
        self.sender = ""
        self._missing_since: float | None = None

    def record_report(self, version: int, sender: str, local_version: int, now: float) -> bool:
        """Record a reported version; return True if it is the first report of a missing version.

        Parameters
        ----------
        local_version : int
            Version that this process has.
        now : float
            Time of the timer service.
        """
        is_new = version > max(self.newest, local_version)
        if is_new:
            self.newest, self.sender = version, sender
        if self.newest <= local_version:
            self._missing_since = None
        elif self._missing_since is None:
            self._missing_since = now
        return is_new

    def missing_seconds(self, local_version: int, now: float) -> float | None:
        """Return the seconds since a newer version was first missing; None if none is.

        Parameters
        ----------
        local_version : int
            Version that this process has.
        """
        if self.newest <= local_version or self._missing_since is None:
            return None
        return now - self._missing_since
