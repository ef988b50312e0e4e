"""Logs as JSON lines, through logbook."""

import sys
from typing import Any, TextIO

import logbook
import orjson

__all__ = ["JsonLinesHandler", "Log", "set_up_logs"]


class JsonLinesHandler(logbook.StreamHandler):
    """Write each record as one JSON object on one line."""

    def format(self, record: logbook.LogRecord) -> str:
        """Return the line for a record."""
        line: dict[str, Any] = {
            "time": record.time.isoformat(timespec="milliseconds") + "Z",
            "level": record.level_name.lower(),
            "part": record.channel,
            "event": record.message,
        }
        line.update(record.kwargs)
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
