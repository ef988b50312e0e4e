"""Whether the configuration in force is the newest, by the age of that knowledge and by a look."""

from collections.abc import Callable

from flamingofront.errors import PlatformError
from flamingofront.process.forwarding.knowledge import StoreView
from flamingofront.process.logs import Log
from flamingofront.process.tasks import Task, TaskRunner
from flamingofront.process.timers import Timer, TimerService
from flamingofront.request.unknown_gate import ConfigFreshness

__all__ = ["FreshnessCheck"]

# Younger knowledge counts as current: a third of the time in which a change has to be in force.
CURRENT_SECONDS = 1.0
# Longest time for which a request waits for the look.
LONGEST_WAIT_SECONDS = 0.25
# After a look that the store did not answer the next one is as long in coming.
FAILED_PAUSE_SECONDS = 0.5


class FreshnessCheck(ConfigFreshness):
    """Asks the store for a newer configuration when the knowledge here is too old to refuse by.

    All requests that wait share one look, so that a process makes one a second at most.
    """

    def __init__(self, knowledge: StoreView, tasks: TaskRunner, timers: TimerService, log: Log):
        self._store_view = knowledge
        self._tasks = tasks
        self._timers = timers
        self._log = log
        self._waiting: list[Callable[[bool], None]] = []
        self._is_asking = False
        self._timer: Timer | None = None
        self._next_poll_at = timers.now()

    def is_current(self) -> bool:
        """Tell whether the configuration in force is known to be the newest."""
        age = self._store_view.configuration_age()
        is_missing = self._store_view.configuration_missing_for() is not None
        return not is_missing and age is not None and age <= CURRENT_SECONDS

    def verify(self, then: Callable[[bool], None]) -> None:
        """Have `then` told whether it is, after a look at the store."""
        if self._timers.now() < self._next_poll_at:
            then(False)
            return
        self._waiting.append(then)
        if len(self._waiting) == 1:
            self._timer = self._timers.once(LONGEST_WAIT_SECONDS, self._tell)
        if not self._is_asking:
            self._is_asking = True
            self._tasks.start(self._look(), self._looked)

    def _look(self) -> Task:
        age = self._store_view.configuration_age()
        try:
            yield from self._store_view.look_at_configuration()
        except PlatformError as exc:
            self._next_poll_at = self._timers.now() + FAILED_PAUSE_SECONDS
            self._log.info("configuration not confirmed", age=age, detail=str(exc))
        else:
            version = self._store_view.configuration.version
            self._log.info("configuration confirmed", age=age, version=version)

    def _looked(self, result: object) -> None:
        self._is_asking = False
        self._tell()

    def _tell(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        waiting, self._waiting = self._waiting, []
        outcome = self.is_current()
        for each in waiting:
            each(outcome)
