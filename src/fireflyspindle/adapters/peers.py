"""Messages to and from other gate hosts, over HTTP with JSON."""

from typing import Protocol

import aiohttp
from aiohttp import web

from fireflyspindle.core import events
from fireflyspindle.core import peers

PATH = "/peers/messages"
TIMEOUT_S = 2.0
MAX_OUTSTANDING = 64

_HEADERS = {"Content-Type": "application/json"}


class Gate(Protocol):
    """The part of a gate that the handler uses."""

    def now_us(self) -> int:
        """Returns the monotonic time."""

    def submit(self, event: events.Event) -> None:
        """Feeds an event to the reducer."""


class PeerClient:
    """Sends messages to other gate hosts, without retries.

    Attributes:
        failed: Messages without a response or with an error response.
        dropped: Messages not sent because too many were outstanding.
    """

    def __init__(self) -> None:
        self.failed = 0
        self.dropped = 0
        self._outstanding = 0
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )

    async def send(self, address: str, body: str) -> None:
        """Sends one message, without retries."""
        if self._outstanding >= MAX_OUTSTANDING:
            self.dropped += 1
            return
        self._outstanding += 1
        try:
            async with self._session.post(
                f"http://{address}{PATH}",
                data=body.encode(),
                headers=_HEADERS,
                allow_redirects=False,
            ) as response:
                self.failed += response.status >= 300
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            self.failed += 1
        finally:
            self._outstanding -= 1

    async def close(self) -> None:
        """Closes every connection."""
        await self._session.close()


def routes(gate: Gate) -> list[web.RouteDef]:
    """Returns the routes that receive messages."""

    async def receive(request: web.Request) -> web.Response:
        body = (await request.read()).decode(errors="replace")
        gate.submit(events.PeerMessageReceived(gate.now_us(), body))
        return web.Response(status=204)

    return [web.post(PATH, receive)]


MAX_BODY_BYTES = peers.MAX_MESSAGE_BYTES
