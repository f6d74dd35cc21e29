"""Hedges of a host on the platform: when one is due, probed for and sent.

Load pattern: a target turns slow or stops answering while it holds a request.
The request is late by the quantile of the service's answers, so that only the
slowest few in 100 requests are considered, whatever their target reported.
"""

from fireflyspindle.core import attempts
from fireflyspindle.core import effects
from fireflyspindle.core import placement
from fireflyspindle.core import retries
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import stop_limit
from fireflyspindle.core import targets
from fireflyspindle.core.hedges import budget as budget_lib
from fireflyspindle.core.hedges import checks
from fireflyspindle.core.hedges import hedge_state
from fireflyspindle.core.quotas import permits as quota_permits

# Minimum time between two log lines about one service, so that a load around
# the limit doesn't fill the log.
LOG_INTERVAL_US = 10_000_000


def is_limited(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> bool:
    """Whether the operator's limit governs the hedges of a service.

    This is so on the platform where the operator has set a limit above 0.
    """
    settings = state.settings.store
    return (
        settings is not None
        and settings.hedge_share > 0
        and service.resend_budget is not None
    )


def on_arrived(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> None:
    """Credits the budget of a service with one call."""
    _budget(state, service).earn(state.now_us, state.random)


def _budget(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> budget_lib.HedgeBudget:
    settings = state.settings.store
    assert settings is not None
    if service.hedges.budget is None:
        service.hedges.budget = budget_lib.new(
            settings.hedge_share,
            settings.resend_window_ms * 1000,
            state.now_us,
            state.random,
        )
    return service.hedges.budget


def on_due(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> None:
    """Sends a hedge or probes for it, if every check allows it."""
    cause = checks.call_refusal(state, service, call)
    _log_load(state, service, cause)
    if cause is None and not _budget(state, service).allows(state.now_us):
        cause = hedge_state.Cause.HEDGE_BUDGET
    if cause is not None:
        refuse(state, call, cause)
        return
    target = checks.find_target(state, service, call)
    if target is None and not service.probes_before_send:
        refuse(state, call, checks.no_target_cause(state, service, call))
        return
    if not retries.charge_budget(state, service):
        refuse(state, call, hedge_state.Cause.RESEND_BUDGET)
        return
    _budget(state, service).spend(state.now_us)
    if target is not None:
        _send(state, service, call, target)
    elif placement.probe_targets(state, service, call):
        call.hedge_charged = True
    else:
        _withdraw(
            state, service, call, checks.no_target_cause(state, service, call)
        )


def on_probed(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> bool:
    """Sends the hedge that a probe round was for, after all checks again.

    Returns:
        Whether the call needs nothing else: False if its first attempt has
        failed meanwhile, so that the probe round is one of a retry.
    """
    call.hedge_charged = False
    if not call.attempts and call.phase is state_lib.CallPhase.WAITING:
        # The retry uses the send that was charged to the resend budget.
        _budget(state, service).refund()
        return False
    cause = checks.call_refusal(state, service, call)
    target = None
    if cause is None:
        target = checks.find_target(state, service, call)
        if target is None:
            cause = checks.no_target_cause(state, service, call)
    if target is not None:
        _send(state, service, call, target)
    elif cause is not None:
        _withdraw(state, service, call, cause)
    return call.phase is state_lib.CallPhase.WAITING


def _send(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
    target: targets.Target,
) -> None:
    """Sends a hedge unless the end of a stop or the quota forbids it."""
    if not stop_limit.may_send(state, call, target):
        _withdraw(state, service, call, hedge_state.Cause.STOPPING)
        return
    if not quota_permits.take_for_hedge(state, call):
        _withdraw(state, service, call, hedge_state.Cause.QUOTA)
        return
    attempts.begin(state, call, target)
    mark_sent(state, call)


def mark_sent(state: state_lib.GateState, call: state_lib.Call) -> None:
    """Counts the latest attempt of a call as a hedge."""
    call.attempts[call.sent_attempts].hedge = True
    state.hedges.sent += 1


def _withdraw(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
    cause: hedge_state.Cause,
) -> None:
    """Refuses a hedge that the budgets were charged for."""
    _budget(state, service).refund()
    if service.resend_budget is not None:
        service.resend_budget.refund()
    refuse(state, call, cause)


def refuse(
    state: state_lib.GateState,
    call: state_lib.Call,
    cause: hedge_state.Cause,
) -> None:
    """Counts a hedge that was due and is not sent."""
    state.hedges.refused[cause] += 1
    call.record_step(state.now_us, "hedge_refused", why=cause.value)


def _log_load(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    cause: hedge_state.Cause | None,
) -> None:
    """Logs that the load of a service stops its hedges, or no longer does."""
    hedges = service.hedges
    stopped = cause is hedge_state.Cause.LOAD
    if stopped == hedges.stopped_by_load or (cause is not None and not stopped):
        return
    if (
        hedges.logged_us is not None
        and state.now_us < hedges.logged_us + LOG_INTERVAL_US
    ):
        return
    hedges.stopped_by_load = stopped
    hedges.logged_us = state.now_us
    used = checks.used_share(service)
    detail = (
        f"{service.name}: {used:.0%} of the slots of its targets are in use"
    )
    if stopped:
        line = effects.WriteLogLine("info", "hedging_stopped", detail)
    else:
        line = effects.WriteLogLine("info", "hedging_resumed", detail)
    state.emit(line)
