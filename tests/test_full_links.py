"""Real gate hosts while the links between them are full."""

import asyncio
import collections

import pytest

from fireflyspindle import testing
from fireflyspindle.bench import soak_callers
from fireflyspindle.bench import soak_gates
from fireflyspindle.bench import soak_servers
from fireflyspindle.bench import soak_store
from fireflyspindle.testing import platform_documents
from fireflyspindle.testing import store as store_lib

HOSTS = 5
FIRST_VERSION = 1
WRITE_INTERVAL_S = 0.6
# Versions whose routes a configuration still has.
KEPT_VERSIONS = 12
# Growth of the queue on the link of the first reader, and its longest time.
GROWTH = 0.3
LONGEST_QUEUE_S = 4.0
RUN_S = 16.0
# Time after which each host has to know a version, and that of a probe.
APPLY_LIMIT_S = 2.0
MARGIN_S = 0.3
PROBE_INTERVAL_S = 0.1
PROBE_TIMEOUT_S = 2.0


class Fleet:
    """Gate host processes, and the versions that were written for them."""

    def __init__(self):
        self.store = testing.StandInStore()
        self.written_s = {}
        self.statuses = collections.Counter()
        self.refused = []

    @property
    def now_s(self):
        """Time of the event loop."""
        return asyncio.get_running_loop().time()

    def write(self):
        """Writes a version that adds a route."""
        newest = len(self.written_s) + FIRST_VERSION
        oldest = max(FIRST_VERSION, newest - KEPT_VERSIONS)
        routes = {
            f"version-{version}": (f"/version-{version}/", "idempotent")
            for version in range(oldest, newest + 1)
        }
        document = platform_documents.configuration_document(
            newest, soak_callers.HOST, routes, soak_callers.DEADLINE_MS
        )
        self.store.write(store_lib.CONFIGURATION_TOPIC, "config", document)
        self.written_s[newest] = self.now_s

    async def write_often(self):
        """Writes versions until the task is cancelled."""
        while True:
            await asyncio.sleep(WRITE_INTERVAL_S)
            self.write()

    async def probe_often(self, address):
        """Asks a host for routes that it has to know, until cancelled."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            due_s = self.now_s - APPLY_LIMIT_S - MARGIN_S
            known = [v for v, at_s in self.written_s.items() if at_s <= due_s]
            if not known:
                continue
            status = await fetch_status(address, known[-1])
            self.statuses[status] += 1
            if status == 404:
                age_s = self.now_s - self.written_s[known[-1]]
                self.refused.append(f"{address}: {age_s:.2f} s")


async def fetch_status(address, version):
    """Returns the status of a request; 0 without a response in time."""
    head = soak_callers.request("GET", f"/version-{version}/x", "probe")
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            connection = await testing.connect(address)
            response = await connection.ask(head)
    except (TimeoutError, OSError):
        return 0
    connection.close()
    return int(response.first_line.split()[1]) if response else 0


async def fill_link(gate):
    """Lets what a host sends to others wait in a queue that grows."""
    started_s = asyncio.get_running_loop().time()
    while True:
        elapsed_s = asyncio.get_running_loop().time() - started_s
        gate.control_proxy.queue_s = min(LONGEST_QUEUE_S, elapsed_s * GROWTH)
        await asyncio.sleep(PROBE_INTERVAL_S)


async def end(gates, server, faults):
    """Ends the processes and the stand-ins."""
    for gate in gates:
        if gate.process is not None:
            gate.process.kill()
    for gate in gates:
        await gate.wait()
        await gate.control_proxy.close()
        await gate.store_proxy.close()
    await server.proxy.close()
    await server.web_server.close()
    await faults.close()


@pytest.fixture
async def fleet(tmp_path):
    """Runs the processes; nothing harms them but a full link."""
    fleet = Fleet()
    faults = soak_store.StoreFaults(fleet.store, 1, print, print)
    address = await faults.start()
    fleet.write()
    server = await soak_servers.start_server(0)
    server.register(fleet.store, "ready")
    fleet.gates = await soak_gates.make_gates(tmp_path, HOSTS, address)
    try:
        await asyncio.gather(*(gate.start() for gate in fleet.gates))
        yield fleet
    finally:
        await end(fleet.gates, server, faults)


# The lines of the first reader go on arriving, each of them seconds late, so
# that its followers took what they knew for recent.
async def test_full_link_of_a_reader_lets_no_host_refuse_new_routes(fleet):
    addresses = [gate.observation.address for gate in fleet.gates]
    for address in addresses:
        async with asyncio.timeout(30):
            while await fetch_status(address, FIRST_VERSION) != 200:
                await asyncio.sleep(PROBE_INTERVAL_S)
    tasks = [
        asyncio.create_task(work)
        for work in (
            fleet.write_often(),
            fill_link(fleet.gates[0]),
            *map(fleet.probe_often, addresses),
        )
    ]
    await asyncio.sleep(RUN_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    assert not fleet.refused, fleet.statuses
    assert fleet.statuses[200]
