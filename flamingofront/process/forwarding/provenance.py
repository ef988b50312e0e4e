"""Origin of an update that this process received, for the log."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["FROM_STORE", "Provenance", "Source"]


class Source(StrEnum):
    """Where an update came from: the store, a peer, or a response of an endpoint."""

    STORE = "store"
    PEER = "peer"
    ANSWER = "answer"


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
    """

    source: Source
    sender: str = ""
    fetch_seconds: float | None = None
    size_bytes: int = 0


FROM_STORE = Provenance(Source.STORE)
