"""Rows of the operator query on quarantined and suspect requests and prompt parts."""

from typing import Any

from flamingofront.decisions.part_facts import PartCrash, part_key
from flamingofront.decisions.quarantine_facts import QuarantineStatus
from flamingofront.decisions.send_intents import IntentRecord
from flamingofront.errors import CommandError
from flamingofront.request.guard import RequestGuard

__all__ = ["QUARANTINE_COLUMNS", "RELEASE_COLUMNS", "held_rows", "release_rows"]

QUARANTINE_COLUMNS = (
    "vm",
    "work",
    "state",
    "endpoints",
    "last_end_age",
    "trials",
    "next_trial_in",
    "recorded_sends",
    "unseen_ends",
    "waiting",
)


RELEASE_COLUMNS = ("vm", "work", "state")


def release_rows(vm_id: str, guard: RequestGuard, work: str) -> list[dict[str, Any]]:
    """Release a quarantined request or prompt part and return a row that says so.

    Raises
    ------
    CommandError
        If nothing is quarantined under this fingerprint or key.
    """
    if not guard.release_work(work):
        raise CommandError(
            f"{work!r} is not held by {vm_id}; flamingofront show held lists what is"
        )
    return [{"vm": vm_id, "work": work, "state": "released"}]


def held_rows(vm_id: str, guard: RequestGuard) -> list[dict[str, Any]]:
    """Return a row for each request and prompt part that a process quarantines or suspects."""
    records = {each.fingerprint: each for each in guard.intents.known_records()}
    quarantined = {each.fingerprint for each in guard.quarantine.list_entries()}
    fingerprints = sorted({*quarantined, *guard.suspects(), *records})
    rows = [_build_row(guard, each, records.get(each)) for each in fingerprints]
    suspects = guard.parts.evidence.list_suspects()
    rows += [
        _build_suspect_row(part, crashes, guard.wall())
        for part, crashes in suspects.items()
        if not guard.parts.match((part,))
    ]
    return [{"vm": vm_id, **each} for each in rows]


def _build_suspect_row(part: str, crashes: list[PartCrash], wall: float) -> dict[str, Any]:
    """Return the columns of a prompt part with evidence against it that is not quarantined."""
    return {
        "work": part_key((part,)),
        "state": QuarantineStatus.SUSPECTED.value,
        "endpoints": " ".join(each.endpoint_id for each in crashes),
        "last_end_age": round(wall - max(each.at for each in crashes), 1),
        "trials": None,
        "next_trial_in": None,
        "recorded_sends": 0,
        "unseen_ends": 0,
        "waiting": 0,
    }


def _build_row(
    guard: RequestGuard, fingerprint: str, record: IntentRecord | None
) -> dict[str, Any]:
    """Return the columns of one request, without the VM id; ages and delays are in seconds."""
    wall, entry = guard.wall(), guard.quarantine.get_entry(fingerprint)
    crashes = guard.quarantine.get_crashes(fingerprint)
    names = entry.endpoints if entry is not None else [each.endpoint_id for each in crashes]
    since = entry.since if entry is not None else max((each.at for each in crashes), default=None)
    return {
        "work": fingerprint,
        "state": guard.quarantine.get_status(fingerprint, wall).value,
        "endpoints": " ".join(names),
        "last_end_age": None if since is None else round(wall - since, 1),
        "trials": entry.trials if entry is not None else None,
        "next_trial_in": round(entry.next_trial - wall, 1) if entry is not None else None,
        "recorded_sends": len(record.sends) if record is not None else 0,
        "unseen_ends": len(record.unobserved) if record is not None else 0,
        "waiting": guard.intents.count_waiting(fingerprint),
    }
