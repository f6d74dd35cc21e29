"""Runs several gate hosts on the platform, some cut off from all servers."""

import asyncio
import contextlib

import attrs

from fireflyspindle import testing
from fireflyspindle.platform import host as host_lib
from fireflyspindle.platform import settings as settings_lib
from fireflyspindle.testing import platform_documents
from fireflyspindle.testing import store as store_lib
import platform_driver
import wire

READERS = 3


@attrs.define
class Fleet:
    """Gate hosts with a store and scripted servers."""

    hosts: list[host_lib.PlatformHost]
    store: testing.StandInStore
    work: object = None
    servers: list[testing.ScriptedTarget] = attrs.field(factory=list)
    server_addresses: list[str] = attrs.field(factory=list)

    async def start_server(self, zone="a"):
        """Starts a server, under an id of its own, and registers it."""
        server_id = f"i-{len(self.servers)}"
        behaviour = platform_driver.server_behaviour(self.work, server_id)
        server = testing.ScriptedTarget(behaviour)
        self.servers.append(server)
        self.server_addresses.append(await server.start())
        entry = platform_documents.target_entry(self.server_addresses[-1])
        entry["info"]["zone"] = zone
        self.store.write(store_lib.TARGETS_TOPIC, server_id, entry)

    async def crash_server(self, address):
        """Ends the server at an address and all of its connections."""
        number = self.server_addresses.index(address)
        await self.servers[number].close()
        return number

    def remove_entry(self, number):
        """Removes the entry of a server from the store."""
        self.store.write(store_lib.TARGETS_TOPIC, f"i-{number}", None)

    def cut_off(self, host, how):
        """Cuts a host off from all servers; returns a function that ends it.

        Args:
            host: The host.
            how: "refuse" or "hang" for new connections, with open ones closed;
                or "live" for new ones that are refused while open ones live on.
        """
        client = host.data_path.client
        connect, take_idle = client.connect, client.take_idle

        async def fail_to_connect(target):
            if target not in self.server_addresses:
                return await connect(target)
            if how != "hang":
                raise ConnectionRefusedError
            await asyncio.sleep(platform_driver.WAIT_S)
            raise TimeoutError

        def take_none(target, repeatable):
            if how != "live" and target in self.server_addresses:
                return None
            return take_idle(target, repeatable)

        client.connect, client.take_idle = fail_to_connect, take_none

        def heal():
            client.connect, client.take_idle = connect, take_idle

        return heal

    async def send(self, host, request):
        """Sends a request to a host on a new connection."""
        caller = await testing.connect(host.data_path.server.address)
        async with asyncio.timeout(platform_driver.WAIT_S):
            response = await caller.ask(request)
        caller.close()
        return response


def _settings(number, addresses, readers, store_address, parameters):
    control, relay = addresses
    relay_ip, _, relay_port = relay.rpartition(":")
    raw = {
        "self": {
            "node-name": f"edge-{number}",
            "zone": "a",
        },
        "network": {
            "internal-ports": [int(relay_port), int(relay_port)],
            "seed-nodes": readers,
            "listen-addrs": {
                "front": f"{relay_ip}:0",
                "ready-addr": "127.0.0.1:0",
                "control-addr": control,
            },
        },
        "platform": {"platform": {"address": store_address}},
        "terms": {
            "contract-params": {
                "retry-budget-ratio": 0.2,
                "retry-slack": 62,
                "probes-per-s": 60,
                **parameters,
            }
        },
    }
    return settings_lib.parse(raw).unwrap()


@contextlib.asynccontextmanager
async def running(hosts, servers, work=None, **parameters):
    """Runs gate hosts, of which the first three read the store for all.

    Args:
        hosts: Number of gate hosts.
        servers: Number of servers.
        work: Writes the answers of servers to requests.
        parameters: Further parameters of the settings, with underscores.
    """
    parameters = {
        name.replace("_", "-"): value for name, value in parameters.items()
    }
    store = testing.StandInStore()
    store_server = testing.Server(store.application())
    store_address = await store_server.start()
    store.write(
        store_lib.CONFIGURATION_TOPIC, "config", platform_driver.document(1)
    )
    addresses = [
        (testing.free_address(), testing.free_address()) for _ in range(hosts)
    ]
    readers = [control for control, _ in addresses[:READERS]]
    fleet = Fleet(
        [
            host_lib.PlatformHost(
                _settings(number, pair, readers, store_address, parameters)
            )
            for number, pair in enumerate(addresses)
        ],
        store,
        work,
    )
    for _ in range(servers):
        await fleet.start_server()
    for host in fleet.hosts:
        await host.start()
    await wire.until(
        lambda: all(
            len(host.state.registered_targets) == servers
            and host.state.rule_table.version is not None
            for host in fleet.hosts
        )
    )
    try:
        yield fleet
    finally:
        for host in fleet.hosts:
            host.request_stop()
            host.request_stop()
        for host in fleet.hosts:
            await host.wait_closed()
        for target in fleet.servers:
            await target.close()
        await store_server.close()
