"""Decoding of the table rows with which endpoints register themselves."""

import orjson

from flamingofront.errors import PlatformError
from flamingofront.process.forwarding.endpoint_row import EndpointRow

__all__ = ["ENDPOINT_TABLE", "decode_endpoint"]

ENDPOINT_TABLE = "servers"
_READY = "ready"
# A draining endpoint still serves its running requests. Any other state makes the row malformed.
_STATES = (_READY, "draining")
_MS_PER_SECOND = 1000


def decode_endpoint(key: str, data: bytes) -> EndpointRow:
    """Return the endpoint decoded from a row, whose key is the endpoint id.

    Raises
    ------
    PlatformError
        If a field is missing or invalid, for example because another writer wrote the row.
    """
    try:
        doc = orjson.loads(data)
        state = doc["state"]
        if state not in _STATES:
            raise ValueError(f"state is {state!r:.60}, expected ready or draining")
        leaves = doc.get("leaves_ms")
        return EndpointRow(
            endpoint_id=key,
            service=doc["service"],
            address=doc["address"],
            zone=doc["zone"],
            slots=doc["slots"],
            ready=state == _READY,
            # "cold_left_ms" is the remaining warm-up time, not the time since the start.
            warming=_require_number(doc["cold_left_ms"]) / _MS_PER_SECOND,
            sequence=doc["sequence"],
            # Start time in Unix milliseconds, absent in deployments that never restart endpoints.
            born=doc.get("born", 0),
            version=doc["version"],
            # True for endpoints that the cloud may reclaim.
            reclaimable=doc.get("spot", False),
            leaves_in=None if leaves is None else _require_number(leaves) / _MS_PER_SECOND,
        )
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise PlatformError(f"malformed row of endpoint {key:.64}: {exc!r:.200}") from exc


def _require_number(value: object) -> float:
    """Return the value unchanged; raise `ValueError` if it is not an int or float."""
    # The type is compared because bool is a subclass of int.
    if type(value) not in (int, float):
        raise ValueError(f"{value!r:.60} is not a number")
    return value
