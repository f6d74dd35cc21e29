"""A whole system in one process, under load, checked by its journals."""

import asyncio
import json
import time
import uuid

import aiohttp

from fireflyspindle import gate as gate_lib
from fireflyspindle import headers
from fireflyspindle import settings as settings_lib
from fireflyspindle import testing
from fireflyspindle.core import configuration
from fireflyspindle.core import records

TARGETS = 4
CALLERS = 8


def publish(
    log: testing.StandInLog,
    kind: str,
    name: str,
    payload: dict,
    expected_revision: int = 0,
) -> int:
    """Appends a record to the stand-in log; returns its revision."""
    envelope = records.Envelope(
        record_id=uuid.uuid4().hex,
        kind=kind,
        name=name,
        expected_revision=expected_revision,
        schema_version=1,
        oldest_reader_version=1,
        author="demo",
        payload=payload,
    )
    return log.append(configuration.STREAM, records.encode(envelope)) + 1


def gate_settings(
    host_id: str, log_address: str, hosts_address: str
) -> settings_lib.Settings:
    """Returns settings of a gate host on free loopback ports."""
    return settings_lib.Settings(
        gate=settings_lib.GateSettings(
            host_id=host_id,
            failure_domain="a",
            callers_address="127.0.0.1:0",
            control_address="127.0.0.1:0",
        ),
        platform=settings_lib.PlatformSettings(log_address, hosts_address),
    )


async def run(seconds: float) -> dict:
    """Runs the demo and returns its figures."""
    log = testing.StandInLog()
    log_server = testing.Server(log.application())
    log_address = await log_server.start()
    targets = [
        testing.StandInTarget(f"target-{index}", mean_service_ms=5, seed=index)
        for index in range(TARGETS)
    ]
    servers = [testing.Server(target.application()) for target in targets]
    addresses = [await server.start() for server in servers]
    publish(
        log,
        "service",
        "dossier",
        {"targets": [{"address": address} for address in addresses]},
    )
    publish(
        log,
        "route",
        "dossier",
        {"path_prefix": "/dossier", "service": "dossier"},
    )
    gate = gate_lib.Gate(gate_settings("gate-1", log_address, log_address))
    await gate.start()
    while not gate.state.configuration.complete:
        await asyncio.sleep(0.01)
    figures = await _load(gate, targets, seconds)
    gate.request_stop()
    await gate.wait_closed()
    for server in [*servers, log_server]:
        await server.close()
    return figures


async def _load(
    gate: gate_lib.Gate, targets: list[testing.StandInTarget], seconds: float
) -> dict:
    end_s = time.monotonic() + seconds
    outcomes = {"complete": 0, "not-run": 0, "unknown": 0}
    wrong = 0

    async def caller(number: int, session: aiohttp.ClientSession) -> None:
        nonlocal wrong
        count = 0
        while time.monotonic() < end_s:
            count += 1
            path = f"/dossier/{number}/{count}"
            url = f"http://{gate.callers_address}{path}"
            async with session.post(url, data=path) as answer:
                text = await answer.text()
                outcome = answer.headers[headers.OUTCOME]
                outcomes[outcome] += 1
                if outcome == "complete" and json.loads(text)["body"] != path:
                    wrong += 1

    async with aiohttp.ClientSession() as session:
        await asyncio.gather(
            *(caller(number, session) for number in range(CALLERS))
        )
    runs = [count for target in targets for count in target.journal.values()]
    return {
        "calls": sum(outcomes.values()),
        "complete": outcomes["complete"],
        "not_run": outcomes["not-run"],
        "unknown": outcomes["unknown"],
        "wrong_answers": wrong,
        "ran_twice": sum(1 for count in runs if count > 1),
    }
