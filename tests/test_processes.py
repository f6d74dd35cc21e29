"""The whole path as separate processes, under kills, freezes and stops."""

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
    """A gate host's process and addresses."""

    process: asyncio.subprocess.Process
    callers: str
    control: str


@attrs.define
class Fleet:
    """Two gate hosts, the platform's stand-ins and one target."""

    session: aiohttp.ClientSession
    folder: pathlib.Path
    gates: list[Process] = attrs.field(factory=list)
    started: list = attrs.field(factory=list)

    async def run(self, *words):
        """Starts a command of the product."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "fireflyspindle",
            *words,
            env={**os.environ, "FIREFLYSPINDLE_TOKEN": TOKEN},
        )
        self.started.append(process)
        return process

    async def ask(self, gate, method="GET", key=""):
        """Sends a request; returns the status and the stated outcome."""
        given = {headers.IDEMPOTENCY_KEY: key} if key else {}
        async with self.session.request(
            method, f"http://{gate.callers}/offer/7", headers=given
        ) as answer:
            await answer.read()
            return answer.status, answer.headers[headers.OUTCOME]

    async def until_ready(self, gate):
        """Waits until a gate host says that it is ready."""
        async with asyncio.timeout(60):
            while not await self.is_ready(gate):
                await asyncio.sleep(0.05)

    async def is_ready(self, gate):
        """Whether a gate host says that it is ready."""
        try:
            url = f"http://{gate.control}/health/ready"
            async with self.session.get(url) as answer:
                return answer.status == 200
        except aiohttp.ClientError:
            return False

    async def until_listening(self, address):
        """Waits until something listens on an address."""
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

    async def end(self):
        """Ends every process that still runs, by its id."""
        for process in self.started:
            if process.returncode is None:
                process.kill()
            await process.wait()


@pytest_asyncio.fixture
async def fleet(tmp_path):
    """Running processes whose route /offer leads to one target."""
    async with aiohttp.ClientSession() as session:
        made = Fleet(session, tmp_path)
        try:
            await start(made)
            yield made
        finally:
            await made.end()


async def start(made):
    log, hosts, target = (testing.free_address() for _ in range(3))
    await made.run("stand-in", "log", "--address", log)
    await made.run("stand-in", "hosts", "--address", hosts)
    await made.run(
        "stand-in", "target", "--address", target, "--mean-service-ms", "300"
    )
    for address in (log, hosts, target):
        await made.until_listening(address)
    controls = [testing.free_address(), testing.free_address()]
    for number, control in enumerate(controls):
        callers = testing.free_address()
        path = made.folder / f"gate-{number}.toml"
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
        process = await made.run("gate", "--settings", str(path))
        made.gates.append(Process(process, callers, control))
    for gate in made.gates:
        await made.until_ready(gate)
    records = made.folder / "records.toml"
    records.write_text(RECORDS.format(target=target))
    publish = await made.run(
        "publish",
        "--file",
        str(records),
        "--gate",
        made.gates[0].control,
        "--wait",
    )
    assert await publish.wait() == 0


async def test_key_used_at_one_gate_host_is_known_at_the_other(fleet):
    first, second = fleet.gates
    key = f"{time.time_ns() // 1_000_000}-offer"
    assert await fleet.ask(first, "POST", key) == (200, "complete")
    status, outcome = await fleet.ask(second, "POST", key)
    assert (status, outcome) == (409, "complete")


async def test_killed_gate_host_leaves_the_other_serving(fleet):
    first, second = fleet.gates
    first.process.kill()
    await first.process.wait()
    assert await fleet.ask(second) == (200, "complete")


async def test_frozen_gate_host_answers_when_it_wakes(fleet):
    first, second = fleet.gates
    first.process.send_signal(signal.SIGSTOP)
    asked = asyncio.create_task(fleet.ask(first))
    assert await fleet.ask(second) == (200, "complete")
    assert not asked.done()
    first.process.send_signal(signal.SIGCONT)
    assert await asked == (200, "complete")


async def test_planned_stop_finishes_what_is_in_flight(fleet):
    first, _ = fleet.gates
    asked = [asyncio.create_task(fleet.ask(first, "POST")) for _ in range(4)]
    async with asyncio.timeout(30):
        while (await state(fleet, first))["calls"] == 0:
            await asyncio.sleep(0.01)
    first.process.terminate()
    answers = await asyncio.gather(*asked)
    assert answers == [(200, "complete")] * 4
    assert await first.process.wait() == 0


async def state(fleet, gate):
    """Returns the state page of a gate host."""
    async with fleet.session.get(f"http://{gate.control}/state") as answer:
        return await answer.json()
