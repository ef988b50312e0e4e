"""Rows by which endpoints register themselves."""

import orjson

from flamingofront.errors import PlatformError
from flamingofront.process.forwarding.endpoint_row import EndpointRow

__all__ = ["ENDPOINT_TABLE", "decode_endpoint"]

ENDPOINT_TABLE = "servers"
_READY = "ready"
# A leaving endpoint still serves what it has; any other word names no endpoint to use.
_STATES = (_READY, "draining")
_MS = 1000


def decode_endpoint(key: str, data: bytes) -> EndpointRow:
    """Return the endpoint in a row; the key is its id.

    Raises
    ------
    PlatformError
        If a field is missing or not as it should be: another writer may have put the row there.
    """
    try:
        doc = orjson.loads(data)
        state = doc["state"]
        if state not in _STATES:
            raise ValueError(f"state is {state!r:.60}, which is none that is known")
        leaves = doc.get("leaves_ms")
        return EndpointRow(
            endpoint_id=key,
            service=doc["service"],
            address=doc["address"],
            zone=doc["zone"],
            slots=doc["slots"],
            ready=state == _READY,
            # Not the time since the start: for how much longer the endpoint stays slow.
            warming=_number(doc["cold_left_ms"]) / _MS,
            sequence=doc["sequence"],
            # Unix milliseconds of the endpoint's start; deployments without restarts leave it out.
            born=doc.get("born", 0),
            version=doc["version"],
            # True for endpoints that the cloud may take back.
            reclaimable=doc.get("spot", False),
            leaves_in=None if leaves is None else _number(leaves) / _MS,
        )
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise PlatformError(f"malformed row of endpoint {key}: {exc!r:.200}") from exc


def _number(value: object) -> float:
    """Return a number as it came; a truth value is none."""
    if type(value) not in (int, float):
        raise ValueError(f"{value!r:.60} is no number")
    return value
