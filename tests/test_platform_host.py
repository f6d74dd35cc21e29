"""A gate host on the platform, between raw callers and scripted servers."""

import asyncio
import json

import attrs
import logbook
import pytest

from fireflyspindle import testing
from fireflyspindle.commands import explain
from fireflyspindle.core import events
from fireflyspindle.core import store_state
from fireflyspindle.platform import dialect
from fireflyspindle.platform import host as host_lib
from fireflyspindle.platform import store as store_client
from fireflyspindle.testing import platform_documents
from fireflyspindle.testing import store as store_lib
import platform_driver
import wire


async def test_request_reaches_the_server_and_its_answer_the_caller():
    async with platform_driver.running(platform_driver.answers()) as platform:
        found = await platform.ask(
            platform_driver.request(
                platform_driver.IDEMPOTENT + "1?x=%20y", "X-Other: kept"
            )
        )
        seen = platform.requests[0]
    assert found.first_line == b"HTTP/1.1 200 OK"
    assert found.body == b"ok"
    assert found.values(dialect.SERVER_SIGNATURE) == [b"s.q1"]
    assert found.values(dialect.REQUEST_ID) == [b"q1"]
    assert seen.first_line == b"GET /read/1?x=%20y HTTP/1.1"
    assert seen.values("X-Other") == [b"kept"]
    assert seen.values(dialect.TARGET_INSTANCE) == [b"i-0"]
    assert 0 < int(seen.values(dialect.DEADLINE_MS)[0]) <= 2500


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (platform_driver.request("/nowhere/1"), b"404"),
        (wire.request("GET", platform_driver.IDEMPOTENT), b"400"),
    ],
)
async def test_request_without_a_route_or_an_id_is_refused(sent, status):
    async with platform_driver.running(platform_driver.answers()) as platform:
        found = await platform.ask(sent)
        assert platform.requests == []
    assert found.first_line.split()[1] == status


async def test_pipelined_requests_run_together_and_are_answered_in_order():
    async def work(asked, writer):
        arrived.append(asked)
        if asked.values(dialect.REQUEST_ID) == [b"q1"]:
            await wire.until(lambda: len(arrived) == 3)
        writer.write(
            platform_driver.answer(asked, asked.values(dialect.REQUEST_ID)[0])
        )

    arrived = []
    async with platform_driver.running(
        platform_driver.answers(work)
    ) as platform:
        caller = await platform.caller()
        names = ["q1", "q2", "q3"]
        caller.writer.write(
            b"".join(platform_driver.request(name=name) for name in names)
        )
        async with asyncio.timeout(platform_driver.WAIT_S):
            found = [await caller.ask(b"") for _ in names]
        caller.close()
    assert [each.body for each in found] == [b"q1", b"q2", b"q3"]


async def test_second_answer_to_an_earlier_request_is_passed_over():
    async def work(asked, writer):
        late = platform_driver.answer(asked, b"late")
        if asked.values(dialect.REQUEST_ID) == [b"q2"]:
            writer.write(late.replace(b"q2", b"q1"))
        writer.write(platform_driver.answer(asked, b"own"))

    async with platform_driver.running(
        platform_driver.answers(work)
    ) as platform:
        first = await platform.ask(
            platform_driver.request(
                platform_driver.STRICT, method="POST", name="q1"
            )
        )
        second = await platform.ask(
            platform_driver.request(
                platform_driver.STRICT, method="POST", name="q2"
            )
        )
    assert (first.body, second.body) == (b"own", b"own")
    assert second.values(dialect.SERVER_SIGNATURE) == [b"s.q2"]


@pytest.mark.parametrize("whole", [True, False])
async def test_answer_without_length_is_whole_only_if_its_end_is_sound(whole):
    async def work(asked, writer):
        writer.write(platform_driver.answer(asked, b"body", framed=False))
        await writer.drain()
        await asyncio.sleep(0.02)
        if not whole:
            platform_driver.reset_on_close(writer)
        writer.close()

    async with platform_driver.running(
        platform_driver.answers(work)
    ) as platform:
        found = await platform.ask(
            platform_driver.request(platform_driver.STRICT, method="POST")
        )
    status = found.first_line.split()[1]
    assert status == (b"200" if whole else b"502")
    if whole:
        assert found.body == b"body"


