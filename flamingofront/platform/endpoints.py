"""Rows by which endpoints register themselves."""

import orjson

from flamingofront.errors import PlatformError
from flamingofront.process.forwarding.endpoints import EndpointRow

__all__ = ["ENDPOINT_TABLE", "decode_endpoint"]

ENDPOINT_TABLE = "servers"


def decode_endpoint(key: str, data: bytes) -> EndpointRow:
    """Return the endpoint in a row; the key is the id of its present start.

    Raises
    ------
    PlatformError
        If the row is malformed.
    """
    try:
        doc = orjson.loads(data)
        leaves = doc.get("leaves_ms")
        return EndpointRow(
            endpoint_id=key,
            service=doc["service"],
            address=doc["address"],
            zone=doc["zone"],
            slots=int(doc.get("slots", 0)),
            # Any state but this one means that the endpoint is leaving.
            ready=doc["state"] == "ready",
            warming=doc.get("cold_left_ms", 0) / 1000,
            # Grows with each write of the endpoint, so it tells an old row from a new one.
            sequence=int(doc.get("sequence", 0)),
            reclaimable=bool(doc.get("spot", False)),
            leaves_in=None if leaves is None else leaves / 1000,
        )
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise PlatformError(f"malformed row of endpoint {key}: {exc!r}") from exc
