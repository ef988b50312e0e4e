"""Structured logging as JSON lines, based on logbook."""

import os
import sys
import time
from collections.abc import Callable
from typing import Any, TextIO

import logbook
import orjson

__all__ = ["RESERVED_FIELDS", "JsonLinesHandler", "Log", "NonBlockingStream", "set_up_logs"]

# Further lines within a second are counted and dropped. The limit is several times the peak request
# rate of one entry VM.
MAX_LINES_PER_SECOND = 400
MAX_BUFFERED_BYTES = 256 * 1024
# Fields that the handler sets in each line. An event field that overwrote the severity hid a
# rejection from operators who filter by it.
RESERVED_FIELDS = frozenset({"time", "level", "part", "event", "exception"})


class NonBlockingStream:
    """Text stream on a file descriptor that drops lines instead of blocking.

    A slow reader must not delay requests, so unread output is buffered up to a limit, and lines
    beyond it are dropped. The next line written is preceded by one with their number.

    Parameters
    ----------
    fileno : int
        File descriptor, for example of standard output.
    clock : callable
        Returns seconds, for the limit on lines per second.

    Attributes
    ----------
    dropped : int
        Lines dropped since the last one was accepted.
    """

    encoding = "utf-8"

    def __init__(self, fileno: int, clock: Callable[[], float] = time.monotonic):
        os.set_blocking(fileno, False)
        self._fileno = fileno
        self._clock = clock
        self._buffer = b""
        self._current_second = 0
        self._lines_this_second = 0
        self.dropped = 0

    def write(self, text: str) -> None:
        """Write a line, buffer it, or drop it if a limit is exceeded."""
        if not self._admit():
            self.dropped += 1
            return
        if self.dropped:
            notice = {"event": "log lines dropped", "count": self.dropped}
            self._buffer += orjson.dumps(notice) + b"\n"
            self.dropped = 0
        self._buffer += text.encode()
        self.flush()

    def _admit(self) -> bool:
        current_second = int(self._clock())
        if current_second != self._current_second:
            self._current_second, self._lines_this_second = current_second, 0
        self._lines_this_second += 1
        return (
            self._lines_this_second <= MAX_LINES_PER_SECOND
            and len(self._buffer) < MAX_BUFFERED_BYTES
        )

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts without blocking."""
        try:
            self._buffer = self._buffer[os.write(self._fileno, self._buffer) :]
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone; the process continues without a log.
            self._buffer = b""


class JsonLinesHandler(logbook.StreamHandler):
    """Log handler that writes each record as a JSON object on one line.

    Notes
    -----
    An underscore is appended to a field with a reserved name; the test suite fails on such a field.
    """

    def format(self, record: logbook.LogRecord) -> str:
        """Return the JSON line for a record."""
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
    """Logger that adds fixed fields to each line.

    Parameters
    ----------
    part : str
        Name of the program component, the field ``part`` of each line.
    fields
        Fixed fields, for example the VM and the zone.
    """

    def __init__(self, part: str, **fields: Any):
        self._logger = logbook.Logger(part)
        self._fields = fields

    def bind(self, **fields: Any) -> "Log":
        """Return a logger with additional fixed fields."""
        bound = Log(self._logger.name)
        bound._fields = {**self._fields, **fields}
        return bound

    def debug(self, event: str, **fields: Any) -> None:
        """Log a detail of normal operation."""
        self._logger.debug(event, **{**self._fields, **fields})

    def info(self, event: str, **fields: Any) -> None:
        """Log an event of normal operation."""
        self._logger.info(event, **{**self._fields, **fields})

    def warning(self, event: str, **fields: Any) -> None:
        """Log a handled problem that operators should know of."""
        self._logger.warning(event, **{**self._fields, **fields})

    def error(self, event: str, exc: BaseException | None = None, **fields: Any) -> None:
        """Log an error, with the traceback of `exc` if given."""
        exc_info = (type(exc), exc, exc.__traceback__) if exc is not None else None
        self._logger.error(event, exc_info=exc_info, **{**self._fields, **fields})


def set_up_logs(level: str, stream: TextIO = sys.stderr) -> None:
    """Write log records of at least `level` to `stream` as JSON lines."""
    handler = JsonLinesHandler(stream, level=level.upper())
    handler.push_application()
