"""Answers 4xx that a gate host gives by itself to proper requests.

Callers don't retry after 400, 404 or 413, so that a proper request must not get
one of them.
"""

import asyncio
import contextlib
import copy
import json
import time

import attrs
import pytest

from fireflyspindle import gate as gate_lib
from fireflyspindle import settings as settings_lib
from fireflyspindle import testing
from fireflyspindle.core import events
from fireflyspindle.core import store_state
from fireflyspindle.platform import configuration_document
from fireflyspindle.platform import header_profile
from fireflyspindle.platform import host as host_lib
from fireflyspindle.testing import platform_documents
from fireflyspindle.testing import store as store_lib
import platform_driver
import platform_fleet
import wire

# Bytes of a query that is longer than the header lines that aiohttp accepts.
QUERY_BYTES = 12_000
# Time for a whole test: some of the faults also keep a host from stopping.
LIMIT_S = 10.0
MOVED_SERVICE = "t"
NEW_ROUTE = "/new/"
# Calls by which a host must have noticed that it reaches no server.
MAX_EARLY_CALLS = 300


def status(response):
    """Returns the status of a response."""
    return response.first_line.split()[1]


def long_request(query_bytes=QUERY_BYTES, name="q1"):
    """Returns a request that stays within the limits of the configuration."""
    path = platform_driver.IDEMPOTENT + "1?" + "q" * query_bytes
    return platform_driver.request(path, name=name)


@pytest.mark.parametrize(
    "lines",
    [
        ("Idempotency-Key: 8e03978e-40d5-43e8-bc93-6894a57f9324",),
        ("Idempotency-Key: {now_ms}-order7",),
        ("Idempotency-Key: a", "Idempotency-Key: b"),
        ("Fireflyspindle-Repeatable: maybe",),
        ("Fireflyspindle-Tenant: " + "t" * 101,),
        ("Fireflyspindle-Class: " + "c" * 101,),
    ],
    ids=["key", "own key", "two keys", "repeatable", "tenant", "class"],
)
async def test_headers_without_a_meaning_on_the_platform_are_forwarded(lines):
    now_ms = time.time_ns() // 1_000_000
    lines = [line.format(now_ms=now_ms) for line in lines]
    async with (
        asyncio.timeout(LIMIT_S),
        platform_driver.running(platform_driver.server_behaviour()) as platform,
    ):
        response = await platform.send_request(
            platform_driver.request(
                platform_driver.STRICT, *lines, method="POST", body=b"ab"
            )
        )
        assert response is not None
        assert status(response) == b"200"
        (received,) = platform.requests
    for line in lines:
        name, _, value = line.partition(": ")
        assert value.encode() in received.values(name)


async def test_request_with_a_key_does_not_stop_the_timers_of_the_host():
    async def keep_silent(_request, _writer):
        pass

    statuses = []
    async with (
        asyncio.timeout(LIMIT_S),
        platform_driver.running(
            platform_driver.server_behaviour(keep_silent)
        ) as platform,
    ):
        timers = platform.host.state.timers
        await wire.until(lambda: timers.next_at_us() is None)
        for name in ("q1", "q2"):
            key = f"Idempotency-Key: {time.time_ns() // 1_000_000}-{name}"
            sent = platform_driver.request(
                platform_driver.STRICT, key, method="POST", name=name
            ).replace(b"Ms: 3000", b"Ms: 300")
            async with asyncio.timeout(3.0):
                response = await platform.send_request(sent)
            statuses.append(response and status(response))
    assert statuses == [b"504", b"504"]


async def test_many_short_headers_within_the_limit_are_accepted():
    lines = [f"X-{number}: 1" for number in range(200)]
    async with platform_driver.running(
        platform_driver.server_behaviour()
    ) as platform:
        response = await platform.send_request(
            platform_driver.request(platform_driver.IDEMPOTENT + "1", *lines)
        )
    assert status(response) == b"200"


