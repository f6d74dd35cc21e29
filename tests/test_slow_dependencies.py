"""Dependencies that answer late, byte by byte, or fail in one thing only.

A time limit must not cut off every try at the same point, or an answer that
takes longer never arrives; and the failure of one thing must not end others.
"""

import asyncio

from aiohttp import web
import attrs
import pytest
import pytest_asyncio

import crash_fleet
from fireflyspindle import testing
from fireflyspindle.adapters import host_list
from fireflyspindle.adapters import log_client
from fireflyspindle.adapters import quota_permits
from fireflyspindle.adapters import repeated_reads
from fireflyspindle.adapters import store_feed_client
from fireflyspindle.bench import fleet as fleet_lib
from fireflyspindle.bench import quota_fleet
from fireflyspindle.core import configuration
from fireflyspindle.core import crash_records
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import readiness
from fireflyspindle.core import recovery
from fireflyspindle.core import snapshot_writer
from fireflyspindle.core import snapshots
from fireflyspindle.core.quotas import messages
from fireflyspindle.platform import host as host_lib
from fireflyspindle.platform import store_client
from fireflyspindle.testing import tcp_proxy
import platform_driver
import proof_fleet
import published_driver

QUICK = effects.ReadLimits(100_000, 60_000, 1_500_000)
READ_PAGE = {
    "records": [{"offset": 0, "body": "x" * 2_000}],
    "earliest": 0,
    "next": 1,
}
HOST_LIST = {
    "gates": [],
    "targets": [{"host_id": "t", "address": "10.0.0.1:80", "leaving": True}],
}


@pytest_asyncio.fixture
async def serve():
    """Returns a function that serves a handler of every path."""
    servers = []

    async def start(handler):
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", handler)
        servers.append(testing.Server(app))
        return await servers[-1].start()

    yield start
    for server in servers:
        await server.close()


@pytest_asyncio.fixture
async def opened():
    """Returns a list of clients that are closed after the test."""
    clients = []
    yield clients
    for client in clients:
        await client.close()


def late(content, delay_s):
    """Returns a handler that answers with JSON content after a delay."""

    async def answer(_request):
        await asyncio.sleep(delay_s)
        return web.json_response(content)

    return answer


