"""Permits that a host holds: taking, returning, and the check before a send."""

from fireflyspindle.core import effects
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import timers
from fireflyspindle.core.quotas import quota_state


def is_limited(state: state_lib.GateState, call: state_lib.Call) -> bool:
    """Whether a call needs a permit of its organisation's quota.

    A call that another host relayed has taken its permit there.
    """
    return not call.relayed and call.tenant in state.quotas.limited


def take(state: state_lib.GateState, call: state_lib.Call) -> bool:
    """Takes a permit for a call, if this host holds one that is valid."""
    permit = _pop(state, call.tenant)
    if permit is None:
        return False
    state.quotas.permits_by_call[call.call_id] = permit
    return True


def take_for_hedge(state: state_lib.GateState, call: state_lib.Call) -> bool:
    """Takes a permit for an additional attempt of a call, if there is one.

    Only permits that no call waits for are taken, and none is requested. A
    hedge of a relayed call needs one too, since its own permit covers one run.

    Returns:
        Whether the attempt may be sent.
    """
    quota = state.quotas.limited.get(call.tenant)
    if quota is None:
        return True
    if quota.waiting or _pop(state, call.tenant) is None:
        return False
    state.quotas.counters["hedge"] += 1
    return True


def add(
    state: state_lib.GateState,
    quota: quota_state.OrganisationQuota,
    count: int,
    expires_us: int,
) -> None:
    """Adds permits to those that this host holds, unless they have expired."""
    if expires_us <= state.now_us:
        state.quotas.counters["late"] += count
        return
    permit = quota_state.Permit(quota.name, expires_us)
    quota.permits.extend([permit] * count)
    quota.permits.sort(key=lambda each: each.expires_us)


def drop_expired(
    state: state_lib.GateState, quota: quota_state.OrganisationQuota
) -> None:
    """Drops permits that have expired, also while this host was suspended."""
    while quota.permits and quota.permits[0].expires_us <= state.now_us:
        quota.permits.pop(0)
        state.quotas.counters["expired"] += 1


def may_send(state: state_lib.GateState, call: state_lib.Call) -> bool:
    """Whether the permit of a call that has not run is still valid.

    The permit of a call that waited, or of a suspended host, may have expired.
    It is replaced if this host holds another.
    """
    permit = state.quotas.permits_by_call.get(call.call_id)
    if permit is None or permit.expires_us > state.now_us:
        return True
    if call.attempts or call.may_have_run:
        # It took its place in the window when it was sent first.
        return True
    if permit.organisation not in state.quotas.limited:
        return True
    state.quotas.counters["expired"] += 1
    return take(state, call)


def may_send_attempt(
    state: state_lib.GateState, call: state_lib.Call, now_us: int
) -> bool:
    """Whether the only attempt of a call may be sent after a wait to connect.

    Args:
        state: State of the gate host.
        call: A call with an attempt that has not been sent.
        now_us: Monotonic time, which may be later than that of the last event.
    """
    permit = state.quotas.permits_by_call.get(call.call_id)
    if permit is None or permit.expires_us > now_us:
        return True
    if len(call.attempts) > 1 or call.may_have_run:
        return True
    return permit.organisation not in state.quotas.limited


def on_call_ended(state: state_lib.GateState, call: state_lib.Call) -> None:
    """Returns the permit of a call that certainly has not run."""
    quotas = state.quotas
    permit = quotas.permits_by_call.pop(call.call_id, None)
    quota = quotas.limited.get(call.tenant)
    if quota is None:
        return
    quota.waiting.pop(call.call_id, None)
    if permit is None or call.outcome is not effects.Outcome.NOT_RUN:
        return
    if permit.expires_us <= state.now_us:
        return
    quotas.counters["returned"] += 1
    add(state, quota, 1, permit.expires_us)
    if quota.waiting:
        schedule_check(state, state.now_us)


def schedule_check(state: state_lib.GateState, at_us: int) -> None:
    """Schedules a check of waiting calls, unless an earlier one is."""
    due_us = state.quotas.check_due_us
    if due_us is None or at_us < due_us:
        state.quotas.check_due_us = at_us
        state.timers.add(at_us, timers.QuotaCheckDue())


def _pop(
    state: state_lib.GateState, organisation: str
) -> quota_state.Permit | None:
    quota = state.quotas.limited[organisation]
    drop_expired(state, quota)
    return quota.permits.pop(0) if quota.permits else None
