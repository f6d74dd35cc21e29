"""HTTP client of the platform's store."""

import base64
import binascii
import socket
import types
from typing import Any

import aiohttp

from fireflyspindle.adapters import late_appends
from fireflyspindle.adapters import read_progress
from fireflyspindle.adapters import store_records
from fireflyspindle.core import json_documents

# Longest time without data on a connection. It ends reads that nobody waits for
# any more; `timed_reads` has the limits of those that matter.
MAX_SILENCE_S = 300.0
# Time after which the outcome of an append is unknown, and after which it is
# given up. The store queues appends for up to 2 s. One that lands much later
# could undo a newer one of the same key.
APPEND_TIMEOUT_S = 1.2
APPEND_LIMIT_S = 10.0
# Largest total size of the records of one read, in kilobytes as the store
# counts them.
MAX_READ_KB = 1_024
# Most pages of one listing; the store returns 500 items a page.
MAX_LISTING_PAGES = 100

# With these values, the kernel detects a dead connection or a network partition
# after about two seconds.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2

# Status of a store whose calls exceed its rate.
TOO_MANY_REQUESTS_STATUS = 429
# Largest body of a response: a page has a megabyte of values.
MAX_BODY_BYTES = 8 * 1024 * 1024

_LENGTH_PREFIX_BYTES = 4
_OFFSET_BYTES = 8


class StoreClient:
    """Reads and appends to keyed topics of the platform's store.

    Args:
        address: Address of the store, "ip:port".
    """

    def __init__(self, address: str) -> None:
        self._base_url = f"http://{address}"
        tracing = aiohttp.TraceConfig()
        tracing.on_connection_create_end.append(_on_connection_opened)
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(socket_factory=_keepalive_socket),
            auto_decompress=False,
            trace_configs=[tracing],
        )
        self._late_appends: late_appends.LateAppends[str] = (
            late_appends.LateAppends()
        )

    async def read(
        self,
        topic: str,
        from_offset: int | None,
        first_offset: int = 0,
        wait_ms: int = 0,
        progress: read_progress.Progress | None = None,
    ) -> (
        store_records.Batch
        | store_records.HistoryDropped
        | store_records.ReadFailed
    ):
        """Reads the records from an offset, or the newest one of every key.

        Args:
            topic: Name of a keyed topic.
            from_offset: First offset to read; the store responds once there
                is a record. None reads the newest record of every key,
                without waiting.
            first_offset: Offset of the oldest record that the store is known
                to hold.
            wait_ms: Longest time for which the store waits for a record.
            progress: Told what arrives. The read has no other limit in time
                than `MAX_SILENCE_S`.
        """
        progress = progress or read_progress.Progress()
        try:
            if from_offset is None:
                return await self._list_newest(topic, first_offset, progress)
            return await self._read_from(topic, from_offset, wait_ms, progress)
        except TimeoutError:
            return store_records.ReadFailed(progress.describe_timeout())
        except (aiohttp.ClientError, OSError) as error:
            return store_records.ReadFailed(f"{type(error).__name__}: {error}")
        except json_documents.DECODE_ERRORS as error:
            return store_records.ReadFailed(
                f"malformed response: {error!r}", is_answered=True
            )

    async def _read_from(
        self,
        topic: str,
        offset: int,
        wait_ms: int,
        progress: read_progress.Progress,
    ) -> (
        store_records.Batch
        | store_records.HistoryDropped
        | store_records.ReadFailed
    ):
        query = {
            "topic": topic,
            "part": "0",
            "start-key": str(offset),
            "max-kb": str(MAX_READ_KB),
            "wait-ms": str(wait_ms),
        }
        status, body = await self._get("/log-read", query, progress)
        if status == 410:
            return store_records.HistoryDropped(
                int(_json_object(body)["first-offset"])
            )
        if status != 200:
            return _status_failure(status)
        end = int.from_bytes(body[:_OFFSET_BYTES])
        if end < offset:
            return store_records.HistoryDropped(end)
        records = _split_records(body[2 * _OFFSET_BYTES :], offset)
        next_offset = offset + len(records)
        return store_records.Batch(
            records, next_offset, False, offset, is_complete=next_offset >= end
        )

    async def _list_newest(
        self, topic: str, first_offset: int, progress: read_progress.Progress
    ) -> store_records.Batch | store_records.ReadFailed:
        """Lists the newest record of every key.

        The pages are not a consistent snapshot, and the end offset on a page
        may be newer than its items. Records written during the listing have
        offsets above those of the first page, so the next read starts there.
        """
        records: list[store_records.Record] = []
        next_offset = first_offset
        end_offset: int | None = None
        after = ""
        for page_number in range(MAX_LISTING_PAGES):
            query = {"topic": topic, "part": "0"}
            if after:
                query["after"] = after
            status, body = await self._get("/log-newest", query, progress)
            if status != 200:
                return _status_failure(status)
            page = _json_object(body)
            items = page["items"]
            if page_number == 0:
                last = max((int(item["offset"]) for item in items), default=-1)
                next_offset = max(next_offset, last + 1)
            records += [_record_from_item(item) for item in items]
            if "end-offset" in page:
                end_offset = max(end_offset or 0, int(page["end-offset"]))
            if not page["has-more"] or not items:
                return store_records.Batch(
                    records,
                    next_offset,
                    is_snapshot=True,
                    end_offset=end_offset,
                )
            after = items[-1]["key"]
        return store_records.ReadFailed(
            f"topic {topic} has more than {MAX_LISTING_PAGES} pages",
            is_answered=True,
        )

    async def append(self, topic: str, records: dict[str, bytes | None]) -> str:
        """Appends records to a keyed topic.

        Without a response the records may have been appended, or may be later.

        Args:
            topic: Name of the topic.
            records: Value by key; None removes the key.

        Returns:
            Why the append failed or may have failed; empty on success.
        """
        body = b"".join(
            _encode_record(key, value) for key, value in records.items()
        )
        return await self._late_appends.wait(
            self._append(topic, body), APPEND_TIMEOUT_S, "no response in time"
        )

    async def _append(self, topic: str, body: bytes) -> str:
        try:
            async with self._session.post(
                self._base_url + "/log-append",
                params={"topic": topic, "part": "0"},
                data=body,
                timeout=aiohttp.ClientTimeout(total=APPEND_LIMIT_S),
            ) as response:
                await response.read()
                if response.status == 200:
                    return ""
                return f"response with status {response.status}"
        except TimeoutError:
            return "no response in time"
        except (aiohttp.ClientError, OSError) as error:
            return f"{type(error).__name__}: {error}"

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        progress: read_progress.Progress,
    ) -> tuple[int, bytes]:
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=MAX_SILENCE_S, sock_read=MAX_SILENCE_S
        )
        async with self._session.get(
            self._base_url + path,
            params=query,
            timeout=timeout,
            trace_request_ctx=progress,
        ) as response:
            return response.status, await progress.read_body(
                response, MAX_BODY_BYTES
            )

    async def close(self) -> None:
        """Closes the session and its connections."""
        self._late_appends.close()
        await self._session.close()


