"""Load generator of the demo and the results of its requests."""

import asyncio
import random
import time
import uuid

import aiohttp
import attrs

from fireflyspindle import headers
from fireflyspindle.core import effects

RECONNECT_DELAY_S = 0.05


@attrs.define
class RequestResult:
    """Result of one request.

    Attributes:
        path: Path of the request, unique in the run.
        repeatable: Whether it may be executed more than once.
        outcome: Outcome in the response; None if the connection failed.
        right: Whether the response belongs to this request.
        gate: Host id of the gate host that received it.
        took_ms: Time from the request to the end of the response.
        stopping: Whether the gate host was shutting down gracefully.
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
    """Closed-loop load: each caller sends its requests sequentially.

    Attributes:
        prefix: Path prefix of the requests.
        gates: Addresses of the gate hosts in the load balancer, by host id.
        stopping: Host ids of the gate hosts that are shutting down.
        told: Results, in order of completion.
    """

    prefix: str
    gates: dict[str, str]
    stopping: set[str] = attrs.field(factory=set)
    told: list[RequestResult] = attrs.field(factory=list)

    async def run(self, callers: int, seconds: float) -> None:
        """Sends load for `seconds` and waits for all responses."""
        end_s = time.monotonic() + seconds
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        ) as session:
            await asyncio.gather(
                *(
                    self._run_caller(session, number, end_s)
                    for number in range(callers)
                )
            )

    async def _run_caller(
        self, session: aiohttp.ClientSession, number: int, end_s: float
    ) -> None:
        generator = random.Random(number)
        count = 0
        while time.monotonic() < end_s:
            count += 1
            gate = generator.choice(sorted(self.gates))
            result = await self._send(
                session,
                gate,
                f"{self.prefix}/{number}/{count}",
                repeatable=generator.random() < 0.5,
            )
            self.told.append(result)
            if result.outcome is None:
                await asyncio.sleep(RECONNECT_DELAY_S)

    async def _send(
        self,
        session: aiohttp.ClientSession,
        gate: str,
        path: str,
        repeatable: bool,
    ) -> RequestResult:
        started_s = time.monotonic()
        result = RequestResult(path, repeatable, None, False, gate, 0.0)
        request_headers = (
            {} if repeatable else {headers.IDEMPOTENCY_KEY: _new_key()}
        )
        try:
            async with session.request(
                "GET" if repeatable else "POST",
                f"http://{self.gates[gate]}{path}",
                headers=request_headers,
                data=None if repeatable else path.encode(),
            ) as response:
                content = await response.read()
                result.outcome = response.headers.get(headers.OUTCOME)
                result.right = f'"path": "{path}"'.encode() in content
        except (aiohttp.ClientError, TimeoutError):
            result.outcome = None
        result.took_ms = (time.monotonic() - started_s) * 1000
        result.stopping = gate in self.stopping
        return result


def _new_key() -> str:
    issued_ms = time.time_ns() // 1_000_000
    return f"{issued_ms}-{uuid.uuid4().hex}"


def is_complete(result: RequestResult) -> bool:
    """Whether the caller received a complete response of a target."""
    return result.outcome == effects.Outcome.COMPLETE.value


def is_not_run(result: RequestResult) -> bool:
    """Whether the response states that the request was not run."""
    return result.outcome == effects.Outcome.NOT_RUN.value
