"""Compressed deltas of a document that processes send to one another over small VM links.

If the sender still has the receiver's version, the delta refers to the unchanged parts of that
base version instead of repeating them.
"""

import zlib
from collections import OrderedDict
from collections.abc import Callable, Iterator

import orjson

__all__ = ["DeltaPacer", "DeltaSource", "apply_delta", "encode_delta"]

# Versions that a sender keeps as bases: enough for a few changes in quick succession.
MAX_KEPT_VERSIONS = 4
# Encoded deltas are cached because all processes of a zone request the same one.
MAX_CACHED_DELTAS = 4
# Limit of one process for all deltas: two thirds of the smallest VM link.
SEND_BYTES_PER_SECOND = 400_000.0
# With a longer backlog of sends, requests get an empty response and peers try another process.
MAX_BACKLOG_SECONDS = 0.15
# Deltas up to this size do not count against the rate limit.
MAX_UNPACED_BYTES = 4096
# Limit on decompressed data: many times the size of a document with 10,000 routes.
MAX_DOCUMENT_BYTES = 64 * 1024 * 1024
_ZLIB_LEVEL = 6
# Separator between the parts of a document. Parts are compared as a whole.
_PART_END = b"},"
_HEAD_END = b"\n"
# A process of an earlier version sends the document uncompressed: it starts like this.
_UNCOMPRESSED_START = b"{"


def encode_delta(document: bytes, base: bytes = b"") -> bytes:
    """Return the delta that turns a base version into a document.

    Parameters
    ----------
    base : bytes
        Document that the receiver has; empty if the sender does not have it.
    """
    part_numbers: dict[bytes, int] = {}
    for number, part in enumerate(_split_parts(base)):
        part_numbers.setdefault(part, number)
    steps: list[list[int]] = []
    literal: list[bytes] = []
    for part in _split_parts(document):
        _append_step(steps, literal, part, part_numbers.get(part))
    head = {"base": zlib.crc32(base), "check": zlib.crc32(document), "steps": steps}
    return zlib.compress(orjson.dumps(head) + _HEAD_END + b"".join(literal), _ZLIB_LEVEL)


def _append_step(
    steps: list[list[int]], literal: list[bytes], part: bytes, base_index: int | None
) -> None:
    """Add a part as a step: [index of a base part, count], or [-1, bytes] for literal data."""
    if base_index is None:
        literal.append(part)
        if steps and steps[-1][0] < 0:
            steps[-1][1] += len(part)
        else:
            steps.append([-1, len(part)])
    elif steps and steps[-1][0] >= 0 and sum(steps[-1]) == base_index:
        steps[-1][1] += 1
    else:
        steps.append([base_index, 1])


def _split_parts(document: bytes) -> list[bytes]:
    return [part + _PART_END for part in document.split(_PART_END)] if document else []


def apply_delta(data: bytes, base: bytes = b"") -> bytes:
    """Return the document that a delta encodes.

    Parameters
    ----------
    base : bytes
        Document that was active here when the delta was requested.

    Raises
    ------
    ValueError
        If the delta is malformed, or was made for another base.
    """
    if data.startswith(_UNCOMPRESSED_START):
        return data
    try:
        unpacked = zlib.decompressobj().decompress(data, MAX_DOCUMENT_BYTES)
        head, _, literal = unpacked.partition(_HEAD_END)
        values = orjson.loads(head)
        if values["base"] not in (zlib.crc32(base), zlib.crc32(b"")):
            raise ValueError("delta was made for another base document")
        document = b"".join(_iter_parts(values["steps"], literal, _split_parts(base)))
        document = document.removesuffix(_PART_END)
        if zlib.crc32(document) != values["check"]:
            raise ValueError("checksum of the document does not match")
    except (zlib.error, KeyError, TypeError, IndexError, ValueError) as exc:
        raise ValueError(f"malformed document delta: {exc!r:.200}") from exc
    return document


def _iter_parts(steps: list[list[int]], literal: bytes, base_parts: list[bytes]) -> Iterator[bytes]:
    position = 0
    for index, count in steps:
        if index < 0:
            yield literal[position : position + count]
            position += count
        else:
            yield from base_parts[index : index + count]


class DeltaPacer:
    """Limits the rate at which a process sends deltas.

    Many transfers that share a small link all finish late, and until then no receiver can forward
    the document to others. With few at a time, the first receivers are served soon.

    Parameters
    ----------
    now : callable
        Time of the timer service.
    """

    def __init__(self, now: Callable[[], float]):
        self._now = now
        self._busy_until = 0.0

    def try_admit(self, size: int) -> bool:
        """Return True if a delta of `size` bytes may be sent now, and charge it if so."""
        if size <= MAX_UNPACED_BYTES:
            return True
        now = self._now()
        if self._busy_until - now > MAX_BACKLOG_SECONDS:
            return False
        self._busy_until = max(self._busy_until, now) + size / SEND_BYTES_PER_SECOND
        return True


class DeltaSource:
    """The last versions of a document, and cached deltas from each of them to the newest."""

    def __init__(self):
        self._versions: OrderedDict[int, bytes] = OrderedDict()
        self._deltas: OrderedDict[int, bytes] = OrderedDict()

    def add_version(self, version: int, document: bytes) -> None:
        """Store a document as the newest version."""
        self._versions[version] = document
        self._deltas.clear()
        while len(self._versions) > MAX_KEPT_VERSIONS:
            self._versions.popitem(last=False)

    def build_delta(self, base_version: int) -> bytes:
        """Return the delta to the newest version for a receiver that has `base_version`.

        The delta holds the whole document if that version is not kept any more.
        """
        base = base_version if base_version in self._versions else 0
        if base not in self._deltas:
            newest = next(reversed(self._versions.values()), b"")
            self._deltas[base] = encode_delta(newest, self._versions.get(base, b""))
            while len(self._deltas) > MAX_CACHED_DELTAS:
                self._deltas.popitem(last=False)
        return self._deltas[base]
