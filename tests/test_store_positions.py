"""Positions in the store's log, which hold for one run of it only."""

import asyncio
import types

import attrs
import pytest
import pytest_asyncio

from fireflyspindle import testing
from fireflyspindle.adapters import feed_lines
from fireflyspindle.adapters import store_feed
from fireflyspindle.adapters import store_records
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import store_reads
from fireflyspindle.core import store_state
from fireflyspindle.platform import store_client
from fireflyspindle.platform import timed_reads
import published_driver as published_host

TOPIC = "keyed.servers"
SOURCE = "targets"
READ_US = 1_000
LATER_US = 2_000


def record(key, offset, value=b"value"):
    """Returns a record."""
    return store_records.Record(key, value, offset)


def snapshot(*records, next_offset, end_offset=None):
    """Returns a listing of a topic."""
    return store_records.Batch(
        list(records), next_offset, is_snapshot=True, end_offset=end_offset
    )


def increment(*records, from_offset, next_offset):
    """Returns a read from an offset."""
    return store_records.Batch(list(records), next_offset, False, from_offset)


def held(*records, next_offset):
    """Returns records that were read at `READ_US`."""
    latest = store_records.LatestRecords()
    latest.apply(snapshot(*records, next_offset=next_offset), READ_US)
    return latest


HELD = (record("a", 1), record("b", 3))


# Guards against an offset that is believed though it is that of another record.
@pytest.mark.parametrize(
    "listing",
    [
        pytest.param(
            snapshot(*HELD, next_offset=4, end_offset=3), id="end below"
        ),
        pytest.param(
            snapshot(
                record("a", 1),
                record("b", 3, b"x"),
                next_offset=4,
                end_offset=4,
            ),
            id="other value",
        ),
        pytest.param(
            snapshot(record("a", 1), record("c", 3), next_offset=4),
            id="other key with the same value",
        ),
        pytest.param(
            snapshot(
                record("a", 1), record("c", 3), record("b", 2), next_offset=4
            ),
            id="key that was not there",
        ),
        pytest.param(
            snapshot(record("a", 1), next_offset=2, end_offset=4),
            id="key that is gone without a deletion",
        ),
        pytest.param(
            snapshot(
                record("a", 0), record("b", 1), record("c", 9), next_offset=10
            ),
            id="renumbered, end above",
        ),
    ],
)
def test_listing_of_another_log_is_recognised(listing):
    latest = held(*HELD, next_offset=4)
    assert latest.diverges_from(listing, LATER_US)
    # A listing that was read before decides nothing.
    assert not latest.diverges_from(listing, READ_US)


# Guards against a reset that is undone by a listing of the previous log, where
# the new one ends at the same offset.
def test_listing_that_started_before_a_reset_ended_decides_nothing():
    latest = held(*HELD, next_offset=4)
    other = snapshot(record("c", 3), next_offset=4)
    reset = attrs.evolve(other, resets_position=True, started_us=LATER_US)
    latest.apply(reset, LATER_US + 2)
    previous = snapshot(*HELD, next_offset=4)
    assert not latest.diverges_from(previous, LATER_US + 1)


# Guards against all records being sent again after each listing.
@pytest.mark.parametrize(
    "listing",
    [
        pytest.param(
            snapshot(*HELD, next_offset=4, end_offset=4), id="the same"
        ),
        pytest.param(
            snapshot(record("a", 1), record("b", 5), next_offset=6), id="newer"
        ),
        pytest.param(
            snapshot(record("a", 1), next_offset=2, end_offset=5), id="deleted"
        ),
        pytest.param(
            snapshot(record("a", 1), record("b", 3, b""), next_offset=4),
            id="value that can't be read",
        ),
    ],
)
def test_listing_of_the_same_log_keeps_the_position(listing):
    assert not held(*HELD, next_offset=4).diverges_from(listing, LATER_US)


def test_listing_that_ends_before_deletions_keeps_the_position():
    latest = held(*HELD, next_offset=4)
    latest.apply(
        increment(record("b", 4, None), from_offset=4, next_offset=5), READ_US
    )
    listing = snapshot(record("a", 1), next_offset=2, end_offset=5)
    assert not latest.diverges_from(listing, LATER_US)
    latest.apply(listing, LATER_US)
    # Followers that are behind still receive the deletion.
    assert latest.since(4).records == [record("b", 4, None)]


def test_digest_depends_on_the_records_and_not_on_how_they_were_read():
    latest = held(record("a", 1), record("b", 2), next_offset=3)
    latest.apply(
        increment(
            record("b", 3), record("a", 4, None), from_offset=3, next_offset=5
        )
    )
    assert latest.digest == held(record("b", 3), next_offset=5).digest
    assert latest.digest != held(record("b", 2), next_offset=5).digest
    assert latest.digest != held(record("b", 3, b"x"), next_offset=5).digest


# Guards against an odd line that ends the stream, since its digest fails.
@pytest.mark.parametrize("offset", [-1, 1 << 64])
def test_record_with_an_odd_offset_has_a_digest(offset):
    assert held(record("a", offset), next_offset=1).digest


