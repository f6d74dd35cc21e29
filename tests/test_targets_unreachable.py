"""Calls at gate hosts that reach no server, while other hosts do."""

import asyncio

import pytest

from fireflyspindle.platform import header_profile
import platform_driver
import platform_fleet

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


@pytest.mark.parametrize("how", ["refuse", "hang"])
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
