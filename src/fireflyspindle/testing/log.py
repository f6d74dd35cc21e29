"""A stand-in for the platform's append-only log service."""

import asyncio

from aiohttp import web
import attrs

MAX_WAIT_MS = 30_000
MAX_BATCH_RECORDS = 1_000


@attrs.define
class Stream:
    """One stream: the bodies still held, and the offset of the first."""

    earliest_offset: int = 0
    bodies: list[str] = attrs.field(factory=list)

    @property
    def next_offset(self) -> int:
        """Offset that the next record will get."""
        return self.earliest_offset + len(self.bodies)


class StandInLog:
    """Keeps streams in memory and serves them over HTTP with JSON.

    Attributes:
        streams: Streams by name.
        down: Whether every request is refused with 503.
        lose_answers: Number of appends to come that take effect but whose
            answer is lost.
    """

    def __init__(self) -> None:
        self.streams: dict[str, Stream] = {}
        self.down = False
        self.lose_answers = 0
        self._appended = asyncio.Event()

    def application(self) -> web.Application:
        """Returns the application that serves the log."""
        app = web.Application()
        app.add_routes(
            [
                web.post("/streams/{name}/records", self._append),
                web.get("/streams/{name}/records", self._read),
            ]
        )
        return app

    def append(self, name: str, body: str) -> int:
        """Appends a record and returns its offset."""
        stream = self._stream(name)
        stream.bodies.append(body)
        self._appended.set()
        self._appended = asyncio.Event()
        return stream.next_offset - 1

    def expire(self, name: str, before_offset: int) -> None:
        """Drops the records below an offset."""
        stream = self._stream(name)
        dropped = max(0, before_offset - stream.earliest_offset)
        dropped = min(dropped, len(stream.bodies))
        del stream.bodies[:dropped]
        stream.earliest_offset += dropped

    def _stream(self, name: str) -> Stream:
        return self.streams.setdefault(name, Stream())

    async def _append(self, request: web.Request) -> web.Response:
        if self.down:
            return web.json_response({"error": "down"}, status=503)
        raw = await request.json()
        offset = self.append(request.match_info["name"], str(raw["body"]))
        if self.lose_answers > 0 and request.transport is not None:
            self.lose_answers -= 1
            request.transport.abort()
        return web.json_response({"offset": offset})

    async def _read(self, request: web.Request) -> web.Response:
        if self.down:
            return web.json_response({"error": "down"}, status=503)
        name = request.match_info["name"]
        from_offset = int(request.query.get("from", "0"))
        limit = min(int(request.query.get("limit", "100")), MAX_BATCH_RECORDS)
        wait_ms = min(int(request.query.get("wait_ms", "0")), MAX_WAIT_MS)
        await self._wait_for(name, from_offset, wait_ms)
        stream = self._stream(name)
        first = max(from_offset, stream.earliest_offset)
        start = first - stream.earliest_offset
        bodies = stream.bodies[start : start + limit]
        return web.json_response(
            {
                "records": [
                    {"offset": first + index, "body": body}
                    for index, body in enumerate(bodies)
                ],
                "earliest": stream.earliest_offset,
                "next": stream.next_offset,
            }
        )

    async def _wait_for(self, name: str, offset: int, wait_ms: int) -> None:
        try:
            async with asyncio.timeout(wait_ms / 1000):
                while self._stream(name).next_offset <= offset:
                    await self._appended.wait()
        except TimeoutError:
            return
