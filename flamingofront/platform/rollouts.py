"""Table rows with the operator's rollout specs and with the status of each rollout."""

import math

import orjson

from flamingofront.decisions.rollout import Phase, RolloutSpec, RolloutStatus
from flamingofront.errors import PlatformError
from flamingofront.process.forwarding.rollouts import RolloutRows

__all__ = ["ROLLOUT_ROWS", "decode_rollout", "decode_status", "encode_status"]

_STATUS_TABLE = "status"
_KEY_PREFIX = "rollout/"
# The platform has no state for the phase in which requests move: it counts as running.
_STATES = {
    Phase.RUNNING: "running",
    Phase.MOVING: "running",
    Phase.COMPLETED: "completed",
    Phase.ROLLED_BACK: "rolled_back",
}


def _parse_rollout_key(key: str) -> str:
    """Return the service of a rollout key, or an empty string for any other key."""
    return key.removeprefix(_KEY_PREFIX) if key.startswith(_KEY_PREFIX) else ""


def _make_status_key(service: str) -> str:
    """Return the key of the row with the rollout status of a service."""
    return _KEY_PREFIX + service


def decode_rollout(service: str, data: bytes, number: int) -> RolloutSpec:
    """Return the rollout spec decoded from a row; `number` is the version of the row.

    Raises
    ------
    PlatformError
        If the row is malformed.
    """
    try:
        doc = orjson.loads(data)
        # ``to`` is the target version; ``duration_s`` the time within which the rollout must end.
        version, seconds = doc["to"], doc["duration_s"]
        if type(version) is not str or not version:
            raise ValueError(f"to is {version!r:.60}, expected a non-empty string")
        if type(seconds) not in (int, float) or not 0 < seconds < math.inf:
            raise ValueError(f"duration_s is {seconds!r:.60}, expected a positive number")
        if doc.get("service", service) != service:
            raise ValueError(f"the row names service {doc['service']!r:.60}")
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise PlatformError(f"malformed rollout of {service}: {exc!r:.200}") from exc
    return RolloutSpec(service, version, float(seconds), number)


def encode_status(service: str, status: RolloutStatus) -> bytes:
    """Return the row that stores the status of a rollout."""
    doc = {
        "service": service,
        "to": status.version,
        "state": _STATES[status.phase],
        # The platform ignores the fields below; the next lease holder reads them.
        "order": status.number,
        "phase": status.phase.name.lower(),
        "since": status.since,
        "withheld": sorted(status.blocked),
    }
    return orjson.dumps(doc)


def decode_status(data: bytes) -> RolloutStatus:
    """Return the rollout status decoded from a row.

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
        raise PlatformError(f"malformed rollout status: {exc!r:.200}") from exc


ROLLOUT_ROWS = RolloutRows(
    _parse_rollout_key,
    decode_rollout,
    _STATUS_TABLE,
    _make_status_key,
    encode_status,
    decode_status,
)
