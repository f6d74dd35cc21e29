"""A gate host on the platform, between raw callers and scripted servers."""

import asyncio
import contextlib
import json
import socket
import struct

import aiohttp
import attrs
import logbook
import pytest

from fireflyspindle import testing
from fireflyspindle.commands import explain
from fireflyspindle.core import events
from fireflyspindle.core import store_state
from fireflyspindle.platform import dialect
from fireflyspindle.platform import host as host_lib
from fireflyspindle.platform import settings as settings_lib
from fireflyspindle.platform import store as store_client
from fireflyspindle.testing import store as store_lib
from fireflyspindle.testing import tcp_proxy
import wire

WAIT_S = 10.0
IDEMPOTENT = "/read/"
STRICT = "/offer/"


def answer(request, body=b"ok", *lines, status="200 OK", framed=True):
    """Returns the bytes of a server's answer to a request."""
    request_id = b"".join(request.values(dialect.REQUEST_ID)).decode()
    head = [
        f"HTTP/1.1 {status}",
        f"{dialect.REQUEST_ID}: {request_id}",
        f"{dialect.SERVER_SIGNATURE}: s.{request_id}",
        f"{dialect.SERVER_LOAD}: 0,0,4,100",
        *lines,
    ]
    if framed:
        head.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*head, "", ""]).encode() + body


def answers(work=None, instance="i-0"):
    """Returns the behaviour of a server; `work` writes answers of requests."""

    async def behave(request, writer):
        if request.first_line.startswith(b"GET /health "):
            lines = f"{dialect.INSTANCE_ID}: {instance}"
            found = answer(request, b"", lines).replace(
                f"{dialect.REQUEST_ID}: \r\n".encode(), b""
            )
            writer.write(found)
        elif work is None:
            writer.write(answer(request))
        else:
            await work(request, writer)
        with contextlib.suppress(ConnectionError):
            await writer.drain()

    return behave


@attrs.define
class Platform:
    """A store, scripted servers and one gate host."""

    store: testing.StandInStore
    servers: list[testing.ScriptedTarget]
    host: host_lib.PlatformHost

    @property
    def requests(self):
        """Requests that reached servers, probes left out."""
        return [
            seen
            for server in self.servers
            for seen in server.requests
            if not seen.first_line.startswith(b"GET /health ")
        ]

    async def caller(self):
        """Opens a caller's connection."""
        return await testing.connect(self.host.data_path.server.address)

    async def ask(self, request):
        """Sends a request on a connection of its own."""
        caller = await self.caller()
        async with asyncio.timeout(WAIT_S):
            found = await caller.ask(request)
        caller.close()
        return found


def reset_on_close(writer):
    """Makes the close of a connection reset it."""
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )


def request(path=IDEMPOTENT + "1", *lines, method="GET", body=b"", name="q1"):
    """Returns the bytes of a caller's request."""
    return wire.request(
        method,
        path,
        f"{dialect.REQUEST_ID}: {name}",
        f"{dialect.DEADLINE_MS}: 3000",
        *lines,
        body=body,
    )


def document(version):
    """The operator's configuration, with one route of each kind."""

    def rule(name, prefix, kind):
        return {
            "name": name,
            "route-kind": kind,
            "target-latency-ms": 500,
            "priority": 1,
            "match": {"path-prefix": prefix},
            "action": {
                "service": "s",
                "timeout-ms": 2500,
                "max-attempts": 2,
            },
        }

    return {
        "version": f"{version:08x}",
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 1_000_000,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "listeners": [
            {
                "host": "dossier.example",
                "rules": [
                    rule("r-1", IDEMPOTENT, "idempotent"),
                    rule("r-2", STRICT, "non_idempotent"),
                ],
            }
        ],
        "clusters": [{"name": "s", "health-path": "/health", "max-conns": 99}],
    }


def entry(address, state="ready"):
    """A server's entry."""
    return {
        "address": address,
        "info": {"service": "s", "version": "v1", "zone": "a", "capacity": 4},
        "status": {"state": state, "sequence": 1, "cold-left-ms": 0},
        "born": 1_790_000_000_000,
    }


