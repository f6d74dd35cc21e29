"""Relaying one gate host's reads of the store to its followers."""

import asyncio
import base64
import json
import random
import string
import types
from unittest import mock
import zlib

import aiohttp
from aiohttp import web
import pytest
import pytest_asyncio

from fireflyspindle import testing
from fireflyspindle.adapters import feed_lines
from fireflyspindle.adapters import store_feed
from fireflyspindle.adapters import store_feed_client
from fireflyspindle.adapters import store_records
from fireflyspindle.core import events
from fireflyspindle.testing import platform_documents

SOURCE = "targets"


def batch(*rows, next_offset, is_snapshot=False, from_offset=0):
    """Returns a batch of records given as (key, value, offset)."""
    return store_records.Batch(
        [store_records.Record(*row) for row in rows],
        next_offset,
        is_snapshot,
        from_offset,
    )


def incompressible(size_bytes, seed=0):
    """Returns characters that hardly compress."""
    characters = string.ascii_letters + string.digits + "+/"
    text = "".join(random.Random(seed).choices(characters, k=size_bytes))
    return text.encode()


def target_entry(number):
    """Returns the entry of a target as it stands in the store."""
    address = f"10.{number % 5}.{number % 97}.{number % 251}:{20_000 + number}"
    return json.dumps(platform_documents.target_entry(address)).encode()


def deflated_line(compressed):
    """Returns a line with compressed records."""
    text = base64.b85encode(compressed).decode()
    fields = {"source": SOURCE, "age-ms": 0, "own": True, "deflated": text}
    fields |= {"from-offset": 0, "next-offset": 1, "whole": True}
    return json.dumps(fields).encode() + b"\n"


def encode_line_unstamped(content, member=b""):
    """Encodes a line as hosts of builds before `sent-ms` do."""
    line = json.dumps({**content, "sent-ms": None}).encode()
    return (line[:-1] + b"," + member + b"}" if member else line) + b"\n"


class ServedFeed:
    """A feed on an HTTP server, with a client."""

    def __init__(self):
        self.now_us = 5_000_000
        self.feed = store_feed.Feed("a", (SOURCE,), lambda: self.now_us)
        self.client = store_feed_client.FeedClient(self.client_now_us)
        app = web.Application()
        app.add_routes(self.feed.routes())
        self.server = testing.Server(app)
        self.address = ""

    async def follow(self, offset=None):
        """Returns the stream of a follower, after its first line."""
        lines = self.client.follow(self.address, {SOURCE: offset})
        first = await anext(lines)
        sent_ms = self.now_us // 1000
        assert first == feed_lines.StreamStarted("a", None, sent_ms)
        return lines

    def client_now_us(self):
        """Returns the time by the client's clock, which differs."""
        return self.now_us + 7_000_000_000


@pytest_asyncio.fixture
async def served():
    """Runs a feed on an HTTP server."""
    served_feed = ServedFeed()
    served_feed.address = await served_feed.server.start()
    yield served_feed
    served_feed.feed.close()
    await served_feed.client.close()
    await served_feed.server.close()


async def test_follower_receives_a_snapshot_then_each_change(served):
    served.feed.record_read(
        SOURCE, batch(("i-1", b"one", 3), next_offset=4, is_snapshot=True)
    )
    served.now_us += 250_000
    lines = await served.follow()
    first = await anext(lines)
    assert (first.source, first.age_ms) == (SOURCE, 250)
    assert first.outcome == batch(
        ("i-1", b"one", 3), next_offset=4, is_snapshot=True
    )
    served.feed.record_read(SOURCE, batch(("i-1", None, 4), next_offset=5))
    second = await anext(lines)
    assert second.outcome == batch(
        ("i-1", None, 4), next_offset=5, from_offset=4
    )
    served.feed.record_read(SOURCE, batch(next_offset=5))
    assert (await anext(lines)).outcome == batch(next_offset=5, from_offset=5)
    await lines.aclose()


# A line that waited on its way would tell of a read that looks recent, and the
# follower would answer 404 for routes that are there.
async def test_age_of_a_read_includes_the_transit_time_of_its_line(served):
    lines = await served.follow()
    for transit_us in (0, 3_000_000, 1_000_000):
        served.feed.record_read(SOURCE, batch(next_offset=0), age_us=250_000)
        # The server writes the line now; the client has not read it yet.
        await asyncio.sleep(0.05)
        served.now_us += transit_us
        item = await anext(lines)
        assert item.age_ms == 250 + transit_us // 1000
    await lines.aclose()


