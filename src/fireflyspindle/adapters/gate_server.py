"""The callers' side of a gate host."""

import asyncio
import itertools
import math
from typing import Protocol

import aiohttp
from aiohttp import web
import attrs
import result

from fireflyspindle import headers
from fireflyspindle.adapters import exchange as exchange_lib
from fireflyspindle.adapters import keyed_requests
from fireflyspindle.adapters import target_client
from fireflyspindle.core import effects
from fireflyspindle.core import events

REPEATABLE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
MAX_NAME_CHARACTERS = 100
MAX_DEADLINE_MS = 3_600_000


class Shell(Protocol):
    """What the server needs of the shell."""

    def now_us(self) -> int:
        """Returns the monotonic time."""

    def open(
        self, exchange: exchange_lib.Exchange, event: events.CallArrived
    ) -> None:
        """Takes in a call."""

    def submit(self, event: events.Event) -> None:
        """Feeds an event to the reducer."""


@attrs.define
class BadRequest:
    """A request that is refused before it becomes a call."""

    status: int
    error: str
    detail: str


class GateServer:
    """Turns callers' requests into events, and decisions into answers."""

    def __init__(
        self, shell: Shell, host_id: str, body_buffer_bytes: int
    ) -> None:
        self._shell = shell
        self._host_id = host_id
        self._body_buffer_bytes = body_buffer_bytes
        self._call_ids = itertools.count(1)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serves one request of a caller."""
        call_id = next(self._call_ids)
        match self._arrival(request, call_id):
            case result.Err(refusal):
                return _refusal(refusal)
            case result.Ok(event):
                return await self._serve(request, event)
        raise AssertionError("a result is either Ok or Err")

    def _arrival(
        self, request: web.BaseRequest, call_id: int
    ) -> result.Result[events.CallArrived, BadRequest]:
        given = request.headers
        repeatable = given.get(headers.REPEATABLE, "").lower()
        if repeatable not in ("", "yes", "no"):
            return _bad(headers.REPEATABLE, repeatable, '"yes" or "no"')
        tenant = given.get(headers.TENANT, "")
        traffic_class = given.get(headers.CLASS, "")
        for name, value in (
            (headers.TENANT, tenant),
            (headers.CLASS, traffic_class),
        ):
            if len(value) > MAX_NAME_CHARACTERS:
                return _bad(name, value[:20], "at most 100 characters")
        now_us = self._shell.now_us()
        deadline_us = None
        if headers.DEADLINE_MS in given:
            text = given[headers.DEADLINE_MS]
            if not text.isdecimal() or not 0 < int(text) <= MAX_DEADLINE_MS:
                accepted = f"whole milliseconds from 1 to {MAX_DEADLINE_MS}"
                return _bad(headers.DEADLINE_MS, text, accepted)
            deadline_us = now_us + int(text) * 1000
        return result.Ok(
            events.CallArrived(
                now_us=now_us,
                call_id=call_id,
                path=request.path,
                tenant=tenant,
                traffic_class=traffic_class,
                repeatable=repeatable == "yes"
                or (not repeatable and request.method in REPEATABLE_METHODS),
                deadline_us=deadline_us,
            )
        )

    async def _serve(
        self, request: web.BaseRequest, event: events.CallArrived
    ) -> web.StreamResponse:
        keyed: keyed_requests.KeyedRequest | None = None
        if not event.repeatable:
            match keyed_requests.read(request.headers):
                case result.Err(why):
                    return _refusal(BadRequest(400, "bad_key", why))
                case result.Ok(keyed):
                    pass
        length = request.content_length
        body: bytes | None = None
        if not request.body_exists:
            body = b""
        elif length is not None and length <= self._body_buffer_bytes:
            body = await request.read()
        elif keyed is not None:
            body = await self._read_within_limit(request)
        if keyed is not None:
            if body is None:
                detail = keyed_requests.too_large(self._body_buffer_bytes)
                return _refusal(BadRequest(413, "body_too_large", detail))
            keyed_requests.stamp(
                event, keyed, request.method, request.raw_path, body
            )
        event.resendable = body is not None
        event.now_us = self._shell.now_us()
        exchange = exchange_lib.Exchange(
            call_id=event.call_id,
            request_id=f"{self._host_id}-{event.call_id}",
            request=request,
            body=body,
            verdict=asyncio.get_running_loop().create_future(),
        )
        self._shell.open(exchange, event)
        try:
            return await self._answer(exchange)
        except (asyncio.CancelledError, ConnectionError):
            self._caller_left(exchange)
            raise

    async def _read_within_limit(
        self, request: web.BaseRequest
    ) -> bytes | None:
        """Reads a body of unstated length; None when it is too large."""
        body = bytearray()
        async for chunk in request.content.iter_any():
            body += chunk
            if len(body) > self._body_buffer_bytes:
                return None
        return bytes(body)

    def _caller_left(self, exchange: exchange_lib.Exchange) -> None:
        now_us = self._shell.now_us()
        self._shell.submit(events.CallerLeft(now_us, exchange.call_id))
        for attempt in list(exchange.answers):
            exchange.drop_answer(attempt)
            self._shell.submit(
                events.AttemptFailed(
                    now_us=now_us,
                    call_id=exchange.call_id,
                    attempt=attempt,
                    reason=events.FailureReason.CANCELLED,
                    sent=True,
                )
            )

    async def _answer(
        self, exchange: exchange_lib.Exchange
    ) -> web.StreamResponse:
        verdict = await exchange.verdict
        match verdict:
            case effects.AnswerCaller():
                return _own_answer(verdict)
            case effects.ForwardAnswer():
                return await self._forward(exchange, verdict)

    async def _forward(
        self, exchange: exchange_lib.Exchange, verdict: effects.ForwardAnswer
    ) -> web.StreamResponse:
        attempt = verdict.attempt
        answer = exchange.answers[attempt]
        response = web.StreamResponse(
            status=answer.status,
            reason=answer.reason,
            headers=target_client.end_to_end(answer.headers),
        )
        response.headers[headers.OUTCOME] = verdict.outcome.value
        try:
            await response.prepare(exchange.request)
            async for chunk in answer.content.iter_any():
                await response.write(chunk)
        except ConnectionResetError:
            raise
        except (aiohttp.ClientError, TimeoutError):
            return self._cut(exchange, attempt, response)
        exchange.answers.pop(attempt, None)
        answer.release()
        await response.write_eof()
        self._shell.submit(
            events.AttemptEnded(self._shell.now_us(), exchange.call_id, attempt)
        )
        return response

    def _cut(
        self,
        exchange: exchange_lib.Exchange,
        attempt: int,
        response: web.StreamResponse,
    ) -> web.StreamResponse:
        """Closes the caller's connection so that it sees the cut."""
        exchange.drop_answer(attempt)
        if exchange.request.transport is not None:
            exchange.request.transport.abort()
        self._shell.submit(
            events.AttemptFailed(
                now_us=self._shell.now_us(),
                call_id=exchange.call_id,
                attempt=attempt,
                reason=events.FailureReason.TRUNCATED,
                sent=True,
            )
        )
        return response


def _bad(name: str, value: str, accepted: str) -> result.Err[BadRequest]:
    detail = f"header {name} is {value!r}; give {accepted}"
    return result.Err(BadRequest(400, "bad_header", detail))


def _refusal(refusal: BadRequest) -> web.Response:
    return web.json_response(
        {"error": refusal.error, "detail": refusal.detail},
        status=refusal.status,
        headers={headers.OUTCOME: effects.Outcome.NOT_RUN.value},
    )


def _own_answer(verdict: effects.AnswerCaller) -> web.Response:
    stated = {headers.OUTCOME: verdict.outcome.value}
    if verdict.retry_after_ms is not None:
        stated[headers.RETRY_AFTER] = str(
            math.ceil(verdict.retry_after_ms / 1000)
        )
    body = {
        "outcome": verdict.outcome.value,
        "error": verdict.error,
        "detail": verdict.detail,
        "retry_after_ms": verdict.retry_after_ms,
    }
    if verdict.recorded_status:
        body["recorded_status"] = verdict.recorded_status
    return web.json_response(body, status=verdict.status, headers=stated)
