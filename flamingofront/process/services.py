"""Services that all components of one process use."""

import random
from dataclasses import dataclass

from flamingofront.process.logs import Log
from flamingofront.process.metrics import Metrics
from flamingofront.process.tasks import TaskRunner
from flamingofront.process.timers import TimerService

__all__ = ["Services"]


@dataclass(frozen=True)
class Services:
    """Task runner, timers, random numbers, metrics and log of one process."""

    tasks: TaskRunner
    timers: TimerService
    rng: random.Random
    metrics: Metrics
    log: Log
