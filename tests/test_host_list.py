"""Polling of the platform's host list within its byte budget."""

import pytest

from fireflyspindle import testing
from fireflyspindle.adapters import host_list as adapter
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import host_list


@pytest.mark.parametrize("size_bytes", [0, 1_000, 40_000, 400_000])
def test_long_list_is_read_less_often(make_host, size_bytes):
    host = make_host()
    read_bytes = 0
    elapsed_us = 0
    for _ in range(20):
        emitted = host.feed(events.HostListRead, [], [], size_bytes)
        [requested] = [
            effect
            for effect in emitted
            if isinstance(effect, effects.ReadHostList)
        ]
        assert requested.delay_us >= host_list.PERIOD_US
        elapsed_us += requested.delay_us
        read_bytes += size_bytes
    limit = host_list.BUDGET_BYTES_PER_S / (1 - host_list.JITTER_SHARE)
    assert read_bytes / (elapsed_us / 1e6) <= limit


async def test_unchanged_list_is_not_transferred_again():
    hosts = testing.StandInHosts()
    hosts.put("targets", "t1", "10.0.0.1:80")
    server = testing.Server(hosts.application())
    client = adapter.HostListClient(await server.start())
    first = await client.read()
    second = await client.read()
    hosts.put("targets", "t1", "10.0.0.1:80", leaving=True)
    changed = await client.read()
    await client.close()
    await server.close()
    assert first.size_bytes > 0
    assert second.size_bytes == 0
    assert second.listed == first.listed
    assert changed.size_bytes > 0
    assert changed.listed.targets[0].leaving
