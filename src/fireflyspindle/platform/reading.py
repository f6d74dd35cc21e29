"""Reads of the platform's store, made here or by another gate host."""

import asyncio

import aiohttp

from fireflyspindle.adapters import data_path
from fireflyspindle.adapters import store_feed
from fireflyspindle.adapters import store_records
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import store_state
from fireflyspindle.platform import decoding
from fireflyspindle.platform import store as store_lib

# The platform's names of what is read.
TOPICS = {
    store_state.Source.CONFIGURATION: "keyed.op",
    store_state.Source.TARGETS: "keyed.servers",
}


class Reading:
    """Carries out the effects on the store and on readers.

    Args:
        shell: The shell, which takes the events.
        store_address: Address of the store, "ip:port".
        failure_domain: Failure domain of this host.

    Attributes:
        feed: What this host reads, for the hosts that follow it.
        decoder: Makes events of records.
    """

    def __init__(
        self, shell: data_path.Shell, store_address: str, failure_domain: str
    ) -> None:
        sources = tuple(source.value for source in store_state.Source)
        self.feed = store_feed.Feed(failure_domain, sources, shell.now_us)
        self.decoder = decoding.Decoder()
        self._shell = shell
        self._store = store_lib.StoreClient(store_address)
        self._feed_client = store_feed.FeedClient()
        self._reads: dict[str, asyncio.Task[None]] = {}
        self._follow: asyncio.Task[None] | None = None

    def carry_out(
        self,
        effect: effects.ReadStore
        | effects.StopReading
        | effects.FollowReader
        | effects.StopFollowing,
    ) -> None:
        """Carries out one effect."""
        match effect:
            case effects.ReadStore(source):
                self._end_read(source)
                self._reads[source] = self._shell.spawn(self._read(effect))
            case effects.StopReading(source):
                self._end_read(source)
            case effects.FollowReader():
                self._end_follow()
                self._follow = self._shell.spawn(self._follow_reader(effect))
            case effects.StopFollowing():
                self._end_follow()

    async def close(self) -> None:
        """Closes every connection to the store and to readers."""
        await self._feed_client.close()
        await self._store.close()

    def _end_read(self, source: str) -> None:
        former = self._reads.pop(source, None)
        if former is not None:
            former.cancel()

    def _end_follow(self) -> None:
        if self._follow is not None:
            self._follow.cancel()
            self._follow = None

    async def _read(self, effect: effects.ReadStore) -> None:
        await asyncio.sleep(effect.delay_us / 1e6)
        source = store_state.Source(effect.source)
        self._shell.metrics.counts["store_read"] += 1
        found = await self._store.read(
            TOPICS[source],
            effect.from_offset,
            effect.first_offset,
            effect.wait_ms,
        )
        # From here on there is nothing to give up.
        self._reads.pop(effect.source, None)
        if isinstance(found, store_records.Dropped):
            self._shell.submit(
                events.StoreHistoryDropped(
                    self._shell.now_us(), effect.source, found.first_offset
                )
            )
            return
        self.feed.take(effect.source, found)
        self._shell.submit(self._event(source, found, None))

    async def _follow_reader(self, effect: effects.FollowReader) -> None:
        why = "it ended its answer"
        try:
            async for told in self._feed_client.follow(
                effect.address, effect.from_offsets, effect.unlimited
            ):
                self._on_told(effect, told)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            why = f"{type(error).__name__}: {error}"
        self._shell.submit(
            events.ReaderLost(self._shell.now_us(), effect.stream, why)
        )

    def _on_told(
        self,
        followed: effects.FollowReader,
        told: store_feed.Met | store_feed.Told,
    ) -> None:
        stream = followed.stream
        match told:
            case store_feed.Met(failure_domain):
                self._shell.submit(
                    events.ReaderMet(
                        self._shell.now_us(), stream, failure_domain
                    )
                )
            case store_feed.Told(name, age_ms, outcome, own):
                from_offset = 0
                if isinstance(outcome, store_records.Batch):
                    from_offset = outcome.from_offset
                passed_on = events.PassedOn(stream, age_ms * 1000, from_offset)
                source = store_state.Source(name)
                if followed.passes_on and own:
                    self.feed.take(name, outcome, passed_on.age_us, own=False)
                elif isinstance(outcome, store_records.Batch):
                    self.feed.merge(name, outcome)
                self._shell.submit(self._event(source, outcome, passed_on))

    def _event(
        self,
        source: store_state.Source,
        found: store_records.Batch | store_records.Failed,
        passed_on: events.PassedOn | None,
    ) -> events.Event:
        now_us = self._shell.now_us()
        return self.decoder.event(now_us, source, found, passed_on)
