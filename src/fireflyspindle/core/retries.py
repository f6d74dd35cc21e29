"""Retries: whether a call may be sent once more."""

from fireflyspindle.core import state as state_lib

MAX_ATTEMPTS = 3


def may_retry(state: state_lib.GateState, call: state_lib.Call) -> bool:
    """Whether another attempt of a call is allowed.

    The caller of this function has made sure that the request was not run or
    may run again.
    """
    if not call.resendable or call.sent_attempts >= MAX_ATTEMPTS:
        return False
    return state.now_us < call.deadline_us
