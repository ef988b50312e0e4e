"""Index of the prompt prefixes that each endpoint probably has in its KV cache.

It is built from the attempts of this process and from cache events of the engines, which arrive
late and with gaps. It is only a hint for endpoint choice: a wrong entry costs one prefill.
"""

import hashlib
import itertools
import math
from collections import Counter, OrderedDict
from collections.abc import Iterable, Sequence

__all__ = ["BLOCK_TOKENS", "PrefixIndex", "block_hashes"]

BLOCK_TOKENS = 16
MAX_BLOCKS = 4096
_HASH_BYTES = 8


def block_hashes(tokens: Sequence[str]) -> tuple[str, ...]:
    """Return one hash per complete block of a prompt, each over all tokens up to its end."""
    digest = hashlib.blake2b(digest_size=_HASH_BYTES)
    hashes = []
    for start in range(0, len(tokens) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        digest.update("\x00".join(tokens[start : start + BLOCK_TOKENS]).encode())
        hashes.append(digest.hexdigest())
    return tuple(hashes)


class PrefixIndex:
    """LRU index of the prefix blocks that each endpoint caches.

    Parameters
    ----------
    max_blocks : int
        Maximum number of blocks kept per endpoint.
    """

    def __init__(self, max_blocks: int = MAX_BLOCKS):
        self._max_blocks = max_blocks
        self._blocks: dict[str, OrderedDict[str, int]] = {}
        self._tokens: Counter[str] = Counter()
        self._holders: dict[str, set[str]] = {}

    def add_blocks(
        self,
        endpoint_id: str,
        hashes: Iterable[str],
        sizes: Iterable[int] | None = None,
        capacity: float = math.inf,
    ) -> None:
        """Add blocks that an endpoint now caches, and evict its least recently used ones.

        Parameters
        ----------
        sizes : iterable of int, optional
            Tokens of each block; `BLOCK_TOKENS` each by default.
        capacity : float
            Tokens that the cache of the endpoint can hold.
        """
        blocks = self._blocks.setdefault(endpoint_id, OrderedDict())
        for each, size in zip(hashes, sizes or itertools.repeat(BLOCK_TOKENS), strict=False):
            self._tokens[endpoint_id] += size - blocks.get(each, 0)
            blocks[each] = size
            blocks.move_to_end(each)
            self._holders.setdefault(each, set()).add(endpoint_id)
        while len(blocks) > self._max_blocks or self._tokens[endpoint_id] > capacity:
            evicted_block, size = blocks.popitem(last=False)
            self._tokens[endpoint_id] -= size
            self._drop_holder(evicted_block, endpoint_id)

    def _drop_holder(self, block: str, endpoint_id: str) -> None:
        holders = self._holders.get(block)
        if holders is not None:
            holders.discard(endpoint_id)
            if not holders:
                del self._holders[block]

    def remove_blocks(self, endpoint_id: str, hashes: Iterable[str]) -> None:
        """Remove blocks that an endpoint has evicted from its cache."""
        blocks = self._blocks.get(endpoint_id, {})
        for each in hashes:
            if each in blocks:
                self._tokens[endpoint_id] -= blocks.pop(each)
                self._drop_holder(each, endpoint_id)

    def forget(self, endpoint_id: str) -> None:
        """Remove all blocks of an endpoint that has left or whose cache events have a gap."""
        self._tokens.pop(endpoint_id, None)
        for each in self._blocks.pop(endpoint_id, ()):
            self._drop_holder(each, endpoint_id)

    def longest_prefix_holders(self, hashes: Sequence[str]) -> frozenset[str]:
        """Return the endpoints that cache the longest prefix of a prompt."""
        longest: frozenset[str] = frozenset()
        for each in hashes:
            holders = self._holders.get(each)
            remaining = frozenset(holders or ()) & longest if longest else frozenset(holders or ())
            if not remaining:
                break
            longest = remaining
        return longest

    def cached_tokens(self, endpoint_id: str, hashes: Sequence[str]) -> int:
        """Return the number of leading tokens of a prompt that an endpoint probably caches."""
        blocks = self._blocks.get(endpoint_id)
        if not blocks:
            return 0
        tokens = 0
        for each in hashes:
            if each not in blocks:
                break
            tokens += blocks[each]
        return tokens
