"""What may be done with requests that were in progress at crashed targets."""

from fireflyspindle.core import state as state_lib

# Crashes after which a request is refused: other requests that were in progress
# are hardly ever in all of them.
MIN_CRASHES = 3
# Crashes after which a host doesn't send a call again by itself.
MAX_CRASHES_TO_RESEND = 1


def crash_count(state: state_lib.GateState, fingerprint: str) -> int:
    """Returns the number of targets that crashed under a request."""
    suspect = state.crashes.suspects.get(fingerprint)
    return len(suspect.crashes) if suspect is not None else 0


def is_refused(state: state_lib.GateState, fingerprint: str) -> bool:
    """Whether a request is refused because targets crashed under it."""
    return crash_count(state, fingerprint) >= MIN_CRASHES


def may_resend(state: state_lib.GateState, call: state_lib.Call) -> bool:
    """Whether a call may be sent to another target after a failure."""
    return crash_count(state, call.fingerprint) <= MAX_CRASHES_TO_RESEND


def may_hedge(state: state_lib.GateState, call: state_lib.Call) -> bool:
    """Whether a call may be at two targets at the same time."""
    return crash_count(state, call.fingerprint) == 0
