"""Recording of a reload signal that arrives while the process starts.

SIGHUP ends a process that has no handler yet, and importing the program takes some tenths of a
second. The program imports this module first; it has a side effect on import.
"""

import contextlib
import signal

__all__ = ["was_reload_requested"]

_received: list[int] = []


def was_reload_requested() -> bool:
    """Return True if a reload was requested before the program installed its own handler."""
    return bool(_received)


def _record(signo: int, frame: object) -> None:
    _received.append(signo)


with contextlib.suppress(ValueError):  # only the main thread may set handlers
    signal.signal(signal.SIGHUP, _record)
