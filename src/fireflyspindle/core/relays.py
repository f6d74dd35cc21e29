"""Calls that another gate host carries, because this one reaches no target.

A helper places a relayed call like one of its own, but never relays it further,
and sends it to no more targets than the relaying host has attempts left.
It states whether the request was run, so that a call that no helper could carry
is sent to the next one, and at most once to one that may have run it.
"""

from fireflyspindle.core import attempts
from fireflyspindle.core import events
from fireflyspindle.core import helper_list
from fireflyspindle.core import helper_state
from fireflyspindle.core import state as state_lib
from fireflyspindle.core.evacuation import domains as evacuation_domains

# Helpers that a call is sent to, one after the other, until one carries it.
MAX_RELAYS = 3
# Time for which a helper that could not carry a call is left out.
AVOIDANCE_US = 1_000_000
# Helpers that are compared for one call.
COMPARED_HELPERS = 2
# Penalty of a helper in another failure domain, in calls in flight: traffic
# between domains costs money.
OTHER_DOMAIN_PENALTY = 1.5


def relay(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> bool:
    """Sends a call to a helper; False if none may carry it."""
    if not call.route or call.relayed or call.relays >= MAX_RELAYS:
        return False
    if call.attempts_left <= 0:
        return False
    if evacuation_domains.leaves_no_target(state, service):
        return False
    if not helper_list.is_known(state):
        helper_list.request(state)
        return False
    helper = _choose_helper(state, call)
    if helper is None:
        return False
    service.waiting_calls.pop(call.call_id, None)
    call.relays += 1
    return attempts.begin_relay(state, service, call, helper.target)


def _choose_helper(
    state: state_lib.GateState, call: state_lib.Call
) -> helper_state.Helper | None:
    """Returns the less busy of two random helpers, or None."""
    available = [
        helper
        for helper in state.helpers.by_address.values()
        if state.now_us >= helper.avoided_until_us
        and helper.target.spec.key not in call.tried_targets
    ]
    if not available:
        return None
    count = min(COMPARED_HELPERS, len(available))
    compared = state.random.sample(available, count)
    return min(compared, key=lambda helper: _load(state, helper))


def _load(state: state_lib.GateState, helper: helper_state.Helper) -> float:
    load = float(helper.target.in_flight)
    if helper.address.failure_domain != state.settings.failure_domain:
        load += OTHER_DOMAIN_PENALTY
    return load


def on_not_carried(state: state_lib.GateState, address: str) -> None:
    """Leaves out a helper that did not carry a call, for a while."""
    helper = state.helpers.by_address.get(address)
    if helper is not None:
        helper.avoided_until_us = state.now_us + AVOIDANCE_US


def on_helpers_listed(
    state: state_lib.GateState, event: events.HelpersListed
) -> None:
    """Updates the list and relays the calls that wait for lost targets."""
    helper_list.update(state, event)
    for service in state.services.values():
        if state.reachability.lost or service.reachability.lost:
            relay_waiting(state, service)


def relay_waiting(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> None:
    """Relays the calls that wait for a target of a service."""
    for call_id in list(service.waiting_calls):
        if not relay(state, service, state.calls[call_id]):
            return
