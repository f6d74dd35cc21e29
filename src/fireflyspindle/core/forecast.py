"""Forecasts of when a target would answer, from what it states of itself.

Load pattern: neighbours slow a part of the targets down several times over
for fractions of a second, and nothing but a fresh statement of the target
shows which. A statement loses its worth with its age; an old one counts as
the average of the service.
"""

from fireflyspindle.core import events
from fireflyspindle.core import forecast_state
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import targets

# Time over which a statement loses its worth: the spells of slowness that
# the users measured last half a second.
STALE_US = 500_000
# Weight of one statement in the averages of a service: about two seconds of
# the statements that a host of the users gets.
AVERAGE_STEP = 1 / 64
# Weight of one answer in the time that work takes: the spread of the users'
# work, 0.3, is a twentieth in the average.
WORK_STEP = 1 / 32
# Work that a first answer is expected to need, as a share of the time within
# which the operators want it; the users' routes state 0.34 to 0.4.
EXPECTED_WORK_SHARE = 0.4
# Time that work is expected to take where nothing is known, in the middle of
# the 67 to 160 ms of the users' sheets.
DEFAULT_WORK_US = 100_000
# Pace from which a target counts as slow: a call with twice its usual work
# still meets the users' aims, which are 2.5 times the work.
SLOW_PACE = 2.0
# Extra time at a target in another failure domain, as a share of the work:
# bytes between failure domains are paid for.
OTHER_DOMAIN_SHARE = 0.15
# Extra time at a target whose slots are all taken, as a share of the work:
# some targets slow down as they fill.
HELD_SHARE = 0.3
# Extra time at a target that has just started, as a share of the work; the
# users' targets work about twice as long then.
COLD_SHARE = 1.0
# Extra time at a target of which every answer fails, as a share of the work:
# as much as at a slow one, whose work takes seven times as long.
FAILURE_SHARE = 8.0
# Extra time at a target that stated nothing lately, as a share of the work, so
# that one which was asked and is as usual goes first.
UNKNOWN_SHARE = 0.2
# Time that a silent target is expected to take.
SILENT_US = 60_000_000
# First pause after which a silent target is asked again, and the doublings up
# to its limit of 3.2 s, about the `contact-ms` of the users.
SILENCE_US = 200_000
MAX_SILENCE_DOUBLINGS = 4
# Share of the slots above which a target may slow down; the users' targets
# that do so begin at 0.8.
CROWDED_SHARE = 0.8
# Slowdown of crowded targets from which these slots are left free, since more
# calls at once then mean fewer answers a second.
CROWDING_LIMIT = 1.2
# Weight of one answer in the estimate of that slowdown, so that a burst shows
# it within some 16 answers, and its limit, against single long requests.
CROWDING_STEP = 1 / 16
MAX_CROWDING = 3.0
# Random part of a forecast, so that gate hosts with the same knowledge do not
# all choose the same target.
SPREAD = 0.08
# Answers in a row without a load after which a service is taken for one
# whose targets do not state it.
UNSTATED_LIMIT = 8


def on_report(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
    report: events.LoadReport,
    own: int,
) -> None:
    """Takes what a target states.

    Args:
        state: State of the gate host.
        service: Service of the target.
        target: The target.
        report: What it states.
        own: Attempts of this gate host that it held then.
    """
    seen, average = target.seen, service.pace
    seen.silences = 0
    seen.silent_until_us = 0
    seen.heard_us = state.now_us
    seen.pace = report.pace if report.pace is not None else 1.0
    if report.in_flight is None:
        seen.others = 0
        on_unstated(service)
        return
    average.unstated = 0
    seen.others = max(0, report.in_flight - own)
    average.pace += AVERAGE_STEP * (seen.pace - average.pace)
    average.others += AVERAGE_STEP * (seen.others - average.others)


def on_unstated(service: state_lib.ServiceState) -> None:
    """Counts an answer that stated no load."""
    service.pace.unstated += 1
    if service.pace.unstated >= UNSTATED_LIMIT:
        service.looks_ahead = False


