"""Reads of the platform's store that are slow, or fail for one source only."""

import asyncio
import time
import types

from aiohttp import web
import pytest

from fireflyspindle import testing
from fireflyspindle.platform import store_client
from fireflyspindle.platform import store_sync
from fireflyspindle.platform import timed_reads
from fireflyspindle.testing import platform_documents
from fireflyspindle.testing import store as store_lib
import platform_driver
import wire

# Limit on a read without a response, and a time above it in which a slow store
# answers.
LIMIT_S = 0.1
SLOW_S = 0.25
# Time within which a host knows a change once the store serves it: the longest
# wait of a read, and a pause between reads with its jitter.
KNOWN_S = 3.0
# Long enough for each source to fail more than once.
OUTAGE_S = 2.0
TOPICS = tuple(store_sync.TOPIC_BY_SOURCE.values())


def write_change(store):
    """Writes a new configuration and a new target."""
    document = platform_driver.document(2)
    store.write(store_lib.CONFIGURATION_TOPIC, "config", document)
    entry = platform_documents.target_entry("127.0.0.1:1")
    store.write(store_lib.TARGETS_TOPIC, "i-9", entry)


def knows_configuration(host):
    """Whether a host has the new configuration."""
    return host.state.rule_table.version == 2


def knows_target(host):
    """Whether a host has the new target."""
    return "i-9" in host.state.registered_targets


async def require(host, *conditions, within_s=KNOWN_S):
    """Fails unless the conditions of a host hold in time."""
    end_s = time.monotonic() + within_s
    while not all(condition(host) for condition in conditions):
        assert time.monotonic() < end_s, [
            condition.__name__ for condition in conditions if condition(host)
        ]
        await asyncio.sleep(0.01)


@pytest.fixture
def short_limit(monkeypatch):
    """Shortens the limit on a read without a response."""
    monkeypatch.setattr(timed_reads, "RESPONSE_TIMEOUT_S", LIMIT_S)


# Guards against hosts that never read a store whose answers take longer than
# the limit of one read.
async def test_change_is_known_when_each_answer_takes_longer_than_the_limit(
    short_limit,
):
    async with platform_driver.running() as platform:
        platform.store.delay_s = SLOW_S
        # Reads that wait for changes have a longer limit; let them time out.
        await asyncio.sleep(2 * KNOWN_S)
        write_change(platform.store)
        await require(platform.host, knows_configuration, knows_target)


# Guards against a read that is abandoned although its response is arriving.
@pytest.mark.parametrize("from_offset", [None, 0])
async def test_response_that_arrives_slowly_is_received(
    short_limit, from_offset
):
    stand_in = testing.StandInStore()
    for number in range(10):
        stand_in.write("keyed.op", f"k{number}", b"x" * 50)

    @web.middleware
    async def send_slowly(request, handler):
        whole = await handler(request)
        response = web.StreamResponse()
        response.content_length = len(whole.body)
        await response.prepare(request)
        size = len(whole.body) // 10
        for start in range(0, len(whole.body), size):
            await asyncio.sleep(LIMIT_S / 2)
            await response.write(whole.body[start : start + size])
        return response

    app = stand_in.application()
    app.middlewares.append(send_slowly)
    server = testing.Server(app)
    client = store_client.StoreClient(await server.start())
    shell = types.SimpleNamespace(spawn=asyncio.create_task)
    reads = timed_reads.TimedReads(shell, client)
    outcome = await reads.read("keyed.op", from_offset)
    await client.close()
    await server.close()
    assert len(outcome.records) == 10


# Guards against a source that is not read again after an outage because reads
# of another source fail for a reason of their own.
@pytest.mark.parametrize("status", [404, 503])
@pytest.mark.parametrize("topic", TOPICS)
async def test_sources_are_read_after_an_outage_while_another_one_fails(
    topic, status
):
    async with platform_driver.running() as platform:
        store = platform.store
        store.topic_statuses[topic] = status
        # The source fails first, and more than once.
        await asyncio.sleep(OUTAGE_S)
        store.refuse_status = 503
        await asyncio.sleep(OUTAGE_S)
        store.refuse_status = None
        write_change(store)
        conditions = []
        if topic != store_lib.CONFIGURATION_TOPIC:
            conditions.append(knows_configuration)
        if topic != store_lib.TARGETS_TOPIC:
            conditions.append(knows_target)
        await require(platform.host, *conditions, within_s=2 * KNOWN_S)
        del store.topic_statuses[topic]
        await require(
            platform.host,
            knows_configuration,
            knows_target,
            lambda host: (
                not any(
                    reads.failures for reads in host.state.store_reads.values()
                )
            ),
        )


# Guards against a store that is back and not noticed, because a read that
# started before has not ended.
async def test_store_that_was_silent_is_read_in_time(short_limit):
    async with platform_driver.running() as platform:
        platform.store.silent = True
        await asyncio.sleep(OUTAGE_S)
        platform.store.silent = False
        write_change(platform.store)
        await require(platform.host, knows_configuration, knows_target)
        await wire.until(
            lambda: (
                not any(
                    reads.failures
                    for reads in platform.host.state.store_reads.values()
                )
            )
        )
