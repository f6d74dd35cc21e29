"""Reads of the platform's store that have to bring data in time.

A read that brings nothing for a while counts as failed, so that the next one
soon notices when the store is back. It is not cancelled: a store or a link that
needs longer than the limit would otherwise never be read. Such late reads are
kept until one is answered or a newer read has succeeded.
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
# Delay of a timer from which this host counts as having stood still. The time
# limits of its reads then passed while it could not receive what had arrived.
STANDSTILL_S = 0.5
# Time in which a host that stood still receives what has arrived meanwhile. It
# takes a few milliseconds; callers are held for 150 ms at most.
RESUME_LIMIT_S = 0.1
# Time without data after which a late read is given up for a newer one, and its
# multiple for the whole response. It doubles each time, so that any store is
# read in the end.
FIRST_LATE_LIMIT_S = 5.0
LATE_RECEIVE_FACTOR = 4
# Most late reads of a topic.
MAX_LATE = 2
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
        lists_over_new_connection: Whether it reads the newest record of every
            key after a read over a new connection.
        outcome: Its outcome; None until then.
        task: The task that reads.
    """

    progress: read_progress.Progress
    on_late: Callable[[Outcome], None]
    lists_over_new_connection: bool = False
    outcome: Outcome | None = None
    task: asyncio.Task[None] | None = None

    def is_given_up(self, limit_s: float) -> bool:
        """Whether it has been without data, or in progress, for too long."""
        return (
            self.progress.silent_s() >= limit_s
            or self.progress.elapsed_s() >= LATE_RECEIVE_FACTOR * limit_s
        )

    def cancel(self) -> None:
        """Ends the read."""
        if self.task is not None:
            self.task.cancel()


class TimedReads:
    """Reads topics of the store and keeps late reads.

    Args:
        shell: Shell that runs the reads.
        client: Client of the store.
    """

    def __init__(
        self, shell: data_path.Shell, client: store_client.StoreClient
    ) -> None:
        self._shell = shell
        self._client = client
        self._late: dict[str, list[_Read]] = {}
        self._late_limits_s: dict[str, float] = {}

    async def read(
        self,
        topic: str,
        from_offset: int | None,
        first_offset: int = 0,
        wait_ms: int = 0,
        on_late: Callable[[Outcome], None] = lambda outcome: None,
        lists_over_new_connection: bool = False,
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
            lists_over_new_connection: Whether to read the newest record of
                every key if the read was made over a new connection. Over one
                that was open before, the same process of the store answers.
        """
        read = _Read(
            read_progress.Progress(), on_late, lists_over_new_connection
        )
        task = self._shell.spawn(
            self._complete(read, topic, from_offset, first_offset, wait_ms)
        )
        read.task = task
        left_s = wait_ms / 1000 + RESPONSE_TIMEOUT_S
        try:
            while not task.done() and left_s > TIMER_RESOLUTION_S:
                stood_still = await _wait(task, left_s)
                left_s = _time_left_s(read.progress, wait_ms / 1000)
                if stood_still:
                    left_s = max(left_s, RESUME_LIMIT_S)
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
        outcome = await self._client.read(
            topic, from_offset, first_offset, wait_ms, read.progress
        )
        if (
            read.lists_over_new_connection
            and read.progress.opened_connection
            and isinstance(outcome, store_records.Batch)
            and not outcome.is_snapshot
        ):
            outcome = await self._list_after(outcome, topic, read)
        read.outcome = outcome
        late = self._late.get(topic, [])
        if read not in late:
            return
        late.remove(read)
        if not isinstance(read.outcome, store_records.ReadFailed):
            self._drop(topic)
            self._late_limits_s[topic] = max(
                FIRST_LATE_LIMIT_S, 2 * read.progress.elapsed_s()
            )
            read.on_late(read.outcome)

    async def _list_after(
        self, preceding: store_records.Batch, topic: str, read: _Read
    ) -> Outcome:
        listing = await self._client.read(topic, None, 0, 0, read.progress)
        if isinstance(listing, store_records.Batch):
            return attrs.evolve(listing, preceding=preceding)
        return listing

    def _keep(self, topic: str, read: _Read) -> None:
        """Keeps a late read, or cancels it if older ones are to be kept.

        The first one of a topic has a limit that doubles. The second one has
        always the shortest, so that a read without an answer does not keep the
        place of others for long.
        """
        assert read.task is not None
        late = self._late.setdefault(topic, [])
        limit_s = self._late_limits_s.get(topic, FIRST_LATE_LIMIT_S)
        if late and late[0].is_given_up(limit_s):
            late.pop(0).cancel()
            self._late_limits_s[topic] = 2 * limit_s
        if len(late) == MAX_LATE and late[-1].is_given_up(FIRST_LATE_LIMIT_S):
            late.pop().cancel()
        if len(late) == MAX_LATE:
            read.cancel()
        elif not read.task.done():
            late.append(read)

    def _drop(self, topic: str) -> None:
        for read in self._late.pop(topic, []):
            read.cancel()


async def _wait(task: asyncio.Task[None], limit_s: float) -> bool:
    """Waits for a task; returns whether this host stood still meanwhile."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + limit_s
    await asyncio.wait([task], timeout=limit_s)
    return loop.time() >= end_s + STANDSTILL_S


def _time_left_s(progress: read_progress.Progress, wait_s: float) -> float:
    """Returns the time until a read fails unless more data arrives."""
    return min(
        max(wait_s - progress.elapsed_s(), -progress.silent_s())
        + RESPONSE_TIMEOUT_S,
        wait_s + RECEIVE_TIMEOUT_S - progress.elapsed_s(),
    )
