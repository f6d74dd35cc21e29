"""Fixtures shared by the tests."""

from collections.abc import AsyncIterator

import attrs
import pytest
import pytest_asyncio

import driver
from fireflyspindle import gate as gate_lib
from fireflyspindle import testing
import known_failures
import published_driver


def pytest_configure(config):
    """Reads the tests that don't count for the verdict."""
    path = config.rootpath / known_failures.FILE_NAME
    config.pluginmanager.register(known_failures.Plugin(path))


@attrs.define
class System:
    """A log, one target and one gate host on loopback."""

    log: testing.StandInLog
    target: testing.StandInTarget
    gate: gate_lib.Gate
    url: str


@pytest_asyncio.fixture
async def system() -> AsyncIterator[System]:
    """Runs a system whose route /dossier leads to the target."""
    async with testing.StandInSystem() as stand_ins:
        target = testing.StandInTarget("target-1")
        address = await stand_ins.add_target(target)
        testing.publish(
            stand_ins.log,
            "service",
            "dossier",
            {"targets": [{"address": address}]},
        )
        testing.publish(
            stand_ins.log,
            "route",
            "dossier",
            {"path_prefix": "/dossier", "service": "dossier"},
        )
        gate = await stand_ins.add_gate("gate-1")
        yield System(
            stand_ins.log, target, gate, f"http://{gate.callers_address}"
        )


@pytest.fixture
def make_host():
    """Returns a factory of gate hosts that a test drives by events."""
    return driver.Host


@pytest.fixture
def make_published_host():
    """Returns a factory of gate hosts configured by the platform's store."""
    return published_driver.PublishedHost
