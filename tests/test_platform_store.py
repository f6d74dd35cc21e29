"""Tests the client of the platform's store against a stand-in."""

import asyncio
import types

from aiohttp import web
import pytest
import pytest_asyncio

from fireflyspindle import testing
from fireflyspindle.adapters import store_records
from fireflyspindle.platform import store_client
from fireflyspindle.platform import timed_reads

TOPIC = "keyed.servers"


@pytest_asyncio.fixture
async def store():
    """A running stand-in store and a client of it."""
    stand_in = testing.StandInStore()
    server = testing.Server(stand_in.application())
    address = await server.start()
    client = store_client.StoreClient(address)
    yield stand_in, client
    await client.close()
    await server.close()


async def test_listing_reads_the_newest_record_of_every_key_on_all_pages(store):
    stand_in, client = store
    for number in range(1_203):
        stand_in.write(TOPIC, f"i-{number:04}", {"n": number})
    stand_in.write(TOPIC, "i-0007", None)
    outcome = await client.read(TOPIC, None)
    assert outcome.is_snapshot
    assert outcome.next_offset <= 1_203
    assert len(outcome.records) == 1_202
    assert len({record.key for record in outcome.records}) == 1_202


async def test_long_poll_returns_the_next_record(store):
    stand_in, client = store
    stand_in.write(TOPIC, "i-1", b"one")
    read_task = asyncio.create_task(client.read(TOPIC, 1, wait_ms=10_000))
    await asyncio.sleep(0.05)
    assert not read_task.done()
    stand_in.write(TOPIC, "i-1", None)
    outcome = await read_task
    assert outcome.records == [store_records.Record("i-1", None, 1)]
    assert (outcome.next_offset, outcome.is_snapshot) == (2, False)


async def test_long_poll_without_a_record_returns_an_empty_batch(store):
    _, client = store
    outcome = await client.read(TOPIC, 0, wait_ms=50)
    assert outcome == store_records.Batch([], 0, is_snapshot=False)


async def test_read_of_dropped_records_returns_the_first_offset(store):
    stand_in, client = store
    stand_in.write(TOPIC, "i-1", b"one")
    stand_in.forget(TOPIC)
    assert await client.read(TOPIC, 0) == store_records.HistoryDropped(1)
    outcome = await client.read(TOPIC, None, 1)
    assert (outcome.next_offset, len(outcome.records)) == (1, 1)


async def test_record_written_during_a_listing_is_not_skipped():
    async def list_newest(_request):
        # The record at offset 5 was written after the items were listed and
        # before the end offset was taken.
        return web.json_response(
            {
                "items": [{"key": "i-1", "value": "b25l", "offset": 4}],
                "has-more": False,
                "end-offset": 6,
            }
        )

    app = web.Application()
    app.add_routes([web.get("/log-newest", list_newest)])
    server = testing.Server(app)
    client = store_client.StoreClient(await server.start())
    outcome = await client.read(TOPIC, None)
    await client.close()
    await server.close()
    assert outcome.next_offset == 5


@pytest.mark.parametrize("status", [429, 503, 500])
@pytest.mark.parametrize("from_offset", [None, 0])
async def test_error_status_is_a_failure(store, status, from_offset):
    stand_in, client = store
    stand_in.refuse_status = status
    outcome = await client.read(TOPIC, from_offset)
    assert str(status) in outcome.reason


@pytest.mark.parametrize("from_offset", [None, 0])
async def test_response_timeout_is_a_failure(store, monkeypatch, from_offset):
    stand_in, client = store
    shell = types.SimpleNamespace(spawn=asyncio.create_task)
    reads = timed_reads.TimedReads(shell, client)
    monkeypatch.setattr(timed_reads, "RESPONSE_TIMEOUT_S", 0.05)
    stand_in.silent = True
    outcome = await reads.read(TOPIC, from_offset, wait_ms=50)
    assert "in time" in outcome.reason
    stand_in.silent = False
    assert isinstance(await reads.read(TOPIC, None), store_records.Batch)


@pytest.mark.parametrize(
    "body",
    [b"", b"\x00" * 16 + b"\x00\x00\x00\x09abc", b"\x00" * 16 + b"\x00" * 4],
)
async def test_truncated_response_is_a_failure(body):
    async def respond(_request):
        return web.Response(body=body)

    app = web.Application()
    app.add_routes([web.get("/log-read", respond)])
    server = testing.Server(app)
    client = store_client.StoreClient(await server.start())
    outcome = await client.read(TOPIC, 0)
    await client.close()
    await server.close()
    if not body:
        assert outcome == store_records.Batch([], 0, is_snapshot=False)
    else:
        assert isinstance(outcome, store_records.ReadFailed)


async def test_unreachable_store_is_a_failure():
    client = store_client.StoreClient("127.0.0.1:9")
    assert isinstance(await client.read(TOPIC, None), store_records.ReadFailed)
    await client.close()