async def test_time_that_a_caller_waits_is_not_bounded():
    async with platform_driver.running(
        platform_driver.server_behaviour()
    ) as platform:
        response = await platform.send_request(
            platform_driver.request().replace(b"Ms: 3000", b"Ms: 3600001")
        )
    assert status(response) == b"200"


def request_within(deadline):
    """Returns a request with a deadline."""
    return platform_driver.request().replace(
        b"Ms: 3000", b"Ms: " + deadline.encode()
    )


@pytest.mark.parametrize(
    ("deadline", "at_most_ms"),
    [
        ("800.5", 800),
        ("0800.250", 800),
        ("1500.", 1500),
        ("2499." + "9" * 5_000, 2499),
    ],
    ids=["half", "zeros", "point", "digits"],
)
async def test_deadlines_with_fractions_are_accepted(deadline, at_most_ms):
    # They were refused with 400.
    async with platform_driver.running(
        platform_driver.server_behaviour()
    ) as platform:
        response = await platform.send_request(request_within(deadline))
        (received,) = platform.requests
    assert status(response) == b"200"
    (left_ms,) = received.values(header_profile.DEADLINE_MS)
    assert at_most_ms - 500 < int(left_ms) <= at_most_ms


@pytest.mark.parametrize("deadline", ["0", "0.0", "000"])
async def test_request_without_time_left_is_not_run(deadline):
    # It was refused with 400, which says that the caller is wrong.
    async with platform_driver.running(
        platform_driver.server_behaviour()
    ) as platform:
        response = await platform.send_request(request_within(deadline))
        assert status(response) == b"503"
        assert not platform.requests


@pytest.mark.parametrize(
    "request_id",
    [
        b"with a space",
        b"a\tb",
        b'{"a": [1, 2]}',
        "zw\u00f6lf".encode(),
        b"latin-1 \xe9\xff",
        b"i" * 4_000,
    ],
    ids=["space", "tab", "JSON", "UTF-8", "Latin-1", "long"],
)
async def test_ids_of_any_form_are_accepted(request_id):
    # The platform prescribes no form; such requests were refused with 400.
    async with platform_driver.running(
        platform_driver.server_behaviour(answer_as_named)
    ) as platform:
        request = platform_driver.request(name="q1").replace(
            b": q1\r\n", b": " + request_id + b"\r\n"
        )
        response = await platform.send_request(request)
        (received,) = platform.requests
    assert status(response) == b"200"
    assert received.values(header_profile.REQUEST_ID) == [request_id]
    assert response.values(header_profile.REQUEST_ID) == [request_id]


async def answer_as_named(request, writer):
    """Answers a request whose id may have any bytes."""
    (request_id,) = request.values(header_profile.REQUEST_ID)
    named = b"%b: %b\r\n" % (header_profile.REQUEST_ID.encode(), request_id)
    writer.write(
        b"HTTP/1.1 200 OK\r\n" + named + b"Content-Length: 2\r\n\r\nok"
    )


@pytest.mark.parametrize(
    "line",
    [
        "Expect:",
        "Expect: 100-continue, 100-continue",
        "Expect: 100-Continue ,",
        "Expect: 100-continue\r\nExpect: 100-continue",
    ],
)
async def test_lists_of_expectations_are_accepted(line):
    # The field is a list, which may be empty and repeat its only member.
    async with platform_driver.running(
        platform_driver.server_behaviour()
    ) as platform:
        caller = await platform.caller()
        async with asyncio.timeout(platform_driver.WAIT_S):
            response = await caller.ask(
                platform_driver.request(
                    platform_driver.STRICT, line, method="POST", body=b"ab"
                )
            )
        caller.close()
    assert status(response) == b"200"