async def test_reader_that_does_not_state_when_it_sent_a_line_is_followed(
    served,
):
    served.feed.record_read(SOURCE, batch(next_offset=0))
    with mock.patch.object(feed_lines, "encode_line", encode_line_unstamped):
        lines = served.client.follow(served.address, {SOURCE: None})
        assert await anext(lines) == feed_lines.StreamStarted("a")
        assert (await anext(lines)).age_ms == 0
        await lines.aclose()


async def test_follower_slightly_behind_receives_the_missing_records(served):
    served.feed.record_read(
        SOURCE,
        batch(
            ("i-1", b"1", 1), ("i-2", b"2", 2), next_offset=3, is_snapshot=True
        ),
    )
    served.feed.record_read(
        SOURCE, batch(("i-3", b"3", 3), ("i-1", b"new", 4), next_offset=5)
    )
    lines = await served.follow(4)
    assert (await anext(lines)).outcome == batch(
        ("i-1", b"new", 4), next_offset=5, from_offset=4
    )
    await lines.aclose()
    lines = await served.follow(1)
    read = (await anext(lines)).outcome
    assert read.is_snapshot
    assert {record.key for record in read.records} == {"i-1", "i-2", "i-3"}
    await lines.aclose()


async def test_older_read_of_another_host_is_not_relayed_as_a_read(served):
    served.feed.record_read(SOURCE, batch(next_offset=2, is_snapshot=True))
    lines = await served.follow()
    await anext(lines)
    served.feed.record_read(
        SOURCE, store_records.ReadFailed("503"), age_us=400_000
    )
    served.feed.record_read(
        SOURCE, batch(("i-1", b"1", 2), next_offset=3), age_us=400_000
    )
    served.now_us += 500_000
    served.feed.record_read(SOURCE, batch(next_offset=3), age_us=100_000)
    read = await anext(lines)
    assert read.age_ms == 100
    assert read.outcome == batch(("i-1", b"1", 2), next_offset=3, from_offset=2)
    await lines.aclose()


async def test_read_of_another_host_is_marked(served):
    served.feed.record_read(SOURCE, batch(next_offset=2, is_snapshot=True))
    lines = await served.follow()
    assert (await anext(lines)).own
    served.feed.record_read(
        SOURCE, batch(next_offset=2, from_offset=2), own=False
    )
    assert not (await anext(lines)).own
    await lines.aclose()


async def test_failed_read_is_relayed_with_its_reason(served):
    served.feed.record_read(SOURCE, batch(next_offset=2, is_snapshot=True))
    lines = await served.follow()
    await anext(lines)
    served.feed.record_read(SOURCE, store_records.ReadFailed("status 503"))
    assert (await anext(lines)).outcome == store_records.ReadFailed(
        "status 503"
    )
    await lines.aclose()


async def test_new_follower_gets_known_records_while_reads_fail(served):
    served.feed.record_read(
        SOURCE, batch(("i-1", b"a", 4), next_offset=5, is_snapshot=True)
    )
    served.now_us += 3_000_000
    failed = store_records.ReadFailed("HTTP 503")
    served.feed.record_read(SOURCE, failed)
    lines = await served.follow()
    first, second = await anext(lines), await anext(lines)
    assert [r.key for r in first.outcome.records] == ["i-1"]
    assert first.age_ms >= 3_000
    assert second.outcome == failed
    served.feed.record_read(SOURCE, failed)
    assert (await anext(lines)).outcome == failed
    await lines.aclose()


async def test_follower_that_lacks_nothing_gets_failed_reads_only(served):
    served.feed.record_read(
        SOURCE, batch(("i-1", b"a", 4), next_offset=5, is_snapshot=True)
    )
    failed = store_records.ReadFailed("HTTP 503")
    served.feed.record_read(SOURCE, failed)
    lines = await served.follow(5)
    assert (await anext(lines)).outcome == failed
    await lines.aclose()


async def test_nothing_is_sent_before_the_first_read(served):
    lines = await served.follow()
    served.feed.add_records(SOURCE, batch(next_offset=9, is_snapshot=True))
    waiting = asyncio.ensure_future(anext(lines))
    await asyncio.sleep(0.05)
    assert not waiting.done()
    served.feed.record_read(SOURCE, batch(next_offset=9, is_snapshot=True))
    assert (await waiting).outcome.next_offset == 9
    await lines.aclose()


