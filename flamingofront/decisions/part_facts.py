"""Data types on prompt parts that crash endpoints: identities, crashes and gossip messages."""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from urllib.parse import quote

__all__ = [
    "InterruptedRequest",
    "PartAnswer",
    "PartCrash",
    "PartSurvivor",
    "PartTimes",
    "PartUpdate",
    "RequestIdentity",
    "parse_part_key",
    "part_key",
    "shared_parts",
]

# Prefix that distinguishes keys of parts from fingerprints of requests.
KEY_PREFIX = "part/"
KEY_SEPARATOR = "+"
# Longer ids are replaced by a digest, so that keys of evidence and quarantine entries stay short.
MAX_PART_ID_LENGTH = 40
DIGEST_BYTES = 8


@dataclass(frozen=True)
class RequestIdentity:
    """What identifies a request to the quarantine.

    Parameters
    ----------
    fingerprint : str
        Digest that is the same for repeats of the request.
    parts : tuple of str
        Sorted ids of the parts of its prompt that other requests may share: all but the last one.
    """

    fingerprint: str
    parts: tuple[str, ...] = ()


@dataclass(frozen=True)
class InterruptedRequest:
    """A request that was in flight at an endpoint when its connection was lost or given up.

    Parameters
    ----------
    fingerprint, parts
        As in `RequestIdentity`.
    is_answered : bool
        True if the endpoint had begun to write the answer.
    seconds : float
        Time from sending the request until then.
    active_seconds : float
        Time from sending the request until the endpoint last sent an event; 0 without any.
    """

    fingerprint: str
    parts: tuple[str, ...] = ()
    is_answered: bool = False
    seconds: float = 0.0
    active_seconds: float = 0.0


@dataclass(frozen=True)
class PartCrash:
    """Crash of an endpoint, with the requests that were there or had just been abandoned there.

    Parameters
    ----------
    at : float
        Time of the crash in seconds of the shared wall clock.
    """

    endpoint_id: str
    zone: str
    at: float
    requests: tuple[InterruptedRequest, ...]


@dataclass(frozen=True)
class PartAnswer:
    """Last known time at which an endpoint answered a request with a part in full."""

    part: str
    at: float


@dataclass(frozen=True)
class PartSurvivor:
    """A request with a part that receives events from an endpoint.

    Parameters
    ----------
    active_seconds : float
        Time from sending the request until the endpoint last sent an event.
    at : float
        Time of this observation in seconds of the shared wall clock.
    """

    part: str
    endpoint_id: str
    active_seconds: float
    at: float


@dataclass(frozen=True)
class PartUpdate:
    """Gossip message of a process: recent crashes, and the last answers to their parts."""

    crashes: tuple[PartCrash, ...] = ()
    answers: tuple[PartAnswer, ...] = ()


@dataclass(frozen=True)
class PartTimes:
    """Gossip message of a process beside a `PartUpdate`: how long requests were at endpoints.

    Parameters
    ----------
    at_crashes : tuple of (str, str, float, float)
        Endpoint that crashed, fingerprint of a request, and its time there as `seconds` and
        `active_seconds` of `InterruptedRequest`.
    survivors : tuple of PartSurvivor
        Requests with suspect parts that go on.
    """

    at_crashes: tuple[tuple[str, str, float, float], ...] = ()
    survivors: tuple[PartSurvivor, ...] = ()


def shared_parts(part_ids: Iterable[str]) -> tuple[str, ...]:
    """Return the sorted, normalized ids of all parts of a prompt but the last one."""
    return tuple(sorted({_normalize(each) for each in tuple(part_ids)[:-1]}))


def _normalize(part_id: str) -> str:
    """Return the id of a part without letter case or characters that separate ids in a key."""
    name = quote(part_id.lower(), safe="")
    if len(name) <= MAX_PART_ID_LENGTH:
        return name
    return hashlib.blake2b(name.encode(), digest_size=DIGEST_BYTES).hexdigest()


def part_key(parts: Iterable[str]) -> str:
    """Return the key of the requests that hold all of some parts, in place of a fingerprint."""
    return KEY_PREFIX + KEY_SEPARATOR.join(sorted(parts))


def parse_part_key(key: str) -> frozenset[str]:
    """Return the parts of a key; empty if it is the fingerprint of a request."""
    if not key.startswith(KEY_PREFIX):
        return frozenset()
    return frozenset(key.removeprefix(KEY_PREFIX).split(KEY_SEPARATOR))
