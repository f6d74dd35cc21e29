"""Limits of tenants and classes, per gate host and for the fleet.

A limit for the fleet is divided by the number of gate hosts that this one
knows of. While hosts are added, the sum over all of them exceeds the limit by
at most the share of the hosts that the others do not know yet.
"""

import math

import attrs

from fireflyspindle.core import members
from fireflyspindle.core import state as state_lib

FLEET_SIZE_REFRESH_US = 500_000
BURST_S = 1.0


@attrs.define(frozen=True)
class ExceededLimit:
    """A limit that a call would exceed, and when to retry."""

    detail: str
    retry_after_ms: int | None = None


def fleet_size(state: state_lib.GateState) -> int:
    """Returns how many gate hosts accept calls, including this one."""
    usage = state.usage
    if state.now_us >= usage.fleet_refresh_at_us:
        usage.fleet_refresh_at_us = state.now_us + FLEET_SIZE_REFRESH_US
        usage.fleet_size = _count_hosts(state)
    return usage.fleet_size


def _count_hosts(state: state_lib.GateState) -> int:
    membership = state.membership
    hosts = {
        host_id
        for host_id, host in membership.listed_hosts.items()
        if not host.leaving
    }
    for member in members.live_members(membership, state.now_us):
        hosts.add(member.row.host_id)
        if member.row.stopping:
            hosts.discard(member.row.host_id)
    hosts.discard(state.settings.host_id)
    return 1 + len(hosts)


def check(
    state: state_lib.GateState, call: state_lib.Call
) -> ExceededLimit | None:
    """Returns the limit that a call would exceed, if any; charges the rate."""
    tenant = state.configuration.tenants.get(call.tenant)
    traffic_class = state.configuration.classes.get(call.traffic_class)
    usage = state.usage
    if tenant is not None:
        if (
            usage.in_flight_by_tenant.get(call.tenant, 0)
            >= tenant.max_in_flight
        ):
            limit = f"its limit of {tenant.max_in_flight} calls in flight"
            return ExceededLimit(f"tenant {call.tenant!r} has reached {limit}")
    if traffic_class is not None:
        if usage.in_flight_by_class.get(call.traffic_class, 0) >= (
            traffic_class.max_in_flight
        ):
            limit = (
                f"its limit of {traffic_class.max_in_flight} calls in flight"
            )
            return ExceededLimit(
                f"class {call.traffic_class!r} has reached {limit}"
            )
    if tenant is None or tenant.max_calls_per_s is None:
        return None
    return _charge_rate(state, call.tenant, tenant.max_calls_per_s)


def _charge_rate(
    state: state_lib.GateState, tenant: str, fleet_rate_per_s: float
) -> ExceededLimit | None:
    rate_per_s = fleet_rate_per_s / fleet_size(state)
    bucket = state.usage.rate_buckets.get(tenant)
    if bucket is None:
        burst = max(1.0, rate_per_s * BURST_S)
        bucket = state_lib.RateBucket(burst, state.now_us)
        state.usage.rate_buckets[tenant] = bucket
    refill = (state.now_us - bucket.refilled_us) / 1e6 * rate_per_s
    burst = max(1.0, rate_per_s * BURST_S)
    bucket.tokens = min(burst, bucket.tokens + refill)
    bucket.refilled_us = state.now_us
    if bucket.tokens >= 1.0:
        bucket.tokens -= 1.0
        return None
    wait_ms = math.ceil((1.0 - bucket.tokens) / rate_per_s * 1000)
    detail = (
        f"tenant {tenant!r} exceeds its limit of {fleet_rate_per_s:g} calls"
        " per second over all gate hosts"
    )
    return ExceededLimit(detail, wait_ms)


def count_admitted(state: state_lib.GateState, call: state_lib.Call) -> None:
    """Counts an admitted call towards the limits on calls in flight."""
    call.counts_towards_limits = True
    usage = state.usage
    usage.in_flight_by_tenant[call.tenant] = (
        usage.in_flight_by_tenant.get(call.tenant, 0) + 1
    )
    usage.in_flight_by_class[call.traffic_class] = (
        usage.in_flight_by_class.get(call.traffic_class, 0) + 1
    )


def release(state: state_lib.GateState, call: state_lib.Call) -> None:
    """Stops counting a call that has ended."""
    if not call.counts_towards_limits:
        return
    call.counts_towards_limits = False
    _decrement(state.usage.in_flight_by_tenant, call.tenant)
    _decrement(state.usage.in_flight_by_class, call.traffic_class)


def _decrement(counts: dict[str, int], name: str) -> None:
    counts[name] -= 1
    if not counts[name]:
        del counts[name]
