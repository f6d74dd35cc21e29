"""Gate hosts on the platform that follow a reader of the store."""

import asyncio
import random

import aiohttp
import attrs
import pytest

from fireflyspindle import testing
from fireflyspindle.core import events
from fireflyspindle.core import fleet as fleet_lib
from fireflyspindle.core import host_count
from fireflyspindle.core import store_state
from fireflyspindle.platform import host as host_lib
from fireflyspindle.testing import platform_documents
from fireflyspindle.testing import store as store_lib
from fireflyspindle.testing import tcp_proxy
import platform_driver
import wire

# Time within which a host that starts during an outage knows the targets.
START_LIMIT_S = 1.0


async def gauge(host, name):
    """Returns the value of a metric of a host."""
    address, port = host._runners[0].addresses[0]
    url = f"http://{address}:{port}/metrics"
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        text = await response.text()
    (line,) = [line for line in text.splitlines() if f'"{name}"' in line]
    return float(line.split()[-1])


async def test_follower_gets_changes_without_reading_the_store():
    async with platform_driver.reader_and_follower() as (
        store,
        reader,
        follower,
    ):
        store.write(
            store_lib.CONFIGURATION_TOPIC, "config", platform_driver.document(2)
        )
        store.write(
            store_lib.TARGETS_TOPIC,
            "i-0",
            platform_documents.target_entry("127.0.0.1:1"),
        )
        await wire.until(
            lambda: (
                follower.state.rule_table.version == 2
                and "i-0" in follower.state.registered_targets
            )
        )
        assert reader.metrics.event_counts["store_read"] > 2
        assert await gauge(reader, "followers") == 1.0
        assert await gauge(follower, "followers") == 0.0
        assert follower.metrics.event_counts["store_read"] == 0
        assert await gauge(follower, "probe_budget_per_s") > 0.0


async def test_all_hosts_know_the_number_of_gate_hosts(monkeypatch):
    monkeypatch.setattr(host_count, "FIRST_COUNT_US", 0)
    monkeypatch.setattr(host_count, "COUNT_INTERVAL_US", 100_000)
    monkeypatch.setattr(fleet_lib, "JOIN_TIME_US", 0)
    async with platform_driver.reader_and_follower() as (_, *hosts):
        for host in hosts:
            while await gauge(host, "gate_hosts") != 2.0:
                await asyncio.sleep(0.05)


async def test_follower_reads_the_store_after_its_reader_stopped():
    async with platform_driver.reader_and_follower() as (
        store,
        reader,
        follower,
    ):
        reader.request_stop()
        reader.request_stop()
        await reader.wait_closed()
        store.write(
            store_lib.CONFIGURATION_TOPIC, "config", platform_driver.document(2)
        )
        await wire.until(lambda: follower.state.rule_table.version == 2)
        assert follower.metrics.event_counts["store_read"] > 0


async def test_follower_reads_the_store_when_it_refuses_the_reader():
    async with platform_driver.reader_and_follower() as (
        store,
        reader,
        follower,
    ):
        del reader
        store.refuse_status = 503
        await wire.until(
            lambda: follower.metrics.event_counts["store_read"] > 0
        )
        store.refuse_status = None
        store.write(
            store_lib.CONFIGURATION_TOPIC, "config", platform_driver.document(2)
        )
        await wire.until(lambda: follower.state.rule_table.version == 2)


@pytest.mark.parametrize("targets", [1, 400], ids=["few", "omitted"])
async def test_host_that_starts_during_an_outage_serves_callers(targets):
    async with platform_driver.reader_and_follower() as (
        store,
        reader,
        follower,
    ):
        behaviour = platform_driver.server_behaviour()
        server = testing.ScriptedTarget(behaviour)
        address = await server.start()
        for number in range(targets):
            entry = platform_documents.target_entry(
                address if number == 0 else f"127.0.0.1:{number}",
                "ready" if number == 0 else "draining",
            )
            key = f"{random.Random(number).getrandbits(256):x}"
            store.write(
                store_lib.TARGETS_TOPIC, key if number else "i-0", entry
            )
        await wire.until(
            lambda: len(reader.state.registered_targets) == targets
        )
        store.refuse_status = 503
        await asyncio.sleep(1.0)
        host = host_lib.PlatformHost(
            attrs.evolve(follower.settings, host_id="edge-new")
        )
        await host.start()
        async with asyncio.timeout(START_LIMIT_S):
            await wire.until(lambda: "i-0" in host.state.registered_targets)
        caller = await testing.connect(host.data_path.server.address)
        response = await caller.ask(platform_driver.request())
        caller.close()
        assert response.first_line.split()[1] == b"200"
        host.request_stop()
        host.request_stop()
        await host.wait_closed()
        await server.close()


async def test_changed_list_of_readers_is_applied_at_run_time():
    async with platform_driver.reader_and_follower() as (_, reader, follower):
        new_settings = attrs.evolve(
            follower.settings,
            reader_addresses=(follower.settings.control_address,),
        )
        follower.apply_settings(new_settings)
        assert follower.state.following.is_reader
        assert follower.state.following.address is None
        await wire.until(
            lambda: follower.metrics.event_counts["store_read"] > 1
        )
        assert reader.state.following.is_reader


async def test_hosts_that_follow_each_other_do_not_relay_in_a_loop():
    """Each host knows the other by an address lower than its own."""
    async with platform_driver.reader_and_follower() as (
        store,
        reader,
        follower,
    ):
        addresses = {}
        proxies = []
        for host in (reader, follower):
            server = host._runners[-1].addresses[0]
            proxy = tcp_proxy.TcpProxy(f"{server[0]}:{server[1]}")
            addresses[host] = await proxy.start()
            proxies.append(proxy)
        for host, other in ((reader, follower), (follower, reader)):
            own_address = "127.0.0.2:1"
            host.state.settings = attrs.evolve(
                host.state.settings,
                store=attrs.evolve(
                    host.state.settings.store, control_address=own_address
                ),
            )
            host.submit(
                events.ReadersChanged(host.now_us(), True, (addresses[other],))
            )
        await asyncio.sleep(0.5)
        store.write(
            store_lib.CONFIGURATION_TOPIC, "config", platform_driver.document(2)
        )
        hosts = (reader, follower)
        await wire.until(
            lambda: all(h.state.rule_table.version == 2 for h in hosts)
        )
        for proxy in proxies:
            await proxy.close()


# Guards against a follower that takes a relayed read for newer than it is: it
# would refuse requests for routes that were added while the response arrived.
async def test_relayed_read_is_complete_until_its_start_at_a_slow_link():
    source = store_state.Source.CONFIGURATION
    started_us = []

    def slow_down(host):
        client = host._store_sync._timed_reads._client
        read = client.read

        async def read_slowly(topic, *arguments):
            start_us = host.now_us()
            outcome = await read(topic, *arguments)
            progress = arguments[-1]
            # Data arrives all the time, so that the read is not late.
            for _ in range(20):
                await asyncio.sleep(0.1)
                progress.received_s = asyncio.get_running_loop().time()
            if topic == store_lib.CONFIGURATION_TOPIC:
                started_us.append(start_us)
            return outcome

        client.read = read_slowly

    async with platform_driver.reader_and_follower() as (_, reader, follower):
        slow_down(reader)
        slow_down(follower)
        while len(started_us) < 4:
            await asyncio.sleep(0.05)
            reads = follower.state.store_reads[source]
            if started_us:
                assert reads.complete_until_us <= max(started_us) + 100_000
