"""Receives the reads of the platform's store that a gate host relays."""

import base64
from collections.abc import AsyncIterator
import json
from typing import Any
import zlib

import aiohttp
import attrs

from fireflyspindle.adapters import store_feed
from fireflyspindle.adapters import store_records
from fireflyspindle.core import events

# Hosts of the same or a neighbouring failure domain connect within a few
# milliseconds.
CONNECT_TIMEOUT_S = 0.5
# Time for the response to a host count; a reader counts every 2 s.
COUNT_TIMEOUT_S = 1.0
# Time for the list of helpers, for which calls wait.
HELPERS_TIMEOUT_S = 0.5
# A failed request, or a response with other content than expected.
_FETCH_ERRORS = (
    aiohttp.ClientError,
    OSError,
    TypeError,
    KeyError,
    ValueError,
)


@attrs.define(frozen=True)
class StreamStarted:
    """The followed host has identified itself.

    Attributes:
        failure_domain: Failure domain of the followed host.
        gate_hosts: Number of gate hosts of the fleet; None if unknown.
    """

    failure_domain: str
    gate_hosts: int | None = None


@attrs.define(frozen=True)
class RelayedOutcome:
    """The outcome of a read, as sent by the followed host.

    Attributes:
        source: Name of the source.
        age_ms: Time since the read ended.
        outcome: Records that were not sent before, or the failure.
        own: Whether the followed host made the read itself.
        gate_hosts: Number of gate hosts of the fleet; None if it has not
            changed or is unknown.
    """

    source: str
    age_ms: int
    outcome: store_records.Batch | store_records.ReadFailed
    own: bool
    gate_hosts: int | None = None


class FeedClient:
    """Receives the streams of other gate hosts.

    Args:
        helper: Where this host takes calls of other gate hosts, if it does.
    """

    def __init__(self, helper: events.HelperAddress | None = None) -> None:
        self._helper = helper
        self._session = aiohttp.ClientSession(
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )

    async def follow(
        self,
        address: str,
        offsets: dict[str, int | None],
        unlimited: bool = False,
        is_reader: bool = False,
    ) -> AsyncIterator[StreamStarted | RelayedOutcome]:
        """Yields the lines of a host's stream until it ends.

        Args:
            address: Control address of the host, "ip:port".
            offsets: First unread offset of each source; None for a full
                snapshot.
            unlimited: Whether to receive records of any total size.
            is_reader: Whether the follower is a reader too.

        Raises:
            aiohttp.ClientError: The host is unreachable or rejects the request.
            OSError: The connection failed.
            ValueError: A line is invalid.
        """
        query = {
            name: str(offset)
            for name, offset in offsets.items()
            if offset is not None
        }
        query["deflate"] = "yes"
        if unlimited:
            query["unlimited"] = "yes"
        if is_reader:
            query["reader"] = "yes"
        if self._helper is not None:
            query["relay"] = self._helper.address
            query["failure-domain"] = self._helper.failure_domain
        # No time limit between lines: the reducer detects a silent host, since
        # it knows how often a line is due.
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S
        )
        async with self._session.get(
            f"http://{address}{store_feed.PATH}",
            params=query,
            timeout=timeout,
            read_bufsize=store_feed.MAX_LINE_BYTES,
            raise_for_status=True,
        ) as response:
            async for line in response.content:
                yield _decode_line(line)

    async def count_hosts(self, address: str) -> int | None:
        """Returns how many gate hosts a reader counts.

        Returns:
            The number of its followers and itself; 0 if no process listens at
            the address, None if there is no valid response in time.
        """
        try:
            content = await self._fetch(
                address, store_feed.HOST_COUNT_PATH, {}, COUNT_TIMEOUT_S
            )
            return int(content["hosts"])
        except aiohttp.ClientConnectorError as error:
            refused = isinstance(error.os_error, ConnectionRefusedError)
            return 0 if refused else None
        except _FETCH_ERRORS:
            return None

    async def list_helpers(
        self, address: str, cut_off: bool
    ) -> list[events.HelperAddress] | None:
        """Returns some hosts that may carry calls, as a reader knows them.

        Args:
            address: Control address of the reader.
            cut_off: Whether this host can't carry calls itself.

        Returns:
            The hosts; None if there is no valid response in time.
        """
        query = {}
        if cut_off and self._helper is not None:
            query["cut-off"] = self._helper.address
        try:
            content = await self._fetch(
                address, store_feed.HELPERS_PATH, query, HELPERS_TIMEOUT_S
            )
            return [
                events.HelperAddress(str(helper), str(failure_domain))
                for helper, failure_domain in content["helpers"]
            ]
        except _FETCH_ERRORS:
            return None

    async def _fetch(
        self, address: str, path: str, query: dict[str, str], timeout_s: float
    ) -> Any:
        """Returns the JSON document at a path of a reader.

        Raises:
            aiohttp.ClientError: The reader is unreachable or rejects the
                request.
            OSError: The connection failed, or there is no response in time.
            ValueError: The response is not JSON.
        """
        async with self._session.get(
            f"http://{address}{path}",
            params=query,
            timeout=aiohttp.ClientTimeout(total=timeout_s),
            raise_for_status=True,
        ) as response:
            return await response.json()

    async def close(self) -> None:
        """Closes every connection."""
        await self._session.close()


def _decode_line(line: bytes) -> StreamStarted | RelayedOutcome:
    """Decodes one line.

    Raises:
        ValueError: The line is invalid.
    """
    try:
        content = json.loads(line)
        if "failure-domain" in content:
            return StreamStarted(
                str(content["failure-domain"]), _decode_gate_hosts(content)
            )
        outcome: store_records.Batch | store_records.ReadFailed
        if "failed" in content:
            outcome = store_records.ReadFailed(str(content["failed"]))
        else:
            outcome = store_records.Batch(
                [_decode_record(row) for row in _decode_rows(content)],
                int(content["next-offset"]),
                bool(content["whole"]),
                int(content["from-offset"]),
            )
        return RelayedOutcome(
            str(content["source"]),
            int(content["age-ms"]),
            outcome,
            bool(content["own"]),
            _decode_gate_hosts(content),
        )
    except (AttributeError, KeyError, TypeError) as error:
        raise ValueError(f"line {line[:100]!r} can't be read") from error


def _decode_gate_hosts(content: dict[str, Any]) -> int | None:
    gate_hosts = content.get("gate-hosts")
    return None if gate_hosts is None else int(gate_hosts)


def _decode_rows(content: dict[str, Any]) -> list[list[Any]]:
    """Returns the rows of the records in a line.

    Raises:
        KeyError: There are none.
        ValueError: They can't be decompressed.
    """
    rows: list[list[Any]]
    if "deflated" not in content:
        rows = content["records"]
        return rows
    decompressor = zlib.decompressobj()
    try:
        compressed = base64.b85decode(content["deflated"])
        text = decompressor.decompress(compressed, store_feed.MAX_LINE_BYTES)
        if not decompressor.eof:
            raise ValueError("too large or incomplete")
        rows = json.loads(text)
    except (ValueError, zlib.error) as error:
        raise ValueError(f"records can't be read: {error}") from error
    return rows


def _decode_record(row: list[Any]) -> store_records.Record:
    key, text, offset = row
    value = None if text is None else text.encode("latin-1")
    return store_records.Record(str(key), value, int(offset))
