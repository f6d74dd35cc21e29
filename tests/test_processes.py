"""Tests gate hosts as separate processes that are killed and suspended."""

import asyncio
import hashlib
import os
import pathlib
import signal
import sys
import time

import aiohttp
import attrs
import pytest_asyncio

from fireflyspindle import headers
from fireflyspindle import testing

TOKEN = "token-of-the-process-test"
SETTINGS = """
[gate]
host_id = "{name}"
failure_domain = "a"
callers_address = "{callers}"
control_address = "{control}"
[platform]
log_address = "{log}"
host_list_address = "{hosts}"
[peers]
addresses = [{peers}]
[[administration.teams]]
name = "operators"
token_sha256 = "{digest}"
may_write = ["*"]
"""
RECORDS = """
[[records]]
kind = "service"
name = "offer"
[[records.payload.targets]]
address = "{target}"

[[records]]
kind = "route"
name = "offer"
payload = {{ path_prefix = "/offer", service = "offer" }}
"""


@attrs.define
class Process:
    """The process and the addresses of a gate host."""

    process: asyncio.subprocess.Process
    callers: str
    control: str


@attrs.define
class Fleet:
    """Two gate hosts, stand-ins for the platform and one target."""

    session: aiohttp.ClientSession
    folder: pathlib.Path
    gates: list[Process] = attrs.field(factory=list)
    started: list = attrs.field(factory=list)

    async def run(self, *arguments):
        """Starts a `fireflyspindle` command."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "fireflyspindle",
            *arguments,
            env={**os.environ, "FIREFLYSPINDLE_TOKEN": TOKEN},
        )
        self.started.append(process)
        return process

    async def send_request(self, gate, method="GET", key=""):
        """Sends a request; returns the status and the outcome header."""
        request_headers = {headers.IDEMPOTENCY_KEY: key} if key else {}
        async with self.session.request(
            method, f"http://{gate.callers}/offer/7", headers=request_headers
        ) as response:
            await response.read()
            return response.status, response.headers[headers.OUTCOME]

    async def until_ready(self, gate):
        """Waits until a gate host reports that it is ready."""
        async with asyncio.timeout(60):
            while not await self.is_ready(gate):
                await asyncio.sleep(0.05)

    async def is_ready(self, gate):
        """Whether a gate host reports that it is ready."""
        try:
            url = f"http://{gate.control}/health/ready"
            async with self.session.get(url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def until_listening(self, address):
        """Waits until an address accepts connections."""
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(60):
            while True:
                try:
                    _, writer = await asyncio.open_connection(host, int(port))
                except OSError:
                    await asyncio.sleep(0.05)
                    continue
                writer.close()
                return

    async def kill_all(self):
        """Kills every started process that still runs."""
        for process in self.started:
            if process.returncode is None:
                process.kill()
            await process.wait()


@pytest_asyncio.fixture
async def fleet(tmp_path):
    """Running processes with a route from /offer to one target."""
    async with aiohttp.ClientSession() as session:
        running = Fleet(session, tmp_path)
        try:
            await start(running)
            yield running
        finally:
            await running.kill_all()


async def start(fleet):
    log, hosts, target = (testing.free_address() for _ in range(3))
    await fleet.run("stand-in", "log", "--address", log)
    await fleet.run("stand-in", "hosts", "--address", hosts)
    await fleet.run(
        "stand-in", "target", "--address", target, "--mean-service-ms", "300"
    )
    for address in (log, hosts, target):
        await fleet.until_listening(address)
    controls = [testing.free_address(), testing.free_address()]
    for number, control in enumerate(controls):
        callers = testing.free_address()
        path = fleet.folder / f"gate-{number}.toml"
        path.write_text(
            SETTINGS.format(
                name=f"gate-{number}",
                callers=callers,
                control=control,
                log=log,
                hosts=hosts,
                peers=f'"{controls[1 - number]}"',
                digest=hashlib.sha256(TOKEN.encode()).hexdigest(),
            )
        )
        process = await fleet.run("gate", "--settings", str(path))
        fleet.gates.append(Process(process, callers, control))
    for gate in fleet.gates:
        await fleet.until_ready(gate)
    records = fleet.folder / "records.toml"
    records.write_text(RECORDS.format(target=target))
    publish = await fleet.run(
        "publish",
        "--file",
        str(records),
        "--gate",
        fleet.gates[0].control,
        "--wait",
    )
    assert await publish.wait() == 0


async def test_idempotency_key_used_at_one_gate_host_is_known_at_the_other(
    fleet,
):
    first, second = fleet.gates
    key = f"{time.time_ns() // 1_000_000}-offer"
    assert await fleet.send_request(first, "POST", key) == (200, "complete")
    status, outcome = await fleet.send_request(second, "POST", key)
    assert (status, outcome) == (409, "complete")


async def test_gate_host_serves_after_the_other_is_killed(fleet):
    first, second = fleet.gates
    first.process.kill()
    await first.process.wait()
    assert await fleet.send_request(second) == (200, "complete")


async def test_suspended_gate_host_answers_after_it_resumes(fleet):
    first, second = fleet.gates
    first.process.send_signal(signal.SIGSTOP)
    pending = asyncio.create_task(fleet.send_request(first))
    assert await fleet.send_request(second) == (200, "complete")
    assert not pending.done()
    first.process.send_signal(signal.SIGCONT)
    assert await pending == (200, "complete")


async def test_graceful_stop_completes_the_calls_in_flight(fleet):
    first, _ = fleet.gates
    pending = [
        asyncio.create_task(fleet.send_request(first, "POST")) for _ in range(4)
    ]
    async with asyncio.timeout(30):
        while (await state(fleet, first))["calls"] == 0:
            await asyncio.sleep(0.01)
    first.process.terminate()
    responses = await asyncio.gather(*pending)
    assert responses == [(200, "complete")] * 4
    assert await first.process.wait() == 0


async def state(fleet, gate):
    """Returns the state page of a gate host."""
    async with fleet.session.get(f"http://{gate.control}/state") as response:
        return await response.json()
