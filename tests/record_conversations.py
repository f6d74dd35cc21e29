"""Records what the gate hosts of a build say to each other about the store.

Usage, from the checkout of the build: PYTHONPATH=src python
PATH/record_conversations.py OUTPUT. The output goes to `conversations/`, named
after the build; `test_older_builds.py` replays it.
"""

import asyncio
import contextlib
import json
import pathlib
import sys

from aiohttp import web

from fireflyspindle import testing
from fireflyspindle.adapters import store_feed
from fireflyspindle.adapters import store_feed_client
from fireflyspindle.adapters import store_records
from fireflyspindle.core import events

SOURCES = ("configuration", "targets")
HELPER = events.HelperAddress("127.0.0.1:7", "a")
# Time in which a feed writes the lines that it has.
LINES_S = 0.3
# Makes a hundred records too large for one line.
PADDING = "x" * 100


def batch(source, first, count, is_snapshot=False):
    """Returns records of a source with consecutive offsets."""
    records = [
        store_records.Record(
            f"{source}-{offset}",
            None if offset % 5 == 4 else json.dumps([offset, PADDING]).encode(),
            offset,
        )
        for offset in range(first, first + count)
    ]
    return store_records.Batch(records, first + count, is_snapshot, first)


def serve_feed(feed):
    """Returns a server of a feed."""
    app = web.Application()
    app.add_routes(feed.routes())
    return testing.Server(app)


async def record_reader():
    """Returns the lines of a reader that reads, fails and reads again."""
    feed = store_feed.Feed("a", SOURCES, lambda: 5_000_000, "127.0.0.1:8")
    server = serve_feed(feed)
    address = await server.start()
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"GET /store-feed HTTP/1.1\r\nHost: x\r\n\r\n")
    for source in SOURCES:
        feed.record_read(source, batch(source, 0, 6, is_snapshot=True))
        await asyncio.sleep(LINES_S)
    feed.gate_hosts = 7
    feed.record_read("targets", batch("targets", 6, 3))
    await asyncio.sleep(LINES_S)
    feed.record_read("targets", store_records.ReadFailed("HTTP 503"))
    await asyncio.sleep(LINES_S)
    feed.record_read("targets", batch("targets", 9, 100))
    await asyncio.sleep(LINES_S)
    said = await reader.read(1 << 20)
    writer.close()
    feed.close()
    await server.close()
    return said


async def record_follower():
    """Returns the heads of the requests that a follower sends."""
    heads = []

    async def respond(reader, writer):
        heads.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write(b"HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n")
        writer.close()

    server = await asyncio.start_server(respond, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    client = store_feed_client.FeedClient(lambda: 0, HELPER)
    for offsets in ({}, {"configuration": 2, "targets": 6}):
        with contextlib.suppress(Exception):
            async for _ in client.follow(address, offsets):
                pass
    await client.count_hosts(address)
    await client.list_helpers(address, cut_off=True)
    await client.close()
    server.close()
    return heads


async def main(path):
    """Writes the recording."""
    recording = {
        "reader": (await record_reader()).decode("latin-1"),
        "follower": [
            head.decode("latin-1") for head in await record_follower()
        ],
    }
    path.write_text(json.dumps(recording, indent=1) + "\n")


if __name__ == "__main__":
    asyncio.run(main(pathlib.Path(sys.argv[1])))
