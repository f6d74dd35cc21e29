"""The check of a call's permit immediately before the call is sent."""

from fireflyspindle.core import state as state_lib
from fireflyspindle.core.quotas import admission
from fireflyspindle.core.quotas import permits


def wait_if_expired(state: state_lib.GateState, call: state_lib.Call) -> bool:
    """Lets a call whose permit expired before it was sent wait for another.

    Load pattern: under shortage calls wait for a free target longer than their
    permits are valid, and a host that was suspended holds old permits.

    Returns:
        Whether the call must not be sent now; it may have ended.
    """
    if permits.may_send(state, call):
        return False
    admission.wait_again(state, call)
    return True
