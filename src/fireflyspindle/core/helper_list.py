"""The list of gate hosts that may carry calls for this one.

The readers tell it to a host that reaches no target. By asking for it, the host
also tells them that it can't carry calls itself.
"""

from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import helper_state
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import timers

# Interval between requests for the list while targets are unreachable.
REQUEST_INTERVAL_US = 1_000_000
# Minimum time between two requests.
MIN_REQUEST_INTERVAL_US = 200_000
# Time for which a list is used.
LIFETIME_US = 5_000_000


def on_path_lost(state: state_lib.GateState) -> None:
    """Requests the list at once, and then from time to time."""
    request(state)
    if state.helpers.request_scheduled:
        return
    state.helpers.request_scheduled = True
    at_us = state.now_us + REQUEST_INTERVAL_US
    state.timers.add(at_us, timers.HelperListDue())


def on_due(state: state_lib.GateState) -> None:
    """Requests the list again while targets are unreachable."""
    state.helpers.request_scheduled = False
    if state.reachability.lost or any(
        service.reachability.lost for service in state.services.values()
    ):
        on_path_lost(state)


def request(state: state_lib.GateState) -> None:
    """Requests the list, unless it was requested just before."""
    requested_us = state.helpers.requested_us
    settings = state.settings.store
    if settings is None or not settings.relay_address:
        return
    if (
        requested_us is not None
        and state.now_us < requested_us + MIN_REQUEST_INTERVAL_US
    ):
        return
    state.helpers.requested_us = state.now_us
    readers = tuple(state.following.readers)
    state.emit(effects.ListHelpers(readers, state.reachability.lost))


def is_known(state: state_lib.GateState) -> bool:
    """Whether there is a recent list."""
    listed_us = state.helpers.listed_us
    return listed_us is not None and state.now_us < listed_us + LIFETIME_US


def update(state: state_lib.GateState, event: events.HelpersListed) -> None:
    """Adds the hosts of a partial list, or replaces the list."""
    helpers = state.helpers
    settings = state.settings.store
    assert settings is not None
    previous = helpers.by_address
    helpers.by_address = {} if event.complete else dict(previous)
    for address in event.helpers:
        if address.address != settings.relay_address:
            helpers.by_address[address.address] = previous.get(
                address.address
            ) or helper_state.new_helper(address)
    if event.complete and not is_known(state):
        count = len(helpers.by_address)
        detail = f"{count} gate hosts were listed that may carry calls"
        state.emit(effects.WriteLogLine("info", "helpers_listed", detail))
    if event.complete or helpers.by_address:
        helpers.listed_us = state.now_us