def trickling(content, duration_s, requests):
    """Returns a handler whose body arrives in pieces over a duration."""

    async def answer(request):
        requests.append(request.path)
        body = web.json_response(content).body
        response = web.StreamResponse()
        response.content_length = len(body)
        await response.prepare(request)
        for position in range(0, len(body), len(body) // 20):
            await response.write(body[position : position + len(body) // 20])
            await asyncio.sleep(duration_s / 20)
        return response

    return answer


async def first_result(read, within_s):
    """Repeats a read after failures; returns its first result, or None."""
    try:
        async with asyncio.timeout(within_s):
            while (outcome := await read()) is None:
                await asyncio.sleep(0.1)
            return outcome
    except TimeoutError:
        return None


async def test_log_that_answers_after_the_time_limit_is_read(serve, opened):
    # Guards against reads that are all given up at the same point.
    address = await serve(late(READ_PAGE, 8.0))
    log = log_client.LogClient(address)
    opened.append(log)
    read = await first_result(
        lambda: log.read(configuration.STREAM, 0, wait=False), 16.0
    )
    assert read is not None
    assert read.next_offset == 1


async def test_page_of_the_log_that_still_arrives_is_not_cut_off(serve, opened):
    # Guards against a limit that counts time instead of progress.
    requests = []
    address = await serve(trickling(READ_PAGE, 9.0, requests))
    log = log_client.LogClient(address)
    opened.append(log)
    read = await first_result(
        lambda: log.read(configuration.STREAM, 0, wait=False), 12.0
    )
    assert read is not None
    assert len(requests) == 1


async def test_lost_read_of_the_log_is_replaced_in_time(serve, opened):
    # Guards against waiting for an answer that will not come: a record has to
    # be in force within 8 s.
    requests = []

    async def answer_all_but_the_first(request):
        requests.append(request.path)
        if len(requests) == 1:
            await asyncio.Event().wait()
        return web.json_response(READ_PAGE)

    log = log_client.LogClient(await serve(answer_all_but_the_first))
    opened.append(log)
    read = await first_result(lambda: log.read(configuration.STREAM, 0), 8.0)
    assert read is not None


async def test_response_that_trickles_for_ever_does_not_block_a_read():
    # Guards against a broken server that is taken for a slow one for good.
    tries = []

    async def attempt(progress):
        tries.append(progress)
        while len(tries) == 1 or tries[0] is progress:
            await asyncio.sleep(0.02)
            progress.received_s = asyncio.get_running_loop().time()
            progress.received_bytes += 1
        return "whole"

    async with asyncio.timeout(10.0):
        assert await repeated_reads.first_answer(attempt, QUICK) == "whole"
    assert len(tries) == 2


async def test_failed_repetition_does_not_end_the_try_that_is_kept():
    # Guards against a busy server whose refusal of a second request would end
    # the first one, which it is still working on.
    tries = []

    async def attempt(progress):
        tries.append(progress)
        if len(tries) > 1:
            return None
        await asyncio.sleep(0.35)
        return "late"

    assert await repeated_reads.first_answer(attempt, QUICK) == "late"
    assert 2 <= len(tries) <= 6


async def test_read_without_any_data_fails_at_its_limit():
    # Guards against a read that is never reported as failed.
    in_progress = set()

    async def attempt(progress):
        in_progress.add(progress)
        try:
            await asyncio.Event().wait()
        finally:
            in_progress.discard(progress)

    async with asyncio.timeout(10.0):
        assert await repeated_reads.first_answer(attempt, QUICK) is None
    await asyncio.sleep(0)
    assert not in_progress


async def test_append_that_the_log_answers_late_is_not_taken_back(opened):
    # Guards against appends that are all cancelled before the log, which drops
    # what its caller gave up, has carried out one.
    stand_in = testing.StandInLog()
    stand_in.delay_s = 3.0
    server = testing.Server(stand_in.application())
    log = log_client.LogClient(await server.start())
    opened.append(log)
    appended = await log.append(configuration.STREAM, "record")
    assert appended.outcome is events.AppendOutcome.UNKNOWN
    await asyncio.sleep(1.5)
    stream = stand_in.streams.get(configuration.STREAM)
    assert stream is not None and stream.bodies == ["record"]
    await log.close()
    await server.close()


async def test_snapshot_is_written_to_a_log_that_answers_late(
    make_host, opened
):
    # Guards against a snapshot of which the first part is appended again and
    # again, and the others never, so that a new host finds none.
    host = make_host()
    state = host.state
    targets = [{"address": f"10.1.0.{n}:80"} for n in range(100)]
    for number in range(30):
        host.publish("service", f"s{number}", {"targets": targets})
    recovery.mark_initialized(state)
    host.feed(events.LogRead, snapshots.STREAM, [], 0, 0, 0)
    host.advance(2 * snapshot_writer.MAX_CHECK_INTERVAL_US)
    emitted = host.feed(events.LogRead, snapshots.STREAM, [], 0, 0, 0)
    stand_in = testing.StandInLog()
    stand_in.answer_delay_s = 2.3
    server = testing.Server(stand_in.application())
    log = log_client.LogClient(await server.start())
    opened.append(log)
    parts = len(state.recovery.unwritten_parts)
    assert parts > 1
    for _ in range(parts):
        [append] = [
            effect
            for effect in emitted
            if isinstance(effect, effects.AppendRecord)
        ]
        appended = await log.append(
            append.stream, append.body, append.timeout_us / 1e6
        )
        emitted = host.feed(
            events.AppendEnded,
            append.append_id,
            appended.outcome,
            appended.offset,
        )
    assert not state.recovery.unwritten_parts
    assert len(stand_in.streams[snapshots.STREAM].bodies) == parts
    await log.close()
    await server.close()


async def test_host_list_that_takes_longer_than_its_limit_is_read(
    serve, opened
):
    # Guards against leaving targets that are never learnt from the list.
    client = host_list.HostListClient(await serve(late(HOST_LIST, 3.0)))
    opened.append(client)
    read = await first_result(client.read, 10.0)
    assert read is not None
    assert read.listed.targets[0].leaving


async def test_host_list_that_still_arrives_is_not_cut_off(serve, opened):
    # Guards against a long list that never passes a narrow link.
    requests = []
    client = host_list.HostListClient(
        await serve(trickling(HOST_LIST, 4.0, requests))
    )
    opened.append(client)
    read = await first_result(client.read, 10.0)
    assert read is not None
    assert len(requests) == 1


def test_host_becomes_ready_though_the_host_list_stays_silent(make_host):
    # Guards against a start that waits for a list that nobody serves.
    host = make_host()
    for _ in range(readiness.MAX_HOST_LIST_FAILURES):
        assert readiness.not_ready_reason(host.state) is not None
        emitted = host.feed(events.HostListReadUnanswered)
        assert effects.ReadHostList not in map(type, emitted)
    assert readiness.not_ready_reason(host.state) is None


async def test_silent_host_list_is_reported_while_it_is_read(serve, opened):
    # Guards against silence that the reducer is not told of.
    async def stay_silent(_request):
        await asyncio.Event().wait()

    client = host_list.HostListClient(await serve(stay_silent))
    opened.append(client)
    unanswered = []
    read = await client.read(QUICK, lambda: unanswered.append(True))
    assert read is None
    assert 2 <= len(unanswered) <= 15


async def test_reader_that_counts_slowly_is_counted(serve, opened):
    # Guards against a fleet that is taken for smaller than it is: budgets of
    # probes and resends are divided by the count.
    client = store_feed_client.FeedClient(lambda: 0)
    opened.append(client)
    address = await serve(late({"hosts": 7}, 1.5))
    for _ in range(4):
        hosts = await client.count_hosts(address)
        if hosts is not None:
            break
        # A reader counts every 2 s.
        await asyncio.sleep(1.0)
    assert hosts == 7


async def test_helpers_that_a_reader_lists_slowly_are_used(serve, opened):
    # Guards against calls that are refused though other hosts could carry them.
    client = store_feed_client.FeedClient(lambda: 0)
    opened.append(client)
    address = await serve(late({"helpers": [["10.0.0.9:1", "a"]]}, 0.75))
    lists = [await client.list_helpers(address, False) for _ in range(4)]
    assert lists[1:] == 3 * [[events.HelperAddress("10.0.0.9:1", "a")]]


async def test_host_without_store_is_configured_over_a_slow_feed():
    # Guards against a reader that is replaced before its first line, which
    # takes 0.6 s here, has arrived, whichever reader it is.
    async with platform_driver.reader_and_follower() as (_, reader, _):
        proxy = tcp_proxy.TcpProxy(reader.settings.control_address)
        proxy.delay_s = 0.3
        proxy.fault = tcp_proxy.Fault.DELAY
        host = host_lib.PlatformHost(
            attrs.evolve(
                reader.settings,
                host_id="far",
                store_address=testing.free_address(),
                control_address="127.0.0.1:0",
                reader_addresses=(await proxy.start(),),
            )
        )
        await host.start()
        configured = False
        try:
            async with asyncio.timeout(5.0):
                while host.state.rule_table.version != 1:
                    await asyncio.sleep(0.02)
                configured = True
        except TimeoutError:
            pass
        finally:
            host.request_stop()
            host.request_stop()
            await host.wait_closed()
            await proxy.close()
        assert configured


def test_permits_that_arrive_late_are_used(monkeypatch):
    # Guards against an organisation within its quota whose requests are refused
    # because the reader is far away; what it grants is lost to the quota.
    monkeypatch.setattr(quota_fleet, "DELAY_US", (55_000, 60_000))
    quota = quota_fleet.organisation("acme", 20.0, 20.0)
    fleet = quota_fleet.QuotaFleet(14, [quota], seed=7)
    fleet.offer(quota.name, 10.0, list(range(3, 14)), 12)
    fleet.run(quota_fleet.START_US / 1e6 + 13)
    assert len(fleet.tallies[quota.name].runs_us) >= 0.9 * 10.0 * 12
    assert fleet.worst_excess(quota) <= 0


def test_late_permits_do_not_exceed_the_quota(monkeypatch):
    # Guards against permits whose validity begins when they arrive.
    monkeypatch.setattr(quota_fleet, "DELAY_US", (55_000, 60_000))
    quota = quota_fleet.organisation("acme", 20.0, 20.0)
    fleet = quota_fleet.QuotaFleet(14, [quota], seed=7)
    fleet.offer(quota.name, 100.0, list(range(14)), 12)
    fleet.run(quota_fleet.START_US / 1e6 + 13)
    assert fleet.worst_excess(quota) <= 0


@attrs.define
class RecordingShell:
    """Keeps the events that an adapter submits."""

    events: list = attrs.field(factory=list)

    def now_us(self):
        """Returns a time."""
        return 0

    def submit(self, event):
        """Keeps an event."""
        self.events.append(event)

    def spawn(self, work):
        """Starts a task."""
        return asyncio.create_task(work)


async def test_late_answer_about_permits_is_reported(serve, opened):
    # Guards against an answer that is dropped where it arrives.
    shell = RecordingShell()
    client = quota_permits.QuotaPermits(shell)
    opened.append(client)
    reader = await serve(late({"granted": {"acme": 2}}, 0.2))
    client.execute_effect(
        messages.RequestQuotaPermits(reader, 1, 1, {"acme": 2}, {})
    )
    await asyncio.sleep(0.15)
    assert list(map(type, shell.events)) == [messages.QuotaRequestFailed]
    await asyncio.sleep(0.25)
    assert shell.events[1].grant.granted == {"acme": 2}


@pytest.mark.parametrize("round_trip_us", [5_000, 120_000, 450_000])
def test_targets_that_answer_checks_late_are_found_reachable(
    make_published_host, round_trip_us
):
    # Guards against calls that are refused for ever after a cut because the
    # way to the targets has become longer than the limit of a check.
    host = make_published_host(targets=6)
    host.lose_targets()
    seen = len(host.effects)
    due = []
    for _ in range(600):
        host.advance(5_000)
        for effect in host.effects[seen:]:
            if isinstance(effect, effects.ProbeTarget):
                limit_us = effect.timeout_us or 100_000
                answered = round_trip_us < limit_us
                taken_us = min(round_trip_us, limit_us)
                due.append((host.now_us + taken_us, effect, answered))
        seen = len(host.effects)
        for ended in [each for each in due if each[0] <= host.now_us]:
            due.remove(ended)
            report = published_driver.load() if ended[2] else None
            host.feed(events.ProbeEnded, ended[1].probe_id, report)
        if not host.state.reachability.lost:
            break
    assert not host.state.reachability.lost


def test_key_is_served_while_readers_answer_after_the_time_limit(monkeypatch):
    # Guards against proofs that are all dropped because each comes late.
    fleet = proof_fleet.Fleet(hosts=6)
    fleet.run(6_000_000)
    follower = fleet.hosts[3]
    assert follower.may_serve("old")
    monkeypatch.setattr(proof_fleet, "LINK_US", 300_000)
    follower.cut_from_store = True
    for _ in range(30):
        fleet.run(1_000_000)
        assert follower.may_serve("old")


def test_key_is_withdrawn_in_time_while_answers_are_late(monkeypatch):
    # Guards against a late answer that proves more than it did when it was
    # given: the age of the proof has to count from the question.
    fleet = proof_fleet.Fleet(hosts=6)
    fleet.run(6_000_000)
    monkeypatch.setattr(proof_fleet, "LINK_US", 300_000)
    fleet.run(3_000_000)
    fleet.write(proof_fleet.document(2, "kept"))
    fleet.hosts[3].cut_from_store = True
    fleet.run(proof_fleet.REVOCATION_MS * 1000)
    assert not any(host.may_serve("old") for host in fleet.hosts)


class CrashFleetWithSlowAppends(crash_fleet.CrashFleet):
    """A store that carries out appends, each too late for the answer."""

    appends = 0

    def _appends(self, host):
        written = {}
        first = self._known.get(id(host), 0)
        while first < len(host.effects):
            effect = host.effects[first]
            first += 1
            self._known[id(host)] = first
            if isinstance(effect, effects.AppendCrashes):
                self.appends += 1
                written |= effect.records
                host.feed(
                    events.CrashesAppended, effect.append_id, "no response"
                )
        return written


def test_crash_record_that_the_store_took_is_not_written_again(
    make_published_host,
):
    # Guards against the same records being appended for as long as the store
    # answers appends too late.
    fleet = CrashFleetWithSlowAppends(make_published_host, hosts=2)
    fleet.crash_under(fleet.hosts[0])
    fleet.share(10_000_000)
    assert fleet.records
    assert fleet.appends <= 2
    assert not fleet.hosts[0].state.crashes.unsent


async def test_append_to_a_store_whose_queue_is_long_is_carried_out(opened):
    # Guards against appends that are all given up before their turn: the store
    # queues up to 2 s of them.
    stand_in = testing.StandInStore()
    stand_in.delay_s = 1.8
    server = testing.Server(stand_in.application())
    client = store_client.StoreClient(await server.start())
    opened.append(client)
    for _ in range(3):
        if not await client.append("keyed.gate-crashes", {"key": b"value"}):
            break
    assert stand_in.topics["keyed.gate-crashes"].records
    await client.close()
    await server.close()


def test_newer_repetition_of_a_request_is_written_though_an_older_one_is_read(
    make_published_host,
):
    # Guards against evidence that expires while the request still comes.
    fleet = crash_fleet.CrashFleet(make_published_host, hosts=1)
    host = fleet.hosts[0]
    fleet.crash_under(host)
    fleet.share()
    key = events.CrashKey(crash_fleet.FINGERPRINT)
    host.state.crashes.suspects[key.fingerprint].repeated_us = host.now_us
    crash_records.write(host.state, key, events.CrashRecord("s", 0))
    older = events.CrashRecord("s", 5_000_000)
    host.feed(events.CrashesRead, {key: older}, [], False, 9)
    assert key in host.state.crashes.unsent | host.state.crashes.in_flight
    host.feed(
        events.CrashesRead, {key: events.CrashRecord("s", 0)}, [], False, 10
    )
    assert key not in host.state.crashes.unsent | host.state.crashes.in_flight


def test_long_configuration_is_read_while_snapshots_can_not_be():
    # Guards against a host that never becomes ready because one stream of the
    # log fails, though the other has every record.
    fleet = fleet_lib.Fleet(seed=1)
    fleet.log.unreadable_streams.add(snapshots.STREAM)
    for number in range(1_203):
        route = {"path_prefix": f"/{number}", "service": "s"}
        fleet.publish("route", f"r{number}", route)
    host = fleet.start_host()
    fleet.run(60)
    assert host.configuration.next_offset == 1_203
    assert host.configuration.complete