@contextlib.asynccontextmanager
async def host_without_a_configuration():
    """Runs a second host, which can't read the store yet."""
    async with platform_driver.running(
        platform_driver.server_behaviour()
    ) as platform:
        platform.store.refuse_status = 503
        host = host_lib.PlatformHost(
            attrs.evolve(platform.host.settings, host_id="edge-2")
        )
        await host.start()
        caller = await testing.connect(host.data_path.server.address)
        async with asyncio.timeout(platform_driver.WAIT_S):
            yield platform, host, caller
        caller.close()
        host.request_stop()
        host.request_stop()
        await host.wait_closed()


async def test_long_query_before_the_first_configuration_is_not_run():
    async with host_without_a_configuration() as (_, _, caller):
        response = await caller.ask(long_request())
    assert status(response) == b"503"


async def test_large_body_before_the_first_configuration_is_not_run():
    # It got 413 from 64 MiB on.
    async with host_without_a_configuration() as (_, _, caller):
        response = await caller.ask(
            platform_driver.request(
                platform_driver.STRICT, "Content-Length: 1" + "0" * 12
            )
        )
    assert status(response) == b"503"


async def test_long_query_is_accepted_on_a_connection_from_before_it():
    async with host_without_a_configuration() as (platform, host, caller):
        early = await caller.ask(platform_driver.request())
        platform.store.refuse_status = None
        await wire.until(lambda: host.state.rule_table.version is not None)
        await wire.until(lambda: host.state.registered_targets)
        response = await caller.ask(long_request(name="q2"))
    assert [status(early), status(response)] == [b"503", b"200"]


async def test_higher_header_limit_applies_to_open_connections():
    async with platform_driver.running(
        platform_driver.server_behaviour()
    ) as platform:
        caller = await platform.caller()
        async with asyncio.timeout(platform_driver.WAIT_S):
            first = await caller.ask(platform_driver.request())
            document = platform_driver.document(2)
            document["limits"]["max-header-bytes"] = 32_768
            platform.store.write(
                store_lib.CONFIGURATION_TOPIC, "config", document
            )
            await wire.until(
                lambda: platform.host.state.rule_table.version == 2
            )
            second = await caller.ask(long_request(20_000, "q2"))
        caller.close()
    assert [status(first), status(second)] == [b"200", b"200"]


async def test_line_over_the_configured_limit_is_refused():
    async with platform_driver.running(
        platform_driver.server_behaviour()
    ) as platform:
        caller = await platform.caller()
        async with asyncio.timeout(platform_driver.WAIT_S):
            response = await caller.ask(long_request(16_384))
            assert status(response) == b"400"
            assert await caller.ask(platform_driver.request()) is None
        caller.close()
        assert not platform.requests


async def become_outdated(platform):
    """Waits until a host that can't read the store may be outdated."""
    platform.store.refuse_status = 503
    unknown = platform_driver.request("/unknown/1")
    response = await platform.send_request(unknown)
    while status(response) != b"503":
        await asyncio.sleep(0.05)
        response = await platform.send_request(unknown)


async def test_limits_that_may_be_outdated_are_no_fault_of_the_caller():
    # They were refused with 400 and 413, after which a caller gives up.
    size = 1_500_000
    path = platform_driver.STRICT
    chunks = platform_driver.request(
        path, "Transfer-Encoding: chunked", method="POST"
    ) + b"%x\r\n%b\r\n0\r\n\r\n" % (size, b"b" * size)
    over_limits = [
        long_request(20_000),
        long_request(70_000),
        platform_driver.request(path, "X-1: " + "v" * 20_000),
        platform_driver.request(path, method="POST", body=b"b" * size),
        chunks,
    ]
    async with (
        asyncio.timeout(LIMIT_S),
        platform_driver.running(platform_driver.server_behaviour()) as platform,
    ):
        current = [
            status(await platform.send_request(request))
            for request in over_limits
        ]
        await become_outdated(platform)
        outdated = [
            status(await platform.send_request(request))
            for request in over_limits
        ]
        allowed = await platform.send_request(long_request())
    assert current == [b"400"] * 3 + [b"413"] * 2
    # A part of the body in chunks has been sent to a server.
    assert outdated == [b"503"] * 4 + [b"502"]
    assert status(allowed) == b"200"


