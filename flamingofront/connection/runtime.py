"""The circuits side of a process: event loop, timer service, fault handling."""

from collections.abc import Callable

from circuits import BaseComponent, handler

from flamingofront.connection.poller import DirectPoller
from flamingofront.process.timers import BootClock, Clock, TimerService

__all__ = ["Runtime"]


class Runtime(BaseComponent):
    """Root of the components of a process.

    Parameters
    ----------
    on_fault : callable
        Gets an exception that a handler did not catch.
    on_stop_signal : callable, optional
        Called on SIGTERM and SIGINT instead of stopping at once.
    clock : Clock, optional
        Source of time; `BootClock` if not given.
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
        self._on_fault = on_fault
        self._on_stop_signal = on_stop_signal
        self.poller = DirectPoller(self.timers, on_fault).register(self)

    def _signal_handler(self, signo, stack) -> None:
        """Begin to stop from within the event loop; a signal alone does not end its poll."""
        self.timers.once(0.0, self._on_stop_signal or self.stop)
        self.poller.resume()

    @handler("exception", channel="*")
    def _on_exception(self, error_type, value, traceback, handler=None, fevent=None) -> None:
        self._on_fault(value)
