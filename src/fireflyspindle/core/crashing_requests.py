"""Refuses requests under which targets crashed; see `crash_evidence`."""

from fireflyspindle.core import answers
from fireflyspindle.core import crash_records
from fireflyspindle.core import crash_state
from fireflyspindle.core import events
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import suspects

# Time after which a request that did not come again is no longer suspected.
UNUSED_LIFETIME_US = 300_000_000
# Time between two records that a refused request came again.
REPEAT_INTERVAL_US = 60_000_000


def refuse(state: state_lib.GateState, call: state_lib.Call) -> bool:
    """Refuses a call if targets crashed under its request.

    Returns:
        Whether the call was refused.
    """
    if not suspects.is_refused(state, call.fingerprint):
        return False
    suspect = state.crashes.suspects[call.fingerprint]
    service = state.services.get(call.service)
    if service is not None:
        service.waiting_calls.pop(call.call_id, None)
    suspect.refused += 1
    _record_repeat(state, call.fingerprint, suspect)
    latest_s = (state.now_us - suspect.crashed_us) / 1e6
    lifetime_s = UNUSED_LIFETIME_US // 1_000_000
    answers.fail_call(
        state,
        call,
        answers.failure_status(call),
        "crashes_targets",
        f"{len(suspect.crashes)} targets of service {suspect.service} crashed"
        f" while this request was in progress, the latest {latest_s:.1f} s ago;"
        f" it is refused until it has not been sent for {lifetime_s} s",
        UNUSED_LIFETIME_US // 1000,
    )
    return True


def _record_repeat(
    state: state_lib.GateState,
    fingerprint: str,
    suspect: crash_state.Suspect,
) -> None:
    """Tells all hosts, from time to time, that a request came again."""
    if state.now_us < suspect.used_us + REPEAT_INTERVAL_US:
        return
    suspect.repeated_us = state.now_us
    crash_records.write(
        state,
        events.CrashKey(fingerprint),
        events.CrashRecord(suspect.service, 0),
    )
    crash_records.flush(state)
