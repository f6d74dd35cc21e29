"""Fixtures shared by the tests."""

import asyncio
from collections.abc import AsyncIterator

import attrs
import pytest
import pytest_asyncio

import driver
from fireflyspindle import demo
from fireflyspindle import gate as gate_lib
from fireflyspindle import testing


@attrs.define
class System:
    """A log, one target and one gate host on loopback."""

    log: testing.StandInLog
    target: testing.StandInTarget
    gate: gate_lib.Gate
    url: str


@pytest_asyncio.fixture
async def system() -> AsyncIterator[System]:
    """A running system whose route /dossier leads to the target."""
    log = testing.StandInLog()
    log_server = testing.Server(log.application())
    log_address = await log_server.start()
    target = testing.StandInTarget("target-1")
    target_server = testing.Server(target.application())
    address = await target_server.start()
    demo.publish(log, "service", "dossier", {"targets": [{"address": address}]})
    demo.publish(
        log,
        "route",
        "dossier",
        {"path_prefix": "/dossier", "service": "dossier"},
    )
    gate = gate_lib.Gate(demo.gate_settings("gate-1", log_address, log_address))
    await gate.start()
    async with asyncio.timeout(10):
        while not gate.state.configuration.complete:
            await asyncio.sleep(0.005)
    yield System(log, target, gate, f"http://{gate.callers_address}")
    gate.request_stop()
    await gate.wait_closed()
    await target_server.close()
    await log_server.close()


@pytest.fixture
def make_host():
    """Builds gate hosts whose reducers a test drives by events."""
    return driver.Host
