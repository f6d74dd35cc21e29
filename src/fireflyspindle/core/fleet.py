"""This gate host's share of the budgets of the whole fleet."""

from fireflyspindle.core import records


def share(policy: records.Policy) -> float:
    """Returns this host's share of the budgets of a service.

    At most `gate_hosts_max` hosts run at the same time, so the shares of all
    hosts add up to at most 1.
    """
    return 1 / policy.gate_hosts_max
