"""What processes tell one another, and keep, of requests that crash endpoints: as JSON values."""

from typing import Any

import orjson

from flamingofront.decisions.quarantine_facts import (
    EndpointCrash,
    QuarantineEntry,
    QuarantineUpdate,
    Release,
)
from flamingofront.errors import PlatformError

__all__ = [
    "decode_evidence",
    "decode_quarantine_entry",
    "decode_quarantine_update",
    "encode_evidence",
    "encode_quarantine_entry",
    "encode_quarantine_update",
]


def encode_quarantine_update(word: QuarantineUpdate | None) -> list | None:
    """Return the JSON values of what is told; lists without names, as it is told often."""
    if word is None:
        return None
    return [
        [
            [each.endpoint_id, each.zone, each.at, each.requests, each.omitted]
            for each in word.crashes
        ],
        [_hold_values(each) for each in word.entries],
        [[each.fingerprint, each.at] for each in word.releases],
    ]


def decode_quarantine_update(value: Any) -> QuarantineUpdate | None:
    """Return what was told.

    Raises
    ------
    ValueError
        If it is malformed.
    """
    if value is None:
        return None
    try:
        ends, holds, released = value
        return QuarantineUpdate(
            tuple(
                EndpointCrash(
                    str(name), str(zone), float(at), tuple(map(str, requests)), int(omitted)
                )
                for name, zone, at, requests, omitted in ends
            ),
            tuple(_hold(each) for each in holds),
            tuple(Release(str(fingerprint), float(at)) for fingerprint, at in released),
        )
    except (TypeError, ValueError) as exc:
        raise ValueError(f"malformed word of requests that are held: {exc!r:.100}") from exc


def _hold_values(hold: QuarantineEntry) -> list:
    return [
        hold.fingerprint,
        hold.endpoints,
        hold.since,
        hold.trials,
        hold.next_trial,
        hold.is_released,
    ]


def _hold(values: Any) -> QuarantineEntry:
    fingerprint, endpoints, since, trials, next_trial, is_released = values
    return QuarantineEntry(
        str(fingerprint),
        tuple(map(str, endpoints)),
        float(since),
        int(trials),
        float(next_trial),
        bool(is_released),
    )


def encode_quarantine_entry(hold: QuarantineEntry) -> dict[str, Any]:
    """Return a hold as it is kept in the store, with names for whoever reads it there."""
    return {
        "fingerprint": hold.fingerprint,
        "endpoints": list(hold.endpoints),
        "since": hold.since,
        "trials": hold.trials,
        "next_trial": hold.next_trial,
        "lifted": hold.is_released,
    }


def decode_quarantine_entry(key: str, value: Any) -> QuarantineEntry:
    """Return a hold as it was kept.

    Raises
    ------
    PlatformError
        If it is malformed.
    """
    try:
        doc = orjson.loads(value) if isinstance(value, bytes) else value
        return _hold(
            [
                doc["fingerprint"],
                doc["endpoints"],
                doc["since"],
                doc["trials"],
                doc["next_trial"],
                doc["lifted"],
            ]
        )
    except (KeyError, TypeError, ValueError) as exc:
        raise PlatformError(f"malformed hold {key}: {exc!r:.100}") from exc


def encode_evidence(ends: tuple[EndpointCrash, ...]) -> dict[str, Any]:
    """Return the ends of one request as they are kept in the store."""
    return {
        "ends": [{"endpoint": each.endpoint_id, "zone": each.zone, "at": each.at} for each in ends]
    }


def decode_evidence(fingerprint: str, value: Any) -> tuple[EndpointCrash, ...]:
    """Return the ends of one request as they were kept.

    Raises
    ------
    PlatformError
        If they are malformed.
    """
    try:
        doc = orjson.loads(value) if isinstance(value, bytes) else value
        return tuple(
            EndpointCrash(
                str(each["endpoint"]), str(each["zone"]), float(each["at"]), (fingerprint,), 1
            )
            for each in doc["ends"]
        )
    except (KeyError, TypeError, ValueError) as exc:
        raise PlatformError(f"malformed ends of {fingerprint}: {exc!r:.100}") from exc
