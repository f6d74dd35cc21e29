"""Callers of the soak, and the checks of their responses."""

import asyncio
import hashlib
import itertools
import random
from typing import Any

import attrs

from fireflyspindle import testing
from fireflyspindle.platform import header_profile
from fireflyspindle.testing import platform_documents
from fireflyspindle.testing import platform_server

HOST = "soak.example"
REPEATABLE_PREFIX = "/read/"
AT_MOST_ONCE_PREFIX = "/book/"
# Route that each version moves from one service to the other.
MOVED_PREFIX = "/move/"
OTHER_SERVICE = "t"
DEADLINE_MS = 2_000
# A caller times out a little after its deadline.
CALLER_TIMEOUT_S = 3.0
# Concurrent callers, and the longest pause between the requests of one: some
# 400 requests a second, which three gate hosts on one core each can serve.
CALLER_COUNT = 12
MAX_PAUSE_S = 0.02
# Numbers of further routes in a configuration; one with the larger number is
# too large for readers to relay.
EXTRA_ROUTES = (0, 700)
# Prefix of the ids of requests that only check the active configuration.
PROBE_PREFIX = "probe"
# Share of the sends that pipeline requests, and most requests of one; share of
# the requests with a body whose last byte is sent later.
PIPELINED_SHARE = 0.2
MAX_PIPELINED = 6
LATE_BODY_SHARE = 0.3
BODY = b"booking" * 300
# Share of the single requests that take long to run, and how long. They end
# before the deadline, and some are at work when a planned stop ends. With more,
# they occupy most of the slots of four servers.
LONG_SHARE = 0.02
LONG_MS = (500, 1_900)
# Requests sent to a host with a short grace that stops, and the time between.
STOP_REQUESTS = 8
STOP_REQUEST_SPACING_S = 0.3
# Statuses which guarantee that a request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


def further_routes(count: int) -> dict[str, tuple[str, str]]:
    """Returns routes that get no requests: path prefix and kind by name."""
    # Digests hardly compress, unlike numbers.
    names = [
        hashlib.blake2b(b"%d" % number, digest_size=8).hexdigest()
        for number in range(count)
    ]
    return {name: (f"/extra-{name}/", "idempotent") for name in names}


def moved_service(version: int) -> str:
    """Returns the service that the moved route of a version leads to."""
    return OTHER_SERVICE if version % 2 else platform_documents.SERVICE


def document(version: int, extra_routes: int = 0) -> dict[str, Any]:
    """Returns a configuration; each version has a separate route.

    Args:
        version: Version of the configuration.
        extra_routes: Number of further routes, which get no requests.
    """
    routes = further_routes(extra_routes)
    routes |= {
        "read": (REPEATABLE_PREFIX, "idempotent"),
        "book": (AT_MOST_ONCE_PREFIX, "non_idempotent"),
        "move": (MOVED_PREFIX, "non_idempotent"),
        "version": (f"/version-{version}/", "idempotent"),
    }
    # Both services are there in each version.
    routes["other"] = ("/other/", "idempotent")
    services = {"move": moved_service(version), "other": OTHER_SERVICE}
    return platform_documents.configuration_document(
        version, HOST, routes, DEADLINE_MS, services
    )


def request(
    method: str,
    path: str,
    request_id: str,
    body: bytes = b"",
    work_ms: int | None = None,
) -> bytes:
    """Returns the bytes of a request; it may state how long it takes."""
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    if work_ms is not None:
        length += f"{platform_server.WORK_MS}: {work_ms}\r\n"
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"{header_profile.REQUEST_ID}: {request_id}\r\n"
        f"{header_profile.DEADLINE_MS}: {DEADLINE_MS}\r\n{length}\r\n"
    )
    return head.encode() + body


@attrs.define
class CallResult:
    """Result of a request as its caller saw it.

    Attributes:
        at_most_once: Whether the request may run at most once.
        status: Status of the response; 0 if there was no complete response.
        address: Gate host that received the request.
        sent_s: Time at which the request was sent.
        ended_s: Time of the response, the disconnection or the time-out.
    """

    at_most_once: bool
    status: int
    address: str = ""
    sent_s: float = 0.0
    ended_s: float = 0.0


