"""Compression of messages between entry processes, whose links are small."""

import zlib

__all__ = ["compress", "decompress"]

# The fastest level: most of what repeats are names.
LEVEL = 1


def compress(data: bytes) -> bytes:
    """Return compressed data."""
    return zlib.compress(data, LEVEL)


def decompress(data: bytes, max_bytes: int) -> bytes:
    """Return decompressed data.

    Parameters
    ----------
    max_bytes : int
        Limit on the size of the result.

    Raises
    ------
    ValueError
        If the data is malformed, cut, has an appendix, or is longer than the limit.
    """
    decompressor = zlib.decompressobj()
    try:
        result = decompressor.decompress(data, max_bytes)
    except zlib.error as exc:
        raise ValueError(f"malformed compressed data: {exc}") from exc
    if not decompressor.eof or decompressor.unused_data:
        raise ValueError(f"compressed data is cut, or not one part of at most {max_bytes} bytes")
    return result
