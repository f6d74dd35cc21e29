"""Metric values of quotas."""

from fireflyspindle.core import state as state_lib


def of(state: state_lib.GateState) -> dict[str, float]:
    """Returns the metric values of quotas by name; none without quotas.

    Beside the permits held now these are counts since the start of the host:
    permits granted, unused or returned, and refused calls by cause.
    """
    quotas = state.quotas
    if not quotas.limited:
        return {}
    values = {
        "quota_permits_held": float(
            sum(
                permit.expires_us > state.now_us
                for quota in quotas.limited.values()
                for permit in quota.permits
            )
        ),
        "quota_calls_waiting": float(
            sum(len(quota.waiting) for quota in quotas.limited.values())
        ),
    }
    for name, count in quotas.counters.items():
        values[f"quota_{name}"] = float(count)
    return values
