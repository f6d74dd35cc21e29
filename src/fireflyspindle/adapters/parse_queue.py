"""Turns in which the bytes of many connections are parsed.

Chunks of a few bytes, and heads of short lines, take thousands of steps for the
bytes of one read. A connection with more of them than a few waits in a queue,
so that other connections are served in between.
"""

import asyncio
import collections
from collections.abc import Callable
import sys

import attrs

# Steps in which a read is parsed at once: enough for an ordinary request.
IMMEDIATE_STEPS = 64
QUEUED_STEPS = 256
# Steps that a request takes, and lines of a head that count as one step.
REQUEST_STEPS = 40
LINES_PER_STEP = 8
# Time in which queued connections are parsed before the event loop serves all
# others.
SLICE_S = 0.002


@attrs.define
class Turn:
    """Steps that a connection may take before others have their turn.

    A step is a chunk or a few lines of a head; a request takes more of them.

    Attributes:
        steps_left: Steps that are left.
        may_overrun: Whether the last step may be a head of any size, which
            can't be divided.
    """

    steps_left: int = sys.maxsize
    may_overrun: bool = True

    def takes(self, steps: int) -> bool:
        """Counts steps that can't be divided, if they belong to this turn."""
        if self.steps_left <= 0:
            return False
        if steps > self.steps_left and not self.may_overrun:
            self.steps_left = 0
            return False
        self.steps_left -= steps
        return True


def immediate_turn() -> Turn:
    """Returns the turn in which received bytes are parsed at once."""
    return Turn(IMMEDIATE_STEPS, may_overrun=False)


def head_steps(head: bytes) -> int:
    """Returns the steps that a head, or trailers, take."""
    return REQUEST_STEPS + head.count(b"\n") // LINES_PER_STEP


class ParseQueue:
    """Gives queued connections turns of the same size, one after the other."""

    def __init__(self) -> None:
        self._waiting: collections.deque[Callable[[Turn], None]] = (
            collections.deque()
        )
        self._scheduled = False

    def add(self, parse: Callable[[Turn], None]) -> None:
        """Queues a connection for a turn.

        Args:
            parse: Parses bytes of the connection.
        """
        self._waiting.append(parse)
        self._schedule()

    def _schedule(self) -> None:
        if self._waiting and not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self._scheduled = False
        loop = asyncio.get_running_loop()
        end_s = loop.time() + SLICE_S
        try:
            while self._waiting:
                parse = self._waiting.popleft()
                parse(Turn(QUEUED_STEPS))
                if loop.time() >= end_s:
                    return
        finally:
            self._schedule()