@contextlib.asynccontextmanager
async def running(*behaviours):
    """Runs a gate host before one scripted server for each behaviour."""
    store = testing.StandInStore()
    store_server = testing.Server(store.application())
    store_address = await store_server.start()
    servers = [testing.ScriptedTarget(found) for found in behaviours]
    store.write(store_lib.CONFIGURATION_TOPIC, "config", document(1))
    for number, server in enumerate(servers):
        address = await server.start()
        store.write(store_lib.TARGETS_TOPIC, f"i-{number}", entry(address))
    store.write(store_lib.TARGETS_TOPIC, "i-bad", b"no entry")
    host = host_lib.PlatformHost(
        settings_lib.HostSettings(
            host_id="edge-1",
            failure_domain="a",
            callers_address="127.0.0.1:0",
            ready_address="127.0.0.1:0",
            store_address=store_address,
        )
    )
    await host.start()
    await wire.until(
        lambda: (
            len(host.state.registered) == len(servers)
            and host.state.rules.version is not None
        )
    )
    try:
        yield Platform(store, servers, host)
    finally:
        host.request_stop()
        host.request_stop()
        await host.wait_closed()
        for server in servers:
            await server.close()
        await store_server.close()


async def test_request_reaches_the_server_and_its_answer_the_caller():
    async with running(answers()) as platform:
        found = await platform.ask(
            request(IDEMPOTENT + "1?x=%20y", "X-Other: kept")
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
        (request("/nowhere/1"), b"404"),
        (wire.request("GET", IDEMPOTENT), b"400"),
    ],
)
async def test_request_without_a_route_or_an_id_is_refused(sent, status):
    async with running(answers()) as platform:
        found = await platform.ask(sent)
        assert platform.requests == []
    assert found.first_line.split()[1] == status


async def test_pipelined_requests_run_together_and_are_answered_in_order():
    async def work(asked, writer):
        arrived.append(asked)
        if asked.values(dialect.REQUEST_ID) == [b"q1"]:
            await wire.until(lambda: len(arrived) == 3)
        writer.write(answer(asked, asked.values(dialect.REQUEST_ID)[0]))

    arrived = []
    async with running(answers(work)) as platform:
        caller = await platform.caller()
        names = ["q1", "q2", "q3"]
        caller.writer.write(b"".join(request(name=name) for name in names))
        async with asyncio.timeout(WAIT_S):
            found = [await caller.ask(b"") for _ in names]
        caller.close()
    assert [each.body for each in found] == [b"q1", b"q2", b"q3"]


async def test_second_answer_to_an_earlier_request_is_passed_over():
    async def work(asked, writer):
        late = answer(asked, b"late")
        if asked.values(dialect.REQUEST_ID) == [b"q2"]:
            writer.write(late.replace(b"q2", b"q1"))
        writer.write(answer(asked, b"own"))

    async with running(answers(work)) as platform:
        first = await platform.ask(request(STRICT, method="POST", name="q1"))
        second = await platform.ask(request(STRICT, method="POST", name="q2"))
    assert (first.body, second.body) == (b"own", b"own")
    assert second.values(dialect.SERVER_SIGNATURE) == [b"s.q2"]


@pytest.mark.parametrize("whole", [True, False])
async def test_answer_without_length_is_whole_only_if_its_end_is_sound(whole):
    async def work(asked, writer):
        writer.write(answer(asked, b"body", framed=False))
        await writer.drain()
        await asyncio.sleep(0.02)
        if not whole:
            reset_on_close(writer)
        writer.close()

    async with running(answers(work)) as platform:
        found = await platform.ask(request(STRICT, method="POST"))
    status = found.first_line.split()[1]
    assert status == (b"200" if whole else b"502")
    if whole:
        assert found.body == b"body"


async def test_cut_answer_of_a_repeatable_request_is_tried_again():
    async def cut(asked, writer):
        writer.write(answer(asked, b"whole")[:-2])
        await writer.drain()
        writer.transport.abort()

    async def work(asked, writer):
        tried.append(asked)
        if len(tried) == 1:
            await cut(asked, writer)
        else:
            writer.write(answer(asked, b"whole"))

    tried = []
    async with running(answers(work), answers(work, "i-1")) as platform:
        found = await platform.ask(request())
    assert found.body == b"whole"
    assert len(tried) == 2


async def test_cut_answer_of_a_strict_request_is_not_tried_again():
    async def work(asked, writer):
        writer.write(answer(asked, b"whole")[:-2])
        await writer.drain()
        writer.transport.abort()

    async with running(answers(work), answers(work, "i-1")) as platform:
        found = await platform.ask(request(STRICT, method="POST"))
        assert len(platform.requests) == 1
    assert found.first_line.split()[1] == b"502"


