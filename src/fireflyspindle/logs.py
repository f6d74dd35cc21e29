"""Logging as JSON lines."""

import json
import os
import sys
import time
from typing import TextIO

import logbook

# Limit on the log lines of one process. A line has about 1 kB, so a process
# writes about 100 kB/s at most.
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
    """Limits the rate of lines, and never blocks on the reader of the stream.

    Lines that exceed the limit or that the stream does not accept are dropped;
    the next line written reports their number.

    Attributes:
        dropped: Number of lines dropped so far.
    """

    def __init__(
        self,
        stream: TextIO,
        level: str = "INFO",
        lines_per_s: float = LINES_PER_S,
    ) -> None:
        super().__init__(stream, level)
        self.dropped = 0
        self._unreported_drops = 0
        self._lines_per_s = lines_per_s
        self._tokens = lines_per_s
        self._refilled_s = time.monotonic()
        self._partial_line = b""
        self._descriptor = stream.fileno()
        os.set_blocking(self._descriptor, False)

    def emit(self, record: logbook.LogRecord) -> None:
        """Writes a record, or drops it and counts it."""
        now_s = time.monotonic()
        refill = (now_s - self._refilled_s) * self._lines_per_s
        self._tokens = min(self._lines_per_s, self._tokens + refill)
        self._refilled_s = now_s
        if self._tokens < 1.0 or not self._flush_partial_line():
            self._drop()
            return
        self._tokens -= 1.0
        if self._unreported_drops:
            record.kwargs["lines_left_out"] = self._unreported_drops
            self._unreported_drops = 0
        data = self.format(record).encode() + b"\n"
        self._partial_line = data[self._write(data) :]
        if len(self._partial_line) == len(data):
            self._partial_line = b""
            self._drop()

    def _flush_partial_line(self) -> bool:
        """Writes the rest of a partial line; returns whether it is complete."""
        self._partial_line = self._partial_line[
            self._write(self._partial_line) :
        ]
        return not self._partial_line

    def _write(self, data: bytes) -> int:
        if not data:
            return 0
        try:
            return os.write(self._descriptor, data)
        except BlockingIOError:
            return 0
        except OSError:
            # The reader has closed the stream; the process continues.
            return 0

    def _drop(self) -> None:
        self.dropped += 1
        self._unreported_drops += 1


def enabled(level: str) -> bool:
    """Whether records of a level are written; cheap enough for every call."""
    return bool(logbook.lookup_level(level) >= logger.level)


def set_up(level: str) -> None:
    """Sends every log line at `level` or above to standard error."""
    logger.level = logbook.lookup_level(level)
    JsonLinesHandler(level=level).push_application()


def set_up_bounded(level: str, stream: TextIO) -> BoundedHandler:
    """Sends log lines at `level` or above to a stream, rate-limited."""
    logger.level = logbook.lookup_level(level)
    handler = BoundedHandler(stream, level)
    handler.push_application()
    return handler
