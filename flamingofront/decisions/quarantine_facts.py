"""Data types of the quarantine of poison requests: crashes, entries and gossip messages."""

from dataclasses import dataclass, replace
from enum import StrEnum

__all__ = [
    "EndpointCrash",
    "QuarantineEntry",
    "QuarantineUpdate",
    "IntentSummary",
    "Release",
    "QuarantineStatus",
    "TRIAL_SECONDS",
    "is_entry_expired",
    "is_expired",
]

# Delays before the trials of a quarantined request: several endpoint start times at first, then six
# times longer after each failed trial. After the last trial it stays quarantined until it expires.
TRIAL_SECONDS = (20.0, 120.0, 720.0)
ENTRY_LIFETIME_SECONDS = 86_400.0
# Evidence against a request is dropped if no further endpoint crashes for this long.
EVIDENCE_LIFETIME_SECONDS = 600.0


class QuarantineStatus(StrEnum):
    """Quarantine status of a request."""

    CLEAR = "clear"
    """There is no evidence against it."""
    SUSPECTED = "suspected"
    """An endpoint crashed while running it; it is run apart from other suspects."""
    QUARANTINED = "held"
    """It is rejected."""
    TRIAL_DUE = "trial_due"
    """It is rejected, except for one trial, which a process has to claim."""


@dataclass(frozen=True)
class EndpointCrash:
    """Unexpected termination of an endpoint, and the requests that were running on it.

    Parameters
    ----------
    at : float
        Time of the crash in seconds of the shared wall clock.
    requests : tuple of str
        Fingerprints of the requests, from one process or several.
    omitted : int
        Number of further requests, left out of `requests`.
    seconds : float
        Longest time for which one of the requests had been there; only known for crashes that are
        stored as evidence against a prompt part.
    """

    endpoint_id: str
    zone: str
    at: float
    requests: tuple[str, ...]
    omitted: int = 0
    seconds: float = 0.0


@dataclass(frozen=True)
class QuarantineEntry:
    """Quarantine entry of a request, which is not run.

    Parameters
    ----------
    endpoints : tuple of str
        Endpoints that crashed while running it.
    since : float
        Time of the last of these crashes, in seconds of the wall clock.
    trials : int
        Number of claimed trials.
    next_trial : float
        Earliest wall clock time of the next trial, in seconds.
    is_released : bool
        True once an endpoint has responded to the request, which then runs normally.
    """

    fingerprint: str
    endpoints: tuple[str, ...]
    since: float
    trials: int = 0
    next_trial: float = 0.0
    is_released: bool = False

    @property
    def rank(self) -> tuple[float, int, bool, float]:
        """Sort key: of two entries for one request, the greater supersedes the other."""
        return self.since, self.trials, self.is_released, self.next_trial

    def with_claimed_trial(self, now: float) -> "QuarantineEntry":
        """Return the entry with one more trial claimed."""
        return self._with_trial_count(self.trials + 1, now)

    def with_trials(self, trials: int) -> "QuarantineEntry":
        """Return the entry with this many trials used, at most all."""
        return self._with_trial_count(min(trials, len(TRIAL_SECONDS)), self.since)

    def _with_trial_count(self, trials: int, now: float) -> "QuarantineEntry":
        if trials < len(TRIAL_SECONDS):
            return replace(self, trials=trials, next_trial=now + TRIAL_SECONDS[trials])
        return replace(self, trials=trials, next_trial=self.since + ENTRY_LIFETIME_SECONDS)


@dataclass(frozen=True)
class IntentSummary:
    """Summary of the recorded send intents of an unanswered request.

    Parameters
    ----------
    sends : int
        Number of recorded sends.
    unobserved : frozenset of str
        Endpoints with an earlier unobserved crash, any of which the request may have caused.
    """

    sends: int = 0
    unobserved: frozenset[str] = frozenset()


@dataclass(frozen=True)
class Release:
    """Release of a request from suspicion by a response at a time."""

    fingerprint: str
    at: float


@dataclass(frozen=True)
class QuarantineUpdate:
    """Gossip message of a process: recent crashes and releases, and its quarantine entries."""

    crashes: tuple[EndpointCrash, ...] = ()
    entries: tuple[QuarantineEntry, ...] = ()
    releases: tuple[Release, ...] = ()


def is_entry_expired(entry: QuarantineEntry, now: float) -> bool:
    """Return True if a quarantine entry has expired."""
    return now - entry.since > ENTRY_LIFETIME_SECONDS


def is_expired(at: float, now: float) -> bool:
    """Return True if a crash at a time is too old to be evidence."""
    return now - at > EVIDENCE_LIFETIME_SECONDS
