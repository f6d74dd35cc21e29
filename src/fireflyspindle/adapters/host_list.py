"""Client of the platform's list of live and draining hosts."""

from collections.abc import Callable

import aiohttp
import attrs
import cattrs

from fireflyspindle.adapters import read_progress
from fireflyspindle.adapters import repeated_reads
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import host_list
from fireflyspindle.core import json_documents

MAX_LIST_BYTES = 1024 * 1024

_converter = cattrs.Converter()


@attrs.define(frozen=True)
class HostList:
    """The list as served by the platform."""

    gates: list[events.ListedHost]
    targets: list[events.ListedHost]


@attrs.define(frozen=True)
class Read:
    """One read of the list.

    Attributes:
        listed: The list.
        size_bytes: Bytes of the list that were transferred; 0 if unchanged.
    """

    listed: HostList
    size_bytes: int


class HostListClient:
    """Reads the host list by conditional requests (RFC 9110)."""

    def __init__(self, address: str) -> None:
        self._cached: HostList | None = None
        self._entity_tag = ""
        self._url = f"http://{address}/hosts"
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=None),
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def read(
        self,
        limits: effects.ReadLimits = host_list.READ_LIMITS,
        on_unanswered: Callable[[], None] = lambda: None,
    ) -> Read | None:
        """Returns the complete list, or None on failure or invalid content.

        Args:
            limits: Time limits of the read.
            on_unanswered: Called for each further try while one is unanswered.
        """
        return await repeated_reads.first_answer(
            self._read_once, limits, on_unanswered
        )

    async def _read_once(self, progress: read_progress.Progress) -> Read | None:
        request_headers = (
            {"If-None-Match": self._entity_tag} if self._entity_tag else {}
        )
        try:
            async with self._session.get(
                self._url, headers=request_headers
            ) as response:
                if response.status == 304 and self._cached is not None:
                    return Read(self._cached, 0)
                if response.status != 200:
                    return None
                if (response.content_length or 0) > MAX_LIST_BYTES:
                    return None
                body = await progress.read_body(response, MAX_LIST_BYTES)
                return self._parse(body, response.headers.get("ETag", ""))
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None

    def _parse(self, body: bytes, entity_tag: str) -> Read | None:
        try:
            listed = _converter.structure(json_documents.parse(body), HostList)
        except (cattrs.BaseValidationError, *json_documents.DECODE_ERRORS):
            return None
        self._cached = listed
        self._entity_tag = entity_tag
        return Read(listed, len(body))

    async def close(self) -> None:
        """Closes every connection."""
        await self._session.close()
