"""Admission of calls within the quotas of their organisations."""

from fireflyspindle.core import claims
from fireflyspindle.core import events
from fireflyspindle.core import state as state_lib


def admit(
    state: state_lib.GateState,
    call: state_lib.Call,
    event: events.CallArrived,
) -> None:
    """Admits a call, lets it wait for a permit of its quota, or refuses it."""
    claims.admit_call(state, call, event)


def take_for_hedge(state: state_lib.GateState, call: state_lib.Call) -> bool:
    """Takes a permit for a hedge of a call; False if there is none."""
    return True
