"""What the parts of one process share, whatever they do."""

import random
from dataclasses import dataclass

from flamingofront.process.logs import Log
from flamingofront.process.metrics import Metrics
from flamingofront.process.tasks import TaskRunner
from flamingofront.process.timers import TimerService

__all__ = ["Services"]


@dataclass(frozen=True)
class Services:
    """Time, tasks, chance, metrics and the log of a process."""

    tasks: TaskRunner
    timers: TimerService
    rng: random.Random
    metrics: Metrics
    log: Log
