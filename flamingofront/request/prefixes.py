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
        self._holders: dict[str, set[str]] = {}

    def stored(self, endpoint_id: str, hashes: Iterable[str]) -> None:
        """Note blocks that an endpoint holds now."""
        blocks = self._blocks.setdefault(endpoint_id, OrderedDict())
        for each in hashes:
            blocks[each] = None
            blocks.move_to_end(each)
            self._holders.setdefault(each, set()).add(endpoint_id)
        while len(blocks) > self._max_blocks:
            old, _ = blocks.popitem(last=False)
            self._drop_holder(old, endpoint_id)

    def _drop_holder(self, block: str, endpoint_id: str) -> None:
        holders = self._holders.get(block)
        if holders is not None:
            holders.discard(endpoint_id)
            if not holders:
                del self._holders[block]

    def evicted(self, endpoint_id: str, hashes: Iterable[str]) -> None:
        """Note blocks that an endpoint dropped."""
        blocks = self._blocks.get(endpoint_id, {})
        for each in hashes:
            if each in blocks:
                del blocks[each]
                self._drop_holder(each, endpoint_id)

    def forget(self, endpoint_id: str) -> None:
        """Drop all blocks of an endpoint: it is gone, or its events have a gap."""
        for each in self._blocks.pop(endpoint_id, ()):
            self._drop_holder(each, endpoint_id)

    def warmest(self, hashes: Sequence[str]) -> frozenset[str]:
        """Return the endpoints that hold the longest part of a prompt."""
        best: frozenset[str] = frozenset()
        for each in hashes:
            holders = self._holders.get(each)
            left = frozenset(holders or ()) & best if best else frozenset(holders or ())
            if not left:
                break
            best = left
        return best

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
