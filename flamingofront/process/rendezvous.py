"""Rendezvous (highest random weight) hashing."""

import hashlib
from collections.abc import Iterable
from functools import lru_cache

__all__ = ["rank"]

_WEIGHT_BYTES = 8


# Weights that are kept: of some hundred workspaces at some ten nodes.
MAX_KEPT_WEIGHTS = 4_096


@lru_cache(MAX_KEPT_WEIGHTS)
def _compute_weight(key: str, node: str) -> bytes:
    return hashlib.blake2b(f"{key}\x00{node}".encode(), digest_size=_WEIGHT_BYTES).digest()


def rank(key: str, nodes: Iterable[str]) -> list[str]:
    """Return the nodes ordered by their weight for a key, the highest first.

    Notes
    -----
    A node that joins or leaves does not change the relative order of the others [1]_.

    References
    ----------
    .. [1] D. G. Thaler, C. V. Ravishankar, "Using name-based mappings to increase hit rates",
       IEEE/ACM Transactions on Networking, 1998.
    """
    return sorted(nodes, key=lambda node: _compute_weight(key, node), reverse=True)
