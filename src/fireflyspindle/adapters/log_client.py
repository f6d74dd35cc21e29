"""Client of the log service, over HTTP with JSON."""

from collections.abc import Callable

import aiohttp
import attrs

from fireflyspindle.adapters import late_appends
from fireflyspindle.adapters import read_progress
from fireflyspindle.adapters import repeated_reads
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import json_documents

READ_WAIT_MS = 5_000
READ_LIMIT_RECORDS = 500
# Largest page: as many records of some 128 KB.
MAX_PAGE_BYTES = 64 * 1024 * 1024
APPEND_TIMEOUT_S = 2.0
APPEND_LIMIT_S = 60.0
_NO_TIMEOUT = aiohttp.ClientTimeout(total=None)


@attrs.define
class ReadResult:
    """The result of one read; see `events.LogRead`."""

    entries: list[events.LogEntry]
    earliest_offset: int
    next_offset: int


@attrs.define
class AppendResult:
    """The result of an append; see `events.AppendEnded`."""

    outcome: events.AppendOutcome
    offset: int = -1


class LogClient:
    """Reads and appends records of the log's streams.

    Args:
        address: Address of the log service.
        append_timeout_s: Time after which the outcome of an append is
            unknown.
    """

    def __init__(
        self, address: str, append_timeout_s: float = APPEND_TIMEOUT_S
    ) -> None:
        self._base = f"http://{address}/streams"
        self._append_timeout_s = append_timeout_s
        self._late_appends: late_appends.LateAppends[AppendResult] = (
            late_appends.LateAppends()
        )
        self._session = aiohttp.ClientSession()

    async def read(
        self,
        stream: str,
        from_offset: int,
        *,
        wait: bool = True,
        limits: effects.ReadLimits = effects.LOG_READ_LIMITS,
        on_unanswered: Callable[[], None] = lambda: None,
    ) -> ReadResult | None:
        """Reads from an offset; None on failure.

        Args:
            stream: Name of the stream.
            from_offset: First offset to read.
            wait: Whether to long-poll when there are no new records.
            limits: Time limits of the read.
            on_unanswered: Called for each further try while one is unanswered.
        """
        query = {
            "from": str(from_offset),
            "limit": str(READ_LIMIT_RECORDS),
            "wait_ms": str(READ_WAIT_MS if wait else 0),
        }
        url = f"{self._base}/{stream}/records"
        return await repeated_reads.first_answer(
            lambda progress: self._read_once(url, query, progress),
            limits,
            on_unanswered,
        )

    async def _read_once(
        self, url: str, query: dict[str, str], progress: read_progress.Progress
    ) -> ReadResult | None:
        try:
            async with self._session.get(
                url, params=query, timeout=_NO_TIMEOUT
            ) as response:
                if response.status != 200:
                    return None
                body = await progress.read_body(response, MAX_PAGE_BYTES)
                return _parse_batch(json_documents.parse(body))
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None
        except json_documents.DECODE_ERRORS:
            return None

    async def append(
        self,
        stream: str,
        body: str,
        timeout_s: float | None = None,
        limit_s: float = APPEND_LIMIT_S,
    ) -> AppendResult:
        """Appends a record, without retries.

        Args:
            stream: Name of the stream.
            body: The record.
            timeout_s: Time after which the outcome is unknown; None for that
                of the client.
            limit_s: Time after which the append is given up.

        Returns:
            DONE with the offset; REFUSED when the record is certainly not in
            the log; UNKNOWN when it may be there or may still be appended.
        """
        if timeout_s is None:
            timeout_s = self._append_timeout_s
        return await self._late_appends.wait(
            self._append_once(stream, body, max(timeout_s, limit_s)),
            timeout_s,
            AppendResult(events.AppendOutcome.UNKNOWN),
        )

    async def _append_once(
        self, stream: str, body: str, limit_s: float
    ) -> AppendResult:
        timeout = aiohttp.ClientTimeout(total=limit_s)
        try:
            async with self._session.post(
                f"{self._base}/{stream}/records",
                json={"body": body},
                timeout=timeout,
            ) as response:
                if response.status == 200:
                    offset = int((await response.json())["offset"])
                    return AppendResult(events.AppendOutcome.DONE, offset)
                if 400 <= response.status < 500:
                    return AppendResult(events.AppendOutcome.REFUSED)
        except aiohttp.ClientConnectorError:
            return AppendResult(events.AppendOutcome.REFUSED)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return AppendResult(events.AppendOutcome.UNKNOWN)
        except json_documents.DECODE_ERRORS:
            return AppendResult(events.AppendOutcome.UNKNOWN)
        return AppendResult(events.AppendOutcome.UNKNOWN)

    async def close(self) -> None:
        """Closes every connection."""
        self._late_appends.close()
        await self._session.close()


def _parse_batch(reply: dict) -> ReadResult:
    by_offset = {
        int(item["offset"]): _parse_entry(item) for item in reply["records"]
    }
    entries = [by_offset[offset] for offset in sorted(by_offset)]
    return ReadResult(entries, int(reply["earliest"]), int(reply["next"]))


def _parse_entry(item: dict) -> events.LogEntry:
    """Parses a record; one with a corrupt body gets an empty body."""
    body = item.get("body")
    text = body if isinstance(body, str) else ""
    return events.LogEntry(int(item["offset"]), text)
