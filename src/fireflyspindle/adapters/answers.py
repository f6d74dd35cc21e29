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


def refuse(turn: caller_connection.Turn, refusal: refusals.Refusal) -> None:
    """Refuses a request, which reaches no target, and closes."""
    body = {
        "outcome": effects.Outcome.NOT_RUN.value,
        "error": refusal.error,
        "detail": refusal.detail,
        "retry_after_ms": None,
    }
    lines = [_OUTCOME_LINES[effects.Outcome.NOT_RUN], _CLOSE]
    turn.write(_own(refusal.status, lines, body, head_only=False))
    turn.finish(False)


def answer(
    exchange: exchange_lib.Exchange, verdict: effects.AnswerCaller
) -> None:
    """Writes an answer of the gate's own."""
    caller = exchange.caller
    if caller is None:
        return
    exchange.caller = None
    status, error, detail = verdict.status, verdict.error, verdict.detail
    if exchange.too_large:
        status, error = HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body_too_large"
        detail = f"the body has over {exchange.body_limit_bytes} bytes"
    keep_alive = caller.keeps_alive
    lines = _own_lines(exchange, verdict.outcome)
    lines += _connection_lines(exchange.message, keep_alive)
    if verdict.retry_after_ms is not None:
        lines.append(_retry_after(exchange.dialect, verdict.retry_after_ms))
    body = {
        "outcome": verdict.outcome.value,
        "error": error,
        "detail": detail,
        "retry_after_ms": verdict.retry_after_ms,
    }
    if verdict.recorded_status:
        body["recorded_status"] = verdict.recorded_status
    head_only = exchange.message.method == "HEAD"
    caller.write(_own(status, lines, body, head_only))
    caller.finish(keep_alive)


def _own(
    status: int, lines: list[bytes], body: dict[str, Any], head_only: bool
) -> bytes:
    content = json.dumps(body).encode()
    reason = HTTPStatus(status).phrase.encode()
    head = b"HTTP/1.1 %d %b\r\n" % (status, reason)
    kind = b"Content-Type: application/json\r\n"
    length = b"Content-Length: %d\r\n\r\n" % len(content)
    written = b"".join((head, *lines, kind, length))
    return written if head_only else written + content


def _retry_after(dialect: headers.Dialect, retry_after_ms: int) -> bytes:
    if dialect.fractional_retry_after:
        text = f"{retry_after_ms / 1000:.3f}"
    else:
        text = str(math.ceil(retry_after_ms / 1000))
    return f"{headers.RETRY_AFTER}: {text}\r\n".encode()


def _own_lines(
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
        found = self.attempt.answer
        assert found is not None
        payload = found.payload
        whole = payload.is_eof()
        body = payload.read_nowait(-1) if whole else b""
        caller = self.exchange.caller
        if caller is None:
            return whole
        message = self.exchange.message
        length = self._length(found.length, body if whole else None)
        may_keep = length is not None or not self._has_body()
        self._chunked = not may_keep and message.version >= http.HttpVersion11
        self._keep_alive = caller.keeps_alive and (may_keep or self._chunked)
        lines = _own_lines(self.exchange, outcome)
        lines += _connection_lines(message, self._keep_alive)
        head = wire.answer_head(
            found.message, lines, length, self._chunked, self.exchange.dialect
        )
        caller.write(head + body)
        if whole:
            self._finish()
        return whole

    def _has_body(self) -> bool:
        found = self.attempt.answer
        assert found is not None
        if self.exchange.message.method == "HEAD":
            return False
        return found.message.code not in wire.STATUSES_WITHOUT_BODY

    def _length(self, stated: int | None, body: bytes | None) -> int | None:
        found = self.attempt.answer
        assert found is not None
        if found.message.code == HTTPStatus.NO_CONTENT:
            return None
        if stated is None and body is not None and self._has_body():
            return len(body)
        return stated

    async def run(self) -> bool:
        """Writes the rest of the body; returns whether it came whole.

        When the caller leaves, the rest is read and dropped, so that a
        request that may not be repeated is not cancelled at the target.
        """
        found = self.attempt.answer
        assert found is not None
        while True:
            try:
                data = await found.payload.readany()
            except asyncio.CancelledError:
                raise
            except Exception:
                self.exchange.cut_caller()
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
    found = attempt.answer
    assert found is not None
    try:
        async with asyncio.timeout(DISCARD_LIMIT_S):
            while await found.payload.readany():
                pass
    except asyncio.CancelledError:
        raise
    except Exception:
        attempt.abort()
        return
    attempt.release()
