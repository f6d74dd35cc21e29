"""A queue of calls, fair between tenants and their classes.

Tenants are served by weighted round robin, and so are the classes of one
tenant (deficit round robin: Shreedhar and Varghese, 1996; each call costs
one). `admission` bounds the length of the queue: when it is full, the newest
call of the longest tenant queue is refused.
"""

import collections
from collections.abc import Callable

import attrs


@attrs.define
class WeightedRoundRobin:
    """Weighted round robin over the names that have calls waiting."""

    _order: collections.deque[str] = attrs.field(factory=collections.deque)
    _credits: dict[str, int] = attrs.field(factory=dict)

    def add(self, name: str) -> None:
        """Adds a name at the end of the rotation."""
        if name not in self._credits:
            self._credits[name] = 0
            self._order.append(name)

    def remove(self, name: str) -> None:
        """Removes a name and its credit from the rotation."""
        del self._credits[name]
        self._order.remove(name)

    def next(
        self,
        weight_of: Callable[[str], int],
        may_send: Callable[[str], bool],
    ) -> str | None:
        """Returns the next name that may send and charges it, or None."""
        for _ in range(len(self._order)):
            name = self._order[0]
            if not may_send(name):
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
class TenantQueue:
    """Waiting calls of one tenant, by class and in order of arrival."""

    classes: dict[str, dict[int, None]] = attrs.field(factory=dict)
    rotation: WeightedRoundRobin = attrs.field(factory=WeightedRoundRobin)
    size: int = 0


@attrs.define
class QueuePosition:
    """Tenant and class under which a call waits."""

    tenant: str
    traffic_class: str


@attrs.define
class FairQueue:
    """Queue of call numbers, fair between tenants and their classes.

    Attributes:
        tenant_queues: Queues by tenant; empty ones are removed.
    """

    tenant_queues: dict[str, TenantQueue] = attrs.field(factory=dict)
    _tenant_rotation: WeightedRoundRobin = attrs.field(
        factory=WeightedRoundRobin
    )
    _positions: dict[int, QueuePosition] = attrs.field(factory=dict)

    def __len__(self) -> int:
        return len(self._positions)

    def __contains__(self, call_id: int) -> bool:
        return call_id in self._positions

    def add(self, call_id: int, tenant: str, traffic_class: str) -> None:
        """Adds a call at the end of its tenant's queue for its class."""
        tenant_queue = self.tenant_queues.setdefault(tenant, TenantQueue())
        tenant_queue.classes.setdefault(traffic_class, {})[call_id] = None
        tenant_queue.rotation.add(traffic_class)
        tenant_queue.size += 1
        self._tenant_rotation.add(tenant)
        self._positions[call_id] = QueuePosition(tenant, traffic_class)

    def remove(self, call_id: int) -> bool:
        """Removes a call from the queue; False if it was not queued."""
        position = self._positions.pop(call_id, None)
        if position is None:
            return False
        tenant_queue = self.tenant_queues[position.tenant]
        waiting = tenant_queue.classes[position.traffic_class]
        del waiting[call_id]
        tenant_queue.size -= 1
        if not waiting:
            del tenant_queue.classes[position.traffic_class]
            tenant_queue.rotation.remove(position.traffic_class)
        if not tenant_queue.size:
            del self.tenant_queues[position.tenant]
            self._tenant_rotation.remove(position.tenant)
        return True

    def pop(
        self,
        tenant_weight: Callable[[str], int],
        class_weight: Callable[[str], int],
        may_send: Callable[[str], bool],
    ) -> int | None:
        """Removes and returns the next call, or None if no tenant may send."""
        tenant = self._tenant_rotation.next(tenant_weight, may_send)
        if tenant is None:
            return None
        tenant_queue = self.tenant_queues[tenant]
        traffic_class = tenant_queue.rotation.next(class_weight, lambda _: True)
        assert traffic_class is not None
        call_id = next(iter(tenant_queue.classes[traffic_class]))
        self.remove(call_id)
        return call_id

    def longest_queue_tenant(self, tenant_weight: Callable[[str], int]) -> str:
        """Returns the tenant with the longest queue relative to its weight."""
        return max(
            self.tenant_queues,
            key=lambda tenant: (
                self.tenant_queues[tenant].size / tenant_weight(tenant)
            ),
        )

    def newest_call(self, tenant: str) -> int:
        """Returns the newest call of a tenant's queue."""
        classes = self.tenant_queues[tenant].classes
        return max(next(reversed(waiting)) for waiting in classes.values())