# Guards against a follower that waits at an offset of an earlier log.
@pytest.mark.parametrize("next_offset", [2, 4])
def test_follower_differs_from_a_reader_that_has_read_later(next_offset):
    latest = held(*HELD, next_offset=4)
    line = increment(from_offset=next_offset, next_offset=next_offset)
    assert latest.differs_from_reader(line, 1, LATER_US)
    assert not latest.differs_from_reader(line, 1, READ_US)
    assert not latest.differs_from_reader(line, latest.digest, LATER_US)


def test_follower_of_a_reader_of_an_older_build_compares_offsets_only():
    latest = held(*HELD, next_offset=4)
    same = increment(from_offset=4, next_offset=4)
    assert not latest.differs_from_reader(same, None, LATER_US)


@pytest_asyncio.fixture
async def reads():
    """Reads of a stand-in store, and its address after each start."""
    stand_in = testing.StandInStore()
    server = testing.Server(stand_in.application())
    address = await server.start()
    client = store_client.StoreClient(address)
    shell = types.SimpleNamespace(spawn=asyncio.create_task)
    yield types.SimpleNamespace(
        store=stand_in, reads=timed_reads.TimedReads(shell, client)
    )
    await client.close()
    await server.close()


# Guards against a store that starts anew between two reads, so that none fails.
async def test_read_over_a_new_connection_lists_the_source(reads):
    reads.store.write(TOPIC, "i-1", b"one")
    listed = await reads.reads.read(TOPIC, 1, lists_over_new_connection=True)
    assert listed.is_snapshot
    again = await reads.reads.read(TOPIC, 1, lists_over_new_connection=True)
    assert again == increment(from_offset=1, next_offset=1)
    paths = [path for path, _ in reads.store.reads]
    assert paths == ["/log-read", "/log-newest", "/log-read"]


async def test_stream_sends_all_records_after_a_reset():
    now_us = 5_000_000
    feed = store_feed.Feed("a", (SOURCE,), lambda: now_us)
    feed.record_read(SOURCE, snapshot(record("a", 7), next_offset=8))
    reset = attrs.evolve(
        snapshot(record("b", 0), next_offset=1),
        resets_position=True,
        started_us=now_us,
    )
    app_lines = []

    class Response:
        async def write(self, line):
            app_lines.append(feed_lines.decode_line(line))

    stream = types.SimpleNamespace(
        sources={SOURCE}, unlimited=False, deflate=False
    )
    writing = asyncio.create_task(
        feed._write_lines(Response(), {SOURCE: 8}, stream)
    )
    await asyncio.sleep(0)
    feed.record_read(SOURCE, reset, taken_us=4_000)
    await asyncio.sleep(0)
    feed.close()
    await writing
    last = app_lines[-1]
    assert last.outcome == snapshot(record("b", 0), next_offset=1)
    assert last.digest == feed.latest(SOURCE).digest
    assert last.taken_ms == 4


def listing_reads(host, source):
    """Returns the reads of a source that were started, as listings or not."""
    return [
        effect.from_offset is None
        for effect in host.effects
        if isinstance(effect, effects.ReadStore)
        and effect.source == source.value
    ]


# Guards against a proxy before the store, which hides that it started anew.
def test_host_that_relies_on_its_own_reads_lists_the_source_again():
    host = published_host.PublishedHost()
    source = store_state.Source.CONFIGURATION
    host.effects.clear()
    spent_us = 0
    while spent_us < store_reads.LISTING_INTERVAL_US + 1_000_000:
        host.now_us += 500_000
        spent_us += 500_000
        is_listing = (listing_reads(host, source) or [True])[-1]
        host.feed(
            events.ConfigurationRead,
            published_host.document() if is_listing else None,
            1,
            is_snapshot=is_listing,
        )
    listings = listing_reads(host, source)
    assert sum(listings) in (1, 2)
    assert len(listings) > 10


def test_entry_that_is_listed_again_does_not_start_slowly_again():
    host = published_host.PublishedHost()
    cold = published_host.entry(1, warmup_left_ms=1_000)
    for _ in range(2):
        host.now_us += 2_000_000
        host.feed(events.TargetsRead, [cold], [], True, 2)
    target = host.state.registered_targets["i-1"]
    assert target.warmup_until_us < host.now_us


# Guards against a version that is replaced by an older one of a store that
# lost the newest.
def test_older_version_of_another_log_does_not_replace_a_newer_one():
    host = published_host.PublishedHost()
    newer = published_host.document(version=5)
    older = published_host.document(version=4)
    host.feed(events.ConfigurationRead, newer, 9)
    host.feed(
        events.ConfigurationRead,
        older,
        2,
        is_snapshot=True,
        resets_position=True,
    )
    assert host.state.rule_table.version == 5
    reads = host.state.store_reads[store_state.Source.CONFIGURATION]
    assert reads.next_offset == 2
    lines = [
        effect.code
        for effect in host.effects
        if isinstance(effect, effects.WriteLogLine)
    ]
    assert "store_log_reset" in lines
    assert "configuration_older" in lines
