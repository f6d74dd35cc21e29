"""The client of the platform's store."""

import base64
import binascii
import json
import socket
from typing import Any

import aiohttp

from fireflyspindle.adapters import store_records

# Time for an answer beyond what a read waits at the store. A slow store takes
# 0.4 s; the users' bounds hold again 3 s after the store is sound
# (`contact-ms`), and a pause of 0.9 s comes after a read that hung.
ANSWER_TIMEOUT_S = 1.2
# Largest page of records in one read, as the store counts it.
MAX_READ_KB = 1_024
# Pages of one listing; the store gives 500 items a page.
MAX_PAGES = 100

# A connection that went silent, or whose path is cut, is noticed by the
# kernel after about two seconds.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2

_LENGTH_BYTES = 4
_OFFSET_BYTES = 8


class StoreClient:
    """Reads keyed topics of the platform's store.

    Args:
        address: Address of the store, "ip:port".
    """

    def __init__(self, address: str) -> None:
        self._base = f"http://{address}"
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(socket_factory=_socket),
            auto_decompress=False,
        )

    async def read(
        self,
        topic: str,
        from_offset: int | None,
        first_offset: int = 0,
        wait_ms: int = 0,
    ) -> store_records.Batch | store_records.Dropped | store_records.Failed:
        """Reads the records from an offset, or the newest of every key.

        Args:
            topic: Name of a keyed topic.
            from_offset: First offset wanted; the store answers once there is
                a record. None for the newest record of every key, at once.
            first_offset: Offset of the oldest record that the store holds,
                as far as it has told.
            wait_ms: Time for which the store may wait for a record.
        """
        try:
            if from_offset is None:
                return await self._read_newest(topic, first_offset)
            return await self._read_from(topic, from_offset, wait_ms)
        except TimeoutError:
            return store_records.Failed("it did not answer in time")
        except (aiohttp.ClientError, OSError) as error:
            return store_records.Failed(f"{type(error).__name__}: {error}")
        except (KeyError, TypeError, ValueError) as error:
            return store_records.Failed(f"its answer can't be read: {error!r}")

    async def _read_from(
        self, topic: str, offset: int, wait_ms: int
    ) -> store_records.Batch | store_records.Dropped | store_records.Failed:
        query = {
            "topic": topic,
            "part": "0",
            "start-key": str(offset),
            "max-kb": str(MAX_READ_KB),
            "wait-ms": str(wait_ms),
        }
        status, body = await self._get("/log-read", query, wait_ms)
        if status == 410:
            return store_records.Dropped(int(_json(body)["first-offset"]))
        if status != 200:
            return store_records.Failed(f"it answered with status {status}")
        end = int.from_bytes(body[:_OFFSET_BYTES])
        if end < offset:
            return store_records.Dropped(end)
        records = _records(body[2 * _OFFSET_BYTES :], offset)
        end = offset + len(records)
        return store_records.Batch(records, end, False, offset)

    async def _read_newest(
        self, topic: str, first_offset: int
    ) -> store_records.Batch | store_records.Failed:
        """Lists the newest record of every key.

        Pages are no snapshot, and neither are a page and the end that it
        states. What is written meanwhile comes after the records of the
        first page, so that reading goes on from there.
        """
        records: list[store_records.Record] = []
        next_offset = first_offset
        after = ""
        for number in range(MAX_PAGES):
            query = {"topic": topic, "part": "0"}
            if after:
                query["after"] = after
            status, body = await self._get("/log-newest", query, 0)
            if status != 200:
                return store_records.Failed(f"it answered with status {status}")
            page = _json(body)
            items = page["items"]
            if number == 0:
                last = max((int(item["offset"]) for item in items), default=-1)
                next_offset = max(next_offset, last + 1)
            records += [_item(item) for item in items]
            if not page["has-more"] or not items:
                return store_records.Batch(records, next_offset, whole=True)
            after = items[-1]["key"]
        return store_records.Failed(f"topic {topic} has over {MAX_PAGES} pages")

    async def _get(
        self, path: str, query: dict[str, str], wait_ms: int
    ) -> tuple[int, bytes]:
        timeout = aiohttp.ClientTimeout(
            total=wait_ms / 1000 + ANSWER_TIMEOUT_S,
            sock_connect=ANSWER_TIMEOUT_S,
        )
        async with self._session.get(
            self._base + path, params=query, timeout=timeout
        ) as answer:
            return answer.status, await answer.read()

    async def close(self) -> None:
        """Closes every connection."""
        await self._session.close()


def _json(body: bytes) -> dict[str, Any]:
    found = json.loads(body)
    if not isinstance(found, dict):
        raise ValueError(f"expected an object, found {found!r:.100}")
    return found


def _item(item: dict[str, Any]) -> store_records.Record:
    try:
        value = base64.b64decode(item["value"], validate=True)
    except binascii.Error:
        # Bytes that can't be read are handed on, for the log line that tells
        # whose they are.
        value = b""
    return store_records.Record(str(item["key"]), value, int(item["offset"]))


def _records(data: bytes, offset: int) -> list[store_records.Record]:
    """Splits the records of a keyed topic; the first has the offset given.

    Raises:
        ValueError: The data ends within a record.
    """
    records = []
    at = 0
    while at < len(data):
        length = int.from_bytes(data[at : at + _LENGTH_BYTES])
        at += _LENGTH_BYTES
        content = data[at : at + length]
        if len(content) < length or not content:
            raise ValueError(f"a record of {length} bytes is cut short")
        at += length
        key_end = 1 + content[0]
        key = content[1:key_end].decode("utf-8", "replace")
        value = content[key_end:] or None
        records.append(store_records.Record(key, value, offset))
        offset += 1
    return records


def _socket(address: aiohttp.AddrInfoType) -> socket.socket:
    family, kind, protocol, _, _ = address
    made = socket.socket(family, kind, protocol)
    made.setblocking(False)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        made.setsockopt(socket.IPPROTO_TCP, option, value)
    return made
