"""How many attempts of a service a gate host has in flight at once.

A gate host's share of the slots is the service's slots divided by the gate
hosts. Beyond that share a tenant that offers well above its part of the
calls waits at the gate host, so that the others do not wait behind it at the
targets. A wide limit binds everybody. Tenants are judged by the calls of the
last seconds, not by what is in flight: at a few slots a gate host, what is in
flight swings too much.
"""

from fireflyspindle.core import limits
from fireflyspindle.core import records
from fireflyspindle.core import state as state_lib

CHECK_US = 500_000
OFFERED_DECAY = 0.7
LEAST_OFFERED = 0.5
LEAST_JUDGED = 20.0
WIDE_FACTOR = 16.0
LEAST_WIDE = 32
OVERDRAWN_FACTOR = 2.0
_DEFAULT_TENANT = records.Tenant()


def refresh(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> None:
    """Works out the limits again, when they are due."""
    if state.now_us < service.capacity.check_us:
        return
    capacity = service.capacity
    capacity.check_us = state.now_us + CHECK_US
    slots = sum(
        target.spec.slots
        for target in service.targets.values()
        if not target.leaving and not target.ejected
    )
    share = max(1.0, slots / limits.fleet_size(state))
    capacity.narrow = share
    capacity.wide = max(LEAST_WIDE, WIDE_FACTOR * share)
    _fade(state, service)


def _fade(state: state_lib.GateState, service: state_lib.ServiceState) -> None:
    """Lets the calls offered lately fade."""
    capacity = service.capacity
    offered = service.offered
    for name in list(offered):
        offered[name] *= OFFERED_DECAY
        if offered[name] < LEAST_OFFERED:
            del offered[name]
            capacity.overdrawn.discard(name)
    capacity.offered = sum(offered.values())
    capacity.weights = sum(tenant_weight(state, name) for name in offered)


def on_offered(
    state: state_lib.GateState, service: state_lib.ServiceState, tenant: str
) -> None:
    """Counts a call that a tenant offers, and judges the tenant by it."""
    capacity = service.capacity
    weight = tenant_weight(state, tenant)
    if tenant not in service.offered:
        service.offered[tenant] = 0.0
        capacity.weights += weight
    service.offered[tenant] += 1.0
    capacity.offered += 1.0
    share = service.offered[tenant] / capacity.offered
    limit = OVERDRAWN_FACTOR * weight / capacity.weights
    if capacity.offered >= LEAST_JUDGED and share > limit:
        capacity.overdrawn.add(tenant)
    else:
        capacity.overdrawn.discard(tenant)
    refresh(state, service)


def admits(service: state_lib.ServiceState, tenant: str) -> bool:
    """Whether a call of a tenant may be sent at once."""
    capacity = service.capacity
    if service.in_flight < capacity.narrow:
        return True
    if service.in_flight >= capacity.wide:
        return False
    return tenant not in capacity.overdrawn


def on_call_ended(state: state_lib.GateState, call: state_lib.Call) -> None:
    """Takes a call that has ended out of the counts and the queue."""
    limits.uncount(state, call)
    service = state.services.get(call.service)
    if service is not None:
        service.queue.remove(call.call_id)
        service.room.pop(call.call_id, None)


def on_attempt_begun(
    service: state_lib.ServiceState, call: state_lib.Call
) -> None:
    """Counts an attempt that begins."""
    service.in_flight += 1
    service.tenants[call.tenant] = service.tenants.get(call.tenant, 0) + 1


def on_attempt_ended(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> None:
    """Counts an attempt that has ended."""
    service.in_flight -= 1
    service.tenants[call.tenant] -= 1
    if not service.tenants[call.tenant]:
        del service.tenants[call.tenant]
    if len(service.queue) or service.room:
        state.freed.append(service.name)


def tenant_weight(state: state_lib.GateState, tenant: str) -> int:
    """Returns the weight of a tenant."""
    found = state.configuration.tenants.get(tenant, _DEFAULT_TENANT)
    return found.weight


def class_weight(state: state_lib.GateState, traffic_class: str) -> int:
    """Returns the weight of a class."""
    found = state.configuration.classes.get(traffic_class)
    return found.weight if found is not None else 1


def wait_us(
    state: state_lib.GateState, service: state_lib.ServiceState, tenant: str
) -> int:
    """Estimates how long a further call of a tenant would wait."""
    line = service.queue.lines.get(tenant)
    ahead = line.size if line is not None else 0
    share = tenant_weight(state, tenant) / max(1, service.capacity.weights)
    per_us = max(1, service.in_flight) / max(1.0, service.latency_us)
    return int((ahead + 1) / (per_us * share))
