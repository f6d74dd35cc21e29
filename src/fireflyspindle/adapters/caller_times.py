"""How long a host has waited for a caller, and when that is too long."""

import asyncio
import collections
from typing import Protocol

from fireflyspindle.adapters import head_limits as head_limits_lib
from fireflyspindle.adapters import pending_request
from fireflyspindle.adapters import send_queue

IDLE_LIMIT_S = 75.0
BODY_LIMIT_S = 30.0
LINGER_LIMIT_S = 2.0


class Limits(Protocol):
    """The configured time limits."""

    idle_limit_s: float
    head_limits: head_limits_lib.HeadLimits


class Connection(Protocol):
    """The part of a caller's connection that tells who waits for whom."""

    transport: asyncio.Transport | None
    pending: collections.deque[pending_request.PendingRequest]
    lingering: bool

    @property
    def is_idle(self) -> bool:
        """Whether the connection has no request in progress."""

    @property
    def reads(self) -> bool:
        """Whether bytes are parsed when they arrive."""


class CallerTimes:
    """Times of one connection, in seconds of its event loop.

    A stage is the time in which the host waits for the next request, or lingers
    after the last response.
    """

    def __init__(
        self, connection: Connection, limits: Limits, now_s: float
    ) -> None:
        self._connection = connection
        self._limits = limits
        self._received_s = now_s
        self._stage_started_s = now_s
        self._head_started_s: float | None = None
        # When written bytes began to wait for the caller; None if none do.
        self._unsent_since_s: float | None = None
        # Value when the time limit of a stage was last checked.
        self._undelivered_bytes = 0

    @property
    def in_head(self) -> bool:
        """Whether the received bytes end within a head."""
        return self._head_started_s is not None

    def on_received(self, now_s: float, in_head: bool) -> None:
        """Notes that bytes were received.

        Args:
            now_s: Current time.
            in_head: Whether the received bytes end within a head.
        """
        self._received_s = now_s
        if not in_head:
            self._head_started_s = None
        elif self._head_started_s is None:
            self._head_started_s = now_s

    def start_stage(self, now_s: float) -> None:
        """Notes that a stage starts."""
        self._stage_started_s = now_s

    def waiting_s(self, now_s: float) -> float | None:
        """Returns how long the host has waited for the caller.

        That is for the rest of a request, the receipt of a response or, on an
        idle connection, the next request; None while the caller waits.
        """
        connection = self._connection
        starts_s = []
        if self._has_unsent_bytes(now_s):
            starts_s.append(self._unsent_since_s or now_s)
        if connection.lingering or connection.is_idle:
            starts_s.append(self._head_started_s or self._stage_started_s)
        elif connection.pending and connection.reads:
            last = connection.pending[-1]
            if last.payload is not None and not last.payload.is_eof():
                starts_s.append(last.head_read_s)
        return now_s - min(starts_s) if starts_s else None

    def _has_unsent_bytes(self, now_s: float) -> bool:
        transport = self._connection.transport
        if transport is None or not transport.get_write_buffer_size():
            self._unsent_since_s = None
            return False
        if self._unsent_since_s is None:
            self._unsent_since_s = now_s
        return True

    def is_overdue(self, now_s: float) -> bool:
        """Whether the connection has exceeded the time limit of its stage."""
        connection = self._connection
        age_s = now_s - self._stage_started_s
        if connection.lingering:
            return age_s > LINGER_LIMIT_S and not self._is_delivering(now_s)
        for pending in connection.pending:
            if (
                pending.reading_body
                and now_s - pending.head_read_s > BODY_LIMIT_S
            ):
                return True
        if not connection.is_idle:
            return self._is_upload_silent(now_s)
        if self._head_started_s is not None:
            head_s = now_s - self._head_started_s
            if head_s > self._limits.head_limits.timeout_s:
                return True
        if age_s <= self._limits.idle_limit_s:
            return False
        return not self._is_delivering(now_s)

    def _is_upload_silent(self, now_s: float) -> bool:
        """Whether nothing more comes of a body whose call is at a target."""
        connection = self._connection
        if not connection.pending or not connection.reads:
            return False
        last = connection.pending[-1]
        if last.exchange is None or last.exchange.body is not None:
            return False
        if last.payload is None or last.payload.is_eof():
            return False
        silent_s = now_s - self._received_s
        return silent_s > self._limits.head_limits.timeout_s

    def _is_delivering(self, now_s: float) -> bool:
        """Starts the stage anew if the caller has received more responses."""
        transport = self._connection.transport
        if transport is None:
            return False
        undelivered_bytes = send_queue.undelivered_bytes(transport)
        if undelivered_bytes == self._undelivered_bytes:
            return False
        self._undelivered_bytes = undelivered_bytes
        self._stage_started_s = now_s
        return True
