"""State machine of one accepted request: attempts, retries, resumption, final answer.

Events are passed in as method calls, which return actions to execute. The machine has no socket,
clock or random state of its own, so the same code runs in the daemon, under fuzzing and in the
benchmarks.
"""

import itertools
import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from flamingofront.decisions.retry import RetryBudget
from flamingofront.errors import ErrorKind, Executed
from flamingofront.messages import (
    CancelAttempt,
    Complete,
    Emit,
    Fail,
    Frame,
    ScheduleRetry,
    StartAttempt,
)
from flamingofront.process.backoff import Backoff
from flamingofront.request.assembly import Assembler
from flamingofront.request.retry_obstacles import RetryObstacle

__all__ = ["Action", "Phase", "RequestFacts", "RequestMachine"]

Action = StartAttempt | CancelAttempt | ScheduleRetry | Emit | Complete | Fail

# Endpoints that were not reached are tried again so often in any case, within some milliseconds:
# others may be found meanwhile.
MAX_REPEATS = 3
REPEAT_BACKOFF = Backoff(0.004, 0.2)
MAX_FAILURES_WITHOUT_PROGRESS = 12
DEFAULT_BACKOFF = Backoff(0.05, 2.0)


class Phase(StrEnum):
    """State of a request; ``WAITING`` for the first attempt or a retry."""

    WAITING = "waiting"
    RUNNING = "running"
    FROZEN = "frozen"
    DONE = "done"


@dataclass(frozen=True)
class RequestFacts:
    """Properties of a request that the state machine depends on.

    Parameters
    ----------
    repeatable : bool
        False if the request may be executed at most once.
    deadline : float
        Time at which the request fails if it is unfinished.
    max_attempts : int or None
        Maximum number of attempts; None if only the retry budget limits them.
    choice_deadline : float
        Time after which the request is rejected if no endpoint is available.
    """

    request_id: str
    repeatable: bool
    deadline: float
    max_attempts: int | None = None
    choice_deadline: float = math.inf


