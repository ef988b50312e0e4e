"""JSON encoding of quarantine updates between processes, and of quarantine rows in the store."""

from typing import Any

import orjson

from flamingofront.decisions.part_facts import (
    InterruptedRequest,
    PartAnswer,
    PartCrash,
    PartSurvivor,
    PartTimes,
    PartUpdate,
    parse_part_key,
)
from flamingofront.decisions.quarantine_facts import (
    EndpointCrash,
    QuarantineEntry,
    QuarantineUpdate,
    Release,
)
from flamingofront.errors import PlatformError

__all__ = [
    "decode_evidence",
    "decode_part_times",
    "decode_part_update",
    "decode_quarantine_entry",
    "decode_quarantine_update",
    "encode_evidence",
    "encode_part_times",
    "encode_part_update",
    "encode_quarantine_entry",
    "encode_quarantine_update",
]

# Assumed time of requests at an endpoint if it is not known: too long, so that too little is held
# against their parts.
UNKNOWN_SECONDS = 2.0


def encode_quarantine_update(update: QuarantineUpdate | None) -> list | None:
    """Return the JSON values of an update, None if there is no update.

    Notes
    -----
    The values are lists without field names, because updates are sent often.
    """
    if update is None:
        return None
    return [
        [
            [each.endpoint_id, each.zone, each.at, each.requests, each.omitted]
            for each in update.crashes
        ],
        [_entry_to_list(each) for each in update.entries],
        [[each.fingerprint, each.at] for each in update.releases],
    ]


def decode_quarantine_update(value: Any) -> QuarantineUpdate | None:
    """Return the update that another process has sent, None if it has sent none.

    Raises
    ------
    ValueError
        If the value is malformed.
    """
    if value is None:
        return None
    try:
        crash_values, entry_values, release_values = value
        return QuarantineUpdate(
            tuple(
                EndpointCrash(
                    str(name), str(zone), float(at), tuple(map(str, requests)), int(omitted)
                )
                for name, zone, at, requests, omitted in crash_values
            ),
            tuple(_entry_from_list(each) for each in entry_values),
            tuple(Release(str(fingerprint), float(at)) for fingerprint, at in release_values),
        )
    except (TypeError, ValueError) as exc:
        raise ValueError(f"malformed quarantine update: {exc!r:.100}") from exc


def encode_part_update(update: PartUpdate | None) -> list | None:
    """Return the JSON values of an update on prompt parts, None if there is no update."""
    if update is None:
        return None
    return [
        [
            [
                each.endpoint_id,
                each.zone,
                each.at,
                [[request.fingerprint, request.parts] for request in each.requests],
            ]
            for each in update.crashes
        ],
        [[each.part, each.at] for each in update.answers],
    ]


def decode_part_update(value: Any) -> PartUpdate | None:
    """Return the update on prompt parts that another process has sent, None if it sent none.

    Raises
    ------
    ValueError
        If the value is malformed.
    """
    if value is None:
        return None
    try:
        crash_values, answer_values = value
        return PartUpdate(
            tuple(
                PartCrash(str(name), str(zone), float(at), _requests_from_list(requests))
                for name, zone, at, requests in crash_values
            ),
            tuple(PartAnswer(str(part), float(at)) for part, at in answer_values),
        )
    except (TypeError, ValueError) as exc:
        raise ValueError(f"malformed update on prompt parts: {exc!r:.100}") from exc


def _requests_from_list(values: Any) -> tuple[InterruptedRequest, ...]:
    return tuple(
        InterruptedRequest(str(name), tuple(str(each) for each in parts)) for name, parts in values
    )


def encode_part_times(times: PartTimes | None) -> list | None:
    """Return the JSON values of the times beside an update on prompt parts, None without one."""
    if times is None:
        return None
    return [
        [
            [name, work, round(seconds, 3), round(active_seconds, 3)]
            for name, work, seconds, active_seconds in times.at_crashes
        ],
        [
            [each.part, each.endpoint_id, round(each.active_seconds, 3), each.at]
            for each in times.survivors
        ],
    ]


