"""Reasons for which an attempt in flight is kept, as no other one is certain to follow it."""

from enum import StrEnum

__all__ = ["RetryObstacle"]


class RetryObstacle(StrEnum):
    """Why a request might end without an answer if its attempt were given up now."""

    NOT_REPEATABLE = "may not run twice"
    ATTEMPTS_USED_UP = "attempts used up"
    TIME_USED_UP = "time used up"
    BUDGET_USED_UP = "retry budget used up"
    QUARANTINED = "quarantined"
    NO_ENDPOINT = "no endpoint"
    NO_OTHER_PATH = "no other path"
    NEEDS_PERMIT = "needs a permit"
