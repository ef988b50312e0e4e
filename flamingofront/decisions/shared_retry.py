"""The retry budget that all entry processes of a deployment keep together."""

import math
from collections import deque
from collections.abc import Callable

from flamingofront.decisions.retry import RetryBudget

__all__ = ["SharedRetryBudget"]

# Part of the allowance that is handed out: the rest covers members not yet known and calls of
# which it is not clear whether they arrived.
USED_ALLOWANCE_FRACTION = 0.8
# Part that a process hands out in its first window: attempts made before its start are in the same
# window, and all may start twice within one.
INITIAL_ALLOWANCE_FRACTION = 0.1


class SharedRetryBudget(RetryBudget):
    """Further attempts within a sliding window, as a part of the requests seen here.

    Each process keeps to its own requests and its part of the allowance, so the sum over all
    processes keeps the limit also while they cannot hear each other.

    Parameters
    ----------
    ratio, allowance : float
        All processes together make at most ``ratio * requests + allowance`` further attempts.
    window : float
        Seconds over which they are counted.
    member_share : callable
        Returns this process's part of the allowance, 0 to 1.
    began : float
        When this process began: it does not know what was attempted before.
    """

    def __init__(
        self,
        ratio: float,
        allowance: float,
        window: float,
        member_share: Callable[[], float],
        began: float = -math.inf,
    ):
        self._began = began
        self._ratio = ratio
        self._allowance = allowance
        self._window = window
        self._member_share = member_share
        self._requests: deque[float] = deque()
        self._attempts: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Note a newly accepted request."""
        self._requests.append(now)
        self._drop_expired(now)

    def _drop_expired(self, now: float) -> None:
        for times in (self._requests, self._attempts):
            while times and times[0] < now - self._window:
                times.popleft()

    def reserve(self, now: float) -> float:
        """Return 0 if a further attempt may start now, infinity if the budget is used up."""
        self._drop_expired(now)
        is_new = now - self._began < self._window
        part = INITIAL_ALLOWANCE_FRACTION if is_new else USED_ALLOWANCE_FRACTION
        allowance = self._allowance * part * self._member_share()
        if len(self._attempts) + 1 > self._ratio * len(self._requests) + allowance:
            return math.inf
        self._attempts.append(now)
        return 0.0
