"""A stand-in for the platform's append-only log service, with faults."""

import asyncio
import collections

from aiohttp import web
import attrs

MAX_WAIT_MS = 30_000
MAX_BATCH_RECORDS = 1_000
MAX_REQUEST_BYTES = 2 * 1024 * 1024
APPEND_LIMIT_WINDOW_S = 1.0


@attrs.define
class Stream:
    """One stream of records.

    Attributes:
        earliest_offset: Offset of the oldest retained record.
        bodies: Bodies of the retained records.
        appended_s: Loop time at which each of them was appended.
    """

    earliest_offset: int = 0
    bodies: list[str] = attrs.field(factory=list)
    appended_s: list[float] = attrs.field(factory=list)

    @property
    def next_offset(self) -> int:
        """Offset of the next record."""
        return self.earliest_offset + len(self.bodies)

    def drop_oldest(self, count: int) -> None:
        """Drops the oldest records."""
        count = max(0, min(count, len(self.bodies)))
        del self.bodies[:count]
        del self.appended_s[:count]
        self.earliest_offset += count


class StandInLog:
    """Keeps streams in memory and serves them as JSON over HTTP.

    Attributes:
        streams: Streams by name.
        down: Whether every request is refused with 503.
        delay_s: Delay before a request is processed.
        answer_delay_s: Delay between an append and its response.
        lose_answers: Number of further appends that take effect but whose
            connection is aborted before the response.
        lose_requests: Number of further appends that have no effect and whose
            connection is aborted.
        duplicate_appends: Number of further appends that are stored twice.
        garble_reads: Number of further reads whose response is truncated to
            half its length.
        keep_s: Retention time of a record; None for no limit.
        appends_per_s: Limit on appends per second; appends above it are
            refused with 429. None for no limit.
        reads: Number of read requests.
    """

    def __init__(self) -> None:
        self.streams: dict[str, Stream] = {}
        self.down = False
        self.delay_s = 0.0
        self.answer_delay_s = 0.0
        self.lose_answers = 0
        self.lose_requests = 0
        self.duplicate_appends = 0
        self.garble_reads = 0
        self.keep_s: float | None = None
        self.appends_per_s: int | None = None
        self.reads = 0
        self._recent_appends_s: collections.deque[float] = collections.deque()
        self._appended = asyncio.Event()

    def application(self) -> web.Application:
        """Returns the application that serves the log."""
        app = web.Application(client_max_size=MAX_REQUEST_BYTES)
        app.add_routes(
            [
                web.post("/streams/{name}/records", self._on_append),
                web.get("/streams/{name}/records", self._on_read),
            ]
        )
        return app

    def append(self, name: str, body: str) -> int:
        """Appends a record and returns its offset."""
        stream = self._stream(name)
        stream.bodies.append(body)
        stream.appended_s.append(_now_s())
        self._appended.set()
        self._appended = asyncio.Event()
        return stream.next_offset - 1

    def expire(self, name: str, before_offset: int) -> None:
        """Drops the records before an offset."""
        stream = self._stream(name)
        stream.drop_oldest(before_offset - stream.earliest_offset)

    def tear(self, name: str, offset: int) -> None:
        """Truncates a record to half its length."""
        stream = self._stream(name)
        index = offset - stream.earliest_offset
        body = stream.bodies[index]
        stream.bodies[index] = body[: len(body) // 2]

    def _stream(self, name: str) -> Stream:
        stream = self.streams.setdefault(name, Stream())
        if self.keep_s is not None:
            oldest_s = _now_s() - self.keep_s
            stream.drop_oldest(
                sum(at_s < oldest_s for at_s in stream.appended_s)
            )
        return stream

    async def _on_append(self, request: web.Request) -> web.Response:
        await asyncio.sleep(self.delay_s)
        if self.down:
            return _error_response(503, "down", "the log is down")
        try:
            body = str((await request.json())["body"])
        except (ValueError, KeyError, TypeError):
            return _error_response(
                400, "bad_request", 'the request must be {"body": TEXT}'
            )
        if not self._within_append_limit():
            return _error_response(
                429, "too_many_appends", "append rate limit exceeded"
            )
        if self.lose_requests > 0:
            self.lose_requests -= 1
            return _abort_connection(request)
        name = request.match_info["name"]
        offset = self.append(name, body)
        if self.duplicate_appends > 0:
            self.duplicate_appends -= 1
            self.append(name, body)
        await asyncio.sleep(self.answer_delay_s)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return _abort_connection(request)
        return web.json_response({"offset": offset})

    def _within_append_limit(self) -> bool:
        if self.appends_per_s is None:
            return True
        now_s = _now_s()
        while (
            self._recent_appends_s
            and self._recent_appends_s[0] <= now_s - APPEND_LIMIT_WINDOW_S
        ):
            self._recent_appends_s.popleft()
        if len(self._recent_appends_s) >= self.appends_per_s:
            return False
        self._recent_appends_s.append(now_s)
        return True

    async def _on_read(self, request: web.Request) -> web.Response:
        self.reads += 1
        await asyncio.sleep(self.delay_s)
        if self.down:
            return _error_response(503, "down", "the log is down")
        name = request.match_info["name"]
        try:
            from_offset = max(0, int(request.query.get("from", "0")))
            limit = int(request.query.get("limit", "100"))
            wait_ms = int(request.query.get("wait_ms", "0"))
        except ValueError as error:
            return _error_response(400, "bad_request", str(error))
        await self._wait_for_offset(
            name, from_offset, min(wait_ms, MAX_WAIT_MS)
        )
        response = self._read_page(
            name, from_offset, min(limit, MAX_BATCH_RECORDS)
        )
        if self.garble_reads > 0:
            self.garble_reads -= 1
            text = response.text or ""
            return web.Response(
                text=text[: len(text) // 2], content_type="application/json"
            )
        return response

    def _read_page(
        self, name: str, from_offset: int, limit: int
    ) -> web.Response:
        stream = self._stream(name)
        first = max(from_offset, stream.earliest_offset)
        start = first - stream.earliest_offset
        bodies = stream.bodies[start : start + max(0, limit)]
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

    async def _wait_for_offset(
        self, name: str, offset: int, wait_ms: int
    ) -> None:
        try:
            async with asyncio.timeout(wait_ms / 1000):
                while self._stream(name).next_offset <= offset:
                    await self._appended.wait()
        except TimeoutError:
            return


def _now_s() -> float:
    try:
        return asyncio.get_running_loop().time()
    except RuntimeError:
        return 0.0


def _error_response(status: int, error: str, detail: str) -> web.Response:
    return web.json_response({"error": error, "detail": detail}, status=status)


def _abort_connection(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)
