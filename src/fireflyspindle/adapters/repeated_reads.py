"""Reads that are repeated while an earlier try is still unanswered.

A lost connection is noticed after one interval, and a response that takes
longer than that still counts, because the try that has waited longest is kept.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

from fireflyspindle.adapters import read_progress
from fireflyspindle.core import effects

# Tries in progress at the same time.
MAX_TRIES = 2
# Time after which the oldest of them is given up at first, in intervals between
# tries.
OLDEST_TRY_INTERVALS = 4

_Result = TypeVar("_Result")


async def first_answer(
    attempt: Callable[[read_progress.Progress], Awaitable[_Result | None]],
    limits: effects.ReadLimits,
    on_unanswered: Callable[[], None] = lambda: None,
) -> _Result | None:
    """Returns the first result of repeated tries; None on failure.

    It fails when a try fails and no other is in progress, or when none has
    received anything for the time limit.

    Args:
        attempt: Makes one try; returns None on failure.
        limits: When to repeat, and when to give up.
        on_unanswered: Called whenever a try is repeated for lack of data.
    """
    tries = _Tries(attempt, limits)
    try:
        tries.start()
        while True:
            outcome = await tries.wait()
            if outcome is not None or not tries.in_progress:
                return outcome
            now_s = asyncio.get_running_loop().time()
            if now_s >= tries.end_s():
                return None
            if now_s >= tries.repeat_s():
                on_unanswered()
                tries.start()
    finally:
        tries.cancel()


class _Tries(Generic[_Result]):
    """The tries of one read.

    Attributes:
        in_progress: Tries that have not ended, and their progress.
    """

    def __init__(
        self,
        attempt: Callable[[read_progress.Progress], Awaitable[_Result | None]],
        limits: effects.ReadLimits,
    ) -> None:
        self.in_progress: dict[
            asyncio.Task[_Result | None], read_progress.Progress
        ] = {}
        self._attempt = attempt
        self._limits = limits
        self._loop = asyncio.get_running_loop()
        self._started_s = self._loop.time()
        self._failed_s: float | None = None
        self._oldest_limit_s = (
            OLDEST_TRY_INTERVALS * limits.repeat_after_us / 1e6
        )

    def start(self) -> None:
        """Starts a try, in place of another if there are too many."""
        if len(self.in_progress) >= MAX_TRIES:
            given_up = self._least_promising()
            del self.in_progress[given_up]
            given_up.cancel()
        progress = read_progress.Progress()
        task = self._loop.create_task(self._run(progress))
        self.in_progress[task] = progress
        self._failed_s = None

    def _least_promising(self) -> asyncio.Task[_Result | None]:
        """Returns the try that has received least and waited least.

        The oldest one has its limit in time, which doubles, so that it does not
        take the place of newer ones for good.
        """
        oldest, progress = min(
            self.in_progress.items(), key=lambda item: item[1].started_s
        )
        if progress.elapsed_s() >= self._oldest_limit_s:
            self._oldest_limit_s *= 2
            return oldest
        return min(
            self.in_progress.items(),
            key=lambda item: (item[1].received_bytes, -item[1].started_s),
        )[0]

    async def _run(self, progress: read_progress.Progress) -> _Result | None:
        return await self._attempt(progress)

    async def wait(self) -> _Result | None:
        """Waits until a try ends or another may be due; returns a result."""
        due_s = min(self.repeat_s(), self.end_s())
        done, _ = await asyncio.wait(
            self.in_progress,
            timeout=max(0.0, due_s - self._loop.time()),
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in done:
            del self.in_progress[task]
            outcome = task.result()
            if outcome is not None:
                return outcome
            self._failed_s = self._loop.time()
        return None

    def repeat_s(self) -> float:
        """Returns when to start another try.

        Data puts it off, but not for ever: a response may trickle.
        """
        if self._failed_s is not None:
            return self._failed_s + self._limits.retry_after_us / 1e6
        newest_s = max(each.started_s for each in self.in_progress.values())
        latest_s = self._started_s + self._limits.limit_us / 1e6
        quiet_s = max(newest_s, min(self._received_s(), latest_s))
        return quiet_s + self._limits.repeat_after_us / 1e6

    def end_s(self) -> float:
        """Returns when to give up unless data arrives."""
        quiet_s = max(self._started_s, self._received_s())
        return quiet_s + self._limits.limit_us / 1e6

    def _received_s(self) -> float:
        return max(
            each.received_s if each.received_bytes else self._started_s
            for each in self.in_progress.values()
        )

    def cancel(self) -> None:
        """Cancels the tries that have not ended."""
        for task in self.in_progress:
            task.cancel()
