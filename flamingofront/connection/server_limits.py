"""Limits of one HTTP server."""

from dataclasses import dataclass

from flamingofront.connection.framing import MAX_HEAD_BYTES

__all__ = ["ServerLimits"]


@dataclass(frozen=True)
class ServerLimits:
    """Limits of one server.

    Parameters
    ----------
    max_body : int
        Maximum size of a request body in bytes.
    request_timeout : float
        Seconds to receive a request head, and again to receive the body.
    idle_timeout : float
        Seconds after which a connection without a request is closed.
    max_unsent_bytes : int
        Maximum number of response bytes that are queued for a slow caller.
    max_head : int
        Maximum size of a request head in bytes.
    """

    max_body: int = 8 * 1024 * 1024
    request_timeout: float = 10.0
    idle_timeout: float = 75.0
    max_unsent_bytes: int = 1024 * 1024
    max_head: int = MAX_HEAD_BYTES