async def test_missing_key_is_no_fault_of_the_caller_at_an_outdated_host():
    # A newer configuration may make the route public.
    async with (
        asyncio.timeout(LIMIT_S),
        platform_driver.running(platform_driver.server_behaviour()) as platform,
    ):
        document = platform_driver.document(2)
        document["tenants"] = [{"name": "acme", "api-keys": ["key-1"]}]
        platform.store.write(store_lib.CONFIGURATION_TOPIC, "config", document)
        await wire.until(lambda: platform.host.state.rule_table.version == 2)
        current = await platform.send_request(platform_driver.request())
        await become_outdated(platform)
        outdated = await platform.send_request(platform_driver.request())
    assert [status(current), status(outdated)] == [b"401", b"503"]


async def test_refusal_of_a_head_request_has_no_body():
    # A caller takes the bytes behind such a response for another one.
    request = platform_driver.request(
        platform_driver.IDEMPOTENT + "1",
        "Content-Length: 2000000",
        method="HEAD",
    )
    async with platform_driver.running(
        platform_driver.server_behaviour()
    ) as platform:
        caller = await platform.caller()
        async with asyncio.timeout(platform_driver.WAIT_S):
            response = await caller.ask(request, body_expected=False)
            rest = await caller.reader.read()
        caller.close()
    assert status(response) == b"413"
    assert rest == b""


@pytest.mark.parametrize(
    ("target", "host"),
    [
        ('/read/1?%zz="<>|{}^`\\[]&a?b/../c#d', "dossier.example"),
        ("/read/%2F%ff%00/../..;x", "Dossier.EXAMPLE"),
        ("//dossier.example//x", "dossier.example:8080"),
        ("http://Dossier.Example:80/read/1?x=1", "dossier.example:80"),
        ("http://dossier.example/read/1", "another.example"),
        ("http://dossier.example", "dossier.example"),
        ("http://dossier.example?x=1", "dossier.example"),
        ("/read/1", "Dossier.Example."),
        ("/read/1", "dossier.example.:8080"),
        ("/read/1", "dossier.example:"),
    ],
)
async def test_odd_but_proper_targets_and_host_names_are_routed(target, host):
    async with platform_driver.running(
        platform_driver.server_behaviour()
    ) as platform:
        document = platform_driver.document(2)
        document["listeners"][0]["rules"][0]["match"]["path-prefix"] = "/"
        platform.store.write(store_lib.CONFIGURATION_TOPIC, "config", document)
        await wire.until(lambda: platform.host.state.rule_table.version == 2)
        response = await platform.send_request(
            platform_driver.request(target).replace(
                b"dossier.example\r\n", host.encode() + b"\r\n"
            )
        )
    assert status(response) == b"200"


async def test_pipelined_long_requests_and_bodies_are_all_accepted():
    async with platform_driver.running(
        platform_driver.server_behaviour()
    ) as platform:
        caller = await platform.caller()
        requests = [long_request(name=f"q{number}") for number in range(12)]
        chunks = b"1\r\nx\r\n" * 30_000 + b"0\r\n\r\n"
        requests += [
            platform_driver.request(
                platform_driver.IDEMPOTENT + "1",
                "Transfer-Encoding: chunked",
                "Expect: 100-Continue",
                method="POST",
                name=f"c{number}",
            )
            + chunks
            for number in range(3)
        ]
        caller.writer.write(b"".join(requests))
        statuses = []
        async with asyncio.timeout(platform_driver.WAIT_S):
            while statuses.count(b"200") < len(requests):
                statuses.append(status(await caller.ask(b"")))
        caller.close()
    assert set(statuses) <= {b"100", b"200"}