def on_silence(state: state_lib.GateState, target: targets.Target) -> None:
    """Takes the failure of a target to state its load in time."""
    seen = target.seen
    pause_us = SILENCE_US << min(seen.silences, MAX_SILENCE_DOUBLINGS)
    seen.silences += 1
    seen.silent_until_us = state.now_us + pause_us


def on_latency(
    service: state_lib.ServiceState,
    latency_us: int,
    pace: float,
    crowded: bool,
) -> None:
    """Takes the time to a good answer of a target that had a pace."""
    average = service.pace
    work_us = latency_us / max(1.0, pace)
    if crowded and average.work_us:
        ratio = min(MAX_CROWDING, work_us / average.work_us)
        average.crowding += CROWDING_STEP * (ratio - average.crowding)
        return
    if not average.work_us:
        average.work_us = work_us
    average.work_us += WORK_STEP * (work_us - average.work_us)


def work_us(service: state_lib.ServiceState, call: state_lib.Call) -> float:
    """Returns the time that a call's work takes at the usual pace."""
    if service.pace.work_us:
        return service.pace.work_us
    if call.aim_us is None:
        return DEFAULT_WORK_US
    return EXPECTED_WORK_SHARE * (call.aim_us - call.arrived_us)


def pace(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
) -> float:
    """Returns the pace to expect of a target."""
    trust = _trust(state, target.seen)
    mean = service.pace.pace
    return mean + (target.seen.pace - mean) * trust


def answer_us(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
    call: state_lib.Call,
    *,
    hopeful: bool = False,
) -> float:
    """Returns the time after which a target is expected to answer.

    Args:
        state: State of the gate host.
        service: Service of the target.
        target: The target.
        call: The call to be sent.
        hopeful: Whether a target that stated nothing lately counts as one at
            its usual pace; for the choice of targets to ask.
    """
    seen = target.seen
    if state.now_us < seen.silent_until_us:
        return SILENT_US + state.random.random()
    usual_us = work_us(service, call)
    trust = _trust(state, seen)
    held = _held(state, service, target)
    slots = target.spec.slots
    extra = HELD_SHARE * held / slots + SPREAD * state.random.random()
    if hopeful:
        expected_us = usual_us * (1 + (seen.pace - 1) * trust)
    else:
        expected_us = usual_us * pace(state, service, target)
        extra += UNKNOWN_SHARE * (1 - trust)
    waiting = held + 1 - slots
    if waiting > 0:
        expected_us *= 1 + waiting / slots
    if target.distance:
        extra += OTHER_DOMAIN_SHARE
    if state.now_us < target.warm_at_us:
        extra += COLD_SHARE
    worse = target.health.failure_share - service.failure_share
    extra += FAILURE_SHARE * max(0.0, worse)
    return expected_us + usual_us * extra


def has_room(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
) -> bool:
    """Whether a call would not have to wait at a target."""
    slots = float(target.spec.slots)
    if service.pace.crowding > CROWDING_LIMIT:
        slots = max(1.0, slots * CROWDED_SHARE)
    return _held(state, service, target) + 1 <= slots


def is_crowded(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
) -> bool:
    """Whether one more call leaves a target with hardly a free slot."""
    held = _held(state, service, target) + 1
    return held > CROWDED_SHARE * target.spec.slots


def _held(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
) -> float:
    """Returns the requests that a target is expected to hold."""
    trust = _trust(state, target.seen)
    mean = service.pace.others
    return target.in_flight + mean + (target.seen.others - mean) * trust


def is_fresh(
    state: state_lib.GateState, target: targets.Target, age_us: int
) -> bool:
    """Whether a target stated its load within a time."""
    return state.now_us - target.seen.heard_us <= age_us


def _trust(state: state_lib.GateState, seen: forecast_state.Seen) -> float:
    return max(0.0, 1.0 - (state.now_us - seen.heard_us) / STALE_US)
