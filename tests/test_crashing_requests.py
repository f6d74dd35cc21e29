"""A request that crashes each target that runs it, summed over all hosts."""

import asyncio

import pytest

from fireflyspindle import headers
from fireflyspindle.adapters import request_fingerprints
from fireflyspindle.testing import raw
import platform_driver
import platform_fleet

# Time after the third crash from which copies of the request are not sent on
# (`contact-ms`), and how many may be even then.
CONTACT_S = 3.0
MAX_LATE_SENDS = 3
MIN_CRASHES = 3
PATH = platform_driver.IDEMPOTENT + "page"
CRASHING_PATH = PATH + "?query=crashes"
RESTART_S = 0.5
INTERVAL_S = 0.1


class CrashingServers:
    """Servers of a fleet that crash under one request, and restart."""

    def __init__(self):
        self.fleet = None
        self.arrivals_s = []
        self.crashes_s = []
        self._crashed = set()
        self._tasks = set()

    async def work(self, request, writer):
        """Answers a request, or crashes under it."""
        if CRASHING_PATH.encode() not in request.first_line:
            writer.write(platform_driver.answer(request))
            return
        now_s = asyncio.get_running_loop().time()
        self.arrivals_s.append(now_s)
        await asyncio.sleep(0.02)
        ip, port = writer.get_extra_info("sockname")[:2]
        address = f"{ip}:{port}"
        crash = asyncio.get_running_loop().create_task(self._crash(address))
        self._tasks.add(crash)
        crash.add_done_callback(self._tasks.discard)
        await asyncio.sleep(platform_driver.WAIT_S)

    async def _crash(self, address):
        if address in self._crashed:
            return
        self._crashed.add(address)
        self.crashes_s.append(asyncio.get_running_loop().time())
        number = await self.fleet.crash_server(address)
        await asyncio.sleep(RESTART_S)
        await self.fleet.start_server()
        self.fleet.remove_entry(number)

    def late_sends(self):
        """Returns the copies that arrived too late after the third crash."""
        end_s = sorted(self.crashes_s)[MIN_CRASHES - 1] + CONTACT_S
        return [at_s for at_s in self.arrivals_s if at_s > end_s]


async def send_copy(host, number, varying):
    """Sends a copy of the crashing request to a host."""
    caller_ip = "127.0.0.1"
    if varying == "address":
        caller_ip = f"127.0.0.{2 + number % 200}"
    ip, _, port = host.data_path.server.address.rpartition(":")
    reader, writer = await asyncio.open_connection(
        ip, int(port), local_addr=(caller_ip, 0)
    )
    caller = raw.RawCaller(reader, writer)
    async with asyncio.timeout(platform_driver.WAIT_S):
        response = await caller.ask(
            platform_driver.request(CRASHING_PATH, name=f"copy{number}")
        )
    caller.close()
    return response


async def send_copies(fleet, copies, varying):
    """Sends copies of the crashing request to all hosts in turn."""
    tasks = []
    for number in range(copies):
        host = fleet.hosts[number % len(fleet.hosts)]
        copy = send_copy(host, number, varying)
        tasks.append(asyncio.create_task(copy))
        await asyncio.sleep(INTERVAL_S)
    return await asyncio.gather(*tasks)


@pytest.mark.parametrize("varying", ["id", "address"])
async def test_no_host_sends_on_a_request_that_crashed_three_targets(varying):
    servers = CrashingServers()
    async with platform_fleet.running(
        hosts=4, servers=8, work=servers.work
    ) as fleet:
        servers.fleet = fleet
        copies = int((CONTACT_S + 3.0) / INTERVAL_S)
        responses = await send_copies(fleet, copies, varying)
        assert len(servers.crashes_s) >= MIN_CRASHES
        assert len(servers.late_sends()) <= MAX_LATE_SENDS
        refused = responses[-10:]
        assert all(b" 503 " in each.first_line for each in refused)


async def test_helper_knows_the_fingerprint_of_a_relayed_call(monkeypatch):
    stated = []
    parse = request_fingerprints.parse

    def record(text):
        stated.append(parse(text))
        return stated[-1]

    monkeypatch.setattr(request_fingerprints, "parse", record)
    async with platform_fleet.running(hosts=4, servers=5) as fleet:
        host = fleet.hosts[0]
        fleet.cut_off(host, "refuse")
        path = platform_driver.IDEMPOTENT + "1"
        for number in range(100):
            request = platform_driver.request(path, name=f"q{number}")
            await fleet.send(host, request)
            if host.metrics.event_counts["relay"]:
                break
            await asyncio.sleep(0.02)
        received = [
            request for server in fleet.servers for request in server.requests
        ]
    assert stated
    assert all(stated)
    assert received
    assert not any(
        request.values(headers.RELAY_FINGERPRINT) for request in received
    )


async def test_other_queries_of_the_path_are_not_refused():
    servers = CrashingServers()
    async with platform_fleet.running(
        hosts=4, servers=8, work=servers.work
    ) as fleet:
        servers.fleet = fleet
        await send_copies(fleet, 20, "address")
        assert len(servers.crashes_s) >= MIN_CRASHES
        for query in ("", "?query=other"):
            request = platform_driver.request(PATH + query, name=f"o{query}")
            response = await fleet.send(fleet.hosts[0], request)
            assert b" 200 " in response.first_line
