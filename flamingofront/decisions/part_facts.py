"""Data types on prompt parts that crash endpoints: crashes, evidence and gossip messages."""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["InterruptedRequest", "normalize_part", "shared_parts"]

# Longer ids are cut, so that keys of evidence and of quarantine entries stay short.
MAX_PART_ID_LENGTH = 40


@dataclass(frozen=True)
class InterruptedRequest:
    """A request that was in flight at an endpoint when its connection was lost.

    Parameters
    ----------
    fingerprint : str
        Digest that is the same for repeats of the request.
    parts : tuple of str
        Sorted ids of the parts of its prompt that other requests may share: all but the last one.
    is_answered : bool
        True if the endpoint had begun to write the answer.
    """

    fingerprint: str
    parts: tuple[str, ...] = ()
    is_answered: bool = False


def normalize_part(part_id: str) -> str:
    """Return the id of a prompt part as it is used in evidence: hexadecimal, so in lower case."""
    return part_id.lower()[:MAX_PART_ID_LENGTH]


def shared_parts(part_ids: Iterable[str]) -> tuple[str, ...]:
    """Return the sorted, normalized ids of all parts of a prompt but the last one."""
    return tuple(sorted({normalize_part(each) for each in tuple(part_ids)[:-1]}))
