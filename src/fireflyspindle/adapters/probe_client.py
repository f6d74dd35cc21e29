"""Probes of targets' load endpoints, never sent later than they may be."""

import asyncio
from collections.abc import Callable, Mapping

import attrs

from fireflyspindle.adapters import receiving
from fireflyspindle.adapters import target_connection
from fireflyspindle.core import effects
from fireflyspindle.core import events

PROBE_TIMEOUT_S = 1.0

ReadReport = Callable[[Mapping[str, str]], events.LoadReport]


@attrs.define(eq=False)
class _Waiter:
    """Waits for the head of the answer to a probe."""

    answered: asyncio.Future[target_connection.Answer | None]
    request_id: str = ""

    def on_answer(self, answer: target_connection.Answer) -> None:
        if not self.answered.done():
            self.answered.set_result(answer)

    def on_failed(self, _reason: events.FailureReason) -> None:
        if not self.answered.done():
            self.answered.set_result(None)


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
        self._buffer = bytearray(receiving.RECEIVE_BUFFER_BYTES)

    async def probe(
        self, effect: effects.ProbeTarget
    ) -> events.LoadReport | None:
        """Returns the load that the target states, or None."""
        if self._now_us() > effect.not_after_us:
            return None
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                answer = await self._ask(effect)
        except (TimeoutError, OSError):
            return None
        if answer is None or answer.message.code != 200:
            return None
        return self._read_report(answer.message.headers)

    async def _ask(
        self, effect: effects.ProbeTarget
    ) -> target_connection.Answer | None:
        loop = asyncio.get_running_loop()
        host, _, port = effect.target.rpartition(":")
        _, connection = await loop.create_connection(
            lambda: target_connection.TargetConnection(
                loop, self._buffer, effect.target
            ),
            host.strip("[]"),
            int(port),
        )
        try:
            if self._now_us() > effect.not_after_us:
                return None
            waiter = _Waiter(loop.create_future())
            connection.begin(waiter, _request(effect), "GET")
            return await waiter.answered
        finally:
            connection.abort()


def _request(effect: effects.ProbeTarget) -> bytes:
    return (
        f"GET {effect.path} HTTP/1.1\r\nHost: {effect.target}\r\n"
        "Connection: close\r\n\r\n"
    ).encode()
