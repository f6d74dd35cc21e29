"""A gate host goes on after an unexpected error in one event or effect."""

import asyncio
import contextlib

import pytest

from fireflyspindle.core import events
from fireflyspindle.core import store_state
import platform_driver
import wire

# Longest time without a change after which a new version must be in force.
APPLY_LIMIT_S = 2.0
# Time in which a read that was lost may be made again.
READ_LIMIT_S = 6.0
POLL_S = 0.05


def fail_once(monkeypatch, owner, name):
    """Makes the next call of a method raise."""
    method = getattr(owner, name)

    def fail(*_arguments, **_options):
        monkeypatch.setattr(owner, name, method)
        raise RuntimeError("unexpected")

    monkeypatch.setattr(owner, name, fail)


# Guards against a host that takes a lost read for one in progress, and so never
# reads the source again.
@pytest.mark.parametrize("source", store_state.Source)
async def test_source_is_read_again_after_an_error(monkeypatch, source):
    behaviour = platform_driver.server_behaviour()
    async with platform_driver.running(behaviour) as platform:
        host = platform.host
        decoder = host._store_sync.decoder
        name = f"_{source.value}_read"
        fail_once(monkeypatch, decoder, name)
        await wire.until(lambda: "fail" not in getattr(decoder, name).__name__)
        reads = host.state.store_reads[source]
        complete_us = reads.complete_until_us
        async with asyncio.timeout(READ_LIMIT_S):
            while reads.complete_until_us == complete_us:
                await asyncio.sleep(POLL_S)


# Guards against a host without timers: deadlines of calls, checks of readers
# and all pauses depend on one timer of the shell.
async def test_timers_fire_after_an_error_in_an_effect(monkeypatch):
    behaviour = platform_driver.server_behaviour()
    async with platform_driver.running(behaviour) as platform:
        host = platform.host
        fail_once(monkeypatch, host, "_set_timer")
        with contextlib.suppress(RuntimeError):
            host.submit(events.TimerFired(host.now_us()))
        if host._timer is not None:
            # The error came while the shell's timer fired.
            host._timer.cancel()
            host._timer = None
        assert host._set_timer.__name__ != "fail"
        fired = []
        on_timer = host._on_timer
        monkeypatch.setattr(host, "_on_timer", lambda: fired.append(on_timer()))
        await asyncio.sleep(APPLY_LIMIT_S)
        await platform.send_request(platform_driver.request())
        await asyncio.sleep(APPLY_LIMIT_S)
        assert fired
