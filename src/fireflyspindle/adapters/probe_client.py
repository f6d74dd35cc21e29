"""Probes of targets' load endpoints, never sent later than they may be."""

from collections.abc import Callable, Mapping
import types

import aiohttp

from fireflyspindle.core import effects
from fireflyspindle.core import events

PROBE_TIMEOUT_S = 1.0

ReadReport = Callable[[Mapping[str, str]], events.LoadReport]


class _TooLateError(Exception):
    """The right to send the probe has run out."""


class ProbeClient:
    """Sends probes, each on a connection of its own.

    The time is checked when the connection stands, right before the request
    is written.
    """

    def __init__(
        self, now_us: Callable[[], int], read_report: ReadReport
    ) -> None:
        self._now_us = now_us
        self._read_report = read_report
        trace = aiohttp.TraceConfig()
        trace.on_connection_create_end.append(self._check_time)
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            timeout=aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S),
            cookie_jar=aiohttp.DummyCookieJar(),
            trace_configs=[trace],
        )

    async def _check_time(
        self,
        _: aiohttp.ClientSession,
        context: types.SimpleNamespace,
        __: aiohttp.TraceConnectionCreateEndParams,
    ) -> None:
        if self._now_us() > context.trace_request_ctx:
            raise _TooLateError

    async def probe(
        self, effect: effects.ProbeTarget
    ) -> events.LoadReport | None:
        """Returns the load that the target states, or None."""
        if self._now_us() > effect.not_after_us:
            return None
        try:
            async with self._session.get(
                f"http://{effect.target}{effect.path}",
                allow_redirects=False,
                trace_request_ctx=effect.not_after_us,
            ) as answer:
                if answer.status != 200:
                    return None
                return self._read_report(answer.headers)
        except (aiohttp.ClientError, TimeoutError, OSError, _TooLateError):
            return None

    async def close(self) -> None:
        """Closes every connection."""
        await self._session.close()
