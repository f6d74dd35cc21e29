"""Answers to callers: a target's, carried on, or the gate's own."""

import asyncio
from http import HTTPStatus
import json
import math
from typing import Any

from aiohttp import http
import attrs

from fireflyspindle import headers
from fireflyspindle.adapters import caller_connection
from fireflyspindle.adapters import exchange as exchange_lib
from fireflyspindle.adapters import target_client
from fireflyspindle.adapters import wire
from fireflyspindle.core import effects
from fireflyspindle.core import refusals

_OUTCOME_LINES = {
    outcome: b"%b: %b\r\n" % (headers.OUTCOME.encode(), outcome.value.encode())
    for outcome in effects.Outcome
}
_CLOSE = b"Connection: close\r\n"
_KEEP_ALIVE = b"Connection: keep-alive\r\n"

DISCARD_LIMIT_S = 5.0


def refuse(
    pending: caller_connection.PendingRequest, refusal: refusals.Refusal
) -> None:
    """Refuses a request, which reaches no target, and closes."""
    body = {
        "outcome": effects.Outcome.NOT_RUN.value,
        "error": refusal.error,
        "detail": refusal.detail,
        "retry_after_ms": None,
    }
    lines = [_OUTCOME_LINES[effects.Outcome.NOT_RUN], _CLOSE]
    pending.write(_local_response(refusal.status, lines, body, head_only=False))
    pending.finish(False)


def answer(
    exchange: exchange_lib.Exchange, effect: effects.AnswerCaller
) -> None:
    """Writes an answer of the gate's own."""
    caller = exchange.caller
    if caller is None:
        return
    exchange.caller = None
    status, error, detail = effect.status, effect.error, effect.detail
    if exchange.too_large:
        status, error = HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body_too_large"
        detail = f"the body has over {exchange.body_limit_bytes} bytes"
    keep_alive = caller.may_keep_alive
    lines = _header_lines(exchange, effect.outcome)
    lines += _connection_lines(exchange.message, keep_alive)
    if effect.retry_after_ms is not None:
        lines.append(_retry_after(exchange.dialect, effect.retry_after_ms))
    body = {
        "outcome": effect.outcome.value,
        "error": error,
        "detail": detail,
        "retry_after_ms": effect.retry_after_ms,
    }
    if effect.recorded_status:
        body["recorded_status"] = effect.recorded_status
    head_only = exchange.message.method == "HEAD"
    caller.write(_local_response(status, lines, body, head_only))
    caller.finish(keep_alive)


def _local_response(
    status: int, lines: list[bytes], body: dict[str, Any], head_only: bool
) -> bytes:
    content = json.dumps(body).encode()
    reason = HTTPStatus(status).phrase.encode()
    head = b"HTTP/1.1 %d %b\r\n" % (status, reason)
    content_type = b"Content-Type: application/json\r\n"
    length = b"Content-Length: %d\r\n\r\n" % len(content)
    response = b"".join((head, *lines, content_type, length))
    return response if head_only else response + content


def _retry_after(dialect: headers.Dialect, retry_after_ms: int) -> bytes:
    if dialect.fractional_retry_after:
        text = f"{retry_after_ms / 1000:.3f}"
    else:
        text = str(math.ceil(retry_after_ms / 1000))
    return f"{headers.RETRY_AFTER}: {text}\r\n".encode()


def _header_lines(
    exchange: exchange_lib.Exchange, outcome: effects.Outcome
) -> list[bytes]:
    """Returns the header lines that every answer of an exchange has."""
    dialect = exchange.dialect
    lines = [f"{dialect.request_id}: {exchange.request_id}\r\n".encode()]
    if dialect.outcome:
        lines.append(_OUTCOME_LINES[outcome])
    return lines


def _connection_lines(
    message: http.RawRequestMessage, keep_alive: bool
) -> list[bytes]:
    if not keep_alive:
        return [_CLOSE]
    return [_KEEP_ALIVE] if message.version == http.HttpVersion10 else []


@attrs.define(eq=False)
class Relay:
    """A target's answer on its way to the caller.

    Attributes:
        exchange: The caller's exchange.
        attempt: The attempt that is answered.
    """

    exchange: exchange_lib.Exchange
    attempt: target_client.Attempt
    _keep_alive: bool = False
    _chunked: bool = False

    def begin(self, outcome: effects.Outcome) -> bool:
        """Writes the head, and the body if all of it is here.

        Returns:
            Whether the answer has been written whole. If not, `run` writes
            the rest.
        """
        response = self.attempt.response
        assert response is not None
        payload = response.payload
        complete = payload.is_eof()
        body = payload.read_nowait(-1) if complete else b""
        caller = self.exchange.caller
        if caller is None:
            return complete
        message = self.exchange.message
        length = self._length(response.length, body if complete else None)
        delimited = length is not None or not self._has_body()
        self._chunked = not delimited and message.version >= http.HttpVersion11
        self._keep_alive = caller.may_keep_alive and (
            delimited or self._chunked
        )
        lines = _header_lines(self.exchange, outcome)
        lines += _connection_lines(message, self._keep_alive)
        head = wire.response_head(
            response.message,
            lines,
            length,
            self._chunked,
            self.exchange.dialect,
        )
        caller.write(head + body)
        if complete:
            self._finish()
        return complete

    def _has_body(self) -> bool:
        response = self.attempt.response
        assert response is not None
        if self.exchange.message.method == "HEAD":
            return False
        return response.message.code not in wire.STATUSES_WITHOUT_BODY

    def _length(self, stated: int | None, body: bytes | None) -> int | None:
        response = self.attempt.response
        assert response is not None
        if response.message.code == HTTPStatus.NO_CONTENT:
            return None
        if stated is None and body is not None and self._has_body():
            return len(body)
        return stated

    async def run(self) -> bool:
        """Writes the rest of the body; returns whether it came whole.

        When the caller leaves, the rest is read and dropped, so that a
        request that may not be repeated is not cancelled at the target.
        """
        response = self.attempt.response
        assert response is not None
        while True:
            try:
                data = await response.payload.readany()
            except asyncio.CancelledError:
                raise
            except Exception:
                self.exchange.abort_caller()
                return False
            if not data:
                break
            await self._write(data)
        caller = self.exchange.caller
        if caller is not None and self._chunked:
            caller.write(wire.LAST_CHUNK)
        self._finish()
        return True

    async def _write(self, data: bytes) -> None:
        caller = self.exchange.caller
        if caller is None:
            return
        caller.write(wire.chunk(data) if self._chunked else data)
        if not caller.writing_paused:
            return
        try:
            await caller.drain()
        except ConnectionError:
            return

    def _finish(self) -> None:
        caller = self.exchange.caller
        self.exchange.caller = None
        if caller is not None:
            caller.finish(self._keep_alive)


async def discard(attempt: target_client.Attempt) -> None:
    """Reads an answer that nobody wants to its end, for a limited time."""
    response = attempt.response
    assert response is not None
    try:
        async with asyncio.timeout(DISCARD_LIMIT_S):
            while await response.payload.readany():
                pass
    except asyncio.CancelledError:
        raise
    except Exception:
        attempt.abort()
        return
    attempt.release()