def chunked_request(*trailers, name="c1"):
    """Returns a request with a body in chunks and trailers."""
    head = platform_driver.request(
        platform_driver.STRICT,
        "Transfer-Encoding: chunked",
        method="POST",
        name=name,
    )
    lines = b"".join(line.encode() + b"\r\n" for line in trailers)
    return head + b"2;a=b\r\nab\r\n0\r\n" + lines + b"\r\n"


async def ask_in_turn(platform, requests, pipelined):
    """Sends requests on one connection; returns the statuses."""
    caller = await platform.caller()
    responses = []
    if pipelined:
        caller.writer.write(b"".join(requests))
    async with asyncio.timeout(LIMIT_S):
        for request in requests:
            responses.append(await caller.ask(b"" if pipelined else request))
    caller.close()
    return [response and status(response) for response in responses]


async def test_target_in_absolute_form_needs_no_host_header_in_http_1_0():
    async with platform_driver.running(
        platform_driver.server_behaviour()
    ) as platform:
        target = "http://dossier.example" + platform_driver.IDEMPOTENT
        response = await platform.send_request(
            platform_driver.request(target)
            .replace(b"HTTP/1.1", b"HTTP/1.0")
            .replace(b"Host: dossier.example\r\n", b"")
        )
        (received,) = platform.requests
    assert status(response) == b"200"
    assert received.values("Host") == [b"dossier.example"]


@pytest.mark.parametrize("host", ["[2001:db8::1]", "[2001:DB8::1]:8080"])
async def test_host_that_is_an_address_is_routed(host):
    async with platform_driver.running(
        platform_driver.server_behaviour()
    ) as platform:
        document = platform_driver.document(2)
        document["listeners"][0]["host"] = "[2001:db8::1]"
        platform.store.write(store_lib.CONFIGURATION_TOPIC, "config", document)
        await wire.until(lambda: platform.host.state.rule_table.version == 2)
        response = await platform.send_request(
            platform_driver.request().replace(
                b"dossier.example\r\n", host.encode() + b"\r\n"
            )
        )
    assert status(response) == b"200"


@pytest.mark.parametrize("pipelined", [False, True])
@pytest.mark.parametrize(
    "trailer",
    [
        "Host: another.example",
        f"{header_profile.REQUEST_ID}: another",
        f"{header_profile.DEADLINE_MS}: none",
        "Authorization: Bearer another",
        "Expect: another",
        "Connection: close",
    ],
)
async def test_trailer_is_no_header_of_the_next_request(trailer, pipelined):
    # The last trailer became the first header of the next request, which was
    # refused or run under another id.
    async with platform_driver.running(
        platform_driver.server_behaviour()
    ) as platform:
        statuses = await ask_in_turn(
            platform,
            [
                chunked_request("X-Sum: 1", trailer),
                platform_driver.request(name="q2"),
            ],
            pipelined,
        )
        assert statuses == [b"200", b"200"]
        name, _, value = trailer.partition(": ")
        for received in platform.requests:
            assert value.encode() not in received.values(name)
        ids = [r.values(header_profile.REQUEST_ID) for r in platform.requests]
    assert sorted(ids) == [[b"c1"], [b"q2"]]


@pytest.mark.parametrize("body", [b"", b"0\r\n\r\n"])
@pytest.mark.parametrize("protocol", ["h2c", "websocket"])
async def test_requests_behind_one_that_offers_an_upgrade_are_answered(
    protocol, body
):
    # What was read behind such a request was dropped.
    requests = [
        platform_driver.request(
            platform_driver.IDEMPOTENT + "1",
            "Connection: Upgrade, HTTP2-Settings",
            f"Upgrade: {protocol}",
            "HTTP2-Settings: AAMAAABkAAQAAP__",
            method="PUT" if body else "GET",
            body=body,
            name=f"q{number}",
        )
        for number in range(3)
    ]
    async with platform_driver.running(
        platform_driver.server_behaviour()
    ) as platform:
        statuses = await ask_in_turn(platform, requests, pipelined=True)
        assert {r.body for r in platform.requests} == {body}
    assert statuses == [b"200"] * 3


