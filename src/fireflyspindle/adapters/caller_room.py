"""Makes room among the connections of callers, within the host's limits."""

import asyncio
import collections
from collections.abc import Callable
from typing import Protocol

from fireflyspindle import logs
from fireflyspindle.adapters import caller_account
from fireflyspindle.core import caller_budget

# Interval of searches for connections that can be closed, while there are none.
RECLAIM_INTERVAL_S = 0.05
# Interval of the log lines about closed connections.
LOG_INTERVAL_S = 1.0

MEMORY = "memory"
CONNECTIONS = "connections"


class Connection(Protocol):
    """The part of a connection that decides on the room it takes."""

    relays: bool

    def __hash__(self) -> int:
        """Returns a hash of the connection's identity."""

    @property
    def held_bytes(self) -> int:
        """Memory that the connection takes, beside that of its calls."""

    def waiting_s(self, now_s: float) -> float | None:
        """Returns how long the host has waited for the caller, if it does."""

    def give_up(self) -> None:
        """Closes the connection; refuses a request that is still being read."""

    def drop(self) -> None:
        """Closes the connection at once."""


class CallerRoom:
    """Closes connections that hold much, or are too many.

    Only those are closed whose callers the host waits for.

    Attributes:
        connections: Open connections.
        account: What connections and calls hold.
    """

    def __init__(
        self,
        budget: caller_budget.CallerBudget,
        on_closed: Callable[[str, int], None],
    ) -> None:
        """Initializes the room.

        Args:
            budget: Limits.
            on_closed: Counts closed connections, by reason.
        """
        self.connections: set[Connection] = set()
        self.account = caller_account.CallerAccount(budget)
        self._on_closed = on_closed
        # Number of connections by whether they are those of relaying hosts.
        self._counts = {False: 0, True: 0}
        self._reclaiming = False
        self._next_reclaim_s = 0.0
        # Closed connections by reason since the last log line.
        self._closed: collections.Counter[str] = collections.Counter()
        self._next_log_s = 0.0

    def add(self, connection: Connection) -> None:
        """Adds a connection; closes others if there are too many.

        Those go first whose callers the host has waited for longest; without
        any, the new one is closed.
        """
        relays = connection.relays
        self.connections.add(connection)
        self._counts[relays] += 1
        excess = self.account.budget.excess_connections(
            self._counts[relays], relays=relays
        )
        if not excess:
            return
        others = [
            holding
            for holding in self._holdings(excluded=connection)
            if holding.key.relays == relays
        ]
        chosen = caller_budget.to_free_connections(others, excess)
        chosen = chosen or [connection]
        for each in chosen:
            each.drop()
            self.remove(each)
        self._report(CONNECTIONS, len(chosen))

    def remove(self, connection: Connection) -> None:
        """Removes a connection, if it has not been removed yet."""
        if connection in self.connections:
            self.connections.remove(connection)
            self._counts[connection.relays] -= 1
        self.account.drop(connection)

    def update(self, connection: Connection) -> None:
        """Updates what a connection holds; closes some if that is too much."""
        self.account.set(connection, connection.held_bytes)
        excess_bytes = self.account.excess_bytes(connection)
        if excess_bytes:
            self._reclaim(excess_bytes)

    def make(self, connection: Connection, more_bytes: int) -> bool:
        """Returns whether a connection may hold more.

        Others are closed for it.
        """
        excess_bytes = self.account.excess_bytes(connection, more_bytes)
        if not excess_bytes:
            return True
        self._reclaim(excess_bytes, requester=connection)
        return not self.account.excess_bytes(connection, more_bytes)

    def _reclaim(
        self, excess_bytes: int, requester: Connection | None = None
    ) -> None:
        """Closes connections that hold much and don't advance."""
        now_s = asyncio.get_running_loop().time()
        if self._reclaiming or now_s < self._next_reclaim_s:
            return
        reserve_bytes = int(
            self.account.budget.memory_bytes * caller_budget.FREED_PART
        )
        chosen = caller_budget.to_free_memory(
            self._holdings(requester), excess_bytes + reserve_bytes
        )
        # Refusals are written, which updates what is held.
        self._reclaiming = True
        try:
            for connection in chosen:
                connection.give_up()
                self.account.drop(connection)
        finally:
            self._reclaiming = False
        if not chosen:
            self._next_reclaim_s = now_s + RECLAIM_INTERVAL_S
        self._report(MEMORY, len(chosen))

    def _holdings(
        self, excluded: Connection | None = None
    ) -> list[caller_budget.Holding[Connection]]:
        """Returns what is held for callers that the host waits for."""
        now_s = asyncio.get_running_loop().time()
        holdings = []
        for connection in self.connections:
            waiting_s = connection.waiting_s(now_s)
            if waiting_s is not None and connection is not excluded:
                held_bytes = self.account.held_bytes(connection)
                holdings.append(
                    caller_budget.Holding(connection, held_bytes, waiting_s)
                )
        return holdings

    def _report(self, reason: str, count: int) -> None:
        """Counts closed connections, and logs them once a second at most."""
        if not count:
            return
        self._on_closed(reason, count)
        self._closed[reason] += count
        now_s = asyncio.get_running_loop().time()
        if now_s < self._next_log_s:
            return
        self._next_log_s = now_s + LOG_INTERVAL_S
        logs.logger.warning(
            "connections of callers were closed to make room for others",
            code="callers_closed",
            for_memory=self._closed[MEMORY],
            for_connections=self._closed[CONNECTIONS],
            connections=len(self.connections),
            held_bytes=self.account.total_bytes,
            limit_bytes=self.account.budget.memory_bytes,
        )
        self._closed.clear()
