"""Orders for roll-outs, and the rows that tell how far they are."""

import math

import orjson

from flamingofront.decisions.rollout import Phase, RolloutSpec, RolloutStatus
from flamingofront.errors import PlatformError
from flamingofront.process.forwarding.rollouts import RolloutRows

__all__ = ["ROLLOUT_ROWS", "decode_rollout", "decode_status", "encode_status"]

_STATUS_TABLE = "status"
_KEY = "rollout/"
# While requests are moving, the roll-out still counts as running.
_STATES = {
    Phase.RUNNING: "running",
    Phase.MOVING: "running",
    Phase.COMPLETED: "completed",
    Phase.ROLLED_BACK: "rolled_back",
}


def _rollout_service(key: str) -> str:
    """Return the service that a key of the operator's table orders a roll-out of, or nothing."""
    return key.removeprefix(_KEY) if key.startswith(_KEY) else ""


def _status_key(service: str) -> str:
    """Return the key of the row that tells how far a service's roll-out is."""
    return _KEY + service


def decode_rollout(service: str, data: bytes, number: int) -> RolloutSpec:
    """Return the order in a row; its number is the version of the row.

    Raises
    ------
    PlatformError
        If the order is malformed.
    """
    try:
        doc = orjson.loads(data)
        # ``to`` is a version; ``duration_s`` the time until the roll-out has to be over.
        version, seconds = doc["to"], doc["duration_s"]
        if type(version) is not str or not version:
            raise ValueError(f"to is {version!r:.60}, which is no version")
        if type(seconds) not in (int, float) or not 0 < seconds < math.inf:
            raise ValueError(f"duration_s is {seconds!r:.60}, which is no time in seconds")
        if doc.get("service", service) != service:
            raise ValueError(f"the order is for {doc['service']!r:.60}")
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise PlatformError(f"malformed roll-out of {service}: {exc!r:.200}") from exc
    return RolloutSpec(service, version, float(seconds), number)


def encode_status(service: str, status: RolloutStatus) -> bytes:
    """Return the row that tells how far a roll-out is."""
    doc = {
        "service": service,
        "to": status.version,
        "state": _STATES[status.phase],
        # What a successor needs is the system's own.
        "order": status.number,
        "phase": status.phase.name.lower(),
        "since": status.since,
        "withheld": sorted(status.blocked),
    }
    return orjson.dumps(doc)


def decode_status(data: bytes) -> RolloutStatus:
    """Return how far a roll-out is, as a row tells it.

    Raises
    ------
    PlatformError
        If the row is malformed.
    """
    try:
        doc = orjson.loads(data)
        return RolloutStatus(
            int(doc["order"]),
            str(doc["to"]),
            Phase[doc["phase"].upper()],
            float(doc["since"]),
            frozenset(map(str, doc["withheld"])),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise PlatformError(f"malformed status of a roll-out: {exc!r:.200}") from exc


ROLLOUT_ROWS = RolloutRows(
    _rollout_service, decode_rollout, _STATUS_TABLE, _status_key, encode_status, decode_status
)