class Callers:
    """Callers that reuse their connections and record every result.

    Attributes:
        violations: Violations in the responses.
        results: Result of each call, by request id.
    """

    def __init__(self, addresses: list[str], randomness: random.Random) -> None:
        self.violations: list[str] = []
        self._addresses = addresses
        self._random = randomness
        # Apart, so that the faults of a seed stay what they were.
        self._pipeline_random = random.Random(len(addresses))
        self._work_random = random.Random(len(addresses))
        self.results: dict[str, CallResult] = {}
        self._served = 0
        self._request_numbers = itertools.count(1)
        self._stopping = False

    def stop(self) -> None:
        """Stops every caller after its current request."""
        self._stopping = True

    def counts(self) -> tuple[int, int]:
        """Returns the number of finished calls, and of those served."""
        return len(self.results), self._served

    async def wait_served(self, limit_s: float) -> None:
        """Waits until every gate host has served a request.

        Raises:
            TimeoutError: A gate host did not serve one within `limit_s`.
        """
        async with asyncio.timeout(limit_s):
            for address in self._addresses:
                while await self._send_on_new_connection(address) != 200:
                    await asyncio.sleep(MAX_PAUSE_S)

    async def _send_on_new_connection(
        self, address: str, work_ms: int | None = None
    ) -> int:
        try:
            connection = await testing.connect(address)
        except OSError:
            return 0
        status = await self._send_request(
            connection, address, at_most_once=False, work_ms=work_ms
        )
        connection.close()
        return status

    async def send_long_requests(self, address: str) -> None:
        """Sends requests that take long to a host that stops.

        Each uses a connection of its own, and their times are spread over a
        stop with a short grace. The other callers rarely connect to a host in
        its stop.
        """
        requests = []
        for _ in range(STOP_REQUESTS):
            await asyncio.sleep(STOP_REQUEST_SPACING_S)
            work_ms = self._work_random.randint(*LONG_MS)
            sent = self._send_on_new_connection(address, work_ms)
            requests.append(asyncio.create_task(sent))
        await asyncio.gather(*requests)

    async def run(self) -> None:
        """Sends requests until `stop` is called."""
        await asyncio.gather(*(self._run_caller() for _ in range(CALLER_COUNT)))

    async def _run_caller(self) -> None:
        while not self._stopping:
            address = self._random.choice(self._addresses)
            try:
                connection = await testing.connect(address)
            except OSError:
                await asyncio.sleep(MAX_PAUSE_S)
                continue
            await self._use_connection(connection, address)
            connection.close()

    async def _use_connection(
        self, connection: testing.RawCaller, address: str
    ) -> None:
        """Sends up to 40 requests on a connection, until it closes."""
        for _ in range(self._random.randint(1, 40)):
            if self._stopping:
                return
            at_most_once = self._random.random() < 0.5
            if self._pipeline_random.random() < PIPELINED_SHARE:
                count = self._pipeline_random.randint(2, MAX_PIPELINED)
                status = await self._send_pipelined(connection, address, count)
            else:
                status = await self._send_request(
                    connection, address, at_most_once=at_most_once
                )
            if not status:
                return
            await asyncio.sleep(MAX_PAUSE_S * self._random.random())

    async def _send_request(
        self,
        connection: testing.RawCaller,
        address: str,
        *,
        at_most_once: bool,
        work_ms: int | None = None,
    ) -> int:
        """Sends a request.

        Args:
            connection: Connection to the host.
            address: Address of the host.
            at_most_once: Whether the request may run at most once.
            work_ms: Time that it takes to run; chosen if it is None.

        Returns:
            The status, or 0 if the connection can't be used further.
        """
        if work_ms is None:
            work_ms = self._choose_work_ms()
        if not at_most_once:
            return await self._send_pipelined(connection, address, 1, work_ms)
        late = self._pipeline_random.random() < LATE_BODY_SHARE
        request_id = self._next_id()
        data = request(
            "POST",
            AT_MOST_ONCE_PREFIX + request_id,
            request_id,
            BODY if late else b"",
            work_ms,
        )
        result = CallResult(True, 0, address, asyncio.get_running_loop().time())
        self.results[request_id] = result
        if late:
            connection.writer.write(data[:-1])
            await asyncio.sleep(MAX_PAUSE_S)
            data = data[-1:]
        return await self._read_response(connection, data, request_id)

    async def _send_pipelined(
        self,
        connection: testing.RawCaller,
        address: str,
        count: int,
        work_ms: int | None = None,
    ) -> int:
        """Sends repeatable requests at once and reads their responses.

        Returns:
            The last status, or 0 if the connection can't be used further. The
            requests behind a response that closes it have not run then.
        """
        request_ids = [self._next_id() for _ in range(count)]
        now_s = asyncio.get_running_loop().time()
        for request_id in request_ids:
            self.results[request_id] = CallResult(
                False, 0, address, now_s, now_s + CALLER_TIMEOUT_S
            )
        data = b"".join(
            request(
                "GET",
                REPEATABLE_PREFIX + request_id,
                request_id,
                work_ms=work_ms,
            )
            for request_id in request_ids
        )
        status = 0
        for request_id in request_ids:
            status = await self._read_response(connection, data, request_id)
            data = b""
            if not status:
                break
        ended_s = asyncio.get_running_loop().time()
        for request_id in request_ids:
            result = self.results[request_id]
            if not result.status:
                result.ended_s = ended_s
        return status

    def _choose_work_ms(self) -> int | None:
        if self._work_random.random() >= LONG_SHARE:
            return None
        return self._work_random.randint(*LONG_MS)

    def _next_id(self) -> str:
        return f"soak{next(self._request_numbers)}"

    async def _read_response(
        self, connection: testing.RawCaller, data: bytes, request_id: str
    ) -> int:
        """Writes data and reads the response to a request.

        Returns:
            The status, or 0 if the connection can't be used further.
        """
        result = self.results[request_id]
        try:
            async with asyncio.timeout(CALLER_TIMEOUT_S):
                response = await connection.ask(data)
        except (TimeoutError, ConnectionError):
            response = None
        result.ended_s = asyncio.get_running_loop().time()
        if response is None or not response.whole:
            return 0
        result.status = int(response.first_line.split()[1])
        self._check_response(request_id, result.status, response)
        if response.values("Connection") == [b"close"]:
            return 0
        return result.status

    def _check_response(
        self, request_id: str, status: int, response: testing.RawMessage
    ) -> None:
        if status != 200:
            return
        self._served += 1
        if response.body != platform_server.response_body(request_id):
            self.violations.append(
                f"{request_id}: response body is that of another request"
            )
        if response.values(header_profile.REQUEST_ID) != [request_id.encode()]:
            self.violations.append(
                f"{request_id}: response has another request id"
            )
        signature = b"".join(response.values(header_profile.SERVER_SIGNATURE))
        if not signature.endswith(b"." + request_id.encode()):
            self.violations.append(
                f"{request_id}: response has no signature for this request"
            )

    def check_runs(self, runs: dict[str, int]) -> list[str]:
        """Returns violations, given the number of runs by request id."""
        violations = []
        for request_id, result in self.results.items():
            count = runs.get(request_id, 0)
            if result.at_most_once and count > 1:
                violations.append(f"{request_id}: ran {count} times")
            if (
                result.at_most_once
                and result.status in NOT_RUN_STATUSES
                and count
            ):
                violations.append(
                    f"{request_id}: got status {result.status} but ran"
                )
            if (
                300 <= result.status < 500
                and result.status not in NOT_RUN_STATUSES
            ):
                violations.append(
                    f"{request_id}: got status {result.status} on a route that"
                    " every version has"
                )
            if result.status == 200 and not count:
                violations.append(f"{request_id}: got status 200 but never ran")
        unsent = [
            name
            for name in runs.keys() - self.results.keys()
            if not name.startswith(PROBE_PREFIX)
        ]
        return violations + [
            f"{name}: ran but was never sent" for name in unsent
        ]
