"""Which endpoint is believed to hold which prompt prefix in its cache.

The belief comes from this process's own attempts and from the engines' cache events, which come
late and with gaps. It is only a hint for the choice of endpoint: a wrong entry costs a prefill,
nothing else.
"""

import hashlib
from collections import OrderedDict
from collections.abc import Iterable, Sequence

__all__ = ["BLOCK_TOKENS", "PrefixIndex", "block_hashes"]

BLOCK_TOKENS = 16
MAX_BLOCKS = 4096
_HASH_BYTES = 8


def block_hashes(tokens: Sequence[str]) -> tuple[str, ...]:
    """Return a hash for each whole block of a prompt, each covering all tokens before its end."""
    digest = hashlib.blake2b(digest_size=_HASH_BYTES)
    hashes = []
    for start in range(0, len(tokens) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        digest.update("\x00".join(tokens[start : start + BLOCK_TOKENS]).encode())
        hashes.append(digest.hexdigest())
    return tuple(hashes)


class PrefixIndex:
    """Least recently used prefix blocks of each endpoint."""

    def __init__(self, max_blocks: int = MAX_BLOCKS):
        self._max_blocks = max_blocks
        self._blocks: dict[str, OrderedDict[str, None]] = {}

    def stored(self, endpoint_id: str, hashes: Iterable[str]) -> None:
        """Note blocks that an endpoint holds now."""
        blocks = self._blocks.setdefault(endpoint_id, OrderedDict())
        for each in hashes:
            blocks[each] = None
            blocks.move_to_end(each)
        while len(blocks) > self._max_blocks:
            blocks.popitem(last=False)

    def evicted(self, endpoint_id: str, hashes: Iterable[str]) -> None:
        """Note blocks that an endpoint dropped."""
        blocks = self._blocks.get(endpoint_id, {})
        for each in hashes:
            blocks.pop(each, None)

    def forget(self, endpoint_id: str) -> None:
        """Drop all blocks of an endpoint: it is gone, or its events have a gap."""
        self._blocks.pop(endpoint_id, None)

    def cached_tokens(self, endpoint_id: str, hashes: Sequence[str]) -> int:
        """Return how many leading tokens of a prompt an endpoint is believed to hold."""
        blocks = self._blocks.get(endpoint_id)
        if not blocks:
            return 0
        count = 0
        for each in hashes:
            if each not in blocks:
                break
            count += 1
        return count * BLOCK_TOKENS