def moved_document(version, moved):
    """Returns a configuration; `moved` is that to which a few things changed.

    Idempotent calls then go to another service and may run once only, a route
    is new, and the limit for bodies is higher.
    """
    document = platform_driver.document(version)
    document["clusters"].append(
        {**document["clusters"][0], "name": MOVED_SERVICE}
    )
    if not moved:
        return document
    document["limits"]["max-body-bytes"] = 2_000_000
    document["limits"]["max-header-bytes"] = 32_768
    rules = document["listeners"][0]["rules"]
    new_rule = copy.deepcopy(rules[0])
    new_rule["match"]["path-prefix"] = NEW_ROUTE
    rules.append({**new_rule, "name": "r-new"})
    rules[0]["action"]["service"] = MOVED_SERVICE
    rules[0]["route-kind"] = "non_idempotent"
    return document


async def start_moved_server(fleet):
    """Starts a server of the service to which idempotent calls move."""
    behaviour = platform_driver.server_behaviour(fleet.work, "i-moved")
    server = testing.ScriptedTarget(behaviour)
    fleet.servers.append(server)
    address = await server.start()
    fleet.server_addresses.append(address)
    entry = platform_documents.target_entry(address)
    entry["info"]["service"] = MOVED_SERVICE
    fleet.store.write(store_lib.TARGETS_TOPIC, "i-moved", entry)


def configure(host, document):
    """Gives a configuration to one host only."""
    source = store_state.Source.CONFIGURATION
    host.submit(
        events.ConfigurationRead(
            host.now_us(),
            configuration_document.decode(json.dumps(document)).unwrap(),
            host.state.store_reads[source].next_offset,
        )
    )
    assert host.state.rule_table.version == int(document["version"], 16)


@contextlib.asynccontextmanager
async def relaying_to_an_older_configuration(work=None, moves=True):
    """Runs a host that relays calls to one with an older configuration.

    Args:
        work: Writes the answers of servers to requests.
        moves: Whether idempotent calls go to another service by the newer one.
    """
    async with platform_fleet.running(2, 2, work) as fleet:
        await start_moved_server(fleet)
        document = moved_document(2, moved=False)
        fleet.store.write(store_lib.CONFIGURATION_TOPIC, "config", document)
        await wire.until(
            lambda: all(
                host.state.rule_table.version == 2
                and "i-moved" in host.state.registered_targets
                for host in fleet.hosts
            )
        )
        host = fleet.hosts[0]
        fleet.cut_off(host, "refuse")
        number = 0
        while not host.metrics.event_counts["relay"]:
            number += 1
            assert number < MAX_EARLY_CALLS
            await fleet.send(host, platform_driver.request(name=f"e{number}"))
        newer = moved_document(3, moved=True)
        if not moves:
            rule = newer["listeners"][0]["rules"][0]
            rule["action"]["service"] = platform_documents.SERVICE
        configure(host, newer)
        yield fleet


async def test_missing_route_of_a_helper_does_not_reach_the_caller():
    async with relaying_to_an_older_configuration() as fleet:
        response = await fleet.send(
            fleet.hosts[0], platform_driver.request(NEW_ROUTE + "1")
        )
    assert status(response) == b"503"


@pytest.mark.parametrize("framing", ["length", "chunks"])
async def test_body_limit_of_a_helper_does_not_reach_the_caller(framing):
    body = b"b" * 1_500_000
    path = platform_driver.STRICT
    request = platform_driver.request(path, method="POST", body=body)
    if framing == "chunks":
        line = "Transfer-Encoding: chunked"
        request = platform_driver.request(path, line, method="POST")
        request += b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    async with relaying_to_an_older_configuration() as fleet:
        response = await fleet.send(fleet.hosts[0], request)
    assert status(response) == b"200"


def runs(servers, name):
    """Returns how often servers received the request with an id."""
    return sum(
        request.values(header_profile.REQUEST_ID) == [name.encode()]
        for server in servers
        for request in server.requests
    )


