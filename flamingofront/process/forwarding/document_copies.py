"""Copies of a document that one process hands to another, small enough for a VM's link.

A copy is compressed. Where the receiver has an earlier version that the sender still knows, the
copy names the parts of it that are unchanged in place of telling them.
"""

import zlib
from collections import OrderedDict
from collections.abc import Callable, Iterator

import orjson

__all__ = ["DeltaPacer", "DeltaSource", "apply_delta", "encode_delta"]

# Versions of which a sender remembers the document: those of some changes in quick succession.
MAX_KEPT_VERSIONS = 4
# Encoded copies that are kept, since all processes of a zone ask for the same one.
MAX_CACHED_DELTAS = 4
# What one process sends of copies, in bytes a second: two thirds of the smallest link of a VM.
SEND_BYTES_PER_SECOND = 400_000.0
# Whoever asks while copies for a longer time are on their way is to ask another process.
MAX_BACKLOG_SECONDS = 0.15
# Copies up to this size are not counted.
MAX_UNPACED_BYTES = 4096
# Longest document that is unpacked: many times one of 10,000 routes.
MAX_DOCUMENT_BYTES = 64 * 1024 * 1024
_ZLIB_LEVEL = 6
# Ends a part of a document; parts are compared as a whole.
_PART_END = b"},"
_HEAD_END = b"\n"
# Begin of a document that a process of an earlier version tells as it is.
_UNCOMPRESSED_START = b"{"


def encode_delta(document: bytes, base: bytes = b"") -> bytes:
    """Return a copy of a document.

    Parameters
    ----------
    base : bytes
        Document that the receiver has; empty if none is known.
    """
    known: dict[bytes, int] = {}
    for number, part in enumerate(_split_parts(base)):
        known.setdefault(part, number)
    steps: list[list[int]] = []
    literal: list[bytes] = []
    for part in _split_parts(document):
        _append_step(steps, literal, part, known.get(part))
    head = {"base": zlib.crc32(base), "check": zlib.crc32(document), "steps": steps}
    return zlib.compress(orjson.dumps(head) + _HEAD_END + b"".join(literal), _ZLIB_LEVEL)


def _append_step(steps: list[list[int]], literal: list[bytes], part: bytes, at: int | None) -> None:
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


def _split_parts(document: bytes) -> list[bytes]:
    return [part + _PART_END for part in document.split(_PART_END)] if document else []


def apply_delta(data: bytes, base: bytes = b"") -> bytes:
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
    if data.startswith(_UNCOMPRESSED_START):
        return data
    try:
        unpacked = zlib.decompressobj().decompress(data, MAX_DOCUMENT_BYTES)
        head, _, literal = unpacked.partition(_HEAD_END)
        values = orjson.loads(head)
        if values["base"] not in (zlib.crc32(base), zlib.crc32(b"")):
            raise ValueError("it was made for another document")
        document = b"".join(_iter_parts(values["steps"], literal, _split_parts(base)))
        document = document.removesuffix(_PART_END)
        if zlib.crc32(document) != values["check"]:
            raise ValueError("its checksum differs")
    except (zlib.error, KeyError, TypeError, IndexError, ValueError) as exc:
        raise ValueError(f"malformed copy of a document: {exc!r:.200}") from exc
    return document


def _iter_parts(steps: list[list[int]], literal: bytes, known: list[bytes]) -> Iterator[bytes]:
    position = 0
    for at, count in steps:
        if at < 0:
            yield literal[position : position + count]
            position += count
        else:
            yield from known[at : at + count]


class DeltaPacer:
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

    def try_admit(self, size: int) -> bool:
        """Tell whether a copy of so many bytes may be sent now, and count it if so."""
        if size <= MAX_UNPACED_BYTES:
            return True
        now = self._now()
        if self._busy_until - now > MAX_BACKLOG_SECONDS:
            return False
        self._busy_until = max(self._busy_until, now) + size / SEND_BYTES_PER_SECOND
        return True


class DeltaSource:
    """The last versions of a document, and copies of the newest for those that have another."""

    def __init__(self):
        self._versions: OrderedDict[int, bytes] = OrderedDict()
        self._deltas: OrderedDict[int, bytes] = OrderedDict()

    def add_version(self, version: int, document: bytes) -> None:
        """Take the newest version."""
        self._versions[version] = document
        self._deltas.clear()
        while len(self._versions) > MAX_KEPT_VERSIONS:
            self._versions.popitem(last=False)

    def delta_from(self, after: int) -> bytes:
        """Return a copy of the newest version for a receiver that has version `after`."""
        base = after if after in self._versions else 0
        if base not in self._deltas:
            newest = next(reversed(self._versions.values()), b"")
            self._deltas[base] = encode_delta(newest, self._versions.get(base, b""))
            while len(self._deltas) > MAX_CACHED_DELTAS:
                self._deltas.popitem(last=False)
        return self._deltas[base]
