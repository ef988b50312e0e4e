"""Retry budget shared by all entry processes of a deployment."""

import math
from collections import deque
from collections.abc import Callable

from flamingofront.decisions.retry import RetryBudget

__all__ = ["SharedRetryBudget"]

# Used fraction of the allowance: the rest covers members that are not known yet, and attempts of
# which it is uncertain whether they arrived.
USED_ALLOWANCE_FRACTION = 0.8
# Used fraction in the first window of a process: attempts of its previous incarnation are in the
# same window, and all processes may restart twice within one window.
INITIAL_ALLOWANCE_FRACTION = 0.1


class SharedRetryBudget(RetryBudget):
    """Retry budget over a sliding window, in proportion to the requests of this process.

    Each process uses only its own requests and its share of the allowance, so the sum over all
    processes stays within the limit also while they cannot reach each other.

    Parameters
    ----------
    ratio, allowance : float
        All processes together make at most ``ratio * requests + allowance`` retries.
    window : float
        Length of the window in seconds.
    member_share : callable
        Returns this process's share of the allowance, 0 to 1.
    began : float
        Start time of this process; earlier retries are unknown.
    """

    def __init__(
        self,
        ratio: float,
        allowance: float,
        window: float,
        member_share: Callable[[], float],
        began: float = -math.inf,
    ):
        self._started_at = began
        self._ratio = ratio
        self._allowance = allowance
        self._window = window
        self._member_share = member_share
        self._requests: deque[float] = deque()
        self._attempts: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Record a newly accepted request."""
        self._requests.append(now)
        self._drop_expired(now)

    def _drop_expired(self, now: float) -> None:
        for times in (self._requests, self._attempts):
            while times and times[0] < now - self._window:
                times.popleft()

    def can_reserve(self, now: float) -> bool:
        """Return True if the budget of the window is not used up."""
        self._drop_expired(now)
        is_new = now - self._started_at < self._window
        fraction = INITIAL_ALLOWANCE_FRACTION if is_new else USED_ALLOWANCE_FRACTION
        allowance = self._allowance * fraction * self._member_share()
        return len(self._attempts) + 1 <= self._ratio * len(self._requests) + allowance

    def reserve(self, now: float) -> float:
        """Reserve one retry and return 0, or return infinity if the budget is used up."""
        if not self.can_reserve(now):
            return math.inf
        self._attempts.append(now)
        return 0.0
