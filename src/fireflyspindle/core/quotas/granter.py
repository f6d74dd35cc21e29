"""Grants of permits by a reader, from token buckets of its own.

Each of n readers owns 1/n of every quota, so that readers need not agree on
anything, in any partition. The part of a reader that is down is not granted.
"""

import math

from fireflyspindle.core import state as state_lib
from fireflyspindle.core.quotas import messages
from fireflyspindle.core.quotas import quota_state
from fireflyspindle.core.quotas import terms

# Longest Retry-After. The window of a quota has about this length, and load
# above a quota lasts for seconds.
MAX_RETRY_AFTER_US = 5_000_000
# Period over which refused wants are counted. Hosts ask again for calls that
# still wait, which must not count several times.
REFUSED_PERIOD_US = 50_000
# Part of a bucket that is kept for calls that wait. Permits that are granted
# ahead of calls may expire unused, which only an organisation well below its
# quota can afford.
RESERVED_SHARE = 0.5
# Tolerance of rounding when whole tokens are counted.
ROUNDING = 1e-9


def on_limits_changed(state: state_lib.GateState) -> None:
    """Creates and updates the buckets after a change of the quotas.

    At the first start of the whole system a bucket is full: nothing has been
    granted before. At later starts it holds only what the tolerance allows,
    since the host that this one replaces may have emptied its bucket just now.
    """
    quotas = state.quotas
    is_first = not quotas.configured
    quotas.configured = quotas.configured or bool(quotas.limited)
    if not state.following.is_reader:
        return
    quotas.buckets = {
        name: bucket
        for name, bucket in quotas.buckets.items()
        if name in quotas.limited
    }
    settings = state.settings.store
    fills = is_first and settings is not None and settings.first_start
    for quota in quotas.limited.values():
        bucket = _bucket(state, quota)
        if fills:
            bucket.tokens = bucket.capacity


def on_readers_changed(state: state_lib.GateState) -> None:
    """Drops the buckets of a host that is no longer a reader.

    If it becomes one again, others may have granted its part meanwhile.
    """
    if not state.following.is_reader:
        state.quotas.buckets.clear()


def on_requested(
    state: state_lib.GateState, event: messages.QuotaPermitsRequested
) -> None:
    """Answers another host's request for permits."""
    grant = None
    settings = state.settings.store
    if (
        state.following.is_reader
        and settings is not None
        and settings.quota_tolerance is not None
    ):
        grant = grant_permits(state, event.wanted, event.ahead)
    state.emit(messages.AnswerQuotaRequest(event.request_id, grant))


def grant_permits(
    state: state_lib.GateState, wanted: dict[str, int], ahead: dict[str, int]
) -> messages.Grant:
    """Grants permits, as many as the buckets hold.

    Load pattern: most organisations send less than one request a second over
    all hosts, and some send several times their quota for seconds. Permits
    ahead of calls are granted from full buckets only.
    """
    grant = messages.Grant()
    for name in wanted.keys() | ahead.keys():
        quota = state.quotas.limited.get(name)
        if quota is None:
            continue
        bucket = _bucket(state, quota)
        missing = max(0, wanted.get(name, 0))
        granted = _take(bucket, missing, 0.0)
        missing -= granted
        if not missing:
            reserved = bucket.capacity * RESERVED_SHARE
            granted += _take(bucket, max(0, ahead.get(name, 0)), reserved)
        grant.granted[name] = granted
        grant.valid_ms[name] = quota.terms.valid_us // 1000
        if missing:
            grant.retry_after_ms[name] = _retry_after_ms(state, bucket, missing)
    return grant


def _take(bucket: quota_state.Bucket, most: int, reserved: float) -> int:
    tokens = math.floor(bucket.tokens - reserved + ROUNDING)
    granted = min(most, max(0, tokens))
    bucket.tokens -= granted
    return granted


def _retry_after_ms(
    state: state_lib.GateState, bucket: quota_state.Bucket, missing: int
) -> int:
    """Returns when a token is free for wants that were just refused.

    Other wants that were refused just before come first. Under load well above
    the quota, callers are told later times, and they don't return together.
    """
    elapsed_us = state.now_us - bucket.refused_us
    bucket.recently_refused *= math.exp(-elapsed_us / REFUSED_PERIOD_US)
    bucket.refused_us = state.now_us
    tokens = 1 - bucket.tokens + bucket.recently_refused
    # The other readers refuse the same wants, and each serves its part.
    bucket.recently_refused += missing / _reader_count(state)
    wait_us = int(max(0.0, tokens) * 1e6 / bucket.requests_per_s)
    return min(wait_us, MAX_RETRY_AFTER_US) // 1000 + 1


def _bucket(
    state: state_lib.GateState, quota: quota_state.OrganisationQuota
) -> quota_state.Bucket:
    """Returns the refilled bucket of an organisation."""
    readers = _reader_count(state)
    rate = quota.terms.refill_per_s / readers
    depth = quota.terms.depth_requests / readers
    # A bucket that holds no whole token would never grant a permit.
    capacity = max(1.0, quota.burst_requests / readers + depth)
    buckets = state.quotas.buckets
    bucket = buckets.get(quota.name)
    if bucket is None:
        bucket = quota_state.Bucket(
            rate, capacity, terms.RESTART_TOKENS, state.now_us
        )
        buckets[quota.name] = bucket
    elapsed_s = max(0, state.now_us - bucket.refilled_us) / 1e6
    bucket.tokens += elapsed_s * bucket.requests_per_s
    bucket.refilled_us = state.now_us
    bucket.requests_per_s, bucket.capacity = rate, capacity
    bucket.tokens = min(bucket.tokens, capacity)
    return bucket


def _reader_count(state: state_lib.GateState) -> int:
    """Returns the number of readers that share the quotas.

    A shorter list takes effect late: a host that was removed from it may not
    know yet.
    """
    recent = state.quotas.reader_counts
    readers = len(state.following.readers) + state.following.is_reader
    recent.add(state.now_us, max(1, readers))
    return recent.largest(state.now_us) or 1
