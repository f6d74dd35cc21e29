"""Placing: where an attempt goes, after a look at the likeliest targets.

Load pattern: see `forecast`. Of two targets that are asked just before the
call is sent, one is nearly always at its usual pace; if none is, a second
round asks others, in other failure domains too. A probe costs a hundredth of
what a call in time is worth.
"""

from fireflyspindle.core import answers
from fireflyspindle.core import attempts
from fireflyspindle.core import discovery
from fireflyspindle.core import ejection
from fireflyspindle.core import events
from fireflyspindle.core import forecast
from fireflyspindle.core import probes
from fireflyspindle.core import routing
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import targets
from fireflyspindle.core import timers

LOOKS_PER_ROUND = 2
MAX_ROUNDS = 2
# Longest wait for the loads of one round; the users' targets take 6 ms.
ROUND_US = 25_000
# Age up to which a statement needs no look.
FRESH_US = 20_000
# Forecast, as a multiple of the usual work, above which others are asked.
POOR_FACTOR = 2.0
PROBE_BURST_S = 1.0


def place(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> bool:
    """Sends an attempt, at once or after a look; False without a target."""
    if service.looks_ahead and _look(state, service, call, 1):
        return True
    target = choose(state, service, call)
    if target is None:
        return False
    attempts.begin(state, call, target)
    return True


def choose(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> targets.Target | None:
    """Returns the target for an attempt by what is known now."""
    if not service.ejected:
        return routing.choose(state, service, call)
    return (
        ejection.trial(state, service, call)
        or routing.choose(state, service, call)
        or ejection.last_resort(service, call)
    )


def _look(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
    number_of_round: int,
) -> bool:
    """Asks the likeliest targets for their load, if that may help."""
    ranked = routing.ranked(state, service, call)
    if not ranked:
        return False
    best_us, best = ranked[0]
    poor_us = POOR_FACTOR * forecast.work_us(service, call)
    idle = not best.in_flight
    if idle and best_us < poor_us and forecast.is_fresh(state, best, FRESH_US):
        return False
    asked = [
        target
        for _, target in routing.ranked(state, service, call, hopeful=True)
        if not forecast.is_fresh(state, target, FRESH_US)
        and state.now_us >= target.seen.silent_until_us
    ][:LOOKS_PER_ROUND]
    state.last_look += 1
    look = state_lib.Look(state.last_look, number_of_round, set())
    for target in asked:
        if _take_token(state, service):
            look.waiting.add(
                probes.ask(state, service, target, ROUND_US, call.call_id)
            )
    if not look.waiting:
        return False
    call.look = look
    state.timers.add(
        state.now_us + ROUND_US, timers.LookDue(call.call_id, look.number)
    )
    return True


def _take_token(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> bool:
    """Takes a probe out of this gate host's part of the budget."""
    policy = state.configuration.policy(service.name)
    listed = sum(len(each.targets) for each in state.services.values())
    per_s = policy.probes_per_s * listed / discovery.GATE_HOSTS_ASSUMED
    earned = (state.now_us - state.probe_tokens_us) / 1e6 * per_s
    state.probe_tokens = min(
        max(1.0, per_s * PROBE_BURST_S), state.probe_tokens + earned
    )
    state.probe_tokens_us = state.now_us
    if state.probe_tokens < 1.0:
        return False
    state.probe_tokens -= 1.0
    return True


def on_probe_ended(
    state: state_lib.GateState, probe: state_lib.Probe, event: events.ProbeEnded
) -> None:
    """Goes on with the call that looked at a target."""
    call = state.calls.get(probe.call_id)
    if call is None or call.look is None:
        return
    call.look.waiting.discard(event.probe_id)
    if not call.look.waiting:
        _end_look(state, call)


def on_look_due(
    state: state_lib.GateState, call_id: int, look_number: int
) -> None:
    """Goes on with a call whose targets did not all answer in time."""
    call = state.calls.get(call_id)
    if call is None or call.look is None or call.look.number != look_number:
        return
    for probe_id in call.look.waiting:
        probe = state.probes.get(probe_id)
        service = state.services.get(probe.service) if probe else None
        if probe is None or service is None:
            continue
        target = service.targets.get(probe.target)
        if target is not None:
            forecast.on_silence(state, target)
    _end_look(state, call)


def _end_look(state: state_lib.GateState, call: state_lib.Call) -> None:
    """Sends the call by what was learned, or looks at further targets."""
    look, call.look = call.look, None
    assert look is not None
    service = state.services.get(call.service)
    waiting = call.phase is state_lib.CallPhase.WAITING
    if service is None or not waiting:
        answers.finish_if_done(state, call)
        return
    if look.round < MAX_ROUNDS and _is_poor(state, service, call):
        if _look(state, service, call, look.round + 1):
            return
    target = choose(state, service, call)
    if target is not None:
        attempts.begin(state, call, target)
        return
    if not call.attempts:
        answers.give_up(state, call, 503, "no_target", "no target is available")


def _is_poor(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> bool:
    ranked = routing.ranked(state, service, call)
    if not ranked:
        return False
    return ranked[0][0] > POOR_FACTOR * forecast.work_us(service, call)
