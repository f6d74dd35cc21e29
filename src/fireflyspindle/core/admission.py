"""Admission: whether a call is sent now, queued or refused."""

from fireflyspindle.core import answers
from fireflyspindle.core import capacity
from fireflyspindle.core import dispatch_queue
from fireflyspindle.core import limits
from fireflyspindle.core import placement
from fireflyspindle.core import reachability
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import target_limits
from fireflyspindle.core import timers


def submit(state: state_lib.GateState, call: state_lib.Call) -> None:
    """Sends, queues or refuses a call that has just arrived."""
    service = state.services.get(call.service)
    if service is None:
        answers.fail_call(
            state, call, 503, "no_target", "no target is available"
        )
        return
    exceeded = limits.check(state, call)
    if exceeded is not None:
        answers.fail_call(
            state,
            call,
            429,
            "over_limit",
            exceeded.detail,
            exceeded.retry_after_ms,
        )
        return
    limits.count_admitted(state, call)
    capacity.on_offered(state, service, call.tenant)
    tenant_queue = service.queue.tenant_queues.get(call.tenant)
    if tenant_queue is None and capacity.admits(service, call.tenant):
        _send(state, service, call)
        return
    _enqueue(state, service, call)


def send_queued(state: state_lib.GateState) -> None:
    """Sends the queued calls of services where attempts have ended."""
    while state.services_with_capacity:
        service = state.services.get(state.services_with_capacity.pop())
        if service is None:
            continue
        if len(service.queue):
            _send_from_queue(state, service)
        if service.waiting_calls:
            dispatch_queue.dispatch(state, service)


def on_queue_due(state: state_lib.GateState, call_id: int) -> None:
    """Refuses a queued call that can no longer be answered in time."""
    call = state.calls.get(call_id)
    service = state.services.get(call.service) if call is not None else None
    if call is None or service is None:
        return
    if service.queue.remove(call_id):
        _refuse_too_late(state, service, call)


def _send_from_queue(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> None:
    capacity.refresh(state, service)
    while True:
        call_id = service.queue.pop(
            lambda tenant: capacity.tenant_weight(state, tenant),
            lambda traffic_class: capacity.class_weight(state, traffic_class),
            lambda tenant: capacity.admits(service, tenant),
        )
        if call_id is None:
            return
        _send(state, service, state.calls[call_id])
        if call_id in service.queue:
            return


def _send(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> None:
    if _misses_deadline(state, service, call, 0):
        _refuse_too_late(state, service, call)
        return
    if placement.place(state, service, call):
        return
    if reachability.is_lost(state, service):
        placement.refuse_no_target(state, service, call)
        return
    if service.in_flight and _has_available_target(state, service):
        _enqueue(state, service, call)
        return
    placement.refuse_no_target(state, service, call)


def _enqueue(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> None:
    wait_us = capacity.estimated_wait_us(state, service, call.tenant)
    if _misses_deadline(state, service, call, wait_us):
        _refuse_too_late(state, service, call)
        return
    policy = state.configuration.policy(service.name)
    if len(service.queue) >= policy.max_queued_calls:
        if not _evict_for(state, service, call.tenant):
            _refuse_full(state, service, call)
            return
    service.queue.add(call.call_id, call.tenant, call.traffic_class)
    due_us = call.deadline_us - int(service.fast_latency_us)
    state.timers.add(due_us, timers.QueueWaitExpired(call.call_id))


def _evict_for(
    state: state_lib.GateState, service: state_lib.ServiceState, tenant: str
) -> bool:
    """Refuses the newest call of a tenant with a longer queue.

    Returns:
        Whether a call was refused; False if no tenant has a longer queue than
        `tenant` would have, relative to its weight.
    """
    queue = service.queue
    if not len(queue):
        return False

    def weight_of(name: str) -> int:
        return capacity.tenant_weight(state, name)

    longest_tenant = queue.longest_queue_tenant(weight_of)
    own_queue = queue.tenant_queues.get(tenant)
    own_size = (own_queue.size + 1 if own_queue else 1) / weight_of(tenant)
    if (
        queue.tenant_queues[longest_tenant].size / weight_of(longest_tenant)
        <= own_size
    ):
        return False
    call_id = queue.newest_call(longest_tenant)
    queue.remove(call_id)
    _refuse_full(state, service, state.calls[call_id])
    return True


def _misses_deadline(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
    wait_us: int,
) -> bool:
    """Whether even a fast answer would miss the deadline.

    With nothing in flight the call is sent anyway, so that an estimate that
    is too high is corrected.
    """
    if not service.in_flight:
        return False
    return state.now_us + wait_us + service.fast_latency_us > call.deadline_us


def _has_available_target(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> bool:
    return any(
        not target.leaving
        and not target.ejected
        and target_limits.may_send_soon(state, service, target)
        for target in service.targets.values()
    )


def _refuse_full(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> None:
    wait_us = capacity.estimated_wait_us(state, service, call.tenant)
    answers.fail_call(
        state,
        call,
        503,
        "queue_full",
        f"the queue of service {service.name!r} is full",
        answers.jittered_retry_after_ms(state, wait_us // 1000),
    )


def _refuse_too_late(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> None:
    left_ms = max(0, call.deadline_us - state.now_us) // 1000
    fast_ms = int(service.fast_latency_us) // 1000
    answers.fail_call(
        state,
        call,
        503,
        "too_late",
        f"{left_ms} ms to the deadline, but {len(service.queue)} calls are"
        f" queued and a fast answer takes {fast_ms} ms",
        answers.jittered_retry_after_ms(
            state,
            capacity.estimated_wait_us(state, service, call.tenant) // 1000,
        ),
    )
