"""A stand-in for a server of the platform."""

import asyncio
import collections
import hashlib

from aiohttp import web
import attrs

from fireflyspindle.platform import header_profile

NOT_EXECUTED_HEADERS = {header_profile.NOT_EXECUTED: "1"}
# Header in which a request states how many milliseconds it takes to run.
WORK_MS = "X-Stand-In-Work-Ms"


def response_body(request_id: str) -> bytes:
    """Returns the response body that a server sends for a request."""
    return hashlib.sha256(request_id.encode()).hexdigest().encode()


@attrs.define(frozen=True)
class Work:
    """The latest run of a request.

    Attributes:
        start_s: Loop time at which it started.
        end_s: Loop time at which it ends unless its connection closes before.
    """

    start_s: float
    end_s: float


class StandInServer:
    """Runs requests in slots and counts the runs of each.

    Attributes:
        server_id: Id of this incarnation of the server.
        slots: Requests that run at once; as many more may wait.
        service_time_s: Time that a request takes to run, unless it states a
            time of its own in the header `WORK_MS`.
        failing: Whether requests get status 500 after they have run.
        limit_per_s: Limit on requests that it states with its answers, or None.
        runs: Number of runs by request id; by method and path of requests
            without one.
        work: Latest run by request id.
        arrivals_s: Loop time at which each request arrived.
        arrival_ids: Id of each request that arrived, in the same order.
    """

    def __init__(
        self, server_id: str, slots: int = 4, service_time_s: float = 0.02
    ) -> None:
        self.server_id = server_id
        self.slots = slots
        self.service_time_s = service_time_s
        self.failing = False
        self.limit_per_s: float | None = None
        self.runs: collections.Counter[str] = collections.Counter()
        self.work: dict[str, Work] = {}
        self.arrivals_s: list[float] = []
        self.arrival_ids: list[str] = []
        self._in_flight = 0
        self._slot_semaphore = asyncio.Semaphore(slots)

    def application(self) -> web.Application:
        """Returns the application that serves the server's address."""
        app = web.Application()
        app.add_routes(
            [
                web.get("/health", self._on_health),
                web.route("*", "/{path:.*}", self._on_request),
            ]
        )
        return app

    def _load_header(self) -> str:
        waiting = max(0, self._in_flight - self.slots)
        running = self._in_flight - waiting
        return f"{running},{waiting},{self.slots},100"

    def _limit_header(self) -> dict[str, str]:
        if self.limit_per_s is None:
            return {}
        return {header_profile.SERVER_LIMIT: str(self.limit_per_s)}

    async def _on_health(self, _request: web.Request) -> web.Response:
        state_headers = {
            header_profile.INSTANCE_ID: self.server_id,
            header_profile.SERVER_LOAD: self._load_header(),
        }
        return web.Response(headers=state_headers | self._limit_header())

    async def _on_request(self, request: web.Request) -> web.Response:
        self.arrivals_s.append(asyncio.get_running_loop().time())
        request_id = request.headers.get(header_profile.REQUEST_ID, "")
        # Without an id, the first line tells who sent the request.
        name = request_id or f"{request.method} {request.path}"
        self.arrival_ids.append(name)
        id_header = {header_profile.REQUEST_ID: request_id}
        expected_instance = request.headers.get(header_profile.TARGET_INSTANCE)
        if expected_instance not in (None, self.server_id):
            state_headers = {
                **NOT_EXECUTED_HEADERS,
                header_profile.INSTANCE_ID: self.server_id,
            }
            return web.Response(status=421, headers=id_header | state_headers)
        await request.read()
        if self._in_flight >= 2 * self.slots:
            state_headers = NOT_EXECUTED_HEADERS | self._limit_header()
            return web.Response(status=503, headers=id_header | state_headers)
        self._in_flight += 1
        try:
            async with self._slot_semaphore:
                self.runs[name] += 1
                await self._run(request, name)
        finally:
            self._in_flight -= 1
        state_headers = {
            header_profile.SERVER_SIGNATURE: f"{self.server_id}.{request_id}",
            header_profile.SERVER_LOAD: self._load_header(),
        }
        status = 500 if self.failing else 200
        return web.Response(
            status=status,
            headers=id_header | state_headers | self._limit_header(),
            body=response_body(request_id),
        )

    async def _run(self, request: web.Request, name: str) -> None:
        work_ms = request.headers.get(WORK_MS)
        work_s = self.service_time_s if work_ms is None else int(work_ms) / 1000
        now_s = asyncio.get_running_loop().time()
        self.work[name] = Work(now_s, now_s + work_s)
        await asyncio.sleep(work_s)
