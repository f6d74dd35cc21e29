"""A stand-in for a target with slots, a queue and counts of its runs."""

import asyncio
import collections
import random

from aiohttp import web

from fireflyspindle import headers

LOAD_PATH = "/load"


class StandInTarget:
    """Runs requests in slots and counts the runs of each.

    Attributes:
        name: Name reported in its responses.
        mean_service_ms: Mean of the exponential service time.
        failing: Whether it refuses every request immediately with 503.
        leaving: Whether it reports that it is leaving.
        incarnation: Incarnation id reported in its responses; empty for none.
        journal: Number of runs by request id.
        runs_by_path: Number of runs by request path.
        probes: Number of answered probes.
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
        self._slot_semaphore = asyncio.Semaphore(slots)
        self._in_flight = 0
        self._random = random.Random(seed)

    def application(self) -> web.Application:
        """Returns the application that serves the target."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.add_routes(
            [
                web.get(LOAD_PATH, self._on_probe),
                web.route("*", "/{path:.*}", self._on_request),
            ]
        )
        return app

    async def _on_probe(self, request: web.Request) -> web.Response:
        self.probes += 1
        response_headers = {headers.IN_FLIGHT: str(self._in_flight)}
        if self.incarnation:
            response_headers[headers.INCARNATION] = self.incarnation
        if self.leaving:
            response_headers[headers.LEAVING] = "yes"
        return web.json_response(
            {"target": self.name, "in_flight": self._in_flight},
            headers=response_headers,
        )

    async def _on_request(self, request: web.Request) -> web.Response:
        if self.failing:
            return web.json_response(
                {"error": "failing", "target": self.name},
                status=503,
                headers={headers.NOT_RUN: "yes"},
            )
        self._in_flight += 1
        try:
            async with self._slot_semaphore:
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
        response_headers = {
            headers.IN_FLIGHT: str(self._in_flight - 1),
            headers.REQUEST_ID: request_id,
        }
        if self.incarnation:
            response_headers[headers.INCARNATION] = self.incarnation
        if self.leaving:
            response_headers[headers.LEAVING] = "yes"
        return web.json_response(
            {
                "target": self.name,
                "request_id": request_id,
                "method": request.method,
                "path": request.raw_path,
                "body": body.decode("utf-8", "replace"),
            },
            headers=response_headers,
        )
