"""Reads of the store that are late: which are kept, and for how long."""

import asyncio
import types

from aiohttp import web
import pytest

import configuration_network
from fireflyspindle import testing
from fireflyspindle.adapters import repeated_reads
from fireflyspindle.adapters import store_records
from fireflyspindle.core import events
from fireflyspindle.core import held_calls
from fireflyspindle.core import host_list
from fireflyspindle.core import store_state
from fireflyspindle.platform import store_client
from fireflyspindle.platform import timed_reads
import published_driver

TOPIC = "keyed.op"
S = 1_000_000


class SlowClient:
    """A client of a store that answers each read after some time.

    Attributes:
        delays_s: Time until the answer, by number of the read; the last one
            holds for all further reads, None for no answer.
        open: Number of reads without an answer, at most.
    """

    def __init__(self, *delays_s):
        self.delays_s = list(delays_s)
        self.reads = 0
        self.open = 0
        self.most_open = 0

    async def read(self, topic, from_offset, first_offset, wait_ms, progress):
        """Answers with as many records as there were reads."""
        delay_s = self.delays_s[min(self.reads, len(self.delays_s) - 1)]
        self.reads += 1
        number = self.reads
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        try:
            await asyncio.sleep(1e6 if delay_s is None else delay_s)
        finally:
            self.open -= 1
        return store_records.Batch([], number, False)


async def read_until_answered(client, most_s):
    """Reads again and again; returns the loop time of the first answer."""
    shell = types.SimpleNamespace(spawn=asyncio.create_task)
    reads = timed_reads.TimedReads(shell, client)
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    late = []
    while not late:
        assert loop.time() < start_s + most_s
        outcome = await reads.read(TOPIC, 0, on_late=late.append)
        if isinstance(outcome, store_records.Batch):
            late.append(outcome)
        await asyncio.sleep(0.5)
    return loop.time() - start_s


@pytest.fixture
def in_virtual_time():
    """Returns a function that runs a coroutine in virtual time."""
    with asyncio.Runner(loop_factory=configuration_network.Loop) as runner:
        yield runner.run


# Guards against a limit that is the same at every try.
@pytest.mark.parametrize("delay_s", [0.1, 1.1, 1.3, 4.0, 9.0, 30.0, 150.0])
def test_store_is_read_however_long_its_answers_take(in_virtual_time, delay_s):
    client = SlowClient(delay_s)
    took_s = in_virtual_time(read_until_answered(client, 6 * delay_s + 3))
    assert took_s >= delay_s
    # The reads of a host must not pile up at a slow store.
    assert client.most_open <= 1 + timed_reads.MAX_LATE


# Guards against a read without an answer that takes the place of those that
# would get one.
@pytest.mark.parametrize("silent_reads", [1, 2, 5])
@pytest.mark.parametrize("delay_s", [0.1, 2.0, 20.0])
def test_read_that_is_never_answered_does_not_hold_up_others(
    in_virtual_time, silent_reads, delay_s
):
    client = SlowClient(*[None] * silent_reads, delay_s)
    limit_s = 2 * silent_reads + 6 * delay_s + 10
    if delay_s < timed_reads.RESPONSE_TIMEOUT_S:
        limit_s = 2 * silent_reads + 1
    in_virtual_time(read_until_answered(client, limit_s))


def test_late_read_is_cancelled_once_a_newer_one_has_succeeded(in_virtual_time):
    async def run():
        shell = types.SimpleNamespace(spawn=asyncio.create_task)
        client = SlowClient(3.0, 0.1)
        reads = timed_reads.TimedReads(shell, client)
        late = []
        first = await reads.read(TOPIC, 0, on_late=late.append)
        assert isinstance(first, store_records.ReadFailed)
        assert client.open == 1
        second = await reads.read(TOPIC, 0, on_late=late.append)
        assert second.next_offset == 2
        await asyncio.sleep(5.0)
        assert not late
        assert not client.open

    in_virtual_time(run())


# Guards against a host that takes what a late read told for newer than it is:
# it would refuse requests for routes that were added since.
class BufferedClient(SlowClient):
    """A client whose answers take several passes of the event loop."""

    async def read(self, *args):
        """Answers as the slow client, some passes later."""
        batch = await super().read(*args)
        for _ in range(10):
            await asyncio.sleep(0)
        return batch


