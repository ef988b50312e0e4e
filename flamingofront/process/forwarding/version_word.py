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
        self.teller = ""
        self._since: float | None = None

    def told(self, version: int, teller: str, known: int, now: float) -> bool:
        """Take word of a version; return whether it is the first of a version that is missing.

        Parameters
        ----------
        known : int
            Version that this process has.
        now : float
            Time of the timer service.
        """
        is_news = version > max(self.newest, known)
        if is_news:
            self.newest, self.teller = version, teller
        if self.newest <= known:
            self._since = None
        elif self._since is None:
            self._since = now
        return is_news

    def missing_for(self, known: int, now: float) -> float | None:
        """Return the seconds since a version was missing first; None if none is.

        Parameters
        ----------
        known : int
            Version that this process has.
        """
        if self.newest <= known or self._since is None:
            return None
        return now - self._since
