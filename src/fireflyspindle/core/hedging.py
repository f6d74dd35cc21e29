"""Hedges: a second attempt of a slow repeatable call, within a budget.

A call that takes longer than most calls of its service is also sent to a
second target, if that one is clearly less loaded. The first answer wins and
the other attempt is cancelled (Dean and Barroso, "The tail at scale", 2013).
A call that is slow because its own processing is long gains nothing from a
hedge, which doubles its cost; comparing the loads excludes most of these.
"""

from fireflyspindle.core import attempts
from fireflyspindle.core import forecast
from fireflyspindle.core import placement
from fireflyspindle.core import retries
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import stop_limit
from fireflyspindle.core import suspects
from fireflyspindle.core import target_selection
from fireflyspindle.core import targets
from fireflyspindle.core import timers
from fireflyspindle.core.evacuation import domains
from fireflyspindle.core.hedges import hedge_state
from fireflyspindle.core.hedges import sending
from fireflyspindle.core.quotas import permits as quota_permits

MIN_SAMPLES = 100
# Share of the calls considered for hedging, as a multiple of the hedge share.
CHECKED_SHARE_FACTOR = 2.0
# The same within an operator's limit on the platform, where no load difference
# excludes calls. With 2.0 a limit of 5 in 100 is spent on calls that are about
# to be answered: 0.18 of them win at a load of 0.3, against 0.40 with 1.0.
LIMITED_SHARE_FACTOR = 1.5
# Minimum load difference between the two targets, in attempts in flight.
MIN_LOAD_DIFFERENCE = 1.5
# Time without an answer after which a call is hedged, as a multiple of the
# usual processing time, whose standard deviation is 0.3 of its mean.
LATE_FACTOR = 1.5

# Time to the next check, as a share of the mean latency.
RECHECK_SHARE = 0.5


def on_arrived(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> None:
    """Credits the hedge budget of a service with one call."""
    policy = state.configuration.policy(service.name)
    service.hedge_budget.earn(policy.hedge_share)
    if sending.is_limited(state, service):
        sending.on_arrived(state, service)


def schedule(state: state_lib.GateState, call: state_lib.Call) -> None:
    """Arms the timer after which an unanswered call may be hedged."""
    if call.sent_attempts > 1:
        return
    service = state.services.get(call.service)
    if service is None:
        return
    if sending.is_limited(state, service):
        # All calls, so that refusals are counted by cause when they are due.
        _schedule_by_quantile(state, service, call, LIMITED_SHARE_FACTOR)
        return
    if not call.repeatable or not call.resendable:
        return
    if service.probes_before_send:
        _schedule_by_forecast(state, service, call)
        return
    _schedule_by_quantile(state, service, call, CHECKED_SHARE_FACTOR)


def _schedule_by_quantile(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
    share_factor: float,
) -> None:
    """Arms the timer for a quantile of the answers of the service.

    Args:
        state: State of the gate host.
        service: Service of the call.
        call: The call.
        share_factor: Share of the calls considered, as a multiple of the hedge
            share.
    """
    if service.load.latencies.samples < MIN_SAMPLES:
        return
    share = state.configuration.policy(service.name).hedge_share
    if share <= 0:
        return
    quantile = 1 - min(0.5, share * share_factor)
    delay_us = service.load.latencies.quantile_us(quantile)
    if state.now_us + delay_us < call.deadline_us:
        state.timers.add(state.now_us + delay_us, timers.HedgeDue(call.call_id))


def on_due(state: state_lib.GateState, call_id: int) -> None:
    """Hedges an unanswered call, if the budget allows it."""
    call = state.calls.get(call_id)
    if call is None or call.phase is not state_lib.CallPhase.WAITING:
        return
    service = state.services.get(call.service)
    if service is not None and sending.is_limited(state, service):
        sending.on_due(state, service, call)
        return
    if service is None or len(call.attempts) != 1 or call.sent_attempts != 1:
        return
    if not suspects.may_hedge(state, call):
        return
    target = target_selection.choose(state, service, call)
    if target is None:
        return
    if service.probes_before_send:
        _hedge_by_forecast(state, service, call)
        return
    slow_target = next(iter(call.attempts.values())).target
    load_difference = target_selection.expected_load(
        state, service, slow_target
    )
    load_difference -= target_selection.expected_load(state, service, target)
    if load_difference * slow_target.spec.slots < MIN_LOAD_DIFFERENCE:
        delay_us = int(service.load.mean_latency_us * RECHECK_SHARE)
        state.timers.add(state.now_us + delay_us, timers.HedgeDue(call_id))
        return
    _send_within_share(state, service, call, target)


def _send_within_share(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
    target: targets.Target,
) -> None:
    """Sends a hedge within the share of the service's policy."""
    if not domains.may_receive(state, target):
        sending.refuse(state, call, hedge_state.Cause.TARGET_EVACUATED)
    elif not stop_limit.may_send(state, call, target):
        sending.refuse(state, call, hedge_state.Cause.STOPPING)
    elif not service.hedge_budget.spend():
        sending.refuse(state, call, hedge_state.Cause.HEDGE_BUDGET)
    elif not quota_permits.take_for_hedge(state, call):
        sending.refuse(state, call, hedge_state.Cause.QUOTA)
    else:
        attempts.begin(state, call, target)
        sending.mark_sent(state, call)


def on_probed(
    state: state_lib.GateState,
    service: state_lib.ServiceState | None,
    call: state_lib.Call,
) -> bool:
    """Continues a call if its probe round was for a hedge; see `sending`."""
    if service is None or not call.hedge_charged:
        return False
    return sending.on_probed(state, service, call)


def _schedule_by_forecast(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> None:
    """Arms the timer that fires when the answer is later than expected.

    As the target's speed was known when the call was sent, a late answer means
    that the target has become slow or unresponsive since.
    """
    delay_us = int(LATE_FACTOR * forecast.processing_time_us(service, call))
    if state.now_us + delay_us < call.deadline_us:
        state.timers.add(state.now_us + delay_us, timers.HedgeDue(call.call_id))


def _hedge_by_forecast(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> None:
    if call.probe_round is not None or not retries.may_send_again(state, call):
        return
    if (
        state.now_us + forecast.processing_time_us(service, call)
        > call.deadline_us
    ):
        return
    if not service.waiting_calls and retries.charge_budget(state, service):
        placement.place(state, service, call)
