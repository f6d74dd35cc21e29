"""Deadlines of calls."""

from fireflyspindle.core import answers
from fireflyspindle.core import attempts
from fireflyspindle.core import effects
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import timers

# Maximum time for which a non-repeatable request may run past its deadline.
OVERRUN_LIMIT_US = 60_000_000


def expire_unsent(state: state_lib.GateState) -> None:
    """Ends the calls whose deadline has passed and that no target holds.

    After this host was frozen, the first events are handled before the timers
    of the deadlines, and timers that are due earlier before these. They must
    not send a call that nobody waits for any more. A call that a target holds
    is left alone: its answer may have arrived meanwhile. So is a keyed call:
    its claim expires by its own rules, and tells whether the call was run.
    """
    expired = [
        call_id
        for call_id, call in state.calls.items()
        if call.deadline_us <= state.now_us
        and call.phase is state_lib.CallPhase.WAITING
        and not call.attempts
        and call.claim is None
    ]
    for call_id in expired:
        on_deadline(state, call_id)


def on_deadline(state: state_lib.GateState, call_id: int) -> None:
    """Ends a call whose deadline has passed.

    The deadline covers the whole answer, so an answer that is still being
    forwarded is cut. A non-repeatable request may keep running for
    `OVERRUN_LIMIT_US`, so that its outcome can be recorded.
    """
    call = state.calls.get(call_id)
    if call is None:
        return
    overdue_us = state.now_us - call.deadline_us
    forwarding = call.phase is state_lib.CallPhase.FORWARDING
    if call.repeatable or forwarding or overdue_us >= OVERRUN_LIMIT_US:
        attempts.cancel_all_except(state, call, 0)
    if not call.repeatable and call.attempts and overdue_us < OVERRUN_LIMIT_US:
        state.timers.add(
            call.deadline_us + OVERRUN_LIMIT_US, timers.CallDeadline(call_id)
        )
    if forwarding:
        call.phase = state_lib.CallPhase.ANSWERED
        call.outcome = effects.Outcome.UNKNOWN
    if call.phase is not state_lib.CallPhase.WAITING:
        return
    call.may_have_run = call.may_have_run or bool(call.attempts)
    known_not_run = call.route and not call.may_have_run
    answers.fail_call(
        state,
        call,
        503 if known_not_run else 504,
        "deadline",
        "the deadline of the call has passed",
    )
