"""Which way a piece of knowledge came to this process, for the log."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["FROM_STORE", "Provenance", "Source"]


class Source(StrEnum):
    """Who told of a change."""

    STORE = "store"
    PEER = "peer"
    ANSWER = "answer"


@dataclass(frozen=True)
class Provenance:
    """How a piece of knowledge came.

    Parameters
    ----------
    teller : str
        VM of the peer; empty for others.
    seconds : float or None
        Time from the question until the answer was complete; None if it was not asked for.
    size : int
        Bytes of the answer.
    """

    source: Source
    sender: str = ""
    fetch_seconds: float | None = None
    size_bytes: int = 0


FROM_STORE = Provenance(Source.STORE)
