"""The stand-in of the store as a process of its own."""

import pytest

from fireflyspindle.adapters import store_records
from fireflyspindle.bench import store_process
from fireflyspindle.platform import store_client
from fireflyspindle.testing import store as store_lib

TOPIC = store_lib.CONFIGURATION_TOPIC


@pytest.fixture
async def store(tmp_path):
    """Runs the process; three records are kept, and one is not."""
    store = store_process.StoreProcess(tmp_path)
    try:
        await store.start()
        for key, value in (("a", 1), ("b", 2), ("a", 3)):
            await store.write(TOPIC, key, value)
        store.write_unkept(TOPIC, "lost", 4)
        yield store
    finally:
        await store.kill()


@pytest.fixture
async def client(store):
    """A gate host's client of the store."""
    client = store_client.StoreClient(store.address)
    yield client
    await client.close()


async def read(client, offset):
    """Returns the keys, values and offsets of records, and the next offset."""
    batch = await client.read(TOPIC, offset)
    assert isinstance(batch, store_records.Batch), batch
    records = [(each.key, each.value, each.offset) for each in batch.records]
    return records, batch.next_offset


@pytest.mark.parametrize(
    ("how", "records"),
    [
        (
            store_process.AsBefore(),
            [("a", b"1", 0), ("b", b"2", 1), ("a", b"3", 2), ("c", b"5", 3)],
        ),
        (
            store_process.Renumbered(),
            [("b", b"2", 0), ("a", b"3", 1), ("c", b"5", 2)],
        ),
    ],
    ids=["as before", "renumbered"],
)
async def test_store_that_starts_again_serves_what_it_kept(
    store, client, how, records
):
    assert (await read(client, 0))[1] == 4
    await store.kill()
    failed = await client.read(TOPIC, 0)
    assert isinstance(failed, store_records.ReadFailed)
    acknowledged = store.write(TOPIC, "c", 5)
    assert not acknowledged.done()
    await store.start(how)
    assert acknowledged.result() == store.returned_s
    assert await read(client, 0) == (records, len(records))


async def test_store_that_drops_its_history_serves_the_newest_records(
    store, client
):
    await store.kill()
    await store.start(store_process.HistoryDropped())
    records, next_offset = await read(client, None)
    assert sorted(records) == [("a", b"3", 2), ("b", b"2", 1)]
    assert next_offset == 3
    dropped = await client.read(TOPIC, 0)
    assert not isinstance(dropped, store_records.Batch)


async def test_settings_of_the_store_outlive_its_process(store, client):
    store.set(refuse_status=503)
    await store.kill()
    await store.start()
    failed = await client.read(TOPIC, 0)
    assert isinstance(failed, store_records.ReadFailed)
    assert "503" in failed.reason
