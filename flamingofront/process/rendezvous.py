"""Rendezvous (highest random weight) hashing."""

import hashlib
from collections.abc import Iterable

__all__ = ["rank"]

_WEIGHT_BYTES = 8


def _weight(key: str, node: str) -> bytes:
    return hashlib.blake2b(f"{key}\x00{node}".encode(), digest_size=_WEIGHT_BYTES).digest()


def rank(key: str, nodes: Iterable[str]) -> list[str]:
    """Return the nodes in their order of preference for a key.

    Notes
    -----
    A node that joins or leaves changes the order of no two others [1]_.

    References
    ----------
    .. [1] D. G. Thaler, C. V. Ravishankar, "Using name-based mappings to increase hit rates",
       IEEE/ACM Transactions on Networking, 1998.
    """
    return sorted(nodes, key=lambda node: _weight(key, node), reverse=True)
