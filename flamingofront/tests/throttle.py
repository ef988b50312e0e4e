"""Runs processes at a fraction of the machine's strength, as on a small VM."""

import signal
import subprocess
import threading
import time
from collections.abc import Callable, Iterable

__all__ = ["Throttle"]

SLICE_SECONDS = 0.02


class Throttle:
    """Stops processes for a part of each slice of time.

    Parameters
    ----------
    list_processes : callable
        Returns the processes.
    pause : float
        Fraction of the time for which they are stopped; with 0 they are left alone.
    """

    def __init__(self, list_processes: Callable[[], Iterable[subprocess.Popen]], pause: float):
        self._list_processes = list_processes
        self._pause = pause
        self._is_over = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> "Throttle":
        self.start()
        return self

    def __exit__(self, *exc: object) -> None:
        self.stop()

    def start(self) -> None:
        """Begin to stop the processes."""
        if self._pause:
            self._thread.start()

    def stop(self) -> None:
        """Let the processes run."""
        self._is_over.set()
        if self._thread.is_alive():
            self._thread.join()

    def _run(self) -> None:
        while not self._is_over.is_set():
            self._signal(signal.SIGSTOP)
            time.sleep(SLICE_SECONDS * self._pause)
            self._signal(signal.SIGCONT)
            time.sleep(SLICE_SECONDS * (1 - self._pause))

    def _signal(self, signum: signal.Signals) -> None:
        for each in list(self._list_processes()):
            if each.poll() is None:
                each.send_signal(signum)