# Guards against a host that takes the store for away because it stood still
# itself: it then goes on with a configuration that was replaced.
@pytest.mark.parametrize(
    ("delay_s", "fails"), [(0.4, False), (0.3 + 5.0, False), (None, True)]
)
def test_read_that_was_answered_while_the_host_stood_still_succeeds(
    in_virtual_time, delay_s, fails
):
    async def run():
        loop = asyncio.get_running_loop()
        shell = types.SimpleNamespace(spawn=asyncio.create_task)
        reads = timed_reads.TimedReads(shell, BufferedClient(delay_s))
        resumed_s = loop.time() + 5.25
        loop.call_later(0.25, loop.stand_still, 5.0)
        outcome = await reads.read(TOPIC, 0)
        assert isinstance(outcome, store_records.ReadFailed) == fails
        # Well before the limit for calls that are held meanwhile.
        assert loop.time() < resumed_s + held_calls.MAX_HOLD_US / S

    in_virtual_time(run())


def test_late_read_is_complete_until_its_own_start():
    source = store_state.Source.CONFIGURATION
    host = published_driver.PublishedHost()
    host.configure(published_driver.document())
    started_us = host.now_us
    host.advance(3 * S)
    host.feed(events.StoreReadFailed, source.value, "no response in time")
    host.advance(S)
    host.feed(
        events.ConfigurationRead,
        None,
        host.state.store_reads[source].next_offset,
        late_start_us=started_us,
    )
    complete_us = host.state.store_reads[source].complete_until_us
    assert complete_us == started_us


# Guards against a late read that brings back what newer reads have removed.
def test_late_read_does_not_undo_newer_reads():
    host = published_driver.PublishedHost()
    host.configure(published_driver.document())
    host.register(published_driver.entry(0))
    offset = host.state.store_reads[store_state.Source.TARGETS].next_offset
    host.feed(events.TargetsRead, [], ["i-0"], False, offset + 1)
    host.feed(
        events.TargetsRead,
        [published_driver.entry(0)],
        [],
        False,
        offset,
        late_start_us=host.now_us,
    )
    assert "i-0" not in host.state.registered_targets


# Guards against a read that is never answered and, after a long outage, keeps
# for minutes the place of those that a slow store would answer.
@pytest.mark.parametrize("outage_s", [0, 30, 100])
def test_slow_store_is_read_soon_after_it_was_silent(in_virtual_time, outage_s):
    async def run():
        shell = types.SimpleNamespace(spawn=asyncio.create_task)
        client = SlowClient(None)
        reads = timed_reads.TimedReads(shell, client)
        loop = asyncio.get_running_loop()
        late = []
        start_s = loop.time()
        while loop.time() < start_s + outage_s:
            await reads.read(TOPIC, 0, on_late=late.append)
            await asyncio.sleep(1.0)
        client.delays_s = [1.5]
        back_s = loop.time()
        while not late:
            assert loop.time() < back_s + timed_reads.FIRST_LATE_LIMIT_S + 3.0
            await reads.read(TOPIC, 0, on_late=late.append)
            await asyncio.sleep(1.0)

    in_virtual_time(run())


# Guards against a try without an answer that takes the place of newer ones for
# as long as each of these needs more than the interval between tries.
@pytest.mark.parametrize("answer_s", [0.1, 3.0, 7.0])
def test_slow_list_is_read_though_the_first_try_hangs(
    in_virtual_time, answer_s
):
    tries = []

    async def attempt(progress):
        tries.append(progress)
        await asyncio.sleep(1e6 if len(tries) == 1 else answer_s)
        return "list"

    async def run():
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        result = await repeated_reads.first_answer(
            attempt, host_list.READ_LIMITS
        )
        assert result == "list"
        return loop.time() - start_s

    assert in_virtual_time(run()) < 30.0


# Guards against a response without an end that fills the memory of the host.
async def test_response_that_is_too_large_is_a_failure(monkeypatch):
    async def respond(request):
        response = web.StreamResponse()
        await response.prepare(request)
        while True:
            await response.write(b"x" * 10_000)
            await asyncio.sleep(0)

    monkeypatch.setattr(store_client, "MAX_BODY_BYTES", 100_000)
    app = web.Application()
    app.add_routes([web.get("/log-read", respond)])
    server = testing.Server(app)
    client = store_client.StoreClient(await server.start())
    outcome = await client.read(TOPIC, 0)
    await client.close()
    await server.close()
    assert "100000 bytes" in outcome.reason
