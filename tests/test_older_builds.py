"""Gate hosts of this build among hosts of older ones, from recordings."""

import asyncio
import json
import pathlib

import pytest

from fireflyspindle.adapters import feed_lines
from fireflyspindle.adapters import store_feed
from fireflyspindle.adapters import store_feed_client
from fireflyspindle.adapters import store_records
import record_conversations as recorder

RECORDINGS = sorted(
    (pathlib.Path(__file__).parent / "conversations").glob("*.json")
)


@pytest.fixture(params=RECORDINGS, ids=lambda path: path.stem)
def recording(request):
    """Returns what the hosts of an older build said."""
    return json.loads(request.param.read_text())


async def test_follower_understands_a_reader_of_an_older_build(recording):
    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(recording["reader"].encode("latin-1"))
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(respond, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    client = store_feed_client.FeedClient(lambda: 0, recorder.HELPER)
    items = [item async for item in client.follow(address, {})]
    await client.close()
    server.close()
    assert items[0] == feed_lines.StreamStarted("a")
    outcomes = [(item.source, item.outcome) for item in items[1:]]
    omitted = store_records.Batch([], 109, False, 109)
    changes = recorder.batch("targets", 6, 3)
    for source in recorder.SOURCES:
        whole = recorder.batch(source, 0, 6)
        live = [r for r in whole.records if r.value is not None]
        assert (source, store_records.Batch(live, 6, True, 0)) in outcomes
    assert ("targets", changes) in outcomes
    assert ("targets", store_records.ReadFailed("HTTP 503")) in outcomes
    assert ("targets", omitted) in outcomes
    assert [item.gate_hosts for item in items if item.gate_hosts] == [7]


async def ask(address, head):
    """Sends a recorded request; returns the start of the response."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(head.encode("latin-1"))
    await asyncio.sleep(recorder.LINES_S)
    said = await reader.read(1 << 20)
    writer.close()
    return said


async def test_reader_serves_followers_of_an_older_build(recording):
    feed = store_feed.Feed("a", recorder.SOURCES, lambda: 5_000_000, "b:8")
    server = recorder.serve_feed(feed)
    address = await server.start()
    for source in recorder.SOURCES:
        whole = recorder.batch(source, 0, 6, is_snapshot=True)
        feed.record_read(source, whole)
    feed.record_read("targets", recorder.batch("targets", 6, 30))
    starting, behind, count, helpers = recording["follower"]
    for head, first in ((starting, 0), (behind, 6)):
        said = await ask(address, head)
        lines = [
            json.loads(line)
            for line in said.split(b"\n")
            if line.startswith(b'{"source":"targets"')
        ]
        offsets = [row[2] for line in lines for row in line["records"]]
        assert all(offset >= first for offset in offsets)
        assert max(offsets) >= 34
        assert b"deflated" not in said
    assert b'{"hosts": ' in await ask(address, count)
    assert b'{"helpers": [["b:8", "a"]]}' in await ask(address, helpers)
    feed.close()
    await server.close()
