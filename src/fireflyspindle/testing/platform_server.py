"""A stand-in for a server of the users' platform."""

import asyncio
import collections
import hashlib

from aiohttp import web

from fireflyspindle.platform import dialect

REFUSED_HEADERS = {dialect.NOT_EXECUTED: "1"}


def body_for(request_id: str) -> bytes:
    """Returns the body by which a server answers a request."""
    return hashlib.sha256(request_id.encode()).hexdigest().encode()


class StandInServer:
    """Runs requests for a time, a few at once, and remembers them.

    Attributes:
        server_id: Id of this start.
        slots: Requests that it runs at once; as many again may wait.
        work_s: Time that a request takes.
        failing: Whether requests get status 500 once they have run.
        runs: Number of runs by request id.
        reached_s: Time of the loop at which each request arrived.
    """

    def __init__(
        self, server_id: str, slots: int = 4, work_s: float = 0.02
    ) -> None:
        self.server_id = server_id
        self.slots = slots
        self.work_s = work_s
        self.failing = False
        self.runs: collections.Counter[str] = collections.Counter()
        self.reached_s: list[float] = []
        self._running = 0
        self._free = asyncio.Semaphore(slots)

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

    def _load(self) -> str:
        waiting = max(0, self._running - self.slots)
        running = self._running - waiting
        return f"{running},{waiting},{self.slots},100"

    async def _on_health(self, _request: web.Request) -> web.Response:
        stated = {
            dialect.INSTANCE_ID: self.server_id,
            dialect.SERVER_LOAD: self._load(),
        }
        return web.Response(headers=stated)

    async def _on_request(self, request: web.Request) -> web.Response:
        self.reached_s.append(asyncio.get_running_loop().time())
        request_id = request.headers.get(dialect.REQUEST_ID, "")
        echoed = {dialect.REQUEST_ID: request_id}
        meant_for = request.headers.get(dialect.TARGET_INSTANCE)
        if meant_for not in (None, self.server_id):
            stated = {**REFUSED_HEADERS, dialect.INSTANCE_ID: self.server_id}
            return web.Response(status=421, headers=echoed | stated)
        await request.read()
        if self._running >= 2 * self.slots:
            return web.Response(status=503, headers=echoed | REFUSED_HEADERS)
        self._running += 1
        try:
            async with self._free:
                self.runs[request_id] += 1
                await asyncio.sleep(self.work_s)
        finally:
            self._running -= 1
        stated = {
            dialect.SERVER_SIGNATURE: f"{self.server_id}.{request_id}",
            dialect.SERVER_LOAD: self._load(),
        }
        status = 500 if self.failing else 200
        return web.Response(
            status=status, headers=echoed | stated, body=body_for(request_id)
        )
