"""A stand-in for a target: slots, a queue, and a journal of what it ran."""

import asyncio
import collections
import random

from aiohttp import web

from fireflyspindle import headers

LOAD_PATH = "/load"


class StandInTarget:
    """Runs requests in slots and writes down each one that it ran.

    Attributes:
        name: Name that it states in its answers.
        mean_service_ms: Mean of the exponential service time.
        failing: Whether it fails every request at once with 503.
        leaving: Whether it states that it is leaving.
        incarnation: Id that it states in its answers, if any.
        journal: Number of runs by request id.
        runs_by_path: Number of runs by request path.
        probes: Number of probes that it answered.
    """

    def __init__(
        self,
        name: str,
        slots: int = 4,
        mean_service_ms: float = 0.0,
        seed: int = 0,
    ) -> None:
        self.name = name
        self.mean_service_ms = mean_service_ms
        self.failing = False
        self.leaving = False
        self.incarnation = ""
        self.journal: collections.Counter[str] = collections.Counter()
        self.probes = 0
        self.runs_by_path: collections.Counter[str] = collections.Counter()
        self._slots = asyncio.Semaphore(slots)
        self._in_flight = 0
        self._random = random.Random(seed)

    def application(self) -> web.Application:
        """Returns the application that serves the target."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.add_routes(
            [
                web.get(LOAD_PATH, self._load),
                web.route("*", "/{path:.*}", self._handle),
            ]
        )
        return app

    async def _load(self, request: web.Request) -> web.Response:
        self.probes += 1
        stated = {headers.IN_FLIGHT: str(self._in_flight)}
        if self.incarnation:
            stated[headers.INCARNATION] = self.incarnation
        if self.leaving:
            stated[headers.LEAVING] = "yes"
        return web.json_response(
            {"target": self.name, "in_flight": self._in_flight},
            headers=stated,
        )

    async def _handle(self, request: web.Request) -> web.Response:
        if self.failing:
            return web.json_response(
                {"error": "failing", "target": self.name},
                status=503,
                headers={headers.NOT_RUN: "yes"},
            )
        self._in_flight += 1
        try:
            async with self._slots:
                return await self._run(request)
        finally:
            self._in_flight -= 1

    async def _run(self, request: web.Request) -> web.Response:
        request_id = request.headers.get(headers.REQUEST_ID, "")
        body = await request.read()
        self.journal[request_id] += 1
        self.runs_by_path[request.raw_path] += 1
        if self.mean_service_ms:
            rate_per_ms = 1 / self.mean_service_ms
            await asyncio.sleep(self._random.expovariate(rate_per_ms) / 1000)
        stated = {
            headers.IN_FLIGHT: str(self._in_flight - 1),
            headers.REQUEST_ID: request_id,
        }
        if self.incarnation:
            stated[headers.INCARNATION] = self.incarnation
        if self.leaving:
            stated[headers.LEAVING] = "yes"
        return web.json_response(
            {
                "target": self.name,
                "request_id": request_id,
                "method": request.method,
                "path": request.raw_path,
                "body": body.decode("utf-8", "replace"),
            },
            headers=stated,
        )
