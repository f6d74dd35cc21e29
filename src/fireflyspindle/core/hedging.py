"""Hedges: a second attempt of a slow repeatable call, within a budget.

A call still waiting after most of its service's calls have their answer is
sent to a second target if that one is clearly less loaded; the first answer
wins and the other attempt is cancelled (Dean and Barroso, "The tail at
scale", 2013). A call that waits since its own work is long gains nothing from
a copy, which costs as much again; the comparison leaves most of these out.
"""

from fireflyspindle.core import attempts
from fireflyspindle.core import forecast
from fireflyspindle.core import placing
from fireflyspindle.core import retries
from fireflyspindle.core import routing
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import timers

LEAST_SAMPLES = 100
# Share of the calls that are looked at, in shares of the budget.
HEDGED_SHARE_AIM = 2.0
# Least advantage of the second target, in attempts in flight.
LEAST_GAIN = 1.5
# Time without an answer after which a call counts as late, as a multiple of
# the usual work; the users' work spreads by 0.3 of its mean.
LATE_FACTOR = 1.5

# Time to the next look, as a share of the typical time to an answer.
RECHECK_SHARE = 0.5


def on_arrived(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> None:
    """Credits the hedge budget of a service with one call."""
    policy = state.configuration.policy(service.name)
    service.hedge_budget.earn(policy.hedge_share)


def schedule(state: state_lib.GateState, call: state_lib.Call) -> None:
    """Sets the time at which a call that is not answered is hedged."""
    if not call.repeatable or not call.resendable or call.sent_attempts > 1:
        return
    service = state.services.get(call.service)
    if service is None:
        return
    if service.looks_ahead:
        _schedule_by_forecast(state, service, call)
        return
    if service.load.latencies.samples < LEAST_SAMPLES:
        return
    share = state.configuration.policy(service.name).hedge_share
    if share <= 0:
        return
    aim = 1 - min(0.5, share * HEDGED_SHARE_AIM)
    delay_us = service.load.latencies.quantile_us(aim)
    if state.now_us + delay_us < call.deadline_us:
        state.timers.add(state.now_us + delay_us, timers.HedgeDue(call.call_id))


def on_due(state: state_lib.GateState, call_id: int) -> None:
    """Hedges a call that is still waiting, if the budget allows it."""
    call = state.calls.get(call_id)
    if call is None or call.phase is not state_lib.CallPhase.WAITING:
        return
    if len(call.attempts) != 1 or call.sent_attempts != 1:
        return
    service = state.services.get(call.service)
    if service is None:
        return
    target = routing.choose(state, service, call)
    if target is None:
        return
    if service.looks_ahead:
        _hedge_by_forecast(state, service, call)
        return
    slow = next(iter(call.attempts.values())).target
    gain = routing.expected(state, service, slow)
    gain -= routing.expected(state, service, target)
    if gain * slow.spec.slots < LEAST_GAIN:
        delay_us = int(service.load.typical_us * RECHECK_SHARE)
        state.timers.add(state.now_us + delay_us, timers.HedgeDue(call_id))
        return
    if service.hedge_budget.spend():
        attempts.begin(state, call, target)


def _schedule_by_forecast(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> None:
    """Sets the time at which the answer is later than usual work takes.

    Where the target shows its pace, a late answer means that the target has
    become slow or silent since.
    """
    delay_us = int(LATE_FACTOR * forecast.work_us(service, call))
    if state.now_us + delay_us < call.deadline_us:
        state.timers.add(state.now_us + delay_us, timers.HedgeDue(call.call_id))


def _hedge_by_forecast(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> None:
    if call.look is not None or not retries.may_send_again(state, call):
        return
    if state.now_us + forecast.work_us(service, call) > call.deadline_us:
        return
    if not service.room and retries.charge(state, service):
        placing.place(state, service, call)
