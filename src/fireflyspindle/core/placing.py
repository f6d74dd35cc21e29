"""Placing: where an attempt goes, after a look at the likeliest targets.

Load pattern: see `forecast`. Of two targets that are asked just before the
call is sent, one is nearly always at its usual pace; if none is, a second
round asks others, in other failure domains too. A probe costs a hundredth of
what a call in time is worth.
"""

from fireflyspindle.core import answers
from fireflyspindle.core import attempts
from fireflyspindle.core import ejection
from fireflyspindle.core import events
from fireflyspindle.core import forecast
from fireflyspindle.core import probes
from fireflyspindle.core import routing
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import targets
from fireflyspindle.core import timers
from fireflyspindle.core import waiting

# Targets asked in one round, and rounds of one look: of four targets, of which
# a third are slow as at the worst of the users' sites, 1 in 80 looks finds
# none at its usual pace.
LOOKS_PER_ROUND = 2
MAX_ROUNDS = 2
# Longest wait for the loads of one round; the users' targets take 6 ms.
ROUND_US = 25_000
# Age up to which a statement needs no look: a target keeps its pace for half a
# second, so that 1 in 16 has another one by then.
FRESH_US = 30_000
# Time whose probes may be sent at once.
PROBE_BURST_S = 1.0
# Gate hosts that the budget of probes is divided by. The store names no
# number of them; the users run 14 to 17 where calls come close to the budget.
GATE_HOSTS_ASSUMED = 18


def place(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> bool:
    """Sends an attempt, at once or after a look or a wait.

    Returns:
        False when there is no target.
    """
    if not service.looks_ahead:
        target = choose(state, service, call)
        return _send(state, call, target)
    if service.ejected:
        if _send(state, call, ejection.trial(state, service, call)):
            return True
    return look(state, service, call) or _settle(state, service, call)


def _send(
    state: state_lib.GateState,
    call: state_lib.Call,
    target: targets.Target | None,
) -> bool:
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


def look(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
    number_of_round: int = 1,
) -> bool:
    """Asks the likeliest targets for their load, if that may help.

    Args:
        state: State of the gate host.
        service: Service of the call.
        call: A call that is to be sent.
        number_of_round: Number of the round of targets, from 1.

    Returns:
        Whether the call goes on once the targets have answered.
    """
    known = waiting.room_for(state, service, call)
    if known is not None and not known.in_flight:
        if forecast.is_fresh(state, known, FRESH_US):
            return False
    asked = [
        target
        for _, target in routing.ranked(state, service, call, hopeful=True)
        if not forecast.is_fresh(state, target, FRESH_US)
        and state.now_us >= target.seen.silent_until_us
    ][:LOOKS_PER_ROUND]
    state.last_look += 1
    begun = state_lib.Look(state.last_look, number_of_round, set())
    for target in asked:
        if _take_token(state, service):
            begun.waiting.add(
                probes.ask(state, service, target, ROUND_US, call.call_id)
            )
    call.note(
        state.now_us,
        "looks",
        round=number_of_round,
        asked=len(begun.waiting),
        wanted=len(asked),
        probes_left=int(state.probe_tokens),
    )
    if not begun.waiting:
        return False
    call.look = begun
    state.timers.add(
        state.now_us + ROUND_US, timers.LookDue(call.call_id, begun.number)
    )
    return True


def _take_token(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> bool:
    """Takes a probe out of this gate host's part of the budget."""
    policy = state.configuration.policy(service.name)
    listed = sum(len(each.targets) for each in state.services.values())
    per_s = policy.probes_per_s * listed / GATE_HOSTS_ASSUMED
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
    ended, call.look = call.look, None
    assert ended is not None
    service = state.services.get(call.service)
    if service is None or call.phase is not state_lib.CallPhase.WAITING:
        answers.finish_if_done(state, call)
        return
    if ended.round < MAX_ROUNDS:
        if waiting.room_for(state, service, call) is None:
            if look(state, service, call, ended.round + 1):
                return
    if _settle(state, service, call):
        waiting.serve(state, service)
    elif not call.attempts:
        answers.give_up(state, call, 503, "no_target", "no target is available")


def _settle(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> bool:
    """Sends a call where there is room, or lets it wait for some.

    Returns:
        False when there is no target, or none that a hedge is worth.
    """
    target = waiting.room_for(state, service, call)
    if target is not None:
        service.room.pop(call.call_id, None)
        return _send(state, call, target)
    if call.attempts:
        return False
    if _may_get_room(state, service, call):
        waiting.enter(state, service, call)
        return True
    service.room.pop(call.call_id, None)
    return _send(state, call, choose(state, service, call))


def _may_get_room(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> bool:
    """Whether a wait may help: some target answers, and is full or slow."""
    return any(
        not target.leaving
        and not target.ejected
        and target.spec.key not in call.tried
        and state.now_us >= target.seen.silent_until_us
        for target in service.targets.values()
    )
