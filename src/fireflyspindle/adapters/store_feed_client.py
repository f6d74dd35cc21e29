"""Receives the reads of the platform's store that a gate host relays."""

import asyncio
from collections.abc import AsyncIterator, Callable
import types
from typing import Any

import aiohttp
import attrs

from fireflyspindle.adapters import feed_lines
from fireflyspindle.adapters import repeated_reads
from fireflyspindle.adapters import store_feed
from fireflyspindle.adapters import transit_times
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import helper_list
from fireflyspindle.core import host_count
from fireflyspindle.core import json_documents

# Hosts of the same or a neighbouring failure domain connect within a few
# milliseconds.
CONNECT_TIMEOUT_S = 0.5
# Time for the response to a host count; a reader counts every 2 s. A later
# response is used by the next count.
COUNT_TIMEOUT_S = 1.0
# A lost connection costs one or two counts. As long as the last count of a
# reader is used, a late response is as good.
COUNT_LIMITS = effects.ReadLimits(
    repeat_after_us=4_000_000,
    retry_after_us=2_000_000,
    limit_us=host_count.READER_COUNT_RETENTION_US,
)
MAX_COUNT_AGE_S = host_count.READER_COUNT_RETENTION_US / 1e6
# Time for the list of helpers, for which calls wait, and the longest after
# lists that came too late: a list is used for 5 s.
HELPERS_TIMEOUT_S = 0.5
MAX_HELPERS_TIMEOUT_S = helper_list.LIFETIME_US / 1e6
# A failed request, or a response with other content than expected.
_FETCH_ERRORS = (
    aiohttp.ClientError,
    OSError,
    *json_documents.DECODE_ERRORS,
)


@attrs.define(frozen=True)
class _Count:
    """The response to a host count.

    Attributes:
        hosts: Number of hosts; None if it could not be read.
        ended_s: Loop time at which it was read.
    """

    hosts: int | None
    ended_s: float


def _is_outdated(task: asyncio.Task[_Count], now_s: float) -> bool:
    return task.done() and now_s > task.result().ended_s + MAX_COUNT_AGE_S


class FeedClient:
    """Receives the streams of other gate hosts.

    Args:
        now_us: Clock that also advances while the host is suspended.
        helper: Where this host takes calls of other gate hosts, if it does.
    """

    def __init__(
        self,
        now_us: Callable[[], int],
        helper: events.HelperAddress | None = None,
    ) -> None:
        self._now_us = now_us
        self._helper = helper
        self._counts: dict[str, asyncio.Task[_Count]] = {}
        self._helpers_timeouts_s: dict[str, float] = {}
        tracing = aiohttp.TraceConfig()
        tracing.on_connection_create_end.append(self._on_connected)
        self._session = aiohttp.ClientSession(
            trace_configs=[tracing],
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )

    async def follow(
        self,
        address: str,
        offsets: dict[str, int | None],
        unlimited: bool = False,
        is_reader: bool = False,
    ) -> AsyncIterator[feed_lines.StreamStarted | feed_lines.RelayedOutcome]:
        """Yields the lines of a host's stream until it ends.

        Ages of reads include the longest time for which a line may have been
        on its way.

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
        further_sources = offsets.keys() - feed_lines.BASIC_SOURCES
        if further_sources:
            query["further-sources"] = ",".join(sorted(further_sources))
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
        transit = transit_times.TransitTimes(self._now_us())
        async with self._session.get(
            f"http://{address}{store_feed.PATH}",
            params=query,
            timeout=timeout,
            read_bufsize=feed_lines.MAX_LINE_BYTES,
            raise_for_status=True,
            trace_request_ctx=transit,
        ) as response:
            async for line in response.content:
                item = feed_lines.decode_line(line)
                if item.sent_ms is not None:
                    transit_ms = transit.longest_ms(
                        item.sent_ms, self._now_us()
                    )
                    if isinstance(item, feed_lines.RelayedOutcome):
                        age_ms = item.age_ms + transit_ms
                        item = attrs.evolve(item, age_ms=age_ms)
                yield item

    async def _on_connected(
        self,
        _session: aiohttp.ClientSession,
        context: types.SimpleNamespace,
        _params: aiohttp.TraceConnectionCreateEndParams,
    ) -> None:
        transit = context.trace_request_ctx
        if transit is not None:
            transit.requested_us = self._now_us()

    async def count_hosts(self, address: str) -> int | None:
        """Returns how many gate hosts a reader counts.

        Returns:
            The number of its followers and itself; 0 if no process listens at
            the address, None if there is no valid response in time. A response
            that comes later is returned by the next call.
        """
        loop = asyncio.get_running_loop()
        task = self._counts.get(address)
        if task is None or _is_outdated(task, loop.time()):
            task = loop.create_task(self._read_count(address))
            self._counts[address] = task
        await asyncio.wait({task}, timeout=COUNT_TIMEOUT_S)
        if not task.done():
            return None
        # Another call may have taken it at the same time.
        self._counts.pop(address, None)
        return task.result().hosts

    async def _read_count(self, address: str) -> _Count:
        hosts = await repeated_reads.first_answer(
            lambda progress: self._read_count_once(address), COUNT_LIMITS
        )
        return _Count(hosts, asyncio.get_running_loop().time())

    async def _read_count_once(self, address: str) -> int | None:
        try:
            content = await self._fetch(
                address, store_feed.HOST_COUNT_PATH, {}, MAX_COUNT_AGE_S
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
        timeout_s = self._helpers_timeouts_s.get(address, HELPERS_TIMEOUT_S)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        try:
            content = await self._fetch(
                address, store_feed.HELPERS_PATH, query, timeout_s
            )
            self._set_helpers_timeout(address, loop.time() - started_s)
            return [
                events.HelperAddress(str(helper), str(failure_domain))
                for helper, failure_domain in content["helpers"]
            ]
        except TimeoutError:
            self._set_helpers_timeout(address, timeout_s)
            return None
        except _FETCH_ERRORS:
            return None

    def _set_helpers_timeout(self, address: str, taken_s: float) -> None:
        """Allows the next list twice the time that this one took."""
        self._helpers_timeouts_s[address] = min(
            MAX_HELPERS_TIMEOUT_S, max(HELPERS_TIMEOUT_S, 2 * taken_s)
        )

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
        for task in self._counts.values():
            task.cancel()
        await self._session.close()
