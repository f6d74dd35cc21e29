"""The platform's list of live and leaving hosts, over HTTP with JSON."""

import aiohttp
import attrs
import cattrs

from fireflyspindle.core import events

READ_TIMEOUT_S = 2.0
MAX_LIST_BYTES = 1024 * 1024

_converter = cattrs.Converter()


@attrs.define(frozen=True)
class HostList:
    """The list as the platform serves it."""

    gates: list[events.ListedHost]
    targets: list[events.ListedHost]


class HostListClient:
    """Reads the host list."""

    def __init__(self, address: str) -> None:
        self._url = f"http://{address}/hosts"
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=READ_TIMEOUT_S),
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def read(self) -> HostList | None:
        """Returns the list whole, or None when it can't be had or read."""
        try:
            async with self._session.get(self._url) as answer:
                if answer.status != 200:
                    return None
                if (answer.content_length or 0) > MAX_LIST_BYTES:
                    return None
                raw = await answer.json()
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return None
        try:
            return _converter.structure(raw, HostList)
        except (cattrs.BaseValidationError, TypeError, ValueError):
            return None

    async def close(self) -> None:
        """Closes every connection."""
        await self._session.close()
