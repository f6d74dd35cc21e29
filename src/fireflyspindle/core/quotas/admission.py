"""Admission of calls within the quotas of their organisations."""

from fireflyspindle.core import answers
from fireflyspindle.core import claims
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import forecast
from fireflyspindle.core import placement
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import timers
from fireflyspindle.core.quotas import fallback
from fireflyspindle.core.quotas import messages
from fireflyspindle.core.quotas import permits
from fireflyspindle.core.quotas import quota_state
from fireflyspindle.core.quotas import reader_requests

# Longest wait of a call for a permit: one request that times out (0.1 s) and
# one to another reader.
MAX_WAIT_US = 150_000
# Calls of one organisation that may wait for permits at one host. A host sees
# a few requests a second; more than this are a flood.
MAX_WAITING_CALLS = 500
# Minimum time between two log lines about refused calls of one organisation.
LOG_INTERVAL_US = 10_000_000
# Callers that are told the same time return over this period.
RETRY_SPREAD_US = 100_000
# Retry-After where no reader is known at all.
NO_READER_RETRY_US = 1_000_000


def admit(
    state: state_lib.GateState,
    call: state_lib.Call,
    event: events.CallArrived,
) -> None:
    """Admits a call, lets it wait for a permit of its quota, or refuses it.

    Load pattern: a host sees 2 to 7 requests a second of 73 organisations, so
    that most requests find no permit and one message brings theirs.
    """
    if not permits.is_limited(state, call):
        claims.admit_call(state, call, event)
        return
    quota = state.quotas.limited[call.tenant]
    reader_requests.count_request(state, quota)
    if not quota.waiting and permits.take(state, call):
        claims.admit_call(state, call, event)
        _progress(state, [quota.name])
        return
    _wait(state, quota, call, event)


def wait_again(state: state_lib.GateState, call: state_lib.Call) -> None:
    """Lets an admitted call wait for a permit that replaces an expired one."""
    call.probe_round = None
    _wait(state, state.quotas.limited[call.tenant], call, None)


def _wait(
    state: state_lib.GateState,
    quota: quota_state.OrganisationQuota,
    call: state_lib.Call,
    event: events.CallArrived | None,
) -> None:
    until_us = _wait_end_us(state, call)
    quota.waiting[call.call_id] = quota_state.WaitingCall(event, until_us)
    _progress(state, [quota.name])
    if call.call_id not in quota.waiting:
        return
    if len(quota.waiting) > MAX_WAITING_CALLS:
        _refuse_unavailable(state, quota, call.call_id)
        return
    call.record_step(
        state.now_us, "waits_for_permit", waiting=len(quota.waiting)
    )
    state.timers.add(until_us, timers.QuotaWaitExpired(call.call_id))


def _wait_end_us(state: state_lib.GateState, call: state_lib.Call) -> int:
    """Returns until when a call may wait and still be answered in time."""
    processing_us = 0
    service = state.services.get(call.service)
    if service is not None and service.probes_before_send:
        processing_us = int(forecast.processing_time_us(service, call))
    latest_us = call.deadline_us - processing_us
    return max(state.now_us, min(latest_us, state.now_us + MAX_WAIT_US))


def on_wait_expired(state: state_lib.GateState, call_id: int) -> None:
    """Refuses a call whose permit did not arrive in time."""
    call = state.calls.get(call_id)
    quota = state.quotas.limited.get(call.tenant) if call is not None else None
    waiting = quota.waiting.get(call_id) if quota is not None else None
    if quota is None or waiting is None or state.now_us < waiting.until_us:
        # An earlier wait of the call ended with a permit.
        return
    holds = reader_requests.holds(state, quota.name)
    if holds:
        _refuse_exceeded(state, quota, call_id, holds)
    else:
        _refuse_unavailable(state, quota, call_id)


def on_received(
    state: state_lib.GateState, event: messages.QuotaPermitsReceived
) -> None:
    """Handles a reader's reply."""
    if reader_requests.on_received(state, event):
        _progress(state, _waiting(state))


def on_failed(
    state: state_lib.GateState, event: messages.QuotaRequestFailed
) -> None:
    """Handles a request that a reader did not answer in time."""
    if reader_requests.on_failed(state, event):
        _progress(state, _waiting(state))


def on_check_due(state: state_lib.GateState) -> None:
    """Continues the calls that wait for a time or for a returned permit."""
    due_us = state.quotas.check_due_us
    if due_us is None or state.now_us < due_us:
        # Stale timer: an earlier check was scheduled after it and has run.
        return
    state.quotas.check_due_us = None
    _progress(state, _waiting(state))


def _waiting(state: state_lib.GateState) -> list[str]:
    """Returns the names of the organisations whose calls wait for permits."""
    return [
        name for name, quota in state.quotas.limited.items() if quota.waiting
    ]


