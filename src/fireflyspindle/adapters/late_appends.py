"""Appends that go on after their outcome was reported as unknown.

A log may drop an append whose connection closes. If each one were given up at
the same limit, a log that needs longer would never carry out any.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any, Generic, TypeVar

# Most appends that go on. After an outage of the log they all reach it at once.
MAX_LATE_APPENDS = 2

_Outcome = TypeVar("_Outcome")


class LateAppends(Generic[_Outcome]):
    """Waits for appends, and lets late ones go on."""

    def __init__(self) -> None:
        self._late: set[asyncio.Task[_Outcome]] = set()

    async def wait(
        self,
        append: Coroutine[Any, Any, _Outcome],
        timeout_s: float,
        unknown: _Outcome,
    ) -> _Outcome:
        """Returns the outcome of an append, or `unknown` after a time-out.

        The append has to end by itself; at most `MAX_LATE_APPENDS` go on.
        """
        task = asyncio.get_running_loop().create_task(append)
        try:
            await asyncio.wait([task], timeout=timeout_s)
        except asyncio.CancelledError:
            task.cancel()
            raise
        if task.done():
            return task.result()
        if len(self._late) < MAX_LATE_APPENDS:
            self._late.add(task)
            task.add_done_callback(self._late.discard)
        else:
            task.cancel()
        return unknown

    def close(self) -> None:
        """Ends all appends."""
        for task in self._late:
            task.cancel()
