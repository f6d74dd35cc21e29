"""A stand-in for the platform's store, with faults.

It holds keyed topics and implements the published protocol for reads and
appends. The test writes to it directly.
"""

import asyncio
import base64
import collections
import json
from typing import Any

from aiohttp import web
import attrs

MAX_WAIT_MS = 30_000
PAGE_ITEMS = 500

CONFIGURATION_TOPIC = "keyed.op"
TARGETS_TOPIC = "keyed.servers"
READ_ONLY_TOPICS = (CONFIGURATION_TOPIC, TARGETS_TOPIC)


@attrs.define
class Topic:
    """One keyed topic with a single partition.

    Attributes:
        records: Key and value of each record; None deletes the key.
        first_offset: Offset of the oldest retained record.
    """

    records: list[tuple[str, bytes | None]] = attrs.field(factory=list)
    first_offset: int = 0

    @property
    def end_offset(self) -> int:
        """Offset of the next record."""
        return len(self.records)

    def newest(self) -> dict[str, tuple[int, bytes]]:
        """Returns the offset and value of the newest record of each key."""
        latest: dict[str, tuple[int, bytes]] = {}
        for offset, (key, value) in enumerate(self.records):
            latest.pop(key, None)
            if value is not None:
                latest[key] = (offset, value)
        return latest


class StandInStore:
    """Keeps keyed topics in memory and serves reads of them.

    Attributes:
        topics: Topics by name.
        refuse_status: Status with which every request is refused, or None.
        topic_statuses: Status with which reads of a topic fail, by topic.
        silent: Whether requests get no response.
        delay_s: Delay before the response to a request.
        reads: Path and query of every received request.
    """

    def __init__(self) -> None:
        self.topics: collections.defaultdict[str, Topic] = (
            collections.defaultdict(Topic)
        )
        self.refuse_status: int | None = None
        self.topic_statuses: dict[str, int] = {}
        self.silent = False
        self.delay_s = 0.0
        self.reads: list[tuple[str, dict[str, str]]] = []
        self._changed = asyncio.Event()

    def application(self) -> web.Application:
        """Returns the application that serves the store."""
        app = web.Application()
        app.add_routes(
            [
                web.get("/log-read", self._on_read),
                web.get("/log-newest", self._on_newest),
                web.post("/log-append", self._on_append),
            ]
        )
        return app

    def write(self, topic: str, key: str, value: object) -> None:
        """Writes a record; None deletes the key, bytes are written as given."""
        if value is not None and not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.topics[topic].records.append((key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    def set(self, **values: Any) -> None:
        """Sets attributes, as the parent of a store's process does."""
        for name, value in values.items():
            setattr(self, name, value)

    def forget(self, topic: str) -> None:
        """Expires all records; the newest of each key is still served."""
        expired = self.topics[topic]
        expired.first_offset = expired.end_offset

    async def _on_read(self, request: web.Request) -> web.StreamResponse:
        refusal = await self._apply_faults(request)
        if refusal is not None:
            return refusal
        topic = self.topics[request.query["topic"]]
        offset = int(request.query["start-key"])
        wait_ms = min(MAX_WAIT_MS, int(request.query.get("wait-ms", "0")))
        if offset < topic.first_offset:
            return web.json_response(
                {"first-offset": topic.first_offset}, status=410
            )
        if offset >= topic.end_offset:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await self._changed.wait()
            except TimeoutError:
                pass
        head = topic.end_offset.to_bytes(8) + topic.first_offset.to_bytes(8)
        records = map(_encode_record, topic.records[offset:])
        return web.Response(body=head + b"".join(records))

    async def _on_newest(self, request: web.Request) -> web.StreamResponse:
        refusal = await self._apply_faults(request)
        if refusal is not None:
            return refusal
        topic = self.topics[request.query["topic"]]
        after = request.query.get("after", "")
        items = sorted(
            (key, offset, value)
            for key, (offset, value) in topic.newest().items()
            if key > after
        )
        page: dict[str, Any] = {
            "items": [
                {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "offset": offset,
                }
                for key, offset, value in items[:PAGE_ITEMS]
            ],
            "has-more": len(items) > PAGE_ITEMS,
            "end-offset": topic.end_offset,
        }
        return web.json_response(page)

    async def _on_append(self, request: web.Request) -> web.StreamResponse:
        refusal = await self._apply_faults(request)
        if refusal is not None:
            return refusal
        name = request.query["topic"]
        if name in READ_ONLY_TOPICS:
            return web.Response(status=403)
        offset = self.topics[name].end_offset
        for key, value in _decode_records(await request.read()):
            self.write(name, key, value)
        return web.json_response(
            {"offset": offset, "end-offset": self.topics[name].end_offset}
        )

    async def _apply_faults(self, request: web.Request) -> web.Response | None:
        self.reads.append((request.path, dict(request.query)))
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.silent:
            await asyncio.Event().wait()
        status = self.refuse_status
        if status is None and request.method == "GET":
            status = self.topic_statuses.get(request.query["topic"])
        return None if status is None else web.Response(status=status)


def _encode_record(record: tuple[str, bytes | None]) -> bytes:
    key, value = record
    content = bytes([len(key)]) + key.encode() + (value or b"")
    return len(content).to_bytes(4) + content


def _decode_records(data: bytes) -> list[tuple[str, bytes | None]]:
    records: list[tuple[str, bytes | None]] = []
    while data:
        length = int.from_bytes(data[:4])
        content, data = data[4 : 4 + length], data[4 + length :]
        key_end = 1 + content[0]
        records.append((content[1:key_end].decode(), content[key_end:] or None))
    return records
