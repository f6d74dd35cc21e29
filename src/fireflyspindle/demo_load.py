"""Callers of the demo, and what they were told."""

import asyncio
import random
import time
import uuid

import aiohttp
import attrs

from fireflyspindle import headers
from fireflyspindle.core import effects

BROKEN_PAUSE_S = 0.05


@attrs.define
class Told:
    """What one caller was told of one request.

    Attributes:
        path: Path of the request, unique in the run.
        repeatable: Whether it may run more than once.
        outcome: What the answer stated; None when the connection broke.
        right: Whether a complete answer was the caller's own.
        gate: Host id of the gate host that took it.
        took_ms: Time from the request to the end of the answer.
        stopping: Whether a planned stop of the gate host was under way.
    """

    path: str
    repeatable: bool
    outcome: str | None
    right: bool
    gate: str
    took_ms: float
    stopping: bool = False


@attrs.define(eq=False)
class Load:
    """Callers that send one request after the other.

    Attributes:
        prefix: Path prefix of their requests.
        gates: Addresses that the balancer offers, by host id.
        stopping: Host ids of the gate hosts that are being stopped.
        told: What callers were told, in order of the answers.
    """

    prefix: str
    gates: dict[str, str]
    stopping: set[str] = attrs.field(factory=set)
    told: list[Told] = attrs.field(factory=list)

    async def run(self, callers: int, seconds: float) -> None:
        """Sends load until the time is over and every answer is in."""
        end_s = time.monotonic() + seconds
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        ) as session:
            await asyncio.gather(
                *(
                    self._caller(session, number, end_s)
                    for number in range(callers)
                )
            )

    async def _caller(
        self, session: aiohttp.ClientSession, number: int, end_s: float
    ) -> None:
        generator = random.Random(number)
        count = 0
        while time.monotonic() < end_s:
            count += 1
            gate = generator.choice(sorted(self.gates))
            told = await self._ask(
                session,
                gate,
                f"{self.prefix}/{number}/{count}",
                repeatable=generator.random() < 0.5,
            )
            self.told.append(told)
            if told.outcome is None:
                await asyncio.sleep(BROKEN_PAUSE_S)

    async def _ask(
        self,
        session: aiohttp.ClientSession,
        gate: str,
        path: str,
        repeatable: bool,
    ) -> Told:
        began_s = time.monotonic()
        told = Told(path, repeatable, None, False, gate, 0.0)
        given = {} if repeatable else {headers.IDEMPOTENCY_KEY: _key()}
        try:
            async with session.request(
                "GET" if repeatable else "POST",
                f"http://{self.gates[gate]}{path}",
                headers=given,
                data=None if repeatable else path.encode(),
            ) as answer:
                content = await answer.read()
                told.outcome = answer.headers.get(headers.OUTCOME)
                told.right = f'"path": "{path}"'.encode() in content
        except (aiohttp.ClientError, TimeoutError):
            told.outcome = None
        told.took_ms = (time.monotonic() - began_s) * 1000
        told.stopping = gate in self.stopping
        return told


def _key() -> str:
    issued_ms = time.time_ns() // 1_000_000
    return f"{issued_ms}-{uuid.uuid4().hex}"


def is_complete(told: Told) -> bool:
    """Whether the caller got a whole answer of a target."""
    return told.outcome == effects.Outcome.COMPLETE.value


def is_not_run(told: Told) -> bool:
    """Whether the caller was told that its request was not run."""
    return told.outcome == effects.Outcome.NOT_RUN.value
