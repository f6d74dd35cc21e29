"""Reading the platform's host list within its budget of bytes."""

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
    passed_us = 0
    for _ in range(20):
        asked = host.feed(events.HostListRead, [], [], size_bytes)
        [read] = [
            effect
            for effect in asked
            if isinstance(effect, effects.ReadHostList)
        ]
        assert read.delay_us >= host_list.PERIOD_US
        passed_us += read.delay_us
        read_bytes += size_bytes
    limit = host_list.BUDGET_BYTES_PER_S / (1 - host_list.JITTER_SHARE)
    assert read_bytes / (passed_us / 1e6) <= limit


async def test_unchanged_list_is_not_sent_again():
    hosts = testing.StandInHosts()
    hosts.put("targets", "t1", "10.0.0.1:80")
    server = testing.Server(hosts.application())
    client = adapter.HostListClient(await server.start())
    first = await client.read()
    again = await client.read()
    hosts.put("targets", "t1", "10.0.0.1:80", leaving=True)
    changed = await client.read()
    await client.close()
    await server.close()
    assert first.size_bytes > 0
    assert again.size_bytes == 0
    assert again.listed == first.listed
    assert changed.size_bytes > 0
    assert changed.listed.targets[0].leaving
