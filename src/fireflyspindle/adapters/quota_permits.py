"""Requests for permits of quotas between gate hosts: server and client."""

import asyncio
from typing import Any, Protocol

import aiohttp
from aiohttp import web

from fireflyspindle.adapters import exchange
from fireflyspindle.core import events
from fireflyspindle.core import json_documents
from fireflyspindle.core.quotas import messages
from fireflyspindle.core.quotas import terms

PATH = "/quota-permits"
# Time for the whole exchange. Calls wait for it; a reader answers within
# milliseconds, and a call that waits 0.15 s can ask another one after it.
TIMEOUT_S = 0.1
# Time for which a late answer is of use: the longest validity of a permit.
MAX_ANSWER_S = terms.MAX_VALID_S
# Time for which an idle connection to a reader is kept: longer than the pauses
# between the requests of most hosts, since a new connection costs a round trip.
KEEP_ALIVE_S = 30.0
# Largest number of permits that a message may state.
MAX_PERMITS = 1_000_000


class Shell(Protocol):
    """What this adapter needs of the shell."""

    def now_us(self) -> int:
        """Returns the monotonic time."""

    def submit(self, event: events.Event) -> None:
        """Feeds an event to the reducer."""

    def spawn(self, work: exchange.Work) -> asyncio.Task[None]:
        """Starts a task."""


class QuotaPermits:
    """Asks readers for permits, and answers other hosts on a reader.

    Args:
        shell: Shell that the events are submitted to.
    """

    def __init__(self, shell: Shell) -> None:
        self._shell = shell
        self._session: aiohttp.ClientSession | None = None
        self._last_request_id = 0
        self._unanswered: dict[int, asyncio.Future[messages.Grant | None]] = {}

    def routes(self) -> list[web.RouteDef]:
        """Returns the route of requests for permits."""
        return [web.post(PATH, self._on_request)]

    def execute_effect(
        self,
        effect: messages.RequestQuotaPermits | messages.AnswerQuotaRequest,
    ) -> None:
        """Executes one effect."""
        match effect:
            case messages.RequestQuotaPermits():
                self._shell.spawn(self._request(effect))
            case messages.AnswerQuotaRequest(request_id, grant):
                future = self._unanswered.get(request_id)
                if future is not None and not future.done():
                    future.set_result(grant)

    async def close(self) -> None:
        """Closes every connection to readers."""
        if self._session is not None:
            await self._session.close()

    async def _on_request(self, request: web.Request) -> web.Response:
        try:
            content = _object(await request.json())
            wanted = _counts(content.get("wanted", {}))
            ahead = _counts(content.get("ahead", {}))
        except json_documents.DECODE_ERRORS as error:
            return web.json_response({"error": str(error)}, status=400)
        self._last_request_id += 1
        request_id = self._last_request_id
        future: asyncio.Future[messages.Grant | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._unanswered[request_id] = future
        try:
            self._shell.submit(
                messages.QuotaPermitsRequested(
                    self._shell.now_us(), request_id, wanted, ahead
                )
            )
            grant = await asyncio.wait_for(future, TIMEOUT_S)
        except TimeoutError:
            grant = None
        finally:
            del self._unanswered[request_id]
        if grant is None:
            return web.json_response(
                {"error": "this host grants no permits"}, status=503
            )
        return web.json_response(
            {
                "granted": grant.granted,
                "valid-ms": grant.valid_ms,
                "retry-after-ms": grant.retry_after_ms,
            }
        )

    async def _request(self, effect: messages.RequestQuotaPermits) -> None:
        content: dict[str, Any] = {
            "version": effect.version,
            "wanted": effect.wanted,
        }
        if effect.ahead:
            content["ahead"] = effect.ahead
        task = asyncio.create_task(self._exchange(effect.reader, content))
        try:
            await asyncio.wait({task}, timeout=TIMEOUT_S)
            if not task.done():
                reason = f"no answer in {TIMEOUT_S * 1000:.0f} ms"
                self._submit_failure(effect, reason)
                await asyncio.wait({task}, timeout=MAX_ANSWER_S - TIMEOUT_S)
            if task.done():
                self._submit_answer(effect, task)
        finally:
            task.cancel()

    def _submit_answer(
        self,
        effect: messages.RequestQuotaPermits,
        task: asyncio.Task[messages.Grant],
    ) -> None:
        """Submits the outcome of an exchange that has ended."""
        reason, unsupported = "", False
        try:
            grant = task.result()
        except aiohttp.ClientResponseError as error:
            reason, unsupported = f"status {error.status}", error.status == 404
        except (
            aiohttp.ClientError,
            OSError,
            ValueError,
            TypeError,
            LookupError,
            RecursionError,
        ) as error:
            reason = f"{type(error).__name__}: {error}"
        if reason:
            self._submit_failure(effect, reason, unsupported)
            return
        self._shell.submit(
            messages.QuotaPermitsReceived(
                self._shell.now_us(), effect.reader, effect.request_id, grant
            )
        )

    def _submit_failure(
        self,
        effect: messages.RequestQuotaPermits,
        reason: str,
        unsupported: bool = False,
    ) -> None:
        self._shell.submit(
            messages.QuotaRequestFailed(
                self._shell.now_us(),
                effect.reader,
                effect.request_id,
                reason,
                unsupported,
            )
        )

    async def _exchange(
        self, reader: str, content: dict[str, Any]
    ) -> messages.Grant:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(keepalive_timeout=KEEP_ALIVE_S),
                cookie_jar=aiohttp.DummyCookieJar(),
                skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
                raise_for_status=True,
            )
        async with self._session.post(
            f"http://{reader}{PATH}", json=content
        ) as response:
            reply = _object(await response.json())
            return messages.Grant(
                _counts(reply.get("granted", {})),
                _counts(reply.get("valid-ms", {})),
                _counts(reply.get("retry-after-ms", {})),
            )


def _object(value: Any) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise TypeError(f"found {value!r}; give an object")
    return value


def _counts(value: Any) -> dict[str, int]:
    """Returns an object of numbers, each from 0 to `MAX_PERMITS`.

    Raises:
        TypeError: A member has another type.
        ValueError: A number is out of bounds.
    """
    for name, count in _object(value).items():
        if isinstance(count, bool) or not isinstance(count, int):
            raise TypeError(f"{name}: found {count!r}; give a number")
        if not 0 <= count <= MAX_PERMITS:
            raise ValueError(f"{name}: found {count}; out of bounds")
    return dict(value)