class RequestMachine:
    """Drives one request to exactly one final answer.

    Parameters
    ----------
    facts : RequestFacts
        Properties of the request.
    budget : RetryBudget
        Retry budget, shared by all requests of the service.
    tokens : tuple of str
        Tokens that were generated before a hand-over.
    ran : Executed
        Whether the request was executed before a hand-over.
    was_written : callable
        Returns True if bytes of the current attempt may have reached its endpoint.

    Attributes
    ----------
    attempt_id : str or None
        Id of the current attempt.
    """

    def __init__(
        self,
        facts: RequestFacts,
        budget: RetryBudget,
        rng: random.Random,
        backoff: Backoff = DEFAULT_BACKOFF,
        tokens: tuple[str, ...] = (),
        ran: Executed = Executed.NO,
        was_written: Callable[[], bool] = lambda: False,
    ):
        self.facts = facts
        self.assembler = Assembler(facts.request_id, tokens)
        self.phase = Phase.WAITING
        self.attempts = 0
        self.attempt_id: str | None = None
        self._budget = budget
        self._rng = rng
        self._backoff = backoff
        self._failures = 0
        self._ran = ran
        self._ran_before_attempt = ran
        self._was_written = was_written
        self._failed_endpoints: set[str] = set()
        self._repeats = 0
        self._withdrawals = 0
        self._ids = itertools.count(1)

    @property
    def ran(self) -> Executed:
        """Whether the request was executed, as far as is certain now.

        Notes
        -----
        Derived from what was written whenever it is read, so that whoever ends the request need not
        record that first.
        """
        has_attempt = self.phase is Phase.RUNNING and self.attempt_id is not None
        if self._ran is Executed.NO and has_attempt and self._was_written():
            return Executed.UNKNOWN
        return self._ran

    def start(self) -> list[Action]:
        """Start the first attempt, or the next one when a scheduled retry is due."""
        if self.phase is not Phase.WAITING:
            return []
        self.attempts += 1
        self._ran_before_attempt = self._ran
        self.attempt_id = (
            f"{self.facts.request_id}.{next(self._ids)}.{self._rng.randrange(1 << 32):08x}"
        )
        self.phase = Phase.RUNNING
        self.assembler.set_owner(self.attempt_id)
        exclude = frozenset(self._failed_endpoints)
        return [StartAttempt(self.attempt_id, self.assembler.offset, exclude)]

    def record_write(self, attempt_id: str) -> None:
        """Record that bytes of an attempt may have reached its endpoint."""
        if attempt_id == self.attempt_id and self._ran is Executed.NO:
            self._ran = Executed.UNKNOWN

    def accept_frame(self, frame: Frame) -> list[Action]:
        """Add the tokens of a frame to the answer; frames of other attempts are dropped."""
        added = self.assembler.accept(frame)
        if self.phase is not Phase.RUNNING:
            return []
        actions: list[Action] = []
        if added:
            self._ran = Executed.YES
            self._failures = 0
            actions.append(Emit(self.assembler.offset - len(added), added))
        if self.assembler.complete:
            self._ran = Executed.YES
            self._finish()
            actions.append(Complete(self.assembler.offset))
        return actions

    def accept_response(self, attempt_id: str) -> bool:
        """Accept a complete response; return False if it is not for the current attempt."""
        if self.phase is not Phase.RUNNING or attempt_id != self.attempt_id:
            return False
        self._ran = Executed.YES
        self._finish()
        return True

    def defer_without_endpoint(
        self, attempt_id: str, now: float, retry_after: float
    ) -> list[Action]:
        """Retry an attempt for which no endpoint was available, or fail the request.

        Parameters
        ----------
        retry_after : float
            Seconds until the next choice of an endpoint.
        """
        if attempt_id != self.attempt_id or self.phase is not Phase.RUNNING:
            return []
        self._failed_endpoints.clear()
        self.attempts -= 1
        if now + retry_after >= self.facts.choice_deadline:
            return self._fail(ErrorKind.NO_ENDPOINT, retry_after=retry_after)
        return self._retry_or_fail(now, retry_after, ErrorKind.NO_ENDPOINT)

    def postpone(self, attempt_id: str, now: float, delay: float) -> list[Action]:
        """Delay the current attempt, which was not sent, in favour of more urgent requests."""
        if attempt_id != self.attempt_id or self.phase is not Phase.RUNNING:
            return []
        self.attempts -= 1
        return self._retry_or_fail(now, delay, ErrorKind.OVERLOADED)

    def withdraw_attempt(self, attempt_id: str, now: float) -> list[Action]:
        """Start the current attempt again, which was withdrawn before any byte of it was sent."""
        if attempt_id != self.attempt_id or self.phase is not Phase.RUNNING:
            return []
        self.attempts -= 1
        self._update_ran(Executed.NO)
        if now >= self.facts.deadline:
            return self._fail(ErrorKind.DEADLINE_EXCEEDED)
        # What comes at the same time, such as the caller's leaving, is handled first.
        delay = REPEAT_BACKOFF.compute_delay(self._withdrawals, self._rng)
        self._withdrawals += 1
        return self._retry_or_fail(now, delay, ErrorKind.OVERLOADED)

    def record_progress(self, attempt_id: str) -> None:
        """Record that a part of the response was forwarded to the caller."""
        if attempt_id == self.attempt_id:
            self._ran = Executed.YES
            self._failures = 0

    def handle_attempt_failure(
        self,
        attempt_id: str,
        endpoint_id: str,
        executed: Executed,
        now: float,
        detail: str = "",
        sent: bool = True,
    ) -> list[Action]:
        """Retry after an attempt that ended without a response, or fail the request.

        Parameters
        ----------
        executed : Ran
            ``NO`` only with evidence: never connected, nothing written, or an explicit rejection.
        sent : bool
            False if no byte can have reached the endpoint; such an attempt does not count towards
            `max_attempts`.
        """
        if attempt_id != self.attempt_id or self.phase is not Phase.RUNNING:
            return []
        self._failures += 1
        is_repeated = endpoint_id in self._failed_endpoints
        self._failed_endpoints.add(endpoint_id)
        self._update_ran(executed)
        if now >= self.facts.deadline:
            return self._fail(ErrorKind.DEADLINE_EXCEEDED, detail)
        if not self.facts.repeatable and executed is not Executed.NO:
            return self._fail(ErrorKind.OUTCOME_UNKNOWN, detail)
        if self._failures >= MAX_FAILURES_WITHOUT_PROGRESS:
            # A request that was never executed may be sent again by its caller, elsewhere.
            not_executed = self.ran is Executed.NO
            kind = ErrorKind.NO_ENDPOINT if not_executed else ErrorKind.ENDPOINT_FAILED
            return self._fail(kind, detail, self._backoff.max_seconds)
        if not sent and self.facts.max_attempts is not None:
            self.attempts -= 1
            if is_repeated:
                return self._wait_for_endpoint(now)
            return self._retry_or_fail(now, 0.0, ErrorKind.ENDPOINT_FAILED)
        if self.facts.max_attempts is not None and self.attempts >= self.facts.max_attempts:
            return self._fail(self._exhausted_error_kind(), detail)
        delay = self._budget.reserve(now)
        if self._failures > 1:
            delay = max(delay, self._backoff.compute_delay(self._failures - 2, self._rng))
        return self._retry_or_fail(now, delay, ErrorKind.RETRY_BUDGET_EXHAUSTED)

    def find_retry_obstacle(self, now: float) -> RetryObstacle | None:
        """Return why an attempt that fails now might not be retried; None if it would."""
        limit = self.facts.max_attempts
        if not self.facts.repeatable:
            return RetryObstacle.NOT_REPEATABLE
        if limit is not None and self.attempts >= limit:
            return RetryObstacle.ATTEMPTS_USED_UP
        delay = self._backoff.compute_max_delay(self._failures - 1) if self._failures else 0.0
        is_late = now + delay >= self.facts.deadline
        if is_late or self._failures + 1 >= MAX_FAILURES_WITHOUT_PROGRESS:
            return RetryObstacle.TIME_USED_UP
        return None if self._budget.can_reserve(now) else RetryObstacle.BUDGET_USED_UP

    def _wait_for_endpoint(self, now: float) -> list[Action]:
        """Wait after an endpoint was not reached again, which is chosen if no other one is left."""
        delay = REPEAT_BACKOFF.compute_delay(self._repeats, self._rng)
        self._repeats += 1
        is_late = self._repeats > MAX_REPEATS and now + delay >= self.facts.choice_deadline
        if is_late and self.ran is Executed.NO:
            return self._fail(ErrorKind.NO_ENDPOINT, retry_after=delay)
        return self._retry_or_fail(now, delay, ErrorKind.ENDPOINT_FAILED)

    def _update_ran(self, executed: Executed) -> None:
        """Update whether the request ran; a rejected attempt says nothing about earlier ones."""
        if executed is Executed.NO and self._ran is not Executed.YES:
            self._ran = self._ran_before_attempt
        elif executed is not Executed.NO and self._ran is Executed.NO:
            self._ran = Executed.UNKNOWN
        # The attempt has ended, so that what was written of it says nothing more.
        self.attempt_id = None

    def _exhausted_error_kind(self) -> ErrorKind:
        """Return the error kind for a request that has reached its maximum number of attempts."""
        return ErrorKind.OVERLOADED if self.ran is Executed.NO else ErrorKind.ENDPOINT_FAILED

    def _retry_or_fail(self, now: float, delay: float, kind: ErrorKind) -> list[Action]:
        if now + delay >= self.facts.deadline:
            return self._fail(kind, retry_after=delay if delay < math.inf else None)
        self.phase = Phase.WAITING
        self.attempt_id = None
        self.assembler.set_owner(None)
        return [ScheduleRetry(delay)]

    def replace_attempt(self, attempt_id: str) -> list[Action]:
        """Cancel the current attempt and start another one, for a planned migration."""
        if attempt_id != self.attempt_id or self.phase is not Phase.RUNNING:
            return []
        actions = self._stop_attempt()
        self.phase = Phase.WAITING
        return [*actions, *self.start()]

    def fail(self, kind: ErrorKind, detail: str, retry_after: float | None = None) -> list[Action]:
        """Fail the request without further attempts."""
        if self.phase in (Phase.DONE, Phase.FROZEN):
            return []
        return self._stop_attempt() + self._fail(kind, detail, retry_after)

    def expire(self) -> list[Action]:
        """Fail the request because its deadline has passed."""
        if self.phase in (Phase.DONE, Phase.FROZEN):
            return []
        return self._stop_attempt() + self._fail(ErrorKind.DEADLINE_EXCEEDED)

    def end_without_answer(self) -> list[Action]:
        """End the request without an answer, such as after the caller has disconnected."""
        if self.phase in (Phase.DONE, Phase.FROZEN):
            return []
        actions = self._stop_attempt()
        self._finish()
        return actions

    def freeze(self) -> list[Action]:
        """Stop extending the answer permanently, before it is offered to another process."""
        if self.phase is Phase.DONE:
            return []
        actions = self._stop_attempt()
        self.phase = Phase.FROZEN
        self.assembler.freeze()
        return actions

    def _stop_attempt(self) -> list[Action]:
        self._ran = self.ran
        running = self.phase is Phase.RUNNING and self.attempt_id is not None
        return [CancelAttempt(self.attempt_id)] if running else []

    def _fail(
        self, kind: ErrorKind, detail: str = "", retry_after: float | None = None
    ) -> list[Action]:
        self._finish()
        return [Fail(kind, self.ran, detail, retry_after)]

    def _finish(self) -> None:
        self._ran = self.ran
        self.phase = Phase.DONE
        self.assembler.set_owner(None)