async def test_misdirected_request_goes_to_another_server():
    async def work(asked, writer):
        writer.write(
            answer(
                asked,
                b"",
                f"{dialect.INSTANCE_ID}: i-9",
                f"{dialect.NOT_EXECUTED}: 1",
                status="421 Misdirected Request",
            )
        )

    async with running(answers(work), answers(None, "i-1")) as platform:
        for number in range(4):
            found = await platform.ask(
                request(STRICT, method="POST", name=f"q{number}")
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
    async with running(answers()) as platform:
        if lines:
            sent = request(STRICT, *lines, method="POST")
            sent += b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        else:
            sent = request(STRICT, method="POST", body=b"abcde")
        found = await platform.ask(sent)
        seen = platform.requests[0]
    assert found.first_line.split()[1] == b"200"
    assert seen.body == b"abcde"


async def test_leaving_server_gets_no_request_and_the_store_may_be_down():
    async with running(answers(), answers(None, "i-1")) as platform:
        address = platform.host.state.registered["i-0"].entry.address
        leaving = entry(address, "draining")
        leaving["status"]["sequence"] = 2
        platform.store.write(store_lib.TARGETS_TOPIC, "i-0", leaving)
        await wire.until(lambda: platform.host.state.registered["i-0"].leaving)
        platform.store.refuse_status = 503
        for number in range(6):
            found = await platform.ask(request(name=f"q{number}"))
            assert found.first_line.split()[1] == b"200"
        reached = [
            seen
            for seen in platform.servers[0].requests
            if not seen.first_line.startswith(b"GET /health ")
        ]
    assert reached == []


async def test_new_configuration_is_in_force_and_an_older_one_is_not():
    async with running(answers()) as platform:
        newer = document(9)
        newer["listeners"][0]["host"] = "other.example"
        platform.store.write(store_lib.CONFIGURATION_TOPIC, "config", newer)
        await wire.until(lambda: platform.host.state.rules.version == 9)
        platform.store.write(
            store_lib.CONFIGURATION_TOPIC, "config", document(3)
        )
        platform.store.write(store_lib.CONFIGURATION_TOPIC, "config", b"{torn")
        await asyncio.sleep(0.05)
        found = await platform.ask(request())
    assert found.first_line.split()[1] == b"404"


async def test_planned_stop_ends_what_is_in_flight():
    async def work(asked, writer):
        arrived.set()
        await asyncio.sleep(0.2)
        writer.write(answer(asked, b"done"))

    arrived = asyncio.Event()
    async with running(answers(work)) as platform:
        asking = asyncio.create_task(
            platform.ask(request(STRICT, method="POST"))
        )
        await arrived.wait()
        platform.host.request_stop()
        found = await asking
    assert found.body == b"done"
    assert found.values("Connection") == [b"close"]


async def test_malformed_entry_is_logged_once():
    async with running(answers()) as platform:
        client = store_client.StoreClient(platform.host.settings.store_address)
        batch = await client.read(store_lib.TARGETS_TOPIC, None)
        await client.close()
        decoder = platform.host._reading.decoder
        read = decoder.event(0, store_state.Source.TARGETS, batch, None)
    assert isinstance(read, events.TargetsRead)
    assert [each.target_id for each in read.entries] == ["i-0"]
    assert list(decoder.unreadable) == ["i-bad"]


async def gauge(host, name):
    """Returns a value that a host serves to the operators' metrics."""
    address, port = host._runners[0].addresses[0]
    url = f"http://{address}:{port}/metrics"
    async with aiohttp.ClientSession() as session, session.get(url) as found:
        text = await found.text()
    (line,) = [line for line in text.splitlines() if f'"{name}"' in line]
    return float(line.split()[-1])


@contextlib.asynccontextmanager
async def fleet():
    """Runs a store, a host that reads it and one that follows that host."""
    store = testing.StandInStore()
    store_server = testing.Server(store.application())
    store_address = await store_server.start()
    store.write(store_lib.CONFIGURATION_TOPIC, "config", document(1))
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        control_address = f"127.0.0.1:{bound.getsockname()[1]}"
    hosts = []
    for own_address in (control_address, "127.0.0.1:0"):
        host = host_lib.PlatformHost(
            settings_lib.HostSettings(
                host_id=own_address,
                failure_domain="a",
                callers_address="127.0.0.1:0",
                ready_address="127.0.0.1:0",
                store_address=store_address,
                control_address=own_address,
                readers=(control_address,),
            )
        )
        await host.start()
        hosts.append(host)
    await wire.until(lambda: all(h.state.rules.version == 1 for h in hosts))
    try:
        yield store, *hosts
    finally:
        for host in hosts:
            host.request_stop()
            host.request_stop()
            await host.wait_closed()
        await store_server.close()


async def test_host_that_follows_gets_changes_without_a_call_to_the_store():
    async with fleet() as (store, reader, follower):
        store.write(store_lib.CONFIGURATION_TOPIC, "config", document(2))
        store.write(store_lib.TARGETS_TOPIC, "i-0", entry("127.0.0.1:1"))
        await wire.until(
            lambda: (
                follower.state.rules.version == 2
                and "i-0" in follower.state.registered
            )
        )
        assert reader.metrics.counts["store_read"] > 2
        assert await gauge(reader, "followers") == 1.0
        assert await gauge(follower, "followers") == 0.0
        assert follower.metrics.counts["store_read"] == 0


async def test_host_reads_the_store_itself_once_its_reader_has_gone():
    async with fleet() as (store, reader, follower):
        reader.request_stop()
        reader.request_stop()
        await reader.wait_closed()
        store.write(store_lib.CONFIGURATION_TOPIC, "config", document(2))
        await wire.until(lambda: follower.state.rules.version == 2)
        assert follower.metrics.counts["store_read"] > 0


async def test_host_whose_reader_the_store_turns_away_reads_itself():
    async with fleet() as (store, reader, follower):
        del reader
        store.refuse_status = 503
        await wire.until(lambda: follower.metrics.counts["store_read"] > 0)
        store.refuse_status = None
        store.write(store_lib.CONFIGURATION_TOPIC, "config", document(2))
        await wire.until(lambda: follower.state.rules.version == 2)


async def test_changed_list_of_readers_is_taken_while_the_host_runs():
    async with fleet() as (_, reader, follower):
        changed = attrs.evolve(
            follower.settings, readers=(follower.settings.control_address,)
        )
        follower.take_settings(changed)
        assert follower.state.following.is_reader
        assert follower.state.following.address is None
        await wire.until(lambda: follower.metrics.counts["store_read"] > 1)
        assert reader.state.following.is_reader


async def test_caller_waits_for_a_host_that_has_just_started():
    async with running(answers()) as platform:
        platform.store.delay_s = 0.2
        host = host_lib.PlatformHost(
            attrs.evolve(platform.host.settings, host_id="edge-2")
        )
        await host.start()
        caller = await testing.connect(host.data_path.server.address)
        async with asyncio.timeout(WAIT_S):
            found = await caller.ask(request())
        caller.close()
        host.request_stop()
        host.request_stop()
        await host.wait_closed()
    assert found.first_line == b"HTTP/1.1 200 OK"


async def test_hosts_that_follow_each_other_do_not_vouch_in_circles():
    """Each knows the other by an address that comes before its own."""
    async with fleet() as (store, reader, follower):
        addresses = {}
        proxies = []
        for host in (reader, follower):
            server = host._runners[-1].addresses[0]
            proxy = tcp_proxy.TcpProxy(f"{server[0]}:{server[1]}")
            addresses[host] = await proxy.start()
            proxies.append(proxy)
        for host, other in ((reader, follower), (follower, reader)):
            own = "127.0.0.2:1"
            host.state.settings = attrs.evolve(
                host.state.settings,
                store=attrs.evolve(
                    host.state.settings.store, control_address=own
                ),
            )
            host.submit(
                events.ReadersListed(host.now_us(), True, (addresses[other],))
            )
        await asyncio.sleep(0.5)
        store.write(store_lib.CONFIGURATION_TOPIC, "config", document(2))
        hosts = (reader, follower)
        await wire.until(lambda: all(h.state.rules.version == 2 for h in hosts))
        for proxy in proxies:
            await proxy.close()


async def test_answer_that_waits_behind_another_leaves_a_line(tmp_path, capsys):
    async def work(asked, writer):
        if asked.values(dialect.REQUEST_ID) == [b"q1"]:
            return
        writer.write(answer(asked))
        answered.set()

    answered = asyncio.Event()
    async with running(answers(work)) as platform:
        with logbook.TestHandler().applicationbound() as kept:
            caller = await platform.caller()
            caller.writer.write(request(name="q1") + request(name="q2"))
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
    async with running(answers()) as platform:
        found = await platform.ask(
            request(IDEMPOTENT + "1", "X-Long: " + "x" * size)
        )
    assert found.first_line.split()[1] == status


async def test_head_that_does_not_come_to_its_end_is_cut():
    async with running(answers()) as platform:
        server = platform.host.data_path.server
        server.head_limits = attrs.evolve(server.head_limits, timeout_s=0.2)
        caller = await platform.caller()
        caller.writer.write(request()[:-10])
        await wire.until(lambda: len(server.connections) == 1)
        (connection,) = server.connections
        clock = asyncio.get_running_loop()
        await wire.until(lambda: connection.overdue(clock.time() + 1.0))
        async with asyncio.timeout(WAIT_S):
            # The next sweep, within a second, cuts it.
            assert await caller.ask(b"") is None
        caller.close()
