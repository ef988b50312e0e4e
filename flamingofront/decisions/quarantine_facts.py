"""Facts on requests that crash endpoints: ends, holds, and what processes tell of them."""

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

# Pauses before the trials of a request that is held back: several times the start of an endpoint,
# and six times longer after each that ended one. After the last it is held until it is forgotten.
TRIAL_SECONDS = (20.0, 120.0, 720.0)
ENTRY_LIFETIME_SECONDS = 86_400.0
# Suspicion of a request under which no further endpoint has ended for so long is dropped.
EVIDENCE_LIFETIME_SECONDS = 600.0


class QuarantineStatus(StrEnum):
    """What is known of a request."""

    CLEAR = "clear"
    """There is no evidence against it."""
    SUSPECTED = "suspected"
    """An endpoint ended while it was there; it is run apart from other suspects."""
    HELD = "held"
    """It is not run."""
    TRIAL_DUE = "trial_due"
    """It is not run but for one trial, which has to be claimed."""


@dataclass(frozen=True)
class EndpointCrash:
    """An endpoint that ended without notice, and the requests that were there.

    Parameters
    ----------
    at : float
        When it ended, in seconds of the wall clock that the processes agree on.
    requests : tuple of str
        Fingerprints of the requests, of one process or of several.
    untold : int
        Requests that are left out here.
    """

    endpoint_id: str
    zone: str
    at: float
    requests: tuple[str, ...]
    omitted: int = 0


@dataclass(frozen=True)
class QuarantineEntry:
    """A request that is not run.

    Parameters
    ----------
    endpoints : tuple of str
        Endpoints that ended under it.
    since : float
        When the last of them ended, in seconds of the wall clock.
    trials : int
        Trials that were claimed.
    next_trial : float
        Wall clock seconds from which on the next trial may be claimed.
    lifted : bool
        True once it was answered: it is run as any other.
    """

    fingerprint: str
    endpoints: tuple[str, ...]
    since: float
    trials: int = 0
    next_trial: float = 0.0
    is_released: bool = False

    @property
    def rank(self) -> tuple[float, int, bool, float]:
        """Order in which holds of the same request supersede each other."""
        return self.since, self.trials, self.is_released, self.next_trial

    def with_claimed_trial(self, now: float) -> "Hold":
        """Return the hold with a further trial claimed."""
        return self._after(self.trials + 1, now)

    def with_trials(self, trials: int) -> "Hold":
        """Return the hold with so many trials, or all, taken for made."""
        return self._after(min(trials, len(TRIAL_SECONDS)), self.since)

    def _after(self, trials: int, now: float) -> "Hold":
        if trials < len(TRIAL_SECONDS):
            return replace(self, trials=trials, next_trial=now + TRIAL_SECONDS[trials])
        return replace(self, trials=trials, next_trial=self.since + ENTRY_LIFETIME_SECONDS)


@dataclass(frozen=True)
class IntentSummary:
    """What is recorded of a request that no endpoint has answered.

    Parameters
    ----------
    sends : int
        How often it was sent while its sends were recorded.
    unseen : frozenset of str
        Endpoints that ended with no witness before, of which any may have ended under it.
    """

    sends: int = 0
    unseen: frozenset[str] = frozenset()


@dataclass(frozen=True)
class Release:
    """A request of which an endpoint has given an answer, and when."""

    fingerprint: str
    at: float


@dataclass(frozen=True)
class QuarantineUpdate:
    """What one process tells others: what is new, and all that is held back."""

    ends: tuple[EndpointCrash, ...] = ()
    holds: tuple[QuarantineEntry, ...] = ()
    releases: tuple[Release, ...] = ()


def is_entry_expired(hold: QuarantineEntry, now: float) -> bool:
    """Tell whether a hold is so old that it counts no more."""
    return now - hold.since > ENTRY_LIFETIME_SECONDS


def is_expired(at: float, now: float) -> bool:
    """Tell whether an end is so old that it is no evidence any more."""
    return now - at > EVIDENCE_LIFETIME_SECONDS
