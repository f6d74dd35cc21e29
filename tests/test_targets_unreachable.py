"""Calls at gate hosts that reach no server, while other hosts do."""

import asyncio

import attrs
import pytest

from fireflyspindle import headers
from fireflyspindle import testing
from fireflyspindle.core import published
from fireflyspindle.platform import header_profile
import platform_driver
import platform_fleet
import published_driver
import wire

# Time from the start of a cut after which calls must be served.
CONTACT_S = 3.0


async def serve_calls(fleet, hosts, calls, prefix):
    """Sends calls to hosts in turn; returns the responses."""
    responses = []
    for number in range(calls):
        path, method = platform_driver.IDEMPOTENT, "GET"
        if number % 2:
            path, method = platform_driver.STRICT, "POST"
        request = platform_driver.request(
            f"{path}{number}", method=method, name=f"{prefix}{number}"
        )
        host = hosts[number % len(hosts)]
        responses.append(
            asyncio.create_task(fleet.send(host, request), name=str(number))
        )
        await asyncio.sleep(0.02)
    return await asyncio.gather(*responses)


def served(responses):
    """Returns the number of successful responses with a signature."""
    return sum(
        response.first_line.endswith(b"200 OK")
        and bool(response.values(header_profile.SERVER_SIGNATURE))
        for response in responses
    )


@pytest.mark.parametrize("how", ["refuse", "hang", "live"])
async def test_callers_of_hosts_that_reach_no_server_are_served(how):
    async with platform_fleet.running(hosts=6, servers=5) as fleet:
        await serve_calls(fleet, fleet.hosts, 30, "before")
        cut_off, others = fleet.hosts[:3], fleet.hosts[3:]
        for host in cut_off:
            fleet.cut_off(host, how)
        await serve_calls(fleet, cut_off, int(CONTACT_S / 0.02), "early")
        at_cut_off = await serve_calls(fleet, cut_off, 60, "cut")
        at_others = await serve_calls(fleet, others, 60, "other")
        assert served(at_others) == 60
        assert served(at_cut_off) >= 40
        runs = [
            request.values(header_profile.REQUEST_ID)[0]
            for target in fleet.servers
            for request in target.requests
            if request.first_line.startswith(b"POST ")
        ]
        assert len(runs) == len(set(runs))


async def test_helpers_with_another_configuration_do_not_carry_calls():
    async with platform_fleet.running(hosts=4, servers=5) as fleet:
        host, *helpers = fleet.hosts
        fleet.cut_off(host, "refuse")
        for helper in helpers:
            table = helper.state.rule_table
            rule = table.find("dossier.example", platform_driver.IDEMPOTENT)
            moved = attrs.evolve(rule, parts=(published.Part("other", 1),))
            table.replace_rules(published_driver.document(2, [moved]))
        await serve_calls(fleet, [host], 60, "cut")
        assert sum(
            helper.metrics.error_counts["route_differs"] for helper in helpers
        )
        assert not any(
            request.values(headers.RELAY_SERVICE)
            for server in fleet.servers
            for request in server.requests
        )


async def test_hosts_use_their_own_way_again_after_the_cut():
    async with platform_fleet.running(hosts=4, servers=5) as fleet:
        await serve_calls(fleet, fleet.hosts, 20, "before")
        host = fleet.hosts[3]
        heal = fleet.cut_off(host, "refuse")
        await serve_calls(fleet, [host], 30, "cut")
        assert host.state.reachability.lost
        heal()
        await wire.until(lambda: not host.state.reachability.lost)
        relays = host.metrics.event_counts["relay"]
        assert relays
        assert served(await serve_calls(fleet, [host], 30, "after")) == 30
        assert host.metrics.event_counts["relay"] == relays


async def test_requests_are_refused_at_once_when_every_host_is_cut_off():
    async with platform_fleet.running(hosts=4, servers=5) as fleet:
        await serve_calls(fleet, fleet.hosts, 20, "before")
        for host in fleet.hosts:
            fleet.cut_off(host, "hang")
        await serve_calls(fleet, fleet.hosts, int(CONTACT_S / 0.02), "early")
        started_s = asyncio.get_running_loop().time()
        (response,) = await serve_calls(fleet, [fleet.hosts[3]], 1, "late")
        assert asyncio.get_running_loop().time() - started_s < 0.3
        assert response.first_line.split()[1] == b"503"
        assert not served([response])


