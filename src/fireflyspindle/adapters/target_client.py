"""Requests to targets, each sent once, with nothing added or followed."""

from collections.abc import Awaitable, Callable
from typing import cast

import aiohttp
import multidict
import yarl

from fireflyspindle import headers
from fireflyspindle.adapters import exchange as exchange_lib
from fireflyspindle.core import events

CONNECT_TIMEOUT_S = 1.0

_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")

_Handler = Callable[[aiohttp.ClientRequest], Awaitable[aiohttp.ClientResponse]]


class SecondSendError(Exception):
    """The client library was about to send a request again by itself."""


class _SendOnce:
    """Client middleware that lets a request leave once."""

    def __init__(self) -> None:
        self._sent = False

    async def __call__(
        self, request: aiohttp.ClientRequest, handler: _Handler
    ) -> aiohttp.ClientResponse:
        if self._sent:
            raise SecondSendError
        self._sent = True
        return await handler(request)


class TargetClient:
    """Sends the requests of attempts to targets."""

    def __init__(self) -> None:
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=_AUTO_HEADERS,
        )

    async def send(
        self,
        exchange: exchange_lib.Exchange,
        target: str,
        timeout_us: int,
    ) -> aiohttp.ClientResponse | events.FailureReason:
        """Sends a request and waits for the headers of its answer.

        Returns:
            The answer with its body unread, or why there is none. Only
            REFUSED, UNREACHABLE and CONNECT_TIMEOUT mean that no byte has
            left.
        """
        request = exchange.request
        timeout_s = timeout_us / 1e6
        try:
            return await self._session.request(
                request.method,
                yarl.URL(f"http://{target}{request.raw_path}", encoded=True),
                headers=_request_headers(exchange, timeout_us),
                data=_body(exchange),
                allow_redirects=False,
                middlewares=(_SendOnce(),),
                timeout=aiohttp.ClientTimeout(
                    total=timeout_s,
                    sock_connect=min(timeout_s, CONNECT_TIMEOUT_S),
                ),
            )
        except aiohttp.ConnectionTimeoutError:
            return events.FailureReason.CONNECT_TIMEOUT
        except TimeoutError:
            return events.FailureReason.TIMEOUT
        except aiohttp.ClientConnectorError as error:
            if isinstance(error.os_error, ConnectionRefusedError):
                return events.FailureReason.REFUSED
            return events.FailureReason.UNREACHABLE
        except (aiohttp.ClientError, SecondSendError, OSError):
            return events.FailureReason.DISCONNECTED

    async def close(self) -> None:
        """Closes every connection."""
        await self._session.close()


def was_sent(reason: events.FailureReason) -> bool:
    """Whether a byte of the request may have left before the failure."""
    return reason not in (
        events.FailureReason.REFUSED,
        events.FailureReason.UNREACHABLE,
        events.FailureReason.CONNECT_TIMEOUT,
    )


def end_to_end(
    source: multidict.CIMultiDictProxy[str],
) -> multidict.CIMultiDict:
    """Returns the headers that are not of one connection only."""
    named = source.get("Connection", "").lower().split(",")
    dropped = headers.HOP_BY_HOP.union(name.strip() for name in named)
    return multidict.CIMultiDict(
        (name, value)
        for name, value in source.items()
        if name.lower() not in dropped
    )


def _request_headers(
    exchange: exchange_lib.Exchange, timeout_us: int
) -> multidict.CIMultiDict:
    carried = end_to_end(exchange.request.headers)
    carried[headers.REQUEST_ID] = exchange.request_id
    carried[headers.DEADLINE_MS] = str(max(1, timeout_us // 1000))
    return carried


def _body(exchange: exchange_lib.Exchange) -> object:
    if exchange.body is not None:
        return exchange.body or None
    return cast(object, exchange.request.content)