async def test_cut_answer_of_a_repeatable_request_is_tried_again():
    async def cut(asked, writer):
        writer.write(platform_driver.answer(asked, b"whole")[:-2])
        await writer.drain()
        writer.transport.abort()

    async def work(asked, writer):
        tried.append(asked)
        if len(tried) == 1:
            await cut(asked, writer)
        else:
            writer.write(platform_driver.answer(asked, b"whole"))

    tried = []
    async with platform_driver.running(
        platform_driver.answers(work), platform_driver.answers(work, "i-1")
    ) as platform:
        found = await platform.ask(platform_driver.request())
    assert found.body == b"whole"
    assert len(tried) == 2


async def test_cut_answer_of_a_strict_request_is_not_tried_again():
    async def work(asked, writer):
        writer.write(platform_driver.answer(asked, b"whole")[:-2])
        await writer.drain()
        writer.transport.abort()

    async with platform_driver.running(
        platform_driver.answers(work), platform_driver.answers(work, "i-1")
    ) as platform:
        found = await platform.ask(
            platform_driver.request(platform_driver.STRICT, method="POST")
        )
        assert len(platform.requests) == 1
    assert found.first_line.split()[1] == b"502"


async def test_misdirected_request_goes_to_another_server():
    async def work(asked, writer):
        writer.write(
            platform_driver.answer(
                asked,
                b"",
                f"{dialect.INSTANCE_ID}: i-9",
                f"{dialect.NOT_EXECUTED}: 1",
                status="421 Misdirected Request",
            )
        )

    async with platform_driver.running(
        platform_driver.answers(work), platform_driver.answers(None, "i-1")
    ) as platform:
        for number in range(4):
            found = await platform.ask(
                platform_driver.request(
                    platform_driver.STRICT, method="POST", name=f"q{number}"
                )
            )
            assert found.body == b"ok"
        meant_for_another = [
            seen
            for seen in platform.requests
            if seen.values(dialect.TARGET_INSTANCE) == [b"i-0"]
        ]
        assert len(meant_for_another) <= 1


@pytest.mark.parametrize("lines", [(), ("Transfer-Encoding: chunked",)])
async def test_body_reaches_the_server_whole(lines):
    async with platform_driver.running(platform_driver.answers()) as platform:
        if lines:
            sent = platform_driver.request(
                platform_driver.STRICT, *lines, method="POST"
            )
            sent += b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        else:
            sent = platform_driver.request(
                platform_driver.STRICT, method="POST", body=b"abcde"
            )
        found = await platform.ask(sent)
        seen = platform.requests[0]
    assert found.first_line.split()[1] == b"200"
    assert seen.body == b"abcde"


async def test_leaving_server_gets_no_request_and_the_store_may_be_down():
    async with platform_driver.running(
        platform_driver.answers(), platform_driver.answers(None, "i-1")
    ) as platform:
        address = platform.host.state.registered["i-0"].entry.address
        leaving = platform_documents.entry(address, "draining")
        leaving["status"]["sequence"] = 2
        platform.store.write(store_lib.TARGETS_TOPIC, "i-0", leaving)
        await wire.until(lambda: platform.host.state.registered["i-0"].leaving)
        platform.store.refuse_status = 503
        for number in range(6):
            found = await platform.ask(
                platform_driver.request(name=f"q{number}")
            )
            assert found.first_line.split()[1] == b"200"
        reached = [
            seen
            for seen in platform.servers[0].requests
            if not seen.first_line.startswith(b"GET /health ")
        ]
    assert reached == []


async def test_new_configuration_is_in_force_and_an_older_one_is_not():
    async with platform_driver.running(platform_driver.answers()) as platform:
        newer = platform_driver.document(9)
        newer["listeners"][0]["host"] = "other.example"
        platform.store.write(store_lib.CONFIGURATION_TOPIC, "config", newer)
        await wire.until(lambda: platform.host.state.rules.version == 9)
        platform.store.write(
            store_lib.CONFIGURATION_TOPIC, "config", platform_driver.document(3)
        )
        platform.store.write(store_lib.CONFIGURATION_TOPIC, "config", b"{torn")
        await asyncio.sleep(0.05)
        found = await platform.ask(platform_driver.request())
    assert found.first_line.split()[1] == b"404"


