"""Copies of a document that one process hands to another, small enough for a VM's link.

A copy is compressed. Where the receiver has an earlier version that the sender still knows, the
copy names the parts of it that are unchanged in place of telling them.
"""

import zlib
from collections import OrderedDict
from collections.abc import Callable, Iterator

import orjson

__all__ = ["CopyPacer", "CopySource", "apply_copy", "encode_copy"]

# Versions of which a sender remembers the document: those of some changes in quick succession.
KEPT_VERSIONS = 4
# Encoded copies that are kept, since all processes of a zone ask for the same one.
KEPT_COPIES = 4
# What one process sends of copies, in bytes a second: two thirds of the smallest link of a VM.
PACE_BYTES = 400_000.0
# Whoever asks while copies for a longer time are on their way is to ask another process.
MAX_BACKLOG_SECONDS = 0.15
# Copies up to this size are not counted.
FREE_BYTES = 4096
# Longest document that is unpacked: many times one of 10,000 routes.
MAX_DOCUMENT_BYTES = 64 * 1024 * 1024
_COMPRESSION = 6
# Ends a part of a document; parts are compared as a whole.
_PART_END = b"},"
_HEAD_END = b"\n"
# Begin of a document that a process of an earlier version tells as it is.
_PLAIN = b"{"


def encode_copy(document: bytes, base: bytes = b"") -> bytes:
    """Return a copy of a document.

    Parameters
    ----------
    base : bytes
        Document that the receiver has; empty if none is known.
    """
    known: dict[bytes, int] = {}
    for number, part in enumerate(_parts(base)):
        known.setdefault(part, number)
    steps: list[list[int]] = []
    literal: list[bytes] = []
    for part in _parts(document):
        _append(steps, literal, part, known.get(part))
    head = {"base": zlib.crc32(base), "check": zlib.crc32(document), "steps": steps}
    return zlib.compress(orjson.dumps(head) + _HEAD_END + b"".join(literal), _COMPRESSION)


def _append(steps: list[list[int]], literal: list[bytes], part: bytes, at: int | None) -> None:
    """Add a part: as a step [number of a known part, how many], or [-1, bytes] for a literal."""
    if at is None:
        literal.append(part)
        if steps and steps[-1][0] < 0:
            steps[-1][1] += len(part)
        else:
            steps.append([-1, len(part)])
    elif steps and steps[-1][0] >= 0 and sum(steps[-1]) == at:
        steps[-1][1] += 1
    else:
        steps.append([at, 1])


def _parts(document: bytes) -> list[bytes]:
    return [part + _PART_END for part in document.split(_PART_END)] if document else []


def apply_copy(data: bytes, base: bytes = b"") -> bytes:
    """Return the document of a copy.

    Parameters
    ----------
    base : bytes
        Document that was in force here when the copy was asked for.

    Raises
    ------
    ValueError
        If the copy is malformed, or was made for another base.
    """
    if data.startswith(_PLAIN):
        return data
    try:
        unpacked = zlib.decompressobj().decompress(data, MAX_DOCUMENT_BYTES)
        head, _, literal = unpacked.partition(_HEAD_END)
        values = orjson.loads(head)
        if values["base"] not in (zlib.crc32(base), zlib.crc32(b"")):
            raise ValueError("it was made for another document")
        document = b"".join(_assembled(values["steps"], literal, _parts(base)))
        document = document.removesuffix(_PART_END)
        if zlib.crc32(document) != values["check"]:
            raise ValueError("its checksum differs")
    except (zlib.error, KeyError, TypeError, IndexError, ValueError) as exc:
        raise ValueError(f"malformed copy of a document: {exc!r:.200}") from exc
    return document


def _assembled(steps: list[list[int]], literal: bytes, known: list[bytes]) -> Iterator[bytes]:
    position = 0
    for at, count in steps:
        if at < 0:
            yield literal[position : position + count]
            position += count
        else:
            yield from known[at : at + count]


class CopyPacer:
    """Bounds the copies that a process sends, so that the first of them arrive soon.

    Copies that share a small link all end late, and none of their receivers can help the others.

    Parameters
    ----------
    now : callable
        Time of the timer service.
    """

    def __init__(self, now: Callable[[], float]):
        self._now = now
        self._busy_until = 0.0

    def takes(self, size: int) -> bool:
        """Tell whether a copy of so many bytes may be sent now, and count it if so."""
        if size <= FREE_BYTES:
            return True
        now = self._now()
        if self._busy_until - now > MAX_BACKLOG_SECONDS:
            return False
        self._busy_until = max(self._busy_until, now) + size / PACE_BYTES
        return True


class CopySource:
    """The last versions of a document, and copies of the newest for those that have another."""

    def __init__(self):
        self._versions: OrderedDict[int, bytes] = OrderedDict()
        self._copies: OrderedDict[int, bytes] = OrderedDict()

    def put(self, version: int, document: bytes) -> None:
        """Take the newest version."""
        self._versions[version] = document
        self._copies.clear()
        while len(self._versions) > KEPT_VERSIONS:
            self._versions.popitem(last=False)

    def copy(self, after: int) -> bytes:
        """Return a copy of the newest version for a receiver that has version `after`."""
        base = after if after in self._versions else 0
        if base not in self._copies:
            newest = next(reversed(self._versions.values()), b"")
            self._copies[base] = encode_copy(newest, self._versions.get(base, b""))
            while len(self._copies) > KEPT_COPIES:
                self._copies.popitem(last=False)
        return self._copies[base]
