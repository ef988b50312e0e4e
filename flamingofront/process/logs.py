"""Logs as JSON lines, through logbook."""

import os
import sys
import time
from collections.abc import Callable
from typing import Any, TextIO

import logbook
import orjson

__all__ = ["RESERVED_FIELDS", "JsonLinesHandler", "Log", "NonBlockingStream", "set_up_logs"]

# Lines a second beyond which further ones are counted and dropped: several times the requests that
# one entry VM answers in a second at its peak.
MAX_LINES_PER_SECOND = 400
MAX_BUFFERED_BYTES = 256 * 1024
# Fields that each line sets itself. One of an event that overwrote the severity hid a refusal from
# everybody who filters by it.
RESERVED_FIELDS = frozenset({"time", "level", "part", "event", "exception"})


class NonBlockingStream:
    """Text stream on a file descriptor that drops lines rather than wait.

    A reader that does not keep up must not hold up requests, so what it has not taken is held up to
    a bound, and beyond it lines are dropped. Their number is told in the next line that passes.

    Parameters
    ----------
    fileno : int
        Descriptor, for example of standard output.
    """

    encoding = "utf-8"

    def __init__(self, fileno: int, clock: Callable[[], float] = time.monotonic):
        os.set_blocking(fileno, False)
        self._fileno = fileno
        self._clock = clock
        self._held = b""
        self._second = 0
        self._lines = 0
        self.dropped = 0

    def write(self, text: str) -> None:
        """Write a line now, hold it, or drop it."""
        if not self._admit():
            self.dropped += 1
            return
        if self.dropped:
            note = {"event": "log lines dropped", "count": self.dropped}
            self._held += orjson.dumps(note) + b"\n"
            self.dropped = 0
        self._held += text.encode()
        self.flush()

    def _admit(self) -> bool:
        second = int(self._clock())
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        return self._lines <= MAX_LINES_PER_SECOND and len(self._held) < MAX_BUFFERED_BYTES

    def flush(self) -> None:
        """Give the descriptor as much as it takes at once."""
        try:
            self._held = self._held[os.write(self._fileno, self._held) :]
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more; the process goes on without its log.
            self._held = b""


class JsonLinesHandler(logbook.StreamHandler):
    """Write each record as one JSON object on one line.

    Notes
    -----
    A field with a reserved name gets an underscore behind it; the test suite refuses such a field.
    """

    def format(self, record: logbook.LogRecord) -> str:
        """Return the line for a record."""
        line: dict[str, Any] = {
            "time": record.time.isoformat(timespec="milliseconds") + "Z",
            "level": record.level_name.lower(),
            "part": record.channel,
            "event": record.message,
        }
        for name, value in record.kwargs.items():
            line[f"{name}_" if name in RESERVED_FIELDS else name] = value
        if record.exc_info:
            line["exception"] = record.formatted_exception
        return orjson.dumps(line, default=str).decode()


class Log:
    """Logger with fixed fields.

    Parameters
    ----------
    part : str
        Part of the program.
    fields
        Fields of each line, for example the VM and the zone.
    """

    def __init__(self, part: str, **fields: Any):
        self._logger = logbook.Logger(part)
        self._fields = fields

    def bind(self, **fields: Any) -> "Log":
        """Return a logger with further fixed fields."""
        bound = Log(self._logger.name)
        bound._fields = {**self._fields, **fields}
        return bound

    def debug(self, event: str, **fields: Any) -> None:
        """Log details of normal work."""
        self._logger.debug(event, **{**self._fields, **fields})

    def info(self, event: str, **fields: Any) -> None:
        """Log normal work."""
        self._logger.info(event, **{**self._fields, **fields})

    def warning(self, event: str, **fields: Any) -> None:
        """Log something that was handled but should be known."""
        self._logger.warning(event, **{**self._fields, **fields})

    def error(self, event: str, exc: BaseException | None = None, **fields: Any) -> None:
        """Log a fault of the program, with its traceback."""
        exc_info = (type(exc), exc, exc.__traceback__) if exc is not None else None
        self._logger.error(event, exc_info=exc_info, **{**self._fields, **fields})


def set_up_logs(level: str, stream: TextIO = sys.stderr) -> None:
    """Send all logs of the process to `stream`."""
    handler = JsonLinesHandler(stream, level=level.upper())
    handler.push_application()
