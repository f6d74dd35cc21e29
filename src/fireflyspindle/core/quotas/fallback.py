"""Permits of a host that no reader answers: a small fixed share of the quota.

The tolerance of a quota covers them while the readers grant the whole quota to
the other hosts; see `terms`. Each host accrues permits at times of its own, and
one that is not used in time is lost. Otherwise every host would save one up,
and all could be used at once.
"""

from fireflyspindle.core import fleet
from fireflyspindle.core import state as state_lib
from fireflyspindle.core.quotas import permits
from fireflyspindle.core.quotas import quota_state

# Hosts of the fleet if neither a count nor a policy is known: the largest
# fleet that may run within two years.
LARGEST_FLEET = 1_000


def accrue(
    state: state_lib.GateState, quota: quota_state.OrganisationQuota
) -> None:
    """Adds the fallback permits that have accrued and are not lost yet."""
    per_host_per_s = quota.terms.fallback_per_s / _hosts(state)
    if per_host_per_s <= 0:
        return
    interval_us = max(1, int(1e6 / per_host_per_s))
    if quota.fallback_due_us is None:
        # A random start spreads the permits of the hosts over time.
        first_us = int(state.random.random() * interval_us)
        quota.fallback_due_us = state.now_us + first_us
    valid_us = quota.terms.fallback_valid_us
    lost = (state.now_us - valid_us - quota.fallback_due_us) // interval_us
    quota.fallback_due_us += max(0, lost) * interval_us
    while quota.fallback_due_us <= state.now_us:
        accrued_us = quota.fallback_due_us
        quota.fallback_due_us += interval_us
        if accrued_us + valid_us > state.now_us:
            state.quotas.counters["fallback"] += 1
            permits.add(state, quota, 1, accrued_us + valid_us)


def _hosts(state: state_lib.GateState) -> int:
    """Returns the number of hosts, rather too large than too small."""
    counted = fleet.size(state)
    if counted is not None:
        return counted
    policies = state.configuration.policies.values()
    hosts = [policy.gate_hosts_max for policy in policies]
    return max(hosts, default=LARGEST_FLEET)