def _progress(state: state_lib.GateState, names: list[str]) -> None:
    """Gives permits to waiting calls, requests more and refuses the rest."""
    limited = state.quotas.limited
    for name in names:
        _serve(state, limited[name])
    # A reader's own grants are applied at once, so that it may ask another
    # reader next. Each pass asks at least one reader or is the last one.
    for _ in range(2):
        reader_requests.send(state, names)
        for name in names:
            _serve(state, limited[name])
    for name in names:
        _settle(state, limited[name])


def _serve(
    state: state_lib.GateState, quota: quota_state.OrganisationQuota
) -> None:
    """Gives permits to waiting calls, oldest first."""
    while quota.waiting:
        call_id = next(iter(quota.waiting))
        if not permits.take(state, state.calls[call_id]):
            return
        _go_on(state, state.calls[call_id], quota.waiting.pop(call_id))


def _go_on(
    state: state_lib.GateState,
    call: state_lib.Call,
    waiting: quota_state.WaitingCall,
) -> None:
    """Admits a call that has its permit, or sends one admitted before."""
    if waiting.event is not None:
        claims.admit_call(state, call, waiting.event)
        return
    service = state.services.get(call.service)
    if service is None:
        answers.fail_call(
            state, call, 503, "no_target", "no target is available"
        )
    elif not placement.place(state, service, call):
        placement.refuse_no_target(state, service, call)


def release_all(
    state: state_lib.GateState, quota: quota_state.OrganisationQuota
) -> None:
    """Admits the waiting calls of an organisation without a limit any more."""
    waiting_calls, quota.waiting = quota.waiting, {}
    for call_id, waiting in waiting_calls.items():
        _go_on(state, state.calls[call_id], waiting)


def _settle(
    state: state_lib.GateState, quota: quota_state.OrganisationQuota
) -> None:
    """Decides about waiting calls that no reader can be asked for now."""
    if not quota.waiting or reader_requests.may_ask(state, quota.name):
        return
    holds = reader_requests.holds(state, quota.name)
    if not holds:
        fallback.accrue(state, quota)
        _serve(state, quota)
    missing = reader_requests.uncovered(state, quota)
    # The newest calls are those that no request in flight asks for.
    newest = list(quota.waiting)[len(quota.waiting) - max(0, missing) :]
    for call_id in newest:
        if not holds:
            _refuse_unavailable(state, quota, call_id)
        elif not _may_wait_for(quota.waiting[call_id], holds):
            _refuse_exceeded(state, quota, call_id, holds)
    if holds and quota.waiting:
        permits.schedule_check(state, min(hold.until_us for hold in holds))


def _may_wait_for(
    waiting: quota_state.WaitingCall, holds: list[quota_state.Hold]
) -> bool:
    """Whether a reader expects to have a permit while a call may wait."""
    return any(
        hold.retry_at_us is not None and hold.retry_at_us < waiting.until_us
        for hold in holds
    )


def _refuse_exceeded(
    state: state_lib.GateState,
    quota: quota_state.OrganisationQuota,
    call_id: int,
    holds: list[quota_state.Hold],
) -> None:
    """Refuses a call with the time at which a permit is expected."""
    state.quotas.counters["refused_exceeded"] += 1
    times_us = [hold.retry_at_us for hold in holds if hold.retry_at_us]
    wait_us = max(0, min(times_us) - state.now_us)
    detail = (
        f"the quota of {quota.requests_per_s:g} requests/s and a burst of"
        f" {quota.burst_requests:g} over all gate hosts is used up"
    )
    log_due_us = (quota.logged_us or 0) + LOG_INTERVAL_US
    if quota.logged_us is None or state.now_us >= log_due_us:
        quota.logged_us = state.now_us
        line = f"organisation {quota.name}: {detail}"
        state.emit(effects.WriteLogLine("info", "quota_exceeded", line))
    _refuse(state, call_id, 429, "quota_exceeded", detail, wait_us)


def _refuse_unavailable(
    state: state_lib.GateState,
    quota: quota_state.OrganisationQuota,
    call_id: int,
) -> None:
    """Refuses a call since no reader answers and the fallback is used up."""
    state.quotas.counters["refused_unavailable"] += 1
    wait_us = reader_requests.next_attempt_us(state) - state.now_us
    if not state.following.readers:
        wait_us = NO_READER_RETRY_US
    _refuse(
        state,
        call_id,
        503,
        "quota_unavailable",
        f"no reader granted a permit of the quota of {quota.name} in time",
        wait_us,
    )


def _refuse(
    state: state_lib.GateState,
    call_id: int,
    status: int,
    error: str,
    detail: str,
    wait_us: int,
) -> None:
    call = state.calls[call_id]
    spread_us = int(state.random.random() * RETRY_SPREAD_US)
    retry_after_ms = (wait_us + spread_us) // 1000 + 1
    answers.fail_call(state, call, status, error, detail, retry_after_ms)
