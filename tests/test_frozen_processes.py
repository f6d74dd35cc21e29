"""Processes of gate hosts that are suspended while a route moves.

A process that is resumed finds requests in its sockets that were sent long
after the change. It ran them by the old version, since it reads them before the
store or its reader has told it of the new one.
"""

import asyncio
import contextlib
import os
import signal
import sys

import pytest

from fireflyspindle import testing
from fireflyspindle.platform import header_profile
from fireflyspindle.platform import settings as settings_lib
from fireflyspindle.testing import platform_documents
from fireflyspindle.testing import store as store_lib
import platform_driver
import test_moved_routes

# Time after a change in which it has to be in force on every host
# (`config-apply-ms`).
APPLY_LIMIT_S = 2.0
CALLERS = 5
SETTINGS = """
[self]
node-name = "edge-{number}"
zone = "a"
[network]
internal-ports = [{relay_port}, {relay_port}]
seed-nodes = ["{reader}"]
[network.listen-addrs]
front = "{front}"
ready-addr = "{ready}"
control-addr = "{control}"
[platform.platform]
address = "{store}"
[terms.contract-params]
config-apply-ms = 2000
"""


@contextlib.asynccontextmanager
async def store_and_servers():
    """Runs a store, and a server of the old and one of the new service."""
    store = testing.StandInStore()
    store_server = testing.Server(store.application())
    store_address = await store_server.start()
    servers = []
    for instance, service in (
        ("i-old", platform_documents.SERVICE),
        ("i-new", test_moved_routes.NEW_SERVICE),
    ):
        behaviour = platform_driver.server_behaviour(None, instance)
        servers.append(testing.ScriptedTarget(behaviour))
        entry = platform_documents.target_entry(await servers[-1].start())
        entry["info"]["service"] = service
        store.write(store_lib.TARGETS_TOPIC, instance, entry)
    route(store, 1, platform_documents.SERVICE)
    try:
        yield store, store_address, *servers
    finally:
        for server in servers:
            await server.close()
        await store_server.close()


def route(store, version, service):
    """Writes a version by which all routes lead to a service."""
    document = test_moved_routes.routing_to(version, service)
    store.write(store_lib.CONFIGURATION_TOPIC, "config", document)


@contextlib.asynccontextmanager
async def gate_processes(folder, store_address, count):
    """Runs processes of gate hosts, of which the first one is the reader."""
    controls = [testing.free_address() for _ in range(count)]
    fronts, processes = [], []
    try:
        for number, control in enumerate(controls):
            path = folder / f"{number}.toml"
            fronts.append(testing.free_address())
            text = SETTINGS.format(
                number=number,
                relay_port=testing.free_address().rpartition(":")[2],
                reader=controls[0],
                front=fronts[-1],
                ready=testing.free_address(),
                control=control,
                store=store_address,
            )
            path.write_text(text)
            variable = settings_lib.SETTINGS_PATH_VARIABLE
            processes.append(
                await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "fireflyspindle.platform",
                    env={**os.environ, variable: str(path)},
                    stdout=asyncio.subprocess.DEVNULL,
                )
            )
        yield fronts, processes
    finally:
        for process in processes:
            process.kill()
            await process.wait()


async def send(caller, name):
    """Sends a request that may run once; returns the status."""
    path = platform_driver.STRICT + name
    request = platform_driver.request(path, method="PUT", name=name)
    async with asyncio.timeout(platform_driver.WAIT_S):
        response = await caller.ask(request)
    return response and int(response.first_line.split()[1])


async def connect_once_served(front):
    """Returns connections of callers to a host that serves requests."""
    async with asyncio.timeout(platform_driver.WAIT_S):
        while True:
            with contextlib.suppress(OSError):
                caller = await testing.connect(front)
                if await send(caller, "first") == 200:
                    break
            await asyncio.sleep(0.1)
    callers = [await testing.connect(front) for _ in range(CALLERS)]
    for number, each in enumerate(callers):
        assert await send(each, f"before{number}") == 200
    return callers


def ids_at(server):
    """Returns the ids of the requests that reached a server."""
    return {
        request_id.decode()
        for received in server.requests
        for request_id in received.values(header_profile.REQUEST_ID)
    }


@pytest.mark.parametrize("role", ["reader", "follower"])
async def test_resumed_process_runs_no_request_by_a_version_that_was_replaced(
    tmp_path, role
):
    count = 1 if role == "reader" else 2
    async with (
        store_and_servers() as (store, store_address, old, _),
        gate_processes(tmp_path, store_address, count) as (fronts, processes),
    ):
        callers = await connect_once_served(fronts[-1])
        processes[-1].send_signal(signal.SIGSTOP)
        route(store, 2, test_moved_routes.NEW_SERVICE)
        await asyncio.sleep(APPLY_LIMIT_S + 0.5)
        names = [f"late{number}" for number in range(CALLERS)]
        sent = [
            asyncio.create_task(send(caller, name))
            for caller, name in zip(callers, names, strict=True)
        ]
        await asyncio.sleep(0.1)
        processes[-1].send_signal(signal.SIGCONT)
        statuses = await asyncio.gather(*sent)
        assert ids_at(old) & set(names) == set()
        assert set(statuses) <= {200, 503}
        for caller in callers:
            caller.close()
