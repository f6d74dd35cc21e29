"""A bounded queue of calls, fair between tenants and their classes.

Tenants take turns by weight, and so do the classes of one tenant (deficit
round robin: Shreedhar and Varghese, 1996; each call costs one). When the
queue is full, the newest call of the longest line gives way.
"""

import collections
from collections.abc import Callable

import attrs


@attrs.define
class Turns:
    """Weighted turns between names that have something waiting."""

    _order: collections.deque[str] = attrs.field(factory=collections.deque)
    _credits: dict[str, int] = attrs.field(factory=dict)

    def add(self, name: str) -> None:
        """Puts a name at the end of the round."""
        if name not in self._credits:
            self._credits[name] = 0
            self._order.append(name)

    def remove(self, name: str) -> None:
        """Takes a name out of the round; its credit is lost."""
        del self._credits[name]
        self._order.remove(name)

    def next(
        self,
        weight_of: Callable[[str], int],
        may_go: Callable[[str], bool],
    ) -> str | None:
        """Returns whose turn it is and charges one, or None if nobody's."""
        for _ in range(len(self._order)):
            name = self._order[0]
            if not may_go(name):
                self._order.rotate(-1)
                continue
            if self._credits[name] < 1:
                self._credits[name] += weight_of(name)
            self._credits[name] -= 1
            if self._credits[name] < 1:
                self._order.rotate(-1)
            return name
        return None


@attrs.define
class Line:
    """The waiting calls of one tenant, by class and in order of arrival."""

    classes: dict[str, dict[int, None]] = attrs.field(factory=dict)
    turns: Turns = attrs.field(factory=Turns)
    size: int = 0


@attrs.define
class Place:
    """Where a call waits."""

    tenant: str
    traffic_class: str


@attrs.define
class FairQueue:
    """Waiting calls by number.

    Attributes:
        lines: Lines by tenant; empty ones are dropped.
    """

    lines: dict[str, Line] = attrs.field(factory=dict)
    _turns: Turns = attrs.field(factory=Turns)
    _places: dict[int, Place] = attrs.field(factory=dict)

    def __len__(self) -> int:
        return len(self._places)

    def __contains__(self, call_id: int) -> bool:
        return call_id in self._places

    def add(self, call_id: int, tenant: str, traffic_class: str) -> None:
        """Puts a call at the end of its line."""
        line = self.lines.setdefault(tenant, Line())
        line.classes.setdefault(traffic_class, {})[call_id] = None
        line.turns.add(traffic_class)
        line.size += 1
        self._turns.add(tenant)
        self._places[call_id] = Place(tenant, traffic_class)

    def remove(self, call_id: int) -> bool:
        """Takes a call out of the queue; False if it did not wait."""
        place = self._places.pop(call_id, None)
        if place is None:
            return False
        line = self.lines[place.tenant]
        waiting = line.classes[place.traffic_class]
        del waiting[call_id]
        line.size -= 1
        if not waiting:
            del line.classes[place.traffic_class]
            line.turns.remove(place.traffic_class)
        if not line.size:
            del self.lines[place.tenant]
            self._turns.remove(place.tenant)
        return True

    def pop(
        self,
        tenant_weight: Callable[[str], int],
        class_weight: Callable[[str], int],
        may_go: Callable[[str], bool],
    ) -> int | None:
        """Takes out the call whose turn it is, if any tenant may go."""
        tenant = self._turns.next(tenant_weight, may_go)
        if tenant is None:
            return None
        line = self.lines[tenant]
        traffic_class = line.turns.next(class_weight, lambda _: True)
        assert traffic_class is not None
        call_id = next(iter(line.classes[traffic_class]))
        self.remove(call_id)
        return call_id

    def longest(self, tenant_weight: Callable[[str], int]) -> str:
        """Returns the tenant with the longest line for its weight."""
        return max(
            self.lines,
            key=lambda tenant: self.lines[tenant].size / tenant_weight(tenant),
        )

    def newest(self, tenant: str) -> int:
        """Returns the newest call in a tenant's line."""
        classes = self.lines[tenant].classes
        return max(next(reversed(waiting)) for waiting in classes.values())