async def _on_connection_opened(
    _session: aiohttp.ClientSession,
    context: types.SimpleNamespace,
    _params: aiohttp.TraceConnectionCreateEndParams,
) -> None:
    progress = context.trace_request_ctx
    if progress is not None:
        progress.opened_connection = True


def _status_failure(status: int) -> store_records.ReadFailed:
    """Returns the failure; others than these may concern one topic only."""
    is_unavailable = status >= 500 or status == TOO_MANY_REQUESTS_STATUS
    return store_records.ReadFailed(
        f"response with status {status}", is_answered=not is_unavailable
    )


def _json_object(body: bytes) -> dict[str, Any]:
    value = json_documents.parse(body)
    if not isinstance(value, dict):
        raise ValueError(f"expected an object, found {value!r:.100}")
    return value


def _record_from_item(item: dict[str, Any]) -> store_records.Record:
    try:
        value = base64.b64decode(item["value"], validate=True)
    except binascii.Error:
        # The record is kept with an empty value, so that the decoder logs its
        # key.
        value = b""
    return store_records.Record(str(item["key"]), value, int(item["offset"]))


def _split_records(data: bytes, offset: int) -> list[store_records.Record]:
    """Splits a response into records; the first has the given offset.

    Raises:
        ValueError: The data ends within a record, or a record is empty.
    """
    records = []
    position = 0
    while position < len(data):
        length = int.from_bytes(
            data[position : position + _LENGTH_PREFIX_BYTES]
        )
        position += _LENGTH_PREFIX_BYTES
        content = data[position : position + length]
        if len(content) < length or not content:
            raise ValueError(f"truncated or empty record of {length} bytes")
        position += length
        key_end = 1 + content[0]
        key = content[1:key_end].decode("utf-8", "replace")
        value = content[key_end:] or None
        records.append(store_records.Record(key, value, offset))
        offset += 1
    return records


def _encode_record(key: str, value: bytes | None) -> bytes:
    encoded_key = key.encode()
    content = bytes([len(encoded_key)]) + encoded_key + (value or b"")
    return len(content).to_bytes(_LENGTH_PREFIX_BYTES) + content


def _keepalive_socket(address: aiohttp.AddrInfoType) -> socket.socket:
    family, kind, protocol, _, _ = address
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    return sock