# The host that relays passes on the answer, so it is bound by it too.
async def test_host_that_relays_leaves_out_a_target_that_is_leaving():
    async def say_leaving(request, writer):
        await asyncio.sleep(0.05)
        line = f"{header_profile.SERVER_LEAVING}: 1"
        writer.write(platform_driver.answer(request, b"ok", line))

    async with platform_fleet.running(4, 5, say_leaving) as fleet:
        host = fleet.hosts[3]
        fleet.cut_off(host, "refuse")
        responses = await serve_calls(fleet, [host], 60, "cut")
        assert served(responses)
        relayed = [
            response.values("Fireflyspindle-Relay-Leaving")
            for response in responses
        ]
        assert not any(relayed)
        left = [
            target_id
            for target_id, registered in host.state.registered_targets.items()
            if registered.leaving
        ]
        assert left


# A helper dies between the request and its answer.
async def test_request_that_a_helper_lost_is_not_run_again():
    async def hold(request, writer):
        if request.values(header_profile.REQUEST_ID) == [b"q1"]:
            arrived.set()
            await asyncio.sleep(platform_driver.WAIT_S)
        writer.write(platform_driver.answer(request))

    arrived = asyncio.Event()
    async with platform_fleet.running(4, 5, hold) as fleet:
        host = fleet.hosts[3]
        fleet.cut_off(host, "refuse")
        await serve_calls(fleet, [host], 30, "early")
        assert host.state.reachability.lost
        request = platform_driver.request(
            platform_driver.STRICT, method="POST", name="q1"
        )
        sent = asyncio.create_task(fleet.send(host, request))
        await asyncio.wait_for(arrived.wait(), platform_driver.WAIT_S)
        for helper in fleet.hosts[:3]:
            for connection in list(helper.data_path.server.connections):
                connection.abort()
        response = await sent
        assert response.first_line.split()[1] == b"502"
        runs = [
            request
            for target in fleet.servers
            for request in target.requests
            if request.values(header_profile.REQUEST_ID) == [b"q1"]
        ]
        assert len(runs) == 1


@pytest.mark.parametrize(
    ("texts", "number"),
    [
        ([], None),
        (["2"], 2),
        (["3", "1"], 1),
        (["0"], 0),
        ([""], 1),
        (["-1"], 1),
        (["1.5"], 1),
        (["\u0662"], 1),
        (["9" * 5_000], 1),
    ],
)
def test_attempts_left_of_a_relayed_call_are_parsed(texts, number):
    """Guards against more runs, or an error, where the value is invalid."""
    assert headers.parse_max_attempts(texts) == number


async def cut_connection(_request, writer):
    """Ends a request that may have run without an answer."""
    writer.transport.abort()


@pytest.mark.parametrize(
    ("stated", "sends"), [(None, 2), ("1", 1), ("x", 1), ("2", 2), ("9", 2)]
)
async def test_helper_makes_no_more_attempts_than_are_stated(stated, sends):
    """Guards against more runs than the route allows."""
    name = headers.RELAY_MAX_ATTEMPTS
    lines = [] if stated is None else [f"{name}: {stated}"]
    request = platform_driver.request(
        platform_driver.IDEMPOTENT + "1", *lines, name="q1"
    )
    async with platform_fleet.running(1, 5, cut_connection) as fleet:
        await wire.until(lambda: fleet.hosts[0].state.listening)
        caller = await testing.connect(fleet.hosts[0].settings.relay_address)
        async with asyncio.timeout(platform_driver.WAIT_S):
            response = await caller.ask(request)
        caller.close()
        received = [
            request
            for server in fleet.servers
            for request in server.requests
            if request.values(header_profile.REQUEST_ID) == [b"q1"]
        ]
    assert response.first_line.split()[1] == b"502"
    assert len(received) == sends
    assert not any(request.values(name) for request in received)


async def test_host_states_the_attempts_left_of_a_relayed_call(monkeypatch):
    """Guards against a helper that counts the attempts from zero."""
    stated = []
    parse = headers.parse_max_attempts

    def record(texts):
        stated.append(parse(texts))
        return stated[-1]

    monkeypatch.setattr(headers, "parse_max_attempts", record)
    async with platform_fleet.running(hosts=4, servers=5) as fleet:
        host = fleet.hosts[3]
        fleet.cut_off(host, "refuse")
        await serve_calls(fleet, [host], 60, "cut")
        assert host.metrics.event_counts["relay"]
    assert set(stated) == {2}