async def test_head_limit_of_a_helper_does_not_reach_the_caller():
    async with relaying_to_an_older_configuration() as fleet:
        path = platform_driver.STRICT + "1?" + "q" * 20_000
        response = await fleet.send(
            fleet.hosts[0], platform_driver.request(path, method="POST")
        )
    assert status(response) == b"200"


async def test_helper_does_not_run_a_call_at_the_service_that_had_the_route():
    async with relaying_to_an_older_configuration() as fleet:
        await fleet.send(fleet.hosts[0], platform_driver.request(name="q1"))
        assert runs(fleet.servers[:2], "q1") == 0


async def test_helper_does_not_run_a_call_again_that_may_run_once_by_now():
    async def lose(request, writer):
        if request.values(header_profile.REQUEST_ID)[0].startswith(b"lost"):
            writer.transport.abort()
        else:
            writer.write(platform_driver.answer(request))

    async with relaying_to_an_older_configuration(lose, moves=False) as fleet:
        names = [f"lost{number}" for number in range(6)]
        for name in names:
            await fleet.send(fleet.hosts[0], platform_driver.request(name=name))
        assert max(runs(fleet.servers, name) for name in names) == 1


def limited_document(version, header_bytes, body_bytes):
    """Returns a configuration with limits for callers."""
    document = platform_driver.document(version)
    document["limits"]["max-header-bytes"] = header_bytes
    document["limits"]["max-body-bytes"] = body_bytes
    return document


async def apply(platform, document):
    """Publishes a configuration and waits until it is in force."""
    platform.store.write(store_lib.CONFIGURATION_TOPIC, "config", document)
    version = int(document["version"], 16)
    await wire.until(lambda: platform.host.state.rule_table.version == version)


async def test_lower_limits_apply_once_the_former_ones_can_no_longer_hold():
    # Callers that do not know the newest configuration yet got 400 and 413.
    requests = [
        long_request(),
        platform_driver.request(
            platform_driver.STRICT, method="POST", body=b"b" * 500_000
        ),
    ]
    async with (
        asyncio.timeout(LIMIT_S),
        platform_driver.running(platform_driver.server_behaviour()) as platform,
    ):
        caller = await platform.caller()
        assert status(await caller.ask(platform_driver.request())) == b"200"
        await apply(platform, limited_document(2, 8_192, 100_000))
        soon = [status(await caller.ask(request)) for request in requests]
        caller.close()
        limit_s = platform.host.settings.bounds.config_apply_ms / 1000
        await asyncio.sleep(limit_s + 0.2)
        later = [
            status(await platform.send_request(request)) for request in requests
        ]
    assert soon == [b"200", b"200"]
    assert later == [b"400", b"413"]


async def test_header_limit_above_64_kib_is_in_force():
    request = platform_driver.request(
        platform_driver.IDEMPOTENT + "1", "X-1: " + "v" * 100_000
    )
    async with platform_driver.running(
        platform_driver.server_behaviour()
    ) as platform:
        await apply(platform, limited_document(2, 131_072, 1_000_000))
        response = await platform.send_request(request)
    assert status(response) == b"200"


async def test_host_of_the_own_interface_gives_no_404_before_it_has_routes():
    # It can't know yet that no route leads from the path.
    async with testing.StandInSystem() as stand_ins:
        settings = attrs.evolve(
            stand_ins.gate_settings("gate-1"),
            platform=settings_lib.PlatformSettings(
                testing.free_address(), testing.free_address()
            ),
        )
        gate = gate_lib.Gate(settings)
        await gate.start()
        caller = await testing.connect(gate.callers_address)
        async with asyncio.timeout(platform_driver.WAIT_S):
            response = await caller.ask(wire.request())
        caller.close()
        gate.request_stop()
        gate.request_stop()
        await gate.wait_closed()
    assert status(response) == b"503"
    assert response.values("Retry-After")
