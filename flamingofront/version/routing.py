"""Choice of the side (data centre) for requests to a service that is being moved."""

import hashlib

from flamingofront.version.model import Configuration, Move

__all__ = ["hash_to_fraction", "select_move_side", "select_side"]

_HASH_BYTES = 8
_FULL_SHARE = 100.0


def hash_to_fraction(text: str) -> float:
    """Map a text to a number in [0, 1) by a hash that is the same in every process."""
    digest = hashlib.blake2b(text.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, "big") / 2 ** (8 * _HASH_BYTES)


def select_move_side(move: Move, workspace: str, request_id: str) -> str:
    """Return the side of a move that a request is sent to.

    Notes
    -----
    The hash of a key does not depend on the share, so increasing the share only moves keys to the
    new side.
    """
    key = workspace if move.key == "workspace" else request_id
    is_moved = hash_to_fraction(f"{move.service}/{key}") * _FULL_SHARE < move.share
    return move.new_side if is_moved else move.old_side


def select_side(cfg: Configuration, service: str, workspace: str, request_id: str) -> str | None:
    """Return the side that a request is sent to, None if the service is not being moved."""
    move = cfg.find_move(service)
    return None if move is None else select_move_side(move, workspace, request_id)
