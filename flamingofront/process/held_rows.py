"""What operators see of requests that crash endpoints: held, suspected and recorded ones."""

from typing import Any

from flamingofront.decisions.send_intents import IntentRecord
from flamingofront.request.guard import RequestGuard

__all__ = ["QUARANTINE_COLUMNS", "held_rows"]

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


def held_rows(vm_id: str, guard: RequestGuard) -> list[dict[str, Any]]:
    """Return what one process holds back, suspects or has recorded, and by what evidence."""
    records = {each.fingerprint: each for each in guard.intents.known_records()}
    holds = {each.fingerprint for each in guard.quarantine.list_entries()}
    works = sorted({*holds, *guard.suspects(), *records})
    return [{"vm": vm_id, **_row(guard, each, records.get(each))} for each in works]


def _row(guard: RequestGuard, work: str, record: IntentRecord | None) -> dict[str, Any]:
    wall, hold = guard.wall(), guard.quarantine_entry(work)
    ends = guard.quarantine.get_crashes(work)
    names = hold.endpoints if hold is not None else [each.endpoint_id for each in ends]
    since = hold.since if hold is not None else max((each.at for each in ends), default=None)
    return {
        "work": work,
        "state": guard.quarantine_status(work).value,
        "endpoints": " ".join(names),
        "last_end_age": None if since is None else round(wall - since, 1),
        "trials": hold.trials if hold is not None else None,
        "next_trial_in": round(hold.next_trial - wall, 1) if hold is not None else None,
        "recorded_sends": len(record.sends) if record is not None else 0,
        "unseen_ends": len(record.unobserved) if record is not None else 0,
        "waiting": guard.intents.count_waiting(work),
    }
