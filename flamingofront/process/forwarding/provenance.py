"""Origin of an update that this process received, for the log."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["FROM_ANSWER", "FROM_STORE", "Provenance", "Source", "Way"]


class Source(StrEnum):
    """Where an update came from: the store, a peer, or a response of an endpoint."""

    STORE = "store"
    PEER = "peer"
    ANSWER = "answer"


class Way(StrEnum):
    """How an update reached this process."""

    FEED = "feed"
    """A long poll of the change feed of the store."""
    READ = "read"
    """A read of the whole table."""
    REPORT = "report"
    """A report that a peer sent about its own state."""
    DIGEST = "digest"
    """A digest of a relay."""
    UPDATE = "update"
    """A response of a peer that was asked for its changes."""
    ANSWER = "answer"
    """A response of the endpoint itself."""


@dataclass(frozen=True)
class Provenance:
    """Origin and transfer of an update.

    Parameters
    ----------
    sender : str
        VM of the peer; empty for other sources.
    fetch_seconds : float or None
        Seconds from the request until the response was complete; None without a request.
    size_bytes : int
        Size of the response in bytes; 0 without a request.
    way : Way
        How the update reached this process.
    max_delay : float or None
        Longest time in seconds for which the store may have had the update before; None if
        unknown.
    transit : float or None
        Seconds since the sender put the message together, by the median clock of the members; None
        if unknown.
    sender_age : float or None
        Seconds for which the sender's own copy had not been confirmed then; None if unknown.
    """

    source: Source
    sender: str = ""
    fetch_seconds: float | None = None
    size_bytes: int = 0
    way: Way = Way.FEED
    max_delay: float | None = None
    transit: float | None = None
    sender_age: float | None = None


FROM_STORE = Provenance(Source.STORE)
FROM_ANSWER = Provenance(Source.ANSWER, way=Way.ANSWER, max_delay=0.0)
