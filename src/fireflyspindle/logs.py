"""Logs as JSON lines."""

import json
import os
import sys
import time
from typing import TextIO

import logbook

# Lines a second that one process writes at the most. A line has about 1 kB, so
# that a process writes 100 kB a second at its worst.
LINES_PER_S = 100.0

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


class BoundedHandler(JsonLinesHandler):
    """Writes at most so many lines a second, and never waits for a reader.

    Lines beyond the limits, or that the reader of the output does not take,
    are counted; the next line that is written tells how many were left out.

    Attributes:
        dropped: Lines that were left out so far.
    """

    def __init__(
        self,
        stream: TextIO,
        level: str = "INFO",
        lines_per_s: float = LINES_PER_S,
    ) -> None:
        super().__init__(stream, level)
        self.dropped = 0
        self._untold = 0
        self._lines_per_s = lines_per_s
        self._tokens = lines_per_s
        self._filled_s = time.monotonic()
        self._rest = b""
        self._descriptor = stream.fileno()
        os.set_blocking(self._descriptor, False)

    def emit(self, record: logbook.LogRecord) -> None:
        """Writes a record, or counts it as left out."""
        now_s = time.monotonic()
        earned = (now_s - self._filled_s) * self._lines_per_s
        self._tokens = min(self._lines_per_s, self._tokens + earned)
        self._filled_s = now_s
        if self._tokens < 1.0 or not self._flush_rest():
            self._drop()
            return
        self._tokens -= 1.0
        if self._untold:
            record.kwargs["lines_left_out"] = self._untold
            self._untold = 0
        data = self.format(record).encode() + b"\n"
        self._rest = data[self._write(data) :]
        if len(self._rest) == len(data):
            self._rest = b""
            self._drop()

    def _flush_rest(self) -> bool:
        """Writes what is left of a line; returns whether nothing is left."""
        self._rest = self._rest[self._write(self._rest) :]
        return not self._rest

    def _write(self, data: bytes) -> int:
        if not data:
            return 0
        try:
            return os.write(self._descriptor, data)
        except BlockingIOError:
            return 0
        except OSError:
            # The reader has gone for good; the process goes on without it.
            return 0

    def _drop(self) -> None:
        self.dropped += 1
        self._untold += 1


def enabled(level: str) -> bool:
    """Whether records of a level are written; cheap enough for each call."""
    return bool(logbook.lookup_level(level) >= logger.level)


def set_up(level: str) -> None:
    """Sends every log line at `level` or above to standard error."""
    logger.level = logbook.lookup_level(level)
    JsonLinesHandler(level=level).push_application()


def set_up_bounded(level: str, stream: TextIO) -> BoundedHandler:
    """Sends log lines at `level` or above to a stream, within bounds."""
    logger.level = logbook.lookup_level(level)
    handler = BoundedHandler(stream, level)
    handler.push_application()
    return handler
