"""A gate host between raw callers and scripted targets."""

import asyncio
from collections.abc import AsyncIterator, Callable
import contextlib

import attrs

from fireflyspindle import gate as gate_lib
from fireflyspindle import testing
from fireflyspindle.testing import raw

WAIT_S = 10.0


@attrs.define
class RunningGate:
    """A gate host whose route /dossier leads to scripted targets."""

    gate: gate_lib.Gate
    targets: list[testing.ScriptedTarget]

    async def caller(self) -> testing.RawCaller:
        """Opens a caller's connection."""
        return await testing.connect(self.gate.callers_address)

    async def ask(
        self, request: bytes, body_expected: bool = True
    ) -> testing.RawMessage | None:
        """Sends a request on a new connection."""
        caller = await self.caller()
        try:
            async with asyncio.timeout(WAIT_S):
                return await caller.ask(request, body_expected)
        finally:
            caller.close()

    def outcomes(self) -> dict[str, int]:
        """Returns the number of recorded calls by outcome."""
        counts: dict[str, int] = {}
        for series in self.gate.metrics.calls.values():
            for outcome, count in series.outcomes.items():
                counts[outcome] = counts.get(outcome, 0) + count
        return counts


def request(
    method: str = "GET",
    path: str = "/dossier/1",
    *lines: str,
    body: bytes = b"",
) -> bytes:
    """Returns the bytes of a request, with Content-Length for a body."""
    head = [f"{method} {path} HTTP/1.1", "Host: dossier.example", *lines]
    if body:
        head.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*head, "", ""]).encode() + body


def replies(response: bytes, then: str = "keep") -> raw.Behaviour:
    """Returns a behaviour that writes fixed bytes and may then close."""

    async def respond(
        _request: testing.RawMessage, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(response)
        await writer.drain()
        if then == "close":
            writer.close()

    return respond


async def until(condition: Callable[[], object]) -> None:
    """Waits until a condition holds."""
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.002)


@contextlib.asynccontextmanager
async def running(*behaviours: raw.Behaviour) -> AsyncIterator[RunningGate]:
    """Runs a gate host with one scripted target for each behaviour."""
    async with testing.StandInSystem() as stand_ins:
        targets = [testing.ScriptedTarget(counts) for counts in behaviours]
        addresses = [await target.start() for target in targets]
        testing.publish(
            stand_ins.log,
            "service",
            "dossier",
            {"targets": [{"address": address} for address in addresses]},
        )
        testing.publish(
            stand_ins.log,
            "route",
            "dossier",
            {"path_prefix": "/dossier", "service": "dossier"},
        )
        gate = await stand_ins.add_gate("gate-1")
        try:
            yield RunningGate(gate, targets)
        finally:
            for target in targets:
                await target.close()
