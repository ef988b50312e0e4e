"""State machine of one accepted request: attempts, retry, resume, final answer.

Facts go in as method calls, orders come out as messages. The machine holds no socket, clock or
random state of its own, so the same code runs in the daemon, under fuzzing and in the benchmarks.
"""

import itertools
import math
import random
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

__all__ = ["Action", "Phase", "RequestFacts", "RequestMachine"]

Action = StartAttempt | CancelAttempt | ScheduleRetry | Emit | Complete | Fail

MAX_FAILURES_WITHOUT_PROGRESS = 12
DEFAULT_BACKOFF = Backoff(0.05, 2.0)


class Phase(StrEnum):
    """Where a request stands."""

    WAITING = "waiting"
    RUNNING = "running"
    FROZEN = "frozen"
    DONE = "done"


@dataclass(frozen=True)
class RequestFacts:
    """What the machine must know about its request.

    Parameters
    ----------
    repeatable : bool
        False if the work may be executed at most once.
    deadline : float
        Time at which the caller no longer waits.
    max_attempts : int or None
        Endpoints that the request may be sent to; None if only the budget bounds them.
    choice_deadline : float
        Time after which a request is refused for which there is no endpoint.
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
        The request.
    budget : RetryBudget
        Shared by all requests of the service.
    tokens : tuple of str
        Text that is there already, after a hand-over.
    ran : Ran
        What is known about execution, after a hand-over.
    """

    def __init__(
        self,
        facts: RequestFacts,
        budget: RetryBudget,
        rng: random.Random,
        backoff: Backoff = DEFAULT_BACKOFF,
        tokens: tuple[str, ...] = (),
        ran: Executed = Executed.NO,
    ):
        self.facts = facts
        self.assembler = Assembler(facts.request_id, tokens)
        self.phase = Phase.WAITING
        self.ran = ran
        self.attempts = 0
        self.attempt_id: str | None = None
        self._budget = budget
        self._rng = rng
        self._backoff = backoff
        self._failures = 0
        self._ran_before_attempt = ran
        self._failed_endpoints: set[str] = set()
        self._ids = itertools.count(1)

    def start(self) -> list[Action]:
        """Begin the first attempt, or the next one when a scheduled retry is due."""
        if self.phase is not Phase.WAITING:
            return []
        self.attempts += 1
        self._ran_before_attempt = self.ran
        self.attempt_id = (
            f"{self.facts.request_id}.{next(self._ids)}.{self._rng.randrange(1 << 32):08x}"
        )
        self.phase = Phase.RUNNING
        self.assembler.assign(self.attempt_id)
        exclude = frozenset(self._failed_endpoints)
        return [StartAttempt(self.attempt_id, self.assembler.offset, exclude)]

    def wrote(self, attempt_id: str) -> None:
        """Note that bytes of an attempt may have reached its endpoint."""
        if attempt_id == self.attempt_id and self.ran is Executed.NO:
            self.ran = Executed.UNKNOWN

    def frame(self, frame: Frame) -> list[Action]:
        """Take tokens from an endpoint."""
        added = self.assembler.accept(frame)
        if self.phase is not Phase.RUNNING:
            return []
        actions: list[Action] = []
        if added:
            self.ran = Executed.YES
            self._failures = 0
            actions.append(Emit(self.assembler.offset - len(added), added))
        if self.assembler.complete:
            self.ran = Executed.YES
            self._end()
            actions.append(Complete(self.assembler.offset))
        return actions

    def answered(self, attempt_id: str) -> bool:
        """Take a whole answer of a plain service; False if it is not the current attempt's."""
        if self.phase is not Phase.RUNNING or attempt_id != self.attempt_id:
            return False
        self.ran = Executed.YES
        self._end()
        return True

    def no_endpoint(self, attempt_id: str, now: float, retry_after: float) -> list[Action]:
        """No endpoint could be chosen: wait if the caller does, else refuse."""
        if attempt_id != self.attempt_id or self.phase is not Phase.RUNNING:
            return []
        self._failed_endpoints.clear()
        self.attempts -= 1
        if now + retry_after >= self.facts.choice_deadline:
            return self._fail(ErrorKind.NO_ENDPOINT, retry_after=retry_after)
        return self._wait_or_fail(now, retry_after, ErrorKind.NO_ENDPOINT)

    def postponed(self, attempt_id: str, now: float, delay: float) -> list[Action]:
        """The attempt was not sent: other work goes first."""
        if attempt_id != self.attempt_id or self.phase is not Phase.RUNNING:
            return []
        self.attempts -= 1
        return self._wait_or_fail(now, delay, ErrorKind.OVERLOADED)

    def progressed(self, attempt_id: str) -> None:
        """Note that an endpoint has sent a part of the answer that was passed on."""
        if attempt_id == self.attempt_id:
            self.ran = Executed.YES
            self._failures = 0

    def lost(
        self,
        attempt_id: str,
        endpoint_id: str,
        executed: Executed,
        now: float,
        detail: str = "",
        sent: bool = True,
    ) -> list[Action]:
        """Take the loss of an attempt.

        Parameters
        ----------
        executed : Ran
            ``NO`` only with evidence: never connected, nothing written, or a documented refusal.
        sent : bool
            False if nothing can have arrived; such an attempt counts against no limit.
        """
        if attempt_id != self.attempt_id or self.phase is not Phase.RUNNING:
            return []
        self._failures += 1
        self._failed_endpoints.add(endpoint_id)
        self._settle_ran(executed)
        if now >= self.facts.deadline:
            return self._fail(ErrorKind.DEADLINE_EXCEEDED, detail)
        if not self.facts.repeatable and executed is not Executed.NO:
            return self._fail(ErrorKind.OUTCOME_UNKNOWN, detail)
        if self._failures >= MAX_FAILURES_WITHOUT_PROGRESS:
            return self._fail(ErrorKind.ENDPOINT_FAILED, detail, self._backoff.max_seconds)
        if not sent and self.facts.max_attempts is not None:
            self.attempts -= 1
            return self._wait_or_fail(now, 0.0, ErrorKind.ENDPOINT_FAILED)
        if self.facts.max_attempts is not None and self.attempts >= self.facts.max_attempts:
            return self._fail(self._last_kind(), detail)
        delay = self._budget.reserve(now)
        if self._failures > 1:
            delay = max(delay, self._backoff.compute_delay(self._failures - 2, self._rng))
        return self._wait_or_fail(now, delay, ErrorKind.RETRY_BUDGET_EXHAUSTED)

    def _settle_ran(self, executed: Executed) -> None:
        """Keep the strongest evidence; a refused attempt proves nothing about earlier ones."""
        if executed is Executed.NO and self.ran is not Executed.YES:
            self.ran = self._ran_before_attempt
        elif executed is not Executed.NO and self.ran is Executed.NO:
            self.ran = Executed.UNKNOWN

    def _last_kind(self) -> ErrorKind:
        """Return the error of a request whose attempts are used up."""
        return ErrorKind.OVERLOADED if self.ran is Executed.NO else ErrorKind.ENDPOINT_FAILED

    def _wait_or_fail(self, now: float, delay: float, kind: ErrorKind) -> list[Action]:
        if now + delay >= self.facts.deadline:
            return self._fail(kind, retry_after=delay if delay < math.inf else None)
        self.phase = Phase.WAITING
        self.attempt_id = None
        self.assembler.assign(None)
        return [ScheduleRetry(delay)]

    def replace(self, attempt_id: str) -> list[Action]:
        """Stop the current attempt in favour of a new one elsewhere (planned migration)."""
        if attempt_id != self.attempt_id or self.phase is not Phase.RUNNING:
            return []
        self.phase = Phase.WAITING
        return [CancelAttempt(attempt_id), *self.start()]

    def give_up(
        self, kind: ErrorKind, detail: str, retry_after: float | None = None
    ) -> list[Action]:
        """End the request with an error: no further attempt may be made."""
        if self.phase in (Phase.DONE, Phase.FROZEN):
            return []
        return self._stop_attempt() + self._fail(kind, detail, retry_after)

    def deadline(self) -> list[Action]:
        """Give up because the caller's time is over."""
        if self.phase in (Phase.DONE, Phase.FROZEN):
            return []
        return self._stop_attempt() + self._fail(ErrorKind.DEADLINE_EXCEEDED)

    def caller_gone(self) -> list[Action]:
        """Give up because nobody waits for the answer."""
        if self.phase in (Phase.DONE, Phase.FROZEN):
            return []
        actions = self._stop_attempt()
        self._end()
        return actions

    def freeze(self) -> list[Action]:
        """Stop the text for good, before its record is offered to another process."""
        if self.phase is Phase.DONE:
            return []
        actions = self._stop_attempt()
        self.phase = Phase.FROZEN
        self.assembler.freeze()
        return actions

    def _stop_attempt(self) -> list[Action]:
        running = self.phase is Phase.RUNNING and self.attempt_id is not None
        return [CancelAttempt(self.attempt_id)] if running else []

    def _fail(
        self, kind: ErrorKind, detail: str = "", retry_after: float | None = None
    ) -> list[Action]:
        self._end()
        return [Fail(kind, self.ran, detail, retry_after)]

    def _end(self) -> None:
        self.phase = Phase.DONE
        self.assembler.assign(None)
