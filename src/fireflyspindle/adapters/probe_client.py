"""Probes of targets' load endpoints, each sent before its deadline."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus

from aiohttp import http
import attrs

from fireflyspindle import headers
from fireflyspindle.adapters import shared_buffer
from fireflyspindle.adapters import target_client
from fireflyspindle.adapters import target_connection
from fireflyspindle.core import effects
from fireflyspindle.core import events

PROBE_TIMEOUT_S = 1.0


@attrs.define(eq=False)
class _ProbeHandler:
    """Receives the head of the response to a probe.

    The head of an incomplete response has all that a probe asks for.
    """

    head_future: asyncio.Future[http.RawResponseMessage | None]
    request_id: str = ""

    def on_response(self, response: target_connection.Response) -> None:
        self._set_head(response.message)

    def on_failed(
        self,
        _reason: events.FailureReason,
        head: http.RawResponseMessage | None = None,
    ) -> None:
        self._set_head(head)

    def _set_head(self, head: http.RawResponseMessage | None) -> None:
        if not self.head_future.done():
            self.head_future.set_result(head)


class ProbeClient:
    """Sends probes.

    The deadline is checked again once connected, right before the request is
    written.

    Args:
        now_us: Returns the monotonic time.
        header_profile: Header names used by targets.
        pool: Pool to take connections from and return them to; without it,
            each probe opens its own connection.
        timeout_s: Time limit of a probe whose effect states none.
    """

    def __init__(
        self,
        now_us: Callable[[], int],
        header_profile: headers.HeaderProfile = headers.DEFAULT_PROFILE,
        pool: target_client.TargetClient | None = None,
        timeout_s: float = PROBE_TIMEOUT_S,
    ) -> None:
        self._now_us = now_us
        self._header_profile = header_profile
        self._pool = pool
        self._timeout_s = timeout_s
        self._buffer = bytearray(shared_buffer.RECEIVE_BUFFER_BYTES)

    async def probe(
        self, effect: effects.ProbeTarget
    ) -> events.LoadReport | events.FailureReason | None:
        """Returns what the target reports, or None without a response.

        If the target refuses the connection, returns that as the reason.
        """
        if self._now_us() > effect.not_after_us:
            return None
        timeout_s = self._timeout_s
        if effect.timeout_us is not None:
            timeout_s = effect.timeout_us / 1e6
        try:
            async with asyncio.timeout(timeout_s):
                head = await self._send(effect)
        except ConnectionRefusedError:
            return events.FailureReason.REFUSED
        except (TimeoutError, OSError):
            return None
        if head is None:
            return None
        report = self._header_profile.parse_load_report(head.headers)
        report.healthy = head.code == HTTPStatus.OK
        return report

    async def _send(
        self, effect: effects.ProbeTarget
    ) -> http.RawResponseMessage | None:
        connection = await self._connect(effect)
        pooled = False
        try:
            if self._now_us() > effect.not_after_us:
                return None
            handler = _ProbeHandler(asyncio.get_running_loop().create_future())
            close = self._pool is None
            connection.begin(handler, _request(effect, close), "GET")
            head = await handler.head_future
            if self._pool is not None and connection.release():
                pooled = True
                self._pool.keep(connection)
            return head
        finally:
            if not pooled:
                connection.abort()

    async def _connect(
        self, effect: effects.ProbeTarget
    ) -> target_connection.TargetConnection:
        target = effect.target
        if self._pool is not None:
            idle = None
            if not effect.new_connection:
                idle = self._pool.take_idle(target, repeatable=True)
            return idle or await self._pool.connect(target)
        loop = asyncio.get_running_loop()
        host, _, port = target.rpartition(":")
        _, connection = await loop.create_connection(
            lambda: target_connection.TargetConnection(
                loop, self._buffer, target, self._header_profile
            ),
            host.strip("[]"),
            int(port),
        )
        return connection


def _request(effect: effects.ProbeTarget, close: bool) -> bytes:
    close_line = "Connection: close\r\n" if close else ""
    return (
        f"GET {effect.path} HTTP/1.1\r\nHost: {effect.target}\r\n"
        f"{close_line}\r\n"
    ).encode()