async def test_planned_stop_ends_what_is_in_flight():
    async def work(asked, writer):
        arrived.set()
        await asyncio.sleep(0.2)
        writer.write(platform_driver.answer(asked, b"done"))

    arrived = asyncio.Event()
    async with platform_driver.running(
        platform_driver.answers(work)
    ) as platform:
        asking = asyncio.create_task(
            platform.ask(
                platform_driver.request(platform_driver.STRICT, method="POST")
            )
        )
        await arrived.wait()
        platform.host.request_stop()
        found = await asking
    assert found.body == b"done"
    assert found.values("Connection") == [b"close"]


async def test_malformed_entry_is_logged_once():
    async with platform_driver.running(platform_driver.answers()) as platform:
        client = store_client.StoreClient(platform.host.settings.store_address)
        batch = await client.read(store_lib.TARGETS_TOPIC, None)
        await client.close()
        decoder = platform.host._reading.decoder
        read = decoder.event(0, store_state.Source.TARGETS, batch, None)
    assert isinstance(read, events.TargetsRead)
    assert [each.target_id for each in read.entries] == ["i-0"]
    assert list(decoder.unreadable) == ["i-bad"]


async def test_caller_waits_for_a_host_that_has_just_started():
    async with platform_driver.running(platform_driver.answers()) as platform:
        platform.store.delay_s = 0.2
        host = host_lib.PlatformHost(
            attrs.evolve(platform.host.settings, host_id="edge-2")
        )
        await host.start()
        caller = await testing.connect(host.data_path.server.address)
        async with asyncio.timeout(platform_driver.WAIT_S):
            found = await caller.ask(platform_driver.request())
        caller.close()
        host.request_stop()
        host.request_stop()
        await host.wait_closed()
    assert found.first_line == b"HTTP/1.1 200 OK"


async def test_answer_that_waits_behind_another_leaves_a_line(tmp_path, capsys):
    async def work(asked, writer):
        if asked.values(dialect.REQUEST_ID) == [b"q1"]:
            return
        writer.write(platform_driver.answer(asked))
        answered.set()

    answered = asyncio.Event()
    async with platform_driver.running(
        platform_driver.answers(work)
    ) as platform:
        with logbook.TestHandler().applicationbound() as kept:
            caller = await platform.caller()
            caller.writer.write(
                platform_driver.request(name="q1")
                + platform_driver.request(name="q2")
            )
            await answered.wait()
            server = platform.host.data_path.server
            await wire.until(
                lambda: any(
                    turn.ended
                    for connection in server.connections
                    for turn in connection.turns
                )
            )
            caller.close()
            await wire.until(
                lambda: any(
                    record.kwargs.get("code") == "answer_undelivered"
                    for record in kept.records
                )
            )
    lines = [
        {"time": "t", "message": record.message, **record.kwargs}
        for record in kept.records
        if record.kwargs.get("code") == "answer_undelivered"
    ]
    assert [(line["request_id"], line["behind"]) for line in lines] == [
        ("q2", "q1")
    ]
    log = tmp_path / "log"
    log.write_text(json.dumps(lines[0]))
    assert explain.explain("q2", log) == 0
    assert "request q1" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("size", "status"), [(12_000, b"200"), (20_000, b"400")]
)
async def test_limit_of_the_configuration_on_a_head_line_holds(size, status):
    async with platform_driver.running(platform_driver.answers()) as platform:
        found = await platform.ask(
            platform_driver.request(
                platform_driver.IDEMPOTENT + "1", "X-Long: " + "x" * size
            )
        )
    assert found.first_line.split()[1] == status


async def test_head_that_does_not_come_to_its_end_is_cut():
    async with platform_driver.running(platform_driver.answers()) as platform:
        server = platform.host.data_path.server
        server.head_limits = attrs.evolve(server.head_limits, timeout_s=0.2)
        caller = await platform.caller()
        caller.writer.write(platform_driver.request()[:-10])
        await wire.until(lambda: len(server.connections) == 1)
        (connection,) = server.connections
        clock = asyncio.get_running_loop()
        await wire.until(lambda: connection.overdue(clock.time() + 1.0))
        async with asyncio.timeout(platform_driver.WAIT_S):
            # The next sweep, within a second, cuts it.
            assert await caller.ask(b"") is None
        caller.close()
