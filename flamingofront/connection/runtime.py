"""Root component of a process: event loop, timer service, handling of unhandled exceptions."""

from collections.abc import Callable

from circuits import BaseComponent, handler

from flamingofront.connection.poller import DirectPoller
from flamingofront.process.timers import BootClock, Clock, TimerService

__all__ = ["Runtime"]


class Runtime(BaseComponent):
    """Root of the circuits components of a process.

    Parameters
    ----------
    on_fault : callable
        Called with each unhandled exception.
    on_stop_signal : callable, optional
        Called on SIGTERM and SIGINT; without it the process stops at once.
    clock : Clock, optional
        Clock of the timer service; `BootClock` by default.

    Attributes
    ----------
    stop_signal_at : float or None
        Time of the first SIGTERM or SIGINT; the event loop may notice it later.
    """

    channel = "runtime"

    def __init__(
        self,
        on_fault: Callable[[BaseException], None],
        on_stop_signal: Callable[[], None] | None = None,
        clock: Clock | None = None,
    ):
        super().__init__()
        self.timers = TimerService(clock or BootClock())
        self.stop_signal_at: float | None = None
        self._on_fault = on_fault
        self._on_stop_signal = on_stop_signal
        self.poller = DirectPoller(self.timers, on_fault).register(self)

    def _signal_handler(self, signo, stack) -> None:
        """Schedule the stop in the event loop and wake it, since a signal does not end its poll."""
        if self.stop_signal_at is None:
            self.stop_signal_at = self.timers.now()
        self.timers.once(0.0, self._on_stop_signal or self.stop)
        self.poller.resume()

    @handler("exception", channel="*")
    def _on_exception(self, error_type, value, traceback, handler=None, fevent=None) -> None:
        self._on_fault(value)
