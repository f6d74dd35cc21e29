"""Logs as JSON lines."""

import json
import sys
from typing import TextIO

import logbook

logger = logbook.Logger("fireflyspindle", level=logbook.INFO)


class JsonLinesHandler(logbook.StreamHandler):
    """Writes each record as one JSON object on a line."""

    def __init__(
        self, stream: TextIO | None = None, level: str = "INFO"
    ) -> None:
        super().__init__(stream or sys.stderr, level=level)

    def format(self, record: logbook.LogRecord) -> str:
        """Returns the record as JSON text."""
        line = {
            "time": record.time.isoformat(timespec="milliseconds"),
            "level": record.level_name.lower(),
            "message": record.message,
        }
        line.update(record.kwargs)
        line.update(record.extra)
        return json.dumps(line, default=str)


def enabled(level: str) -> bool:
    """Whether records of a level are written; cheap enough for each call."""
    return bool(logbook.lookup_level(level) >= logger.level)


def set_up(level: str, stream: TextIO | None = None) -> None:
    """Sends every log line at `level` or above to a stream.

    Args:
        level: Name of the least level that is written.
        stream: Where the lines go; standard error if there is none.
    """
    logger.level = logbook.lookup_level(level)
    JsonLinesHandler(stream, level=level).push_application()
