"""Reads of the platform's store that have to bring data in time.

A read that brings nothing for a while counts as failed, so that the next one
soon notices when the store is back. It is not cancelled: a store or a link that
needs longer than the limit would otherwise never be read. One such late read of
each topic is kept until it is answered or a newer read has succeeded.
"""

import asyncio
from collections.abc import Callable

import attrs

from fireflyspindle.adapters import data_path
from fireflyspindle.adapters import read_progress
from fireflyspindle.adapters import store_records
from fireflyspindle.platform import store_client

# Time without data after which a read counts as failed, beyond the wait of a
# long poll. A slow store takes 0.4 s. All bounds must hold again 3 s after the
# store has recovered (`contact-ms`), and a pause of up to 1.75 s follows a
# read that timed out.
RESPONSE_TIMEOUT_S = 1.2
# The same for the whole response. A connection on which data trickles must not
# hold up the reads over others.
RECEIVE_TIMEOUT_S = 2.4
# Time without data after which a late read is given up for a newer one, and its
# multiple for the whole response. It doubles each time, so that any store is
# read in the end.
FIRST_LATE_LIMIT_S = 5.0
LATE_RECEIVE_FACTOR = 4
# Shortest time that is waited for.
TIMER_RESOLUTION_S = 0.001

Outcome = (
    store_records.Batch
    | store_records.HistoryDropped
    | store_records.ReadFailed
)


@attrs.define(eq=False)
class _Read:
    """A read in progress.

    Attributes:
        progress: What it has received.
        on_late: Called with the outcome if it succeeds late.
        outcome: Its outcome; None until then.
        task: The task that reads.
    """

    progress: read_progress.Progress
    on_late: Callable[[Outcome], None]
    outcome: Outcome | None = None
    task: asyncio.Task[None] | None = None


class TimedReads:
    """Reads topics of the store and keeps a late read of each.

    Args:
        shell: Shell that runs the reads.
        client: Client of the store.
    """

    def __init__(
        self, shell: data_path.Shell, client: store_client.StoreClient
    ) -> None:
        self._shell = shell
        self._client = client
        self._late: dict[str, _Read] = {}
        self._late_limits_s: dict[str, float] = {}

    async def read(
        self,
        topic: str,
        from_offset: int | None,
        first_offset: int = 0,
        wait_ms: int = 0,
        on_late: Callable[[Outcome], None] = lambda outcome: None,
    ) -> Outcome:
        """Reads as `StoreClient.read` does, but fails without data in time.

        Args:
            topic: Name of a keyed topic.
            from_offset: First offset to read, or None.
            first_offset: Offset of the oldest record that the store is known
                to hold.
            wait_ms: Longest time for which the store waits for a record.
            on_late: Called with the outcome if the read succeeds after it has
                failed here, unless a newer one did before.
        """
        read = _Read(read_progress.Progress(), on_late)
        task = self._shell.spawn(
            self._complete(read, topic, from_offset, first_offset, wait_ms)
        )
        read.task = task
        left_s = wait_ms / 1000 + RESPONSE_TIMEOUT_S
        try:
            while not task.done() and left_s > TIMER_RESOLUTION_S:
                await asyncio.wait([task], timeout=left_s)
                left_s = _time_left_s(read.progress, wait_ms / 1000)
        except asyncio.CancelledError:
            task.cancel()
            raise
        if read.outcome is None:
            self._keep(topic, read)
            return store_records.ReadFailed(read.progress.describe_timeout())
        if not isinstance(read.outcome, store_records.ReadFailed):
            self._drop(topic)
            self._late_limits_s.pop(topic, None)
        return read.outcome

    async def _complete(
        self,
        read: _Read,
        topic: str,
        from_offset: int | None,
        first_offset: int,
        wait_ms: int,
    ) -> None:
        read.outcome = await self._client.read(
            topic, from_offset, first_offset, wait_ms, read.progress
        )
        if self._late.get(topic) is not read:
            return
        del self._late[topic]
        if not isinstance(read.outcome, store_records.ReadFailed):
            read.on_late(read.outcome)

    def _keep(self, topic: str, read: _Read) -> None:
        """Keeps a late read, or cancels it if an older one is to be kept."""
        assert read.task is not None
        older = self._late.get(topic)
        if older is not None:
            limit_s = self._late_limits_s.get(topic, FIRST_LATE_LIMIT_S)
            if (
                older.progress.silent_s() < limit_s
                and older.progress.elapsed_s() < LATE_RECEIVE_FACTOR * limit_s
            ):
                read.task.cancel()
                return
            self._drop(topic)
            self._late_limits_s[topic] = 2 * limit_s
        if not read.task.done():
            self._late[topic] = read

    def _drop(self, topic: str) -> None:
        late = self._late.pop(topic, None)
        if late is not None and late.task is not None:
            late.task.cancel()


def _time_left_s(progress: read_progress.Progress, wait_s: float) -> float:
    """Returns the time until a read fails unless more data arrives."""
    return min(
        max(wait_s - progress.elapsed_s(), -progress.silent_s())
        + RESPONSE_TIMEOUT_S,
        wait_s + RECEIVE_TIMEOUT_S - progress.elapsed_s(),
    )
