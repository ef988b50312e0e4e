"""Word of others about versions that this process does not have yet."""

__all__ = ["VersionTracker"]


class VersionTracker:
    """The newest version that others have told of, and since when one is missing here.

    Attributes
    ----------
    newest : int
        Newest version that was told; 0 before the first word.
    teller : str
        VM that told it first.
    """

    def __init__(self):
        self.newest = 0
        self.sender = ""
        self._missing_since: float | None = None

    def record_report(self, version: int, sender: str, local_version: int, now: float) -> bool:
        """Take word of a version; return whether it is the first of a version that is missing.

        Parameters
        ----------
        known : int
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
        """Return the seconds since a version was missing first; None if none is.

        Parameters
        ----------
        known : int
            Version that this process has.
        """
        if self.newest <= local_version or self._missing_since is None:
            return None
        return now - self._missing_since
