"""What a gate host may hold for callers, and whom it gives up first.

Callers decide how much they send, how many connections they open and when they
read their answers. The sum over all connections is bounded by the memory and
the descriptors of the host, since a limit on each form of request leaves the
next one.
"""

from collections.abc import Iterable
from typing import Generic, TypeVar

import attrs

# Parts of the host's memory: what callers may make it hold, and of this what
# connections with large holdings may, so that ordinary requests keep the rest.
# The other parts are for the program, its configuration and allocation losses.
CALLERS_PART = 0.25
LARGE_PART = 0.75
# Part of the callers' memory that one connection may use for requests behind
# one another, and for a body that is kept whole.
CONNECTION_PART = 1 / 16
# Holdings up to this size are small: an ordinary request.
SMALL_BYTES = 32 * 1024
# Part of the limit that is freed at once when it is exceeded.
FREED_PART = 1 / 8
# Part of the limit on connections that is closed at once when it is reached.
CLOSED_PART = 1 / 64
# Part of the callers' memory for bytes in sockets that have not been read, and
# the limits on the receive buffer of each connection.
RECEIVE_BUFFERS_PART = 1 / 4
MIN_RECEIVE_BUFFER_BYTES = 8 * 1024
MAX_RECEIVE_BUFFER_BYTES = 64 * 1024
# Most connections that wait to be accepted at one address; holds a burst of one
# or two seconds.
WAITING_CONNECTIONS = 1_024

# Descriptors that the platform reserves for files, and parts of the others: for
# callers and for gate hosts that relay calls. The rest is for targets, the
# store, the control address and readiness checks.
FILE_DESCRIPTORS = 200
CALLER_DESCRIPTORS_PART = 0.5
RELAY_DESCRIPTORS_PART = 0.2
MIN_CONNECTIONS = 16

# Sizes of objects: a connection with its parser, a request with its call, a
# line of a parsed head, and the copies of a head's bytes.
CONNECTION_BYTES = 8 * 1024
REQUEST_BYTES = 8 * 1024
HEAD_LINE_BYTES = 400
HEAD_COPIES = 3

_Key = TypeVar("_Key")


@attrs.define(frozen=True)
class CallerBudget:
    """Limits on what all callers make a gate host hold.

    Attributes:
        memory_bytes: Most memory.
        connections: Most connections of callers.
        relay_connections: Most connections of gate hosts that relay calls.
    """

    memory_bytes: int = 64 * 1024 * 1024
    connections: int = 1_900
    relay_connections: int = 760

    @property
    def connection_bytes(self) -> int:
        """Most memory for requests behind one another, or for a body."""
        return int(self.memory_bytes * CONNECTION_PART)

    @property
    def receive_buffer_bytes(self) -> int:
        """Size of the receive buffer of a connection.

        Connections have one while they wait to be accepted, too.
        """
        waiting = 2 * WAITING_CONNECTIONS
        connections = self.connections + self.relay_connections + waiting
        size_bytes = int(self.memory_bytes * RECEIVE_BUFFERS_PART / connections)
        return max(
            MIN_RECEIVE_BUFFER_BYTES, min(MAX_RECEIVE_BUFFER_BYTES, size_bytes)
        )

    def excess_connections(self, count: int, *, relays: bool) -> int:
        """Returns how many connections to close, of a number of one kind.

        Args:
            count: Number of connections.
            relays: Whether they are those of gate hosts that relay calls.
        """
        limit = self.relay_connections if relays else self.connections
        if count <= limit:
            return 0
        return count - limit + int(limit * CLOSED_PART)

    def limit_bytes(self, held_bytes: int) -> int:
        """Returns the sum up to which a holding of a size may grow."""
        if held_bytes <= SMALL_BYTES:
            return self.memory_bytes
        return int(self.memory_bytes * LARGE_PART)


def from_machine(memory_bytes: int, descriptors: int) -> CallerBudget:
    """Returns the limits of a host with so much memory and descriptors."""
    sockets = descriptors - FILE_DESCRIPTORS
    return CallerBudget(
        int(memory_bytes * CALLERS_PART),
        max(MIN_CONNECTIONS, int(sockets * CALLER_DESCRIPTORS_PART)),
        max(MIN_CONNECTIONS, int(sockets * RELAY_DESCRIPTORS_PART)),
    )


def head_bytes(head: bytes) -> int:
    """Returns the memory that a head takes once it is parsed."""
    return head.count(b"\n") * HEAD_LINE_BYTES + len(head) * HEAD_COPIES


@attrs.define(frozen=True)
class Holding(Generic[_Key]):
    """What a connection holds while the host waits for its caller.

    Attributes:
        key: The connection.
        held_bytes: Memory that closing it frees.
        waiting_s: Time for which the host has waited for the caller: to send
            the rest of a request, to receive an answer or to ask.
    """

    key: _Key
    held_bytes: int
    waiting_s: float


def to_free_memory(
    holdings: Iterable[Holding[_Key]], excess_bytes: int
) -> list[_Key]:
    """Returns the connections to close so that memory is freed.

    Those that hold much and have not advanced for long come first.

    Args:
        holdings: Connections whose callers the host waits for.
        excess_bytes: Memory to free.
    """
    ranked = sorted(
        holdings,
        key=lambda holding: holding.held_bytes * holding.waiting_s,
        reverse=True,
    )
    chosen = []
    for holding in ranked:
        if excess_bytes <= 0:
            break
        chosen.append(holding.key)
        excess_bytes -= holding.held_bytes
    return chosen


def to_free_connections(
    holdings: Iterable[Holding[_Key]], excess: int
) -> list[_Key]:
    """Returns the connections to close so that there is room for others.

    Args:
        holdings: Connections whose callers the host waits for.
        excess: Number of connections to close.
    """
    ranked = sorted(
        holdings, key=lambda holding: holding.waiting_s, reverse=True
    )
    return [holding.key for holding in ranked[:excess]]
