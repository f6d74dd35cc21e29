"""One account of the memory that callers make a gate host hold."""

from collections.abc import Hashable

from fireflyspindle.core import caller_budget


class CallerAccount:
    """Sums what connections and calls hold.

    Attributes:
        budget: Limits on the sum.
        total_bytes: The sum.
    """

    def __init__(self, budget: caller_budget.CallerBudget) -> None:
        self.budget = budget
        self.total_bytes = 0
        self._held: dict[Hashable, int] = {}

    def set(self, holder: Hashable, held_bytes: int) -> None:
        """Replaces what a connection or call holds."""
        self.total_bytes += held_bytes - self._held.get(holder, 0)
        self._held[holder] = held_bytes

    def drop(self, holder: Hashable) -> None:
        """Removes a connection or call, if it is known."""
        self.total_bytes -= self._held.pop(holder, 0)

    def held_bytes(self, holder: Hashable) -> int:
        """Returns what a connection or call holds."""
        return self._held.get(holder, 0)

    def excess_bytes(self, holder: Hashable, more_bytes: int = 0) -> int:
        """Returns by how much the sum exceeds the limit for a holder.

        Args:
            holder: A connection or call.
            more_bytes: Memory that it would hold in addition.
        """
        held_bytes = self.held_bytes(holder) + more_bytes
        limit_bytes = self.budget.limit_bytes(held_bytes)
        return max(0, self.total_bytes + more_bytes - limit_bytes)
