"""Which side of a move a request takes."""

import hashlib

from flamingofront.version.model import Configuration, Move

__all__ = ["hash_to_fraction", "select_side", "select_move_side"]

_HASH_BYTES = 8
_FULL_SHARE = 100.0


def hash_to_fraction(text: str) -> float:
    """Return a stable number from 0 up to 1 for a text, the same in every process."""
    digest = hashlib.blake2b(text.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, "big") / 2 ** (8 * _HASH_BYTES)


def select_move_side(move: Move, workspace: str, request_id: str) -> str:
    """Return the side that a request takes.

    Notes
    -----
    The key's place on the unit interval does not depend on the share, so growing the share only
    moves keys towards the new side.
    """
    key = workspace if move.key == "workspace" else request_id
    taken = hash_to_fraction(f"{move.service}/{key}") * _FULL_SHARE < move.share
    return move.new_side if taken else move.old_side


def select_side(cfg: Configuration, service: str, workspace: str, request_id: str) -> str | None:
    """Return the side for a request, None if the service is not being moved."""
    move = cfg.find_move(service)
    return None if move is None else select_move_side(move, workspace, request_id)