async def test_disconnected_follower_is_no_longer_counted(served):
    lines = await served.follow()
    assert served.feed.followers == 1
    await lines.aclose()
    for number in range(100):
        served.feed.record_read(
            SOURCE, batch(next_offset=number, is_snapshot=True)
        )
        await asyncio.sleep(0.01)
        if not served.feed.followers:
            break
    assert served.feed.followers == 0


async def test_readers_are_not_counted_as_followers_of_a_reader(served):
    assert await served.client.count_hosts(served.address) == 1
    host = await served.follow()
    reader = served.client.follow(served.address, {}, is_reader=True)
    await anext(reader)
    assert await served.client.count_hosts(served.address) == 2
    assert served.feed.followers == 2
    await host.aclose()
    while await served.client.count_hosts(served.address) == 2:
        await asyncio.sleep(0.01)
    assert served.feed.count_hosts() == 1
    await reader.aclose()


async def test_reader_that_is_down_has_no_followers(served):
    assert await served.client.count_hosts(testing.free_address()) == 0


@pytest.mark.parametrize("status", [200, 404])
async def test_reader_without_a_count_is_unknown(status):
    async def respond(_request):
        return web.json_response({}, status=status)

    app = web.Application()
    app.add_routes([web.get(store_feed.HOST_COUNT_PATH, respond)])
    server = testing.Server(app)
    client = store_feed_client.FeedClient(lambda: 0)
    assert await client.count_hosts(await server.start()) is None
    await client.close()
    await server.close()


