"""Check that the active configuration is the newest, by its staleness and by polling the store."""

from collections.abc import Callable

from flamingofront.errors import PlatformError
from flamingofront.process.forwarding.knowledge import StoreView
from flamingofront.process.logs import Log
from flamingofront.process.tasks import Task, TaskRunner
from flamingofront.process.timers import Timer, TimerService
from flamingofront.request.unknown_gate import ConfigFreshness

__all__ = ["FreshnessCheck"]

# A configuration confirmed this recently counts as current: a third of the time in which a change
# has to be active everywhere.
MAX_CURRENT_AGE_SECONDS = 1.0
# Limit on the time that a request waits for a poll.
MAX_WAIT_SECONDS = 0.25
# Pause after a poll that the store did not answer.
FAILED_POLL_PAUSE_SECONDS = 0.5


class FreshnessCheck(ConfigFreshness):
    """Polls the store before a request is rejected because of a possibly outdated configuration.

    All waiting requests share one poll, which limits a process to one poll per second.
    """

    def __init__(self, store_view: StoreView, tasks: TaskRunner, timers: TimerService, log: Log):
        self._store_view = store_view
        self._tasks = tasks
        self._timers = timers
        self._log = log
        self._waiting: list[Callable[[bool], None]] = []
        self._is_polling = False
        self._timer: Timer | None = None
        self._next_poll_at = timers.now()

    def is_current(self) -> bool:
        """Return True if the active configuration was recently confirmed to be the newest."""
        age = self._store_view.configuration_age()
        is_missing = self._store_view.configuration_lag() is not None
        return not is_missing and age is not None and age <= MAX_CURRENT_AGE_SECONDS

    def verify(self, then: Callable[[bool], None]) -> None:
        """Poll the store, and call `then` with the result of `is_current`.

        `then` gets the present result if the poll takes too long, and False at once during the
        pause after a failed poll.
        """
        if self._timers.now() < self._next_poll_at:
            then(False)
            return
        self._waiting.append(then)
        if len(self._waiting) == 1:
            self._timer = self._timers.once(MAX_WAIT_SECONDS, self._answer_waiting)
        if not self._is_polling:
            self._is_polling = True
            self._tasks.start(self._poll_store(), self._end_poll)

    def _poll_store(self) -> Task:
        age = self._store_view.configuration_age()
        try:
            yield from self._store_view.refresh_configuration()
        except PlatformError as exc:
            self._next_poll_at = self._timers.now() + FAILED_POLL_PAUSE_SECONDS
            self._log.info("configuration not confirmed", age=age, detail=str(exc))
        else:
            version = self._store_view.configuration.version
            self._log.info("configuration confirmed", age=age, version=version)

    def _end_poll(self, result: object) -> None:
        self._is_polling = False
        self._answer_waiting()

    def _answer_waiting(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        waiting, self._waiting = self._waiting, []
        outcome = self.is_current()
        for each in waiting:
            each(outcome)
