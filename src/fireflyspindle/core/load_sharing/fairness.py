"""Fairness between organisations that wait for the same service.

Load pattern: one organisation sends several times its usual rate for seconds,
or all send more than the targets can answer. Served newest first, each would
get a share in proportion to what it sends, so that the one in excess would
displace the others. Instead, the organisation that was served least lately,
relative to its weight, goes first. This approximates weighted max-min
fairness: who needs less than its share is served whole, and what it leaves
goes to the others. Nobody starves, because the count of an organisation that
is not served decays until it is the lowest.
"""

import math

from fireflyspindle.core import published
from fireflyspindle.core import state as state_lib
from fireflyspindle.core.load_sharing import sharing_state

# Time in which the count of served requests decays by a factor of e. Excess
# of one organisation lasts 5 to 8 s, and a host serves 2 to 7 requests/s, so
# that the count rests on 10 to 35 of them.
DECAY_US = 5_000_000


def on_configuration(
    state: state_lib.GateState, document: published.Document
) -> None:
    """Takes the weights of the organisations from a configuration.

    The weight is the quota, which follows the usual rate. An organisation
    without a quota has the largest weight, as its rate is unknown.
    """
    rates_per_s = {
        organisation.name: organisation.requests_per_s
        for organisation in document.organisations
    }
    largest = max(rates_per_s.values(), default=0.0) or 1.0
    sharing = state.sharing
    sharing.default_weight = largest
    sharing.weights = {
        name: rate_per_s if rate_per_s > 0 else largest
        for name, rate_per_s in rates_per_s.items()
    }
    sharing.served = {
        key: served
        for key, served in sharing.served.items()
        if key[1] in sharing.weights
    }


def on_sent(state: state_lib.GateState, call: state_lib.Call) -> None:
    """Counts a request as served, with its first attempt."""
    if not state.sharing.weights or call.sent_attempts != 1:
        return
    key = (call.service, call.tenant)
    served = state.sharing.served.setdefault(key, sharing_state.Served())
    served.requests = _decayed(served, state.now_us) + 1.0
    served.updated_us = state.now_us


def served_share(state: state_lib.GateState, call: state_lib.Call) -> float:
    """Returns what a call's organisation was served lately, by weight.

    It is 0 for all calls where there are no organisations.
    """
    served = state.sharing.served.get((call.service, call.tenant))
    if served is None:
        return 0.0
    weight = state.sharing.weights.get(
        call.tenant, state.sharing.default_weight
    )
    return _decayed(served, state.now_us) / weight


def _decayed(served: sharing_state.Served, now_us: int) -> float:
    return served.requests * math.exp((served.updated_us - now_us) / DECAY_US)