async def test_number_of_gate_hosts_is_sent_when_it_changes(served):
    served.feed.gate_hosts = 14
    lines = served.client.follow(served.address, {SOURCE: None})
    started = feed_lines.StreamStarted("a", 14, served.now_us // 1000)
    assert await anext(lines) == started
    received = []
    for gate_hosts in (14, 17, 17):
        served.feed.gate_hosts = gate_hosts
        served.feed.record_read(SOURCE, batch(next_offset=1, is_snapshot=True))
        received.append((await anext(lines)).gate_hosts)
    assert received == [None, 17, None]
    await lines.aclose()


async def test_closed_feed_ends_its_streams(served):
    lines = await served.follow()
    served.feed.close()
    with pytest.raises(StopAsyncIteration):
        await anext(lines)


async def test_records_of_large_total_size_are_omitted(served):
    """A reader's link of 5 Mbit/s can't send them to 40 hosts in time."""
    rows = [(f"i-{n}", incompressible(800, n), n) for n in range(1_000)]
    served.feed.record_read(
        SOURCE, batch(*rows, next_offset=1_000, is_snapshot=True)
    )
    lines = await served.follow()
    read = (await anext(lines)).outcome
    assert read == batch(next_offset=1_000, from_offset=1_000)
    latest = store_records.LatestRecords()
    assert not latest.apply(read)
    served.feed.record_read(
        SOURCE,
        batch(("i-1", b"y", 1_000), next_offset=1_001, from_offset=1_000),
    )
    read = (await anext(lines)).outcome
    assert (read.from_offset, len(read.records)) == (1_000, 1)
    assert not latest.apply(read)
    await lines.aclose()


async def test_lines_to_many_followers_do_not_fill_the_link_of_a_reader(served):
    link_bytes_per_s = 5_000_000 / 8
    served.feed.record_read(SOURCE, batch(next_offset=1, is_snapshot=True))
    streams = [await served.follow(1) for _ in range(80)]
    for lines in streams:
        await anext(lines)
    for offset, size_bytes in ((1, 8_000), (2, 3_000)):
        record = ("i-1", incompressible(size_bytes), offset)
        served.feed.record_read(SOURCE, batch(record, next_offset=offset + 1))
        outcomes = [(await anext(lines)).outcome for lines in streams]
        relayed_bytes = sum(outcome.value_bytes for outcome in outcomes)
        assert relayed_bytes <= link_bytes_per_s / 2
    assert relayed_bytes
    for lines in streams:
        await lines.aclose()


async def test_target_entries_are_compressed_for_many_followers(served):
    """A step of a release: 30 targets start, and 30 others leave."""
    served.feed.record_read(SOURCE, batch(next_offset=1, is_snapshot=True))
    streams = [await served.follow(1) for _ in range(100)]
    for lines in streams:
        await anext(lines)
    rows = [(f"i-{n:08x}", target_entry(n), n) for n in range(1, 61)]
    served.feed.record_read(SOURCE, batch(*rows, next_offset=61))
    for lines in streams:
        outcome = (await anext(lines)).outcome
        assert [r.value for r in outcome.records] == [row[1] for row in rows]
        await lines.aclose()


async def test_fan_out_follows_the_rate_of_the_link(served):
    fast = store_feed.Feed("a", (SOURCE,), lambda: 5_000_000, link_mbps=50.0)
    app = web.Application()
    app.add_routes(fast.routes())
    server = testing.Server(app)
    served.feed.close()
    served.address = await server.start()
    fast.record_read(SOURCE, batch(next_offset=1, is_snapshot=True))
    streams = [await served.follow(1) for _ in range(100)]
    for lines in streams:
        await anext(lines)
    record = ("i-1", incompressible(4_000), 1)
    fast.record_read(SOURCE, batch(record, next_offset=2))
    for lines in streams:
        assert (await anext(lines)).outcome.value_bytes == 4_000
        await lines.aclose()
    fast.close()
    await server.close()


async def test_follower_of_an_older_build_receives_plain_records(served):
    rows = [(f"i-{n}", target_entry(n), n) for n in range(4)]
    served.feed.record_read(
        SOURCE, batch(*rows, next_offset=4, is_snapshot=True)
    )
    async with aiohttp.ClientSession() as session:
        url = f"http://{served.address}{store_feed.PATH}"
        async with session.get(url) as response:
            await response.content.readline()
            line = json.loads(await response.content.readline())
    assert [row[0] for row in line["records"]] == [row[0] for row in rows]
    assert "deflated" not in line


async def test_unlimited_follower_receives_records_of_any_total_size(served):
    rows = [(f"i-{n}", b"x" * 800, n) for n in range(1_000)]
    served.feed.record_read(
        SOURCE, batch(*rows, next_offset=1_000, is_snapshot=True)
    )
    lines = served.client.follow(served.address, {SOURCE: None}, unlimited=True)
    started = feed_lines.StreamStarted("a", None, served.now_us // 1000)
    assert await anext(lines) == started
    assert len((await anext(lines)).outcome.records) == 1_000
    await lines.aclose()


async def test_arbitrary_bytes_are_relayed(served):
    rows = [("i-1", bytes(range(256)), 0)]
    served.feed.record_read(
        SOURCE, batch(*rows, next_offset=1, is_snapshot=True)
    )
    lines = await served.follow()
    assert (await anext(lines)).outcome.records[0].value == bytes(range(256))
    await lines.aclose()


@pytest.mark.parametrize("offset", ["-1", "x", "²"])
async def test_invalid_offset_is_refused(served, offset):
    async with aiohttp.ClientSession() as session:
        url = f"http://{served.address}{store_feed.PATH}"
        async with session.get(url, params={SOURCE: offset}) as response:
            assert response.status == 400
            assert "give an offset" in await response.text()


@pytest.mark.parametrize(
    "line",
    [
        b"spoilt\n",
        b"[]\n",
        b'{"source":"targets"}\n',
        b"3\n",
        deflated_line(b"[]"),
        deflated_line(zlib.compress(b"[]")[:-1]),
        deflated_line(zlib.compress(b"[3]")),
        deflated_line(zlib.compress(b" " * feed_lines.MAX_LINE_BYTES + b"[]")),
        b'{"source":"targets","age-ms":0,"own":true,"next-offset":1,"whole":true'
        b',"from-offset":0,"deflated":"\xc2\xa7"}\n',
    ],
)
async def test_invalid_line_ends_the_stream(line):
    async def respond(_request):
        return web.Response(body=line)

    app = web.Application()
    app.add_routes([web.get(store_feed.PATH, respond)])
    server = testing.Server(app)
    client = store_feed_client.FeedClient(lambda: 0)
    with pytest.raises(ValueError, match=r"can't be read|Expecting value"):
        async for _ in client.follow(await server.start(), {SOURCE: None}):
            pass
    await client.close()
    await server.close()


def test_older_batch_is_ignored():
    latest = store_records.LatestRecords()
    latest.apply(batch(("i-1", b"new", 8), next_offset=9, is_snapshot=True))
    latest.apply(batch(("i-1", b"old", 2), next_offset=3))
    assert latest.since(None).records[0].value == b"new"
    assert latest.next_offset == 9


def test_excess_tombstones_are_removed():
    latest = store_records.LatestRecords()
    latest.apply(batch(next_offset=0, is_snapshot=True))
    count = store_records.MAX_TOMBSTONES + 1
    rows = [(f"i-{n}", None, n) for n in range(count)]
    latest.apply(batch(*rows, next_offset=count))
    assert latest.since(count) == batch(next_offset=count, from_offset=count)
    assert latest.since(5).is_snapshot


async def test_helpers_are_listed_without_those_that_are_cut_off(served):
    served.feed = store_feed.Feed(
        "a", (SOURCE,), lambda: served.now_us, "10.0.0.1:7620"
    )
    app = web.Application()
    app.add_routes(served.feed.routes())
    server = testing.Server(app)
    address = await server.start()
    own = events.HelperAddress("10.0.0.1:7620", "a")
    hosts = [
        events.HelperAddress(f"10.0.0.{number}:7620", "b")
        for number in range(2, 5)
    ]
    clients = [store_feed_client.FeedClient(lambda: 0, host) for host in hosts]
    streams = []
    for client in clients:
        lines = client.follow(address, {SOURCE: None})
        await anext(lines)
        streams.append(lines)

    async def listed(client, cut_off):
        helpers = await client.list_helpers(address, cut_off)
        return {helper.address for helper in helpers}

    everyone = {host.address for host in [own, *hosts]}
    assert await listed(clients[0], False) == everyone
    cut_off = everyone - {hosts[0].address}
    assert await listed(clients[0], True) == cut_off
    assert await listed(clients[1], False) == cut_off
    served.now_us += store_feed.CUT_OFF_US
    assert await listed(clients[1], False) == everyone
    for lines, client in zip(streams, clients, strict=True):
        await lines.aclose()
        await client.close()
    served.feed.close()
    await server.close()


async def test_list_of_helpers_of_an_unreachable_reader_is_unknown(served):
    address = testing.free_address()
    assert await served.client.list_helpers(address, False) is None


# Many cut off hosts may ask a reader with a narrow link at the same time.
async def test_list_of_helpers_is_short(served):
    clients = [
        store_feed_client.FeedClient(
            lambda: 0, events.HelperAddress(f"10.0.0.{number}:7620", "b")
        )
        for number in range(2 * store_feed.MAX_LISTED_HELPERS)
    ]
    streams = [client.follow(served.address, {}) for client in clients]
    for lines in streams:
        await anext(lines)
    helpers = await served.client.list_helpers(served.address, False)
    assert len(helpers) == store_feed.MAX_LISTED_HELPERS
    for lines, client in zip(streams, clients, strict=True):
        await lines.aclose()
        await client.close()


async def test_followers_of_older_builds_get_no_sources_that_they_do_not_know():
    feed = store_feed.Feed("a", ("targets", "crashes"), lambda: 0)
    app = web.Application()
    app.add_routes(feed.routes())
    server = testing.Server(app)
    address = await server.start()
    for name in ("crashes", "targets"):
        feed.record_read(name, batch(("k", b"v", 0), next_offset=1))
    sources = {}
    for query, lines in (("", 3), ("?further-sources=crashes", 5)):
        async with aiohttp.ClientSession() as session:
            url = f"http://{address}{store_feed.PATH}{query}"
            async with session.get(url) as response:
                found = [await response.content.readline() for _ in range(2)]
                feed.record_read("crashes", batch(next_offset=1))
                feed.record_read("targets", batch(next_offset=1))
                async with asyncio.timeout(5.0):
                    while len(found) < lines:
                        found.append(await response.content.readline())
        named = [json.loads(line).get("source") for line in found]
        sources[query] = set(named) - {None}
    assert sources[""] == {"targets"}
    assert sources["?further-sources=crashes"] == {"targets", "crashes"}
    feed.close()
    await server.close()


# Guards against a traceback in the log of a reader for each follower that left
# while the reader was frozen.
async def test_follower_that_left_before_its_stream_starts_is_no_error(
    served, monkeypatch
):
    async def prepare(_response, _request):
        raise aiohttp.ClientConnectionResetError("closing transport")

    monkeypatch.setattr(web.StreamResponse, "prepare", prepare)
    (handler,) = [
        route.handler
        for route in served.feed.routes()
        if route.path == store_feed.PATH
    ]
    await handler(types.SimpleNamespace(query={}))
    assert served.feed.followers == 0
