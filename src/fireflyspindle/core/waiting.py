"""Calls that wait at this gate host until a target has room for them.

Load pattern: more calls come than the targets can answer in time, for
seconds. Calls that queue at targets in the order of their arrival would then
all be late. They wait here instead, and the newest goes first, since it can
still be answered in time; a call whose time has passed goes when no other
waits, also to slow targets, whose slots nobody else wants. Within that order
the more urgent route goes first.
"""

from fireflyspindle.core import answers
from fireflyspindle.core import attempts
from fireflyspindle.core import forecast
from fireflyspindle.core import placing
from fireflyspindle.core import routing
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import targets
from fireflyspindle.core import timers

# Time between two looks for room. Answers to other calls show room too, and
# each look takes probes from the calls that come.
LOOK_SPACING_US = 30_000
# Time that an answer needs at the least, as a multiple of the usual work; a
# call with less time left can't be answered in time. The tenth is for a round
# of looks.
LEAST_WORK_FACTOR = 1.1
# Age up to which a statement shows that a target has room: half the time for
# which the users' targets keep their pace.
KNOWN_US = 250_000
# Margin, as a factor, to the deadline of a call that goes to a slow target:
# the users' work spreads by 0.3 of its mean.
SLOW_MARGIN = 1.4
# Part of its time that a call waits for room at the most. Later there is
# little chance left, and a caller that is told early may still come back.
MAX_WAIT_SHARE = 0.6
# Calls of a service that wait at one gate host, as many as its queue holds by
# default (`records.Policy.max_queued_calls`).
MAX_WAITING = 200


def enter(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> None:
    """Lets a call wait, or refuses it if it would wait for nothing."""
    hopeless = state.now_us >= _wait_end_us(service, call)
    if hopeless or len(service.room) >= MAX_WAITING:
        _refuse(state, service, call)
        return
    if call.call_id not in service.room:
        service.room[call.call_id] = None
        call.note(
            state.now_us,
            "waits",
            waiting=len(service.room),
            targets=len(service.targets),
            mean_pace=round(service.pace.pace, 2),
        )
        state.timers.add(
            _wait_end_us(service, call), timers.WaitOver(call.call_id)
        )
    _arm(state, service)


def serve(state: state_lib.GateState, service: state_lib.ServiceState) -> None:
    """Sends waiting calls to the targets that are known to have room."""
    while service.room:
        call = _next(state, service)
        target = room_for(state, service, call)
        if target is None:
            return
        del service.room[call.call_id]
        attempts.begin(state, call, target)


def room_for(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> targets.Target | None:
    """Returns a target that is known to have room for a call, if any."""
    if service.room and is_late(state, service, call):
        if not is_late(state, service, _next(state, service)):
            return None
        return _room_at_slow(state, service, call)
    # Without probes nothing would ever be known of idle targets. While answers
    # tell of some, a call that waits for these is late less often.
    some_known = state.probe_tokens >= 1.0 or any(
        forecast.is_fresh(state, target, KNOWN_US)
        for target in service.candidates
    )
    for expected_us, target in routing.ranked(state, service, call):
        if expected_us >= forecast.SILENT_US:
            return None
        known = forecast.is_fresh(state, target, KNOWN_US)
        if some_known and not known:
            continue
        if known and forecast.pace(state, service, target) > (
            forecast.SLOW_PACE
        ):
            continue
        if forecast.has_room(state, service, target):
            return target
    return None


def _room_at_slow(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> targets.Target | None:
    """Returns the slowest target with room that answers before the deadline."""
    left_us = call.deadline_us - state.now_us
    for expected_us, target in reversed(routing.ranked(state, service, call)):
        if expected_us * SLOW_MARGIN > left_us:
            continue
        if not forecast.is_fresh(state, target, KNOWN_US):
            continue
        if forecast.has_room(state, service, target):
            return target
    return None


def is_late(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> bool:
    """Whether a call can't be answered within its aim any more."""
    if call.aim_us is None:
        return False
    return state.now_us + _least_us(service, call) > call.aim_us


def _least_us(service: state_lib.ServiceState, call: state_lib.Call) -> int:
    return int(LEAST_WORK_FACTOR * forecast.work_us(service, call))


def _wait_end_us(service: state_lib.ServiceState, call: state_lib.Call) -> int:
    """Returns until when a call waits for room."""
    whole_us = call.deadline_us - call.arrived_us
    return min(
        call.deadline_us - _least_us(service, call),
        call.arrived_us + int(MAX_WAIT_SHARE * whole_us),
    )


def _next(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> state_lib.Call:
    """Returns the call whose turn it is."""
    waiting = [state.calls[call_id] for call_id in service.room]
    return max(
        waiting,
        key=lambda call: (
            not is_late(state, service, call),
            -call.priority,
            call.arrived_us,
        ),
    )


def on_room_due(state: state_lib.GateState, name: str) -> None:
    """Looks for room for the next call, or sends it if there is some."""
    service = state.services.get(name)
    if service is None:
        return
    service.room_armed = False
    serve(state, service)
    if not service.room:
        return
    call = _next(state, service)
    if not placing.look(state, service, call):
        _arm(state, service)


def on_wait_over(state: state_lib.GateState, call_id: int) -> None:
    """Refuses a call that can't be answered before its deadline any more."""
    call = state.calls.get(call_id)
    service = state.services.get(call.service) if call is not None else None
    if call is None or service is None or call_id not in service.room:
        return
    _refuse(state, service, call)


def _arm(state: state_lib.GateState, service: state_lib.ServiceState) -> None:
    if service.room_armed:
        return
    service.room_armed = True
    state.timers.add(
        state.now_us + LOOK_SPACING_US, timers.RoomDue(service.name)
    )


def _refuse(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> None:
    service.room.pop(call.call_id, None)
    left_ms = max(0, call.deadline_us - state.now_us) // 1000
    detail = (
        f"no target of {service.name} has room; {len(service.room)} calls"
        f" wait and {left_ms} ms are left"
    )
    wait_ms = int(forecast.work_us(service, call)) // 1000
    answers.give_up(
        state,
        call,
        answers.failure_status(call),
        "no_room",
        detail,
        answers.spread_ms(state, wait_ms),
    )