def decode_part_times(value: Any) -> PartTimes | None:
    """Return the times that another process has sent beside its update, None if it sent none.

    Raises
    ------
    ValueError
        If the value is malformed.
    """
    if value is None:
        return None
    try:
        crash_values, survivor_values = value
        return PartTimes(
            tuple(
                (str(name), str(work), float(seconds), float(active_seconds))
                for name, work, seconds, active_seconds in crash_values
            ),
            tuple(
                PartSurvivor(str(part), str(name), float(seconds), float(at))
                for part, name, seconds, at in survivor_values
            ),
        )
    except (TypeError, ValueError) as exc:
        raise ValueError(f"malformed times of prompt parts: {exc!r:.100}") from exc


def _entry_to_list(entry: QuarantineEntry) -> list:
    """Return the fields of an entry in the order in which updates contain them."""
    return [
        entry.fingerprint,
        entry.endpoints,
        entry.since,
        entry.trials,
        entry.next_trial,
        entry.is_released,
    ]


def _entry_from_list(values: Any) -> QuarantineEntry:
    """Return the entry with these fields; raises a built-in error if they are malformed."""
    fingerprint, endpoints, since, trials, next_trial, is_released = values
    return QuarantineEntry(
        str(fingerprint),
        tuple(map(str, endpoints)),
        float(since),
        int(trials),
        float(next_trial),
        bool(is_released),
    )


def encode_quarantine_entry(entry: QuarantineEntry) -> dict[str, Any]:
    """Return a quarantine entry as a JSON object with field names, as it is stored."""
    return {
        "fingerprint": entry.fingerprint,
        "endpoints": list(entry.endpoints),
        "since": entry.since,
        "trials": entry.trials,
        "next_trial": entry.next_trial,
        "lifted": entry.is_released,
    }


def decode_quarantine_entry(key: str, value: Any) -> QuarantineEntry:
    """Return a quarantine entry from its stored value.

    Parameters
    ----------
    key : str
        Key of its row, for the error message.
    value : object
        JSON text as bytes, or the decoded JSON object.

    Raises
    ------
    PlatformError
        If the value is malformed.
    """
    try:
        doc = orjson.loads(value) if isinstance(value, bytes) else value
        return _entry_from_list(
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
        raise PlatformError(f"malformed quarantine entry {key}: {exc!r:.100}") from exc


def encode_evidence(
    evidence: tuple[EndpointCrash, ...], with_requests: bool = False
) -> dict[str, Any]:
    """Return the crashes attributed to one request or prompt part as a JSON object.

    Parameters
    ----------
    with_requests : bool
        True for a part, which several requests hold.
    """
    ends = [{"endpoint": each.endpoint_id, "zone": each.zone, "at": each.at} for each in evidence]
    if with_requests:
        ends = [
            {**end, "work": list(each.requests), "seconds": round(each.seconds, 3)}
            for end, each in zip(ends, evidence, strict=True)
        ]
    return {"ends": ends}


def decode_evidence(key: str, value: Any) -> tuple[EndpointCrash, ...]:
    """Return the stored crashes that are attributed to one request or prompt part.

    Parameters
    ----------
    key : str
        Fingerprint of the request, or key of the part.
    value : object
        JSON text as bytes, or the decoded JSON object.

    Raises
    ------
    PlatformError
        If the value is malformed.
    """
    is_part = bool(parse_part_key(key))
    try:
        doc = orjson.loads(value) if isinstance(value, bytes) else value
        return tuple(
            EndpointCrash(
                str(each["endpoint"]),
                str(each["zone"]),
                float(each["at"]),
                tuple(map(str, each["work"])) if is_part else (key,),
                1,
                # Processes of earlier versions store no seconds.
                float(each.get("seconds", UNKNOWN_SECONDS)) if is_part else 0.0,
            )
            for each in doc["ends"]
        )
    except (KeyError, TypeError, ValueError) as exc:
        raise PlatformError(f"malformed crash evidence of {key}: {exc!r:.100}") from exc
