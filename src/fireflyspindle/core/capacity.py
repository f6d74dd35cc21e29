"""Limits on the attempts of a service that a gate host has in flight.

The soft limit is this gate host's share of the slots: the service's slots
divided by the number of gate hosts. Above it, calls of a tenant that offers
well above its fair share of the calls are queued at the gate host, so that
other tenants do not wait behind them at the targets. The hard limit applies
to all tenants. The share of a tenant is measured by the calls of the last
seconds instead of those in flight, which fluctuate too much with only a few
slots per gate host.
"""

from fireflyspindle.core import limits
from fireflyspindle.core import records
from fireflyspindle.core import state as state_lib
from fireflyspindle.core.evacuation import domains as evacuation_domains

REFRESH_INTERVAL_US = 500_000
OFFERED_DECAY = 0.7
MIN_OFFERED = 0.5
MIN_OFFERED_TO_THROTTLE = 20.0
HARD_LIMIT_FACTOR = 16.0
MIN_HARD_LIMIT = 32
OVER_SHARE_FACTOR = 2.0
_DEFAULT_TENANT = records.Tenant()


def refresh(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> None:
    """Recomputes the limits, if they are due."""
    if state.now_us < service.capacity.refresh_at_us:
        return
    capacity = service.capacity
    capacity.refresh_at_us = state.now_us + REFRESH_INTERVAL_US
    slots = sum(
        target.spec.slots
        for target in service.targets.values()
        if evacuation_domains.takes_requests(state, target)
        and not target.ejected
    )
    share = max(1.0, slots / limits.fleet_size(state))
    capacity.soft_limit = share
    capacity.hard_limit = max(MIN_HARD_LIMIT, HARD_LIMIT_FACTOR * share)
    _decay_offered(state, service)


def _decay_offered(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> None:
    """Decays the counts of recently offered calls."""
    capacity = service.capacity
    offered = service.offered_by_tenant
    for name in list(offered):
        offered[name] *= OFFERED_DECAY
        if offered[name] < MIN_OFFERED:
            del offered[name]
            capacity.over_share_tenants.discard(name)
    capacity.total_offered = sum(offered.values())
    capacity.total_weight = sum(tenant_weight(state, name) for name in offered)


def on_offered(
    state: state_lib.GateState, service: state_lib.ServiceState, tenant: str
) -> None:
    """Counts an offered call; updates whether its tenant is over its share."""
    capacity = service.capacity
    weight = tenant_weight(state, tenant)
    if tenant not in service.offered_by_tenant:
        service.offered_by_tenant[tenant] = 0.0
        capacity.total_weight += weight
    service.offered_by_tenant[tenant] += 1.0
    capacity.total_offered += 1.0
    share = service.offered_by_tenant[tenant] / capacity.total_offered
    limit = OVER_SHARE_FACTOR * weight / capacity.total_weight
    if capacity.total_offered >= MIN_OFFERED_TO_THROTTLE and share > limit:
        capacity.over_share_tenants.add(tenant)
    else:
        capacity.over_share_tenants.discard(tenant)
    refresh(state, service)


def admits(service: state_lib.ServiceState, tenant: str) -> bool:
    """Whether a call of a tenant may be sent at once."""
    capacity = service.capacity
    if service.in_flight < capacity.soft_limit:
        return True
    if service.in_flight >= capacity.hard_limit:
        return False
    return tenant not in capacity.over_share_tenants


def on_call_ended(state: state_lib.GateState, call: state_lib.Call) -> None:
    """Removes an ended call from the counts and queues."""
    limits.release(state, call)
    service = state.services.get(call.service)
    if service is not None:
        service.queue.remove(call.call_id)
        service.waiting_calls.pop(call.call_id, None)


def on_attempt_begun(
    service: state_lib.ServiceState, call: state_lib.Call
) -> None:
    """Counts an attempt that begins."""
    service.in_flight += 1
    service.in_flight_by_tenant[call.tenant] = (
        service.in_flight_by_tenant.get(call.tenant, 0) + 1
    )


def on_attempt_ended(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> None:
    """Stops counting an attempt that has ended."""
    service.in_flight -= 1
    service.in_flight_by_tenant[call.tenant] -= 1
    if not service.in_flight_by_tenant[call.tenant]:
        del service.in_flight_by_tenant[call.tenant]
    if len(service.queue) or service.waiting_calls:
        state.services_with_capacity.append(service.name)


def tenant_weight(state: state_lib.GateState, tenant: str) -> int:
    """Returns the weight of a tenant."""
    tenant_record = state.configuration.tenants.get(tenant, _DEFAULT_TENANT)
    return tenant_record.weight


def class_weight(state: state_lib.GateState, traffic_class: str) -> int:
    """Returns the weight of a class."""
    class_record = state.configuration.classes.get(traffic_class)
    return class_record.weight if class_record is not None else 1


def estimated_wait_us(
    state: state_lib.GateState, service: state_lib.ServiceState, tenant: str
) -> int:
    """Estimates the wait of a further call of a tenant, in microseconds."""
    tenant_queue = service.queue.tenant_queues.get(tenant)
    ahead = tenant_queue.size if tenant_queue is not None else 0
    share = tenant_weight(state, tenant) / max(1, service.capacity.total_weight)
    completions_per_us = max(1, service.in_flight) / max(
        1.0, service.latency_us
    )
    return int((ahead + 1) / (completions_per_us * share))
