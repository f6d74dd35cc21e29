"""A request that crashes each target that runs it, summed over all hosts."""

import asyncio

import platform_driver
import platform_fleet

# Time after the third crash from which copies of the request are not sent on
# (`contact-ms`), and how many may be even then.
CONTACT_S = 3.0
MAX_LATE_SENDS = 3
MIN_CRASHES = 3
CRASHING_PATH = platform_driver.IDEMPOTENT + "crashes"
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
        if b" " + CRASHING_PATH.encode() + b" " not in request.first_line:
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


async def send_copies(fleet, copies, prefix):
    """Sends copies of the crashing request to all hosts in turn."""
    tasks = []
    for number in range(copies):
        request = platform_driver.request(
            CRASHING_PATH, name=f"{prefix}{number}"
        )
        host = fleet.hosts[number % len(fleet.hosts)]
        tasks.append(asyncio.create_task(fleet.send(host, request)))
        await asyncio.sleep(INTERVAL_S)
    return await asyncio.gather(*tasks)


async def test_no_host_sends_on_a_request_that_crashed_three_targets():
    servers = CrashingServers()
    async with platform_fleet.running(
        hosts=4, servers=8, work=servers.work
    ) as fleet:
        servers.fleet = fleet
        copies = int((CONTACT_S + 3.0) / INTERVAL_S)
        responses = await send_copies(fleet, copies, "copy")
        assert len(servers.crashes_s) >= MIN_CRASHES
        assert len(servers.late_sends()) <= MAX_LATE_SENDS
        refused = responses[-10:]
        assert all(b" 503 " in each.first_line for each in refused)
