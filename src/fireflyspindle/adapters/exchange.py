"""One caller's request on its way through a gate host."""

import asyncio
from collections.abc import AsyncIterator, Coroutine
from typing import TYPE_CHECKING, Any

from aiohttp import http
from aiohttp import streams
import attrs

from fireflyspindle import headers

if TYPE_CHECKING:
    from fireflyspindle.adapters import caller_connection
    from fireflyspindle.adapters import target_client

Work = Coroutine[Any, Any, None]


class UploadError(Exception):
    """The caller's body can't be carried to its end."""


@attrs.define(eq=False)
class Exchange:
    """What the shell holds for one call.

    Attributes:
        call_id: Number of the call.
        request_id: Id sent to the target and in log lines.
        message: Head of the caller's request.
        repeatable: Whether the request may run more than once.
        body: The body when it is held whole, otherwise None.
        payload: The body as it arrives, when it is not held.
        begun: Start of the body that was read before, when it is not held.
        body_limit_bytes: Largest body that is carried.
        caller: The caller's turn on its connection, until it is answered
            or gone.
        dialect: How callers and targets spell their headers.
        attempts: Attempts by number.
        too_large: Whether the body went over its limit on the way.
    """

    call_id: int
    request_id: str
    message: http.RawRequestMessage
    repeatable: bool
    body: bytes | None
    payload: streams.StreamReader
    body_limit_bytes: int
    caller: "caller_connection.PendingRequest | None"
    dialect: headers.Dialect = headers.OWN
    body_prefix: bytes = b""
    attempts: "dict[int, target_client.Attempt]" = attrs.field(factory=dict)
    too_large: bool = False

    @property
    def declares_body(self) -> bool:
        """Whether the request states a body, be it an empty one."""
        return self.message.chunked or "Content-Length" in self.message.headers

    @property
    def content_length(self) -> int | None:
        """Length of the body that the caller stated, in bytes."""
        text = self.message.headers.get("Content-Length")
        return int(text) if text is not None else None

    def abort_caller(self) -> None:
        """Closes the caller's connection, so that it sees the cut."""
        caller = self.caller
        self.caller = None
        if caller is not None:
            caller.abort()

    async def upload(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives.

        Raises:
            UploadError: The caller left, or the body is too large.
        """
        total_bytes = len(self.body_prefix)
        if self.body_prefix:
            yield self.body_prefix
        while True:
            try:
                data = await self.payload.readany()
            except asyncio.CancelledError:
                raise
            except Exception as error:
                raise UploadError(str(error)) from error
            if not data:
                return
            total_bytes += len(data)
            if total_bytes > self.body_limit_bytes:
                self.too_large = True
                raise UploadError("the body is too large")
            yield data
