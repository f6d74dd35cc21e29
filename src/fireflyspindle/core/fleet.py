"""This gate host's share of the budgets of the whole fleet.

A budget is divided by the number of gate hosts, which the readers count (see
`host_count`). A host that knows no count divides by the largest number of hosts
that may run at the same time.
"""

from fireflyspindle.core import records
from fireflyspindle.core import state as state_lib

# Time after its start during which a host does not use a count. The other hosts
# learn of it meanwhile and take smaller shares.
JOIN_TIME_US = 5_000_000
# Part of the resend budget that is used. Calls move between gate hosts with
# their callers, so the sum over all hosts needs a margin.
RESEND_BUDGET_FRACTION = 0.8


def counted_hosts(state: state_lib.GateState) -> int | None:
    """Returns the number of gate hosts as counted by the readers, if known."""
    return state.host_counts.recent.largest(state.now_us)


def size(state: state_lib.GateState) -> int | None:
    """Returns the number of gate hosts that share the budgets, if known."""
    if state.now_us < state.host_counts.started_us + JOIN_TIME_US:
        return None
    return counted_hosts(state)


def share(state: state_lib.GateState, policy: records.Policy) -> float:
    """Returns this host's share of the budgets of a service."""
    return 1 / (size(state) or policy.gate_hosts_max)


def resend_slack(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> float:
    """Returns the resends that are allowed beyond a share of the requests."""
    settings = state.settings.store
    assert settings is not None
    policy = state.configuration.policy(service.name)
    slack = RESEND_BUDGET_FRACTION * settings.resend_slack
    return slack * share(state, policy)
