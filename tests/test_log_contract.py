"""Contract of the log service, including its behaviour under faults."""

import asyncio

import attrs
import pytest
import pytest_asyncio

from fireflyspindle import testing
from fireflyspindle.adapters import log_client
from fireflyspindle.core import events

STREAM = "configuration"
DONE = events.AppendOutcome.DONE
REFUSED = events.AppendOutcome.REFUSED
UNKNOWN = events.AppendOutcome.UNKNOWN


@attrs.define
class LogService:
    """A log service under test; `log` injects its faults."""

    log: testing.StandInLog
    server: testing.Server
    client: log_client.LogClient

    async def bodies(self):
        """Returns the body of every record in the log."""
        batch = await self.client.read(STREAM, 0, wait=False)
        return [entry.body for entry in batch.entries]


@pytest_asyncio.fixture(params=["stand-in"])
async def service():
    log = testing.StandInLog()
    server = testing.Server(log.application())
    client = log_client.LogClient(await server.start(), append_timeout_s=0.2)
    yield LogService(log, server, client)
    await client.close()
    await server.close()


async def test_appends_get_consecutive_offsets(service):
    appended = [await service.client.append(STREAM, str(n)) for n in range(3)]
    assert appended == [log_client.AppendResult(DONE, n) for n in range(3)]
    batch = await service.client.read(STREAM, 1, wait=False)
    assert batch.entries == [
        events.LogEntry(1, "1"),
        events.LogEntry(2, "2"),
    ]
    assert (batch.earliest_offset, batch.next_offset) == (0, 3)


async def test_streams_are_independent(service):
    await service.client.append("claims", "x")
    batch = await service.client.read(STREAM, 0, wait=False)
    assert (batch.entries, batch.next_offset) == ([], 0)


async def test_waiting_read_returns_the_next_record(service):
    reading = asyncio.create_task(service.client.read(STREAM, 0))
    while service.log.reads == 0:
        await asyncio.sleep(0)
    await service.client.append(STREAM, "late")
    batch = await reading
    assert batch.entries == [events.LogEntry(0, "late")]


@pytest.mark.parametrize("from_offset", [2, 2**53])
async def test_read_at_or_beyond_the_end_is_empty(service, from_offset):
    for body in "ab":
        service.log.append(STREAM, body)
    batch = await service.client.read(STREAM, from_offset, wait=False)
    assert (batch.entries, batch.next_offset) == ([], 2)


async def test_read_of_an_expired_range_reports_the_earliest_offset(service):
    for number in range(10):
        service.log.append(STREAM, str(number))
    service.log.expire(STREAM, 6)
    batch = await service.client.read(STREAM, 2, wait=False)
    assert batch.earliest_offset == 6
    assert [entry.offset for entry in batch.entries] == [6, 7, 8, 9]


async def test_records_expire_and_offsets_continue(service):
    service.log.append(STREAM, "old")
    service.log.keep_s = 0.0
    while service.log.streams[STREAM].bodies:
        batch = await service.client.read(STREAM, 0, wait=False)
    assert (batch.earliest_offset, batch.next_offset) == (1, 1)
    service.log.keep_s = None
    assert await service.client.append(
        STREAM, "new"
    ) == log_client.AppendResult(DONE, 1)


async def test_long_read_is_paged_without_gaps(service):
    count = 3 * log_client.READ_LIMIT_RECORDS + 7
    for number in range(count):
        service.log.append(STREAM, str(number))
    bodies: list[str] = []
    while len(bodies) < count:
        batch = await service.client.read(STREAM, len(bodies), wait=False)
        assert batch.next_offset == count
        assert 0 < len(batch.entries) <= log_client.READ_LIMIT_RECORDS
        bodies += [entry.body for entry in batch.entries]
    assert bodies == [str(number) for number in range(count)]


@pytest.mark.parametrize(
    ("fault", "outcome", "copies"),
    [
        pytest.param({"down": True}, UNKNOWN, 0, id="down"),
        pytest.param({"lose_answers": 1}, UNKNOWN, 1, id="response lost"),
        pytest.param({"lose_requests": 1}, UNKNOWN, 0, id="request lost"),
        pytest.param({"delay_s": 9.0}, UNKNOWN, 0, id="request delayed"),
        pytest.param(
            {"answer_delay_s": 9.0}, UNKNOWN, 1, id="response delayed"
        ),
        pytest.param({"appends_per_s": 0}, REFUSED, 0, id="over budget"),
        pytest.param({"duplicate_appends": 1}, DONE, 2, id="stored twice"),
    ],
)
async def test_append_outcome_under_a_fault(service, fault, outcome, copies):
    for name, value in fault.items():
        setattr(service.log, name, value)
    appended = await service.client.append(STREAM, "record")
    assert appended.outcome is outcome
    for name in fault:
        setattr(service.log, name, getattr(testing.StandInLog(), name))
    assert await service.bodies() == ["record"] * copies


async def test_append_to_a_closed_port_is_refused(service):
    await service.server.close()
    appended = await service.client.append(STREAM, "record")
    assert appended.outcome is REFUSED
    assert await service.client.read(STREAM, 0) is None


@pytest.mark.parametrize(
    "fault", [{"down": True}, {"garble_reads": 1}], ids=["down", "corrupted"]
)
async def test_read_fails_under_a_fault_and_then_recovers(service, fault):
    service.log.append(STREAM, "record")
    for name, value in fault.items():
        setattr(service.log, name, value)
    assert await service.client.read(STREAM, 0, wait=False) is None
    service.log.down = False
    assert await service.bodies() == ["record"]


async def test_truncated_record_keeps_its_offset(service):
    for body in ("first", "second", "third"):
        service.log.append(STREAM, body)
    service.log.tear(STREAM, 1)
    assert await service.bodies() == ["first", "sec", "third"]


async def test_append_budget_allows_300_per_second(service):
    service.log.appends_per_s = 300
    appended = [await service.client.append(STREAM, "x") for _ in range(300)]
    assert {each.outcome for each in appended} == {DONE}


@pytest.mark.parametrize("query", ["from=x", "limit=1.5", "wait_ms=soon"])
async def test_malformed_read_is_rejected(service, query):
    address = service.client._base
    async with service.client._session.get(
        f"{address}/{STREAM}/records?{query}"
    ) as answer:
        assert answer.status == 400
