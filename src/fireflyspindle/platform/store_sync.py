"""Reads the platform's store, directly or through another gate host.

Also writes the records that the gate hosts keep in it.
"""

import asyncio
import time

import aiohttp
import attrs

from fireflyspindle import logs
from fireflyspindle.adapters import data_path
from fireflyspindle.adapters import feed_lines
from fireflyspindle.adapters import store_feed
from fireflyspindle.adapters import store_feed_client
from fireflyspindle.adapters import store_records
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import store_state
from fireflyspindle.platform import crash_records
from fireflyspindle.platform import store_client
from fireflyspindle.platform import store_decoder
from fireflyspindle.platform import timed_reads

# Topic of each source in the platform's store.
TOPIC_BY_SOURCE = {
    store_state.Source.CONFIGURATION: "keyed.op",
    store_state.Source.TARGETS: "keyed.servers",
    store_state.Source.CRASHES: crash_records.TOPIC,
}


class StoreSync:
    """Executes the effects that read the store or follow a reader.

    Args:
        shell: Shell that the events are submitted to.
        store_address: Address of the store, "ip:port".
        failure_domain: Failure domain of this host.
        control_address: Address at which other hosts follow this one.
        relay_address: Address at which this host takes calls of other gate
            hosts; empty if it takes none.
        link_mbps: Rate of this host's link, in Mbit/s.

    Attributes:
        feed: Relays the reads of this host to the hosts that follow it.
        decoder: Decodes records into events.
    """

    def __init__(
        self,
        shell: data_path.Shell,
        store_address: str,
        failure_domain: str,
        control_address: str,
        relay_address: str = "",
        link_mbps: float = store_feed.DEFAULT_LINK_MBPS,
    ) -> None:
        sources = tuple(source.value for source in store_state.Source)
        self.feed = store_feed.Feed(
            failure_domain, sources, shell.now_us, relay_address, link_mbps
        )
        self.decoder = store_decoder.Decoder()
        self._shell = shell
        self._control_address = control_address
        self._store = store_client.StoreClient(store_address)
        self._timed_reads = timed_reads.TimedReads(shell, self._store)
        helper = None
        if relay_address:
            helper = events.HelperAddress(relay_address, failure_domain)
        self._relay_address = relay_address
        self._feed_client = store_feed_client.FeedClient(shell.now_us, helper)
        self._read_tasks: dict[str, asyncio.Task[None]] = {}
        self._follow_task: asyncio.Task[None] | None = None

    def execute_effect(
        self,
        effect: effects.ReadStore
        | effects.CancelStoreRead
        | effects.FollowReader
        | effects.StopFollowing
        | effects.CountHosts
        | effects.ReportHosts
        | effects.ListHelpers
        | effects.AppendCrashes,
    ) -> None:
        """Executes one effect."""
        match effect:
            case effects.ReadStore(source):
                self._cancel_read(source)
                self._read_tasks[source] = self._shell.spawn(self._read(effect))
            case effects.CancelStoreRead(source):
                self._cancel_read(source)
            case effects.FollowReader():
                self._cancel_follow()
                self._follow_task = self._shell.spawn(
                    self._follow_reader(effect)
                )
            case effects.StopFollowing():
                self._cancel_follow()
            case effects.CountHosts(readers):
                self._shell.spawn(self._count_hosts(readers))
            case effects.ReportHosts(hosts):
                self.feed.gate_hosts = hosts
            case effects.ListHelpers():
                self._shell.spawn(self._list_helpers(effect))
            case effects.AppendCrashes():
                self._shell.spawn(self._append_crashes(effect))

    async def close(self) -> None:
        """Closes every connection to the store and to readers."""
        await self._feed_client.close()
        await self._store.close()

    def _cancel_read(self, source: str) -> None:
        task = self._read_tasks.pop(source, None)
        if task is not None:
            task.cancel()

    def _cancel_follow(self) -> None:
        if self._follow_task is not None:
            self._follow_task.cancel()
            self._follow_task = None

    async def _read(self, effect: effects.ReadStore) -> None:
        await asyncio.sleep(effect.delay_us / 1e6)
        self._shell.metrics.event_counts["store_read"] += 1
        started_us = self._shell.now_us()
        outcome = await self._timed_reads.read(
            TOPIC_BY_SOURCE[store_state.Source(effect.source)],
            effect.from_offset,
            effect.first_offset,
            effect.wait_ms,
            lambda late: self._on_late_read(effect, late, started_us),
            effect.lists_over_new_connection,
        )
        # The read has ended, so `CancelStoreRead` has nothing left to cancel.
        self._read_tasks.pop(effect.source, None)
        try:
            self._on_read(effect, outcome, started_us)
        except Exception as error:
            logs.logger.error(
                f"a read of {effect.source} was not handled: {error!r}",
                code="read_unhandled",
            )
            reason = f"not handled: {error!r}"
            failure = store_records.ReadFailed(reason, is_answered=True)
            source = store_state.Source(effect.source)
            self._shell.submit(self._decode(source, failure, None))

    def _on_late_read(
        self,
        effect: effects.ReadStore,
        outcome: timed_reads.Outcome,
        started_us: int,
    ) -> None:
        """Handles a read that has succeeded after it was given up."""
        self._shell.metrics.event_counts["store_read_late"] += 1
        elapsed_ms = (self._shell.now_us() - started_us) // 1000
        logs.logger.info(
            f"{effect.source}: the store answered a read after {elapsed_ms} ms",
            code="store_slow",
        )
        self._on_read(effect, outcome, started_us, is_late=True)

    def _on_read(
        self,
        effect: effects.ReadStore,
        outcome: timed_reads.Outcome,
        started_us: int,
        is_late: bool = False,
    ) -> None:
        now_us = self._shell.now_us()
        latest = self.feed.latest(effect.source)
        if latest.is_outdated(started_us):
            # A reader has relayed the records of another log meanwhile.
            if is_late:
                return
            reason = "another log was read meanwhile"
            outcome = store_records.ReadFailed(reason, is_answered=True)
        if isinstance(outcome, store_records.HistoryDropped):
            self._shell.submit(
                events.StoreHistoryDropped(
                    now_us, effect.source, outcome.first_offset
                )
            )
            return
        if isinstance(outcome, store_records.Batch) and outcome.is_snapshot:
            outcome = _select_batch(_mark_reset(latest, outcome, started_us))
        delay_us = max(0, now_us - started_us - effect.wait_ms * 1000)
        self.feed.record_read(
            effect.source,
            outcome,
            delay_us=0 if is_late else delay_us,
            late_us=delay_us if is_late else 0,
            taken_us=now_us - started_us,
        )
        source = store_state.Source(effect.source)
        late_start_us = started_us if is_late else None
        self._shell.submit(self._decode(source, outcome, None, late_start_us))

    async def _follow_reader(self, effect: effects.FollowReader) -> None:
        reason = "the stream ended"
        try:
            async for item in self._feed_client.follow(
                effect.address,
                effect.from_offsets,
                effect.unlimited_size,
                effect.is_reader,
            ):
                self._on_stream_item(effect, item)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            reason = f"{type(error).__name__}: {error}"
        self._shell.submit(
            events.ReaderDisconnected(
                self._shell.now_us(), effect.stream, reason
            )
        )

    def _on_stream_item(
        self,
        followed: effects.FollowReader,
        item: feed_lines.StreamStarted | feed_lines.RelayedOutcome,
    ) -> None:
        stream = followed.stream
        if item.gate_hosts is not None:
            self._shell.submit(
                events.HostsReported(
                    self._shell.now_us(), stream, item.gate_hosts
                )
            )
        match item:
            case feed_lines.StreamStarted(failure_domain):
                self._shell.submit(
                    events.ReaderConnected(
                        self._shell.now_us(), stream, failure_domain
                    )
                )
            case feed_lines.RelayedOutcome():
                self._on_relayed(followed, item)

    def _on_relayed(
        self, followed: effects.FollowReader, item: feed_lines.RelayedOutcome
    ) -> None:
        source = store_state.Source(item.source)
        outcome = item.outcome
        relayed = events.RelayedRead(
            followed.stream,
            item.age_ms * 1000,
            delay_us=item.delay_ms * 1000,
        )
        taken_us = 0
        if isinstance(outcome, store_records.Batch):
            latest = self.feed.latest(item.source)
            if item.taken_ms is None:
                longest_wait_us = followed.longest_waits_us.get(item.source, 0)
                taken_us = longest_wait_us + relayed.delay_us
            else:
                taken_us = item.taken_ms * 1000
            started_us = self._shell.now_us() - relayed.age_us - taken_us
            if latest.is_outdated(started_us):
                return
            differs = False
            if outcome.is_snapshot:
                outcome = _mark_reset(latest, outcome, started_us)
            else:
                differs = latest.differs_from_reader(
                    outcome, item.digest, started_us
                )
            relayed = attrs.evolve(
                relayed, from_offset=outcome.from_offset, differs=differs
            )
        if followed.relays and item.own:
            self.feed.record_read(
                item.source,
                outcome,
                relayed.age_us,
                own=False,
                delay_us=relayed.delay_us,
                taken_us=taken_us,
            )
        elif isinstance(outcome, store_records.Batch):
            self.feed.add_records(item.source, outcome)
        self._shell.submit(self._decode(source, outcome, relayed))

    async def _count_hosts(self, readers: tuple[str, ...]) -> None:
        counts = await asyncio.gather(
            *map(self._feed_client.count_hosts, readers)
        )
        hosts_by_reader = dict(zip(readers, counts, strict=True))
        hosts_by_reader[self._control_address] = self.feed.count_hosts()
        self._shell.submit(
            events.HostsCounted(self._shell.now_us(), hosts_by_reader)
        )

    async def _list_helpers(self, effect: effects.ListHelpers) -> None:
        """Submits the helpers that each reader lists, as soon as it does."""
        cut_off = self._relay_address if effect.cut_off else ""
        found = set(self.feed.list_helpers(cut_off))
        requests = [
            self._feed_client.list_helpers(reader, effect.cut_off)
            for reader in effect.readers
        ]
        answered = not requests
        for request in asyncio.as_completed(requests):
            helpers = await request
            if helpers is not None:
                answered = True
                found.update(helpers)
                self._submit_helpers(found, complete=False)
        if answered:
            self._submit_helpers(found, complete=True)

    async def _append_crashes(self, effect: effects.AppendCrashes) -> None:
        wall_ms = time.time_ns() // 1_000_000
        records = {
            crash_records.encode_key(key): crash_records.encode_value(
                record, wall_ms
            )
            if record is not None
            else None
            for key, record in effect.records.items()
        }
        self._shell.metrics.event_counts["store_append"] += 1
        error = await self._store.append(crash_records.TOPIC, records)
        self._shell.submit(
            events.CrashesAppended(
                self._shell.now_us(), effect.append_id, error
            )
        )

    def _submit_helpers(
        self, found: set[events.HelperAddress], *, complete: bool
    ) -> None:
        self._shell.submit(
            events.HelpersListed(self._shell.now_us(), tuple(found), complete)
        )

    def _decode(
        self,
        source: store_state.Source,
        outcome: store_records.Batch | store_records.ReadFailed,
        relayed: events.RelayedRead | None,
        late_start_us: int | None = None,
    ) -> events.Event:
        now_us = self._shell.now_us()
        return self.decoder.decode_outcome(
            now_us, source, outcome, relayed, late_start_us
        )


def _mark_reset(
    latest: store_records.LatestRecords,
    snapshot: store_records.Batch,
    started_us: int,
) -> store_records.Batch:
    """Marks a snapshot of another log than that of the records held."""
    if latest.diverges_from(snapshot, started_us):
        return attrs.evolve(
            snapshot, resets_position=True, started_us=started_us
        )
    return snapshot


def _select_batch(listing: store_records.Batch) -> store_records.Batch:
    """Returns a listing, or the read before it that covers more records.

    The position of a listing is behind deletions, and behind records on later
    pages.
    """
    preceding = listing.preceding
    if preceding is None or listing.resets_position:
        return listing
    if listing.next_offset >= preceding.next_offset:
        return listing
    return preceding
