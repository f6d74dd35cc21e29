"""Callers of the soak, and what they check."""

import asyncio
import itertools
import random
from typing import Any

import attrs

from fireflyspindle import testing
from fireflyspindle.platform import dialect
from fireflyspindle.testing import platform_documents
from fireflyspindle.testing import platform_server

HOST = "soak.example"
REPEATABLE = "/read/"
STRICT = "/book/"
DEADLINE_MS = 2_000
# A caller gives up a little after its deadline.
PATIENCE_S = 3.0
# Callers at a time, and the longest pause between their requests: some 400
# requests a second, which three gate hosts on one core each can serve.
CALLERS = 12
PAUSE_S = 0.02
# Ids of requests that only ask which configuration is in force.
PROBE_PREFIX = "probe"
# Statuses that promise that a request has not run and never will.
PROMISES = frozenset({408, 421, 429, 503})


def document(version: int) -> dict[str, Any]:
    """Returns a configuration; each version has a route of its own."""
    routes = {
        "read": (REPEATABLE, "idempotent"),
        "book": (STRICT, "non_idempotent"),
        "version": (f"/version-{version}/", "idempotent"),
    }
    return platform_documents.document(version, HOST, routes, DEADLINE_MS)


def request(method: str, path: str, request_id: str) -> bytes:
    """Returns the bytes of a request without a body."""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"{dialect.REQUEST_ID}: {request_id}\r\n"
        f"{dialect.DEADLINE_MS}: {DEADLINE_MS}\r\n\r\n"
    ).encode()


@attrs.define
class Told:
    """What the caller of a request was told.

    Attributes:
        strict: Whether the request may run once at most.
        status: Status of the answer; 0 is a cut.
        address: Gate host that was asked.
        sent_s: Time at which the request was sent.
        ended_s: Time of the answer or the cut.
    """

    strict: bool
    status: int
    address: str = ""
    sent_s: float = 0.0
    ended_s: float = 0.0


class Callers:
    """Callers that keep their connections, and remember what they saw.

    Attributes:
        violations: Broken promises that callers saw.
        told: What was told, by request id.
    """

    def __init__(self, addresses: list[str], randomness: random.Random) -> None:
        self.violations: list[str] = []
        self._addresses = addresses
        self._random = randomness
        self.told: dict[str, Told] = {}
        self._served = 0
        self._numbers = itertools.count(1)
        self._stopping = False

    def stop(self) -> None:
        """Lets every caller end after its present request."""
        self._stopping = True

    def count(self) -> tuple[int, int]:
        """Returns the number of calls told, and of those served."""
        return len(self.told), self._served

    async def wait_served(self, limit_s: float) -> None:
        """Waits until every gate host has served a request.

        Raises:
            TimeoutError: One did not.
        """
        async with asyncio.timeout(limit_s):
            for address in self._addresses:
                while await self._ask_once(address) != 200:
                    await asyncio.sleep(PAUSE_S)

    async def _ask_once(self, address: str) -> int:
        try:
            connection = await testing.connect(address)
        except OSError:
            return 0
        status = await self._ask(connection, address, strict=False)
        connection.close()
        return status

    async def run(self) -> None:
        """Calls until `stop`."""
        await asyncio.gather(*(self._call() for _ in range(CALLERS)))

    async def _call(self) -> None:
        while not self._stopping:
            address = self._random.choice(self._addresses)
            try:
                connection = await testing.connect(address)
            except OSError:
                await asyncio.sleep(PAUSE_S)
                continue
            await self._use(connection, address)
            connection.close()

    async def _use(self, connection: testing.RawCaller, address: str) -> None:
        """Sends requests on a connection until it ends or enough were sent."""
        for _ in range(self._random.randint(1, 40)):
            if self._stopping:
                return
            strict = self._random.random() < 0.5
            if not await self._ask(connection, address, strict=strict):
                return
            await asyncio.sleep(PAUSE_S * self._random.random())

    async def _ask(
        self, connection: testing.RawCaller, address: str, *, strict: bool
    ) -> int:
        """Sends a request; returns the status, or 0 when it was cut."""
        request_id = f"soak{next(self._numbers)}"
        path = (STRICT if strict else REPEATABLE) + request_id
        method = "POST" if strict else "GET"
        head = request(method, path, request_id)
        clock = asyncio.get_running_loop()
        told = Told(strict, 0, address, clock.time())
        try:
            async with asyncio.timeout(PATIENCE_S):
                found = await connection.ask(head)
        except (TimeoutError, ConnectionError):
            found = None
        told.ended_s = clock.time()
        self.told[request_id] = told
        if found is None or not found.whole:
            return 0
        told.status = int(found.first_line.split()[1])
        self._check_answer(request_id, told.status, found)
        if found.values("Connection") == [b"close"]:
            return 0
        return told.status

    def _check_answer(
        self, request_id: str, status: int, found: testing.RawMessage
    ) -> None:
        if status != 200:
            return
        self._served += 1
        if found.body != platform_server.body_for(request_id):
            self.violations.append(f"{request_id}: got another body")
        if found.values(dialect.REQUEST_ID) != [request_id.encode()]:
            self.violations.append(f"{request_id}: got another id")
        signature = b"".join(found.values(dialect.SERVER_SIGNATURE))
        if not signature.endswith(b"." + request_id.encode()):
            self.violations.append(f"{request_id}: has no signature")

    def check_runs(self, runs: dict[str, int]) -> list[str]:
        """Returns the broken promises on what ran, by runs of each request."""
        found = []
        for request_id, told in self.told.items():
            count = runs.get(request_id, 0)
            if told.strict and count > 1:
                found.append(f"{request_id}: ran {count} times")
            if told.strict and told.status in PROMISES and count:
                found.append(f"{request_id}: told {told.status} and it ran")
            if told.status == 200 and not count:
                found.append(f"{request_id}: told 200 and it never ran")
        unknown = [
            name
            for name in runs.keys() - self.told.keys()
            if not name.startswith(PROBE_PREFIX)
        ]
        return found + [f"{name}: nobody sent it" for name in unknown]
