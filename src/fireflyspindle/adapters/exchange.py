"""State of one request while it passes through a gate host."""

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import TYPE_CHECKING, Any

from aiohttp import http
from aiohttp import streams
import attrs

from fireflyspindle import headers

if TYPE_CHECKING:
    from fireflyspindle.adapters import pending_request
    from fireflyspindle.adapters import target_client

Work = Coroutine[Any, Any, None]

# Most bytes of a body that are read before they have been written.
STREAM_BYTES = 128 * 1024


def drop_frames(error: Exception) -> None:
    """Drops the references of an error to the frames that it passed.

    A body keeps the error that ended it, so that a frame that read the body
    would keep its data, its head and its call until a garbage collection.
    """
    error.__traceback__ = None


class UploadError(Exception):
    """The caller's body can't be forwarded completely."""


@attrs.define(eq=False)
class Exchange:
    """State that the shell keeps for one call.

    Attributes:
        call_id: Number of the call.
        request_id: Id sent to the target and in log lines.
        message: Head of the caller's request.
        repeatable: Whether the request may run more than once.
        body: The complete body when it is buffered, otherwise None.
        payload: The body as it arrives, when it is streamed.
        body_prefix: Bytes of a streamed body that were read before the call
            was opened.
        body_limit_bytes: Largest body that is forwarded.
        body_limit_is_current: Returns whether no newer configuration can have
            raised that limit.
        caller: The request on the caller's connection; None once it has been
            answered or the caller has disconnected.
        header_profile: Header names used by callers and targets.
        attempts: Attempts by number.
        too_large: Whether a streamed body exceeded its limit.
        relayed: Whether another gate host relayed the call.
        fingerprint: Fingerprint of the request; empty if its body is streamed.
        head_bytes: Memory that the head and the call take.
    """

    call_id: int
    request_id: str
    message: http.RawRequestMessage
    repeatable: bool
    body: bytes | None
    payload: streams.StreamReader
    body_limit_bytes: int
    caller: "pending_request.PendingRequest | None"
    header_profile: headers.HeaderProfile = headers.DEFAULT_PROFILE
    body_prefix: bytes = b""
    attempts: "dict[int, target_client.Attempt]" = attrs.field(factory=dict)
    too_large: bool = False
    body_limit_is_current: Callable[[], bool] = lambda: True
    relayed: bool = False
    fingerprint: str = ""
    head_bytes: int = 0

    @property
    def held_bytes(self) -> int:
        """Memory that the call takes, beside the caller's connection."""
        held_bytes = self.head_bytes
        if self.body is None:
            held_bytes += len(self.body_prefix) + STREAM_BYTES
        else:
            # Until it has been sent there is a second copy.
            held_bytes += len(self.body) * (2 if self.attempts else 1)
        relaying = any(attempt.relaying for attempt in self.attempts.values())
        return held_bytes + (STREAM_BYTES if relaying else 0)

    @property
    def declares_body(self) -> bool:
        """Whether the request declares a body, even an empty one."""
        return self.message.chunked or "Content-Length" in self.message.headers

    @property
    def content_length(self) -> int | None:
        """The Content-Length of the request in bytes, or None."""
        text = self.message.headers.get("Content-Length")
        return int(text) if text is not None else None

    async def upload(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives.

        Raises:
            UploadError: The caller disconnected, or the body is too large.
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
                drop_frames(error)
                raise UploadError(str(error)) from None
            if not data:
                return
            total_bytes += len(data)
            if total_bytes > self.body_limit_bytes:
                self.too_large = True
                raise UploadError("the body is too large")
            yield data
