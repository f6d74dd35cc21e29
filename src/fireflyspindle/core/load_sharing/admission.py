"""Refuses calls at once that can't be sent in time under shortage.

Load pattern: for seconds, more calls arrive at a host than slots become free
for it. Newest first, the older of the waiting calls are reached too late or
never. Refused when this shows, their callers come back to another host while
they can still be answered, and the slots that late calls would take go to calls
that are in time.

The wait of a call is estimated from the calls that precede it and the rate at
which waiting calls were sent lately. The rate counts only the time in which
calls waited; otherwise few arrivals would look like few free slots.
"""

import math

from fireflyspindle.core import state as state_lib
from fireflyspindle.core.load_sharing import sharing_state

# Time in which what is known of the shortage decays by a factor of e. With half
# of it, a replay of x1.6 answered 0.839 of the calls in time, after 0.862.
DECAY_US = 1_000_000
# Share of the recent time in which calls waited, from which calls are refused
# early. Below it the shortage is a coincidence of a few calls: refusals cost
# more callers than they helped in replays of x1.4.
MIN_WAITING_SHARE = 0.15
# Time and calls that are added to the measured ones, so that the first wait
# does not pass for a rate of zero. A target serves 20 requests/s and slot.
PRIOR_WAIT_US = 50_000
PRIOR_SENT = 1.0


def is_enabled(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> bool:
    """Whether calls of a service may be refused early.

    Only where organisations share a service. Elsewhere calls wait as long as
    they can be answered by their deadline.
    """
    return bool(state.sharing.weights)


def update(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> sharing_state.Shortage:
    """Accounts for the time since the last change of the waiting calls.

    It must be called before a call is added or removed.
    """
    shortage = state.sharing.shortages.setdefault(
        service.name, sharing_state.Shortage(updated_us=state.now_us)
    )
    kept = math.exp((shortage.updated_us - state.now_us) / DECAY_US)
    shortage.sent *= kept
    shortage.waited_us *= kept
    if service.waiting_calls:
        shortage.waited_us += DECAY_US * (1 - kept)
    shortage.updated_us = state.now_us
    return shortage


def on_sending(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> None:
    """Counts a call that is sent while calls wait, itself included."""
    if service.waiting_calls and is_enabled(state, service):
        update(state, service).sent += 1.0


def expected_wait_us(
    state: state_lib.GateState, service: state_lib.ServiceState, ahead: int
) -> float:
    """Returns the expected wait of a call, in microseconds.

    Args:
        state: State of the gate host.
        service: Service of the call.
        ahead: Waiting calls that precede it.

    Returns:
        The wait; 0 while there is no lasting shortage.
    """
    shortage = update(state, service)
    if shortage.waited_us < MIN_WAITING_SHARE * DECAY_US:
        return 0.0
    waited_us = shortage.waited_us + PRIOR_WAIT_US
    return (ahead + 1) * waited_us / (shortage.sent + PRIOR_SENT)
