"""Requests for permits to the readers: which one, when, and for how many.

One request is in flight for each reader and host. Wants that arise meanwhile
are sent together with the next one, so that the number of messages is bounded
by the rate of replies. A want that can go at once is not delayed.
"""

import math

from fireflyspindle.core import effects
from fireflyspindle.core import state as state_lib
from fireflyspindle.core.quotas import granter
from fireflyspindle.core.quotas import messages
from fireflyspindle.core.quotas import permits
from fireflyspindle.core.quotas import quota_state

# Key of this host's own grants among the links, if it is a reader.
OWN = ""
# Time for which a reader that failed is not asked, and the longest after
# repeated failures. A reader that is slow for a moment is soon used again.
AVOIDANCE_US = 500_000
MAX_AVOIDANCE_US = 4_000_000
# The same for a reader whose build grants no permits: replaced within minutes.
UNSUPPORTED_AVOIDANCE_US = 10_000_000
# Longest time for which a reader that refused is not asked again, well below
# the seconds for which load above a quota lasts.
MAX_HOLD_US = 200_000
# Shortest such time, which bounds the messages of a host that is flooded.
MIN_HOLD_US = 10_000
# Time for which no permits are requested ahead after a reader granted fewer.
AHEAD_HOLD_US = 500_000
# Time constant of the estimate of an organisation's rate at this host. Load
# above a quota lasts for 5 to 8 s.
RATE_PERIOD_US = 2_000_000
# Part of the requests that are expected within the validity of a permit for
# which permits are requested ahead, and the largest number of them.
AHEAD_SHARE = 0.75
MAX_AHEAD = 50


def count_request(
    state: state_lib.GateState, quota: quota_state.OrganisationQuota
) -> None:
    """Counts a request for the estimate of an organisation's rate."""
    _decay(state, quota)
    quota.recent_requests += 1


def _decay(
    state: state_lib.GateState, quota: quota_state.OrganisationQuota
) -> None:
    elapsed_us = max(0, state.now_us - quota.counted_us)
    quota.recent_requests *= math.exp(-elapsed_us / RATE_PERIOD_US)
    quota.counted_us = state.now_us


def send(state: state_lib.GateState, names: list[str]) -> None:
    """Sends what organisations want, unless a request is in flight already."""
    wanted: dict[str, dict[str, int]] = {}
    ahead: dict[str, dict[str, int]] = {}
    order = _readers(state)
    for name in names:
        quota = state.quotas.limited[name]
        reader = _choose(state, name, order)
        if reader is None or _link(state, reader).request is not None:
            continue
        missing = uncovered(state, quota)
        if missing > 0:
            wanted.setdefault(reader, {})[name] = missing
        count = _ahead(state, quota)
        if count > 0:
            ahead.setdefault(reader, {})[name] = count
    for reader in wanted.keys() | ahead.keys():
        _request(state, reader, wanted.get(reader, {}), ahead.get(reader, {}))


def uncovered(
    state: state_lib.GateState, quota: quota_state.OrganisationQuota
) -> int:
    """Returns how many waiting calls no request in flight asks for."""
    return len(quota.waiting) - _in_flight(state, quota.name, ahead=False)


def _in_flight(state: state_lib.GateState, name: str, *, ahead: bool) -> int:
    requests = (link.request for link in state.quotas.links.values())
    return sum(
        (request.ahead if ahead else request.wanted).get(name, 0)
        for request in requests
        if request is not None
    )


def _ahead(
    state: state_lib.GateState, quota: quota_state.OrganisationQuota
) -> int:
    """Returns how many permits to request ahead of calls.

    Load pattern: an organisation whose requests reach few hosts needs many
    permits at each. At a host that expects less than one request within the
    validity, a permit would expire unused more often than not. Permits are
    requested once half of them are used, so that one message brings several.
    """
    if state.now_us < quota.ahead_held_until_us:
        return 0
    _decay(state, quota)
    rate_per_us = quota.recent_requests / RATE_PERIOD_US
    expected = AHEAD_SHARE * rate_per_us * quota.terms.valid_us
    target = min(MAX_AHEAD, int(expected))
    held = len(quota.permits) + _in_flight(state, quota.name, ahead=True)
    return target - held if 2 * held < target or not held else 0


def _readers(state: state_lib.GateState) -> list[str]:
    """Returns the readers in the order in which they are asked.

    This host itself comes first, then the reader that it follows.
    """
    follow = state.following
    own = [OWN] if follow.is_reader else []
    return own + sorted(
        follow.readers,
        key=lambda address: (
            address != follow.address,
            _link(state, address).order,
        ),
    )


def _link(state: state_lib.GateState, reader: str) -> quota_state.ReaderLink:
    links = state.quotas.links
    if reader not in links:
        links[reader] = quota_state.ReaderLink(state.random.random())
    return links[reader]


def _choose(
    state: state_lib.GateState, name: str, order: list[str]
) -> str | None:
    """Returns the first reader that may have permits of an organisation."""
    for reader in order:
        link = _link(state, reader)
        hold = link.holds.get(name)
        if link.avoided_until_us > state.now_us:
            continue
        if hold is None or hold.until_us <= state.now_us:
            return reader
    return None


def may_ask(state: state_lib.GateState, name: str) -> bool:
    """Whether a reader may be asked for permits of an organisation now."""
    return _choose(state, name, _readers(state)) is not None


def holds(state: state_lib.GateState, name: str) -> list[quota_state.Hold]:
    """Returns the refusals of readers that answer, in force at present."""
    links = (_link(state, reader) for reader in _readers(state))
    return [
        hold
        for link in links
        if link.avoided_until_us <= state.now_us
        and (hold := link.holds.get(name)) is not None
        and hold.until_us > state.now_us
        and hold.retry_at_us is not None
    ]


def next_attempt_us(state: state_lib.GateState) -> int:
    """Returns the time at which a reader that failed may be asked again."""
    readers = _readers(state)
    times_us = [_link(state, reader).avoided_until_us for reader in readers]
    return max(state.now_us, min(times_us, default=0))


def _request(
    state: state_lib.GateState,
    reader: str,
    wanted: dict[str, int],
    ahead: dict[str, int],
) -> None:
    quotas = state.quotas
    quotas.last_request_id += 1
    request = quota_state.PermitRequest(
        quotas.last_request_id, state.now_us, wanted, ahead
    )
    if reader == OWN:
        grant = granter.grant_permits(state, wanted, ahead)
        apply_grant(state, _link(state, OWN), request, grant)
        return
    _link(state, reader).request = request
    state.emit(
        messages.RequestQuotaPermits(
            reader,
            request.request_id,
            state.rule_table.version or 0,
            wanted,
            ahead,
        )
    )


def apply_grant(
    state: state_lib.GateState,
    link: quota_state.ReaderLink,
    request: quota_state.PermitRequest,
    grant: messages.Grant,
) -> None:
    """Adds granted permits; their validity counts from sending the request."""
    for name in request.wanted.keys() | request.ahead.keys():
        quota = state.quotas.limited.get(name)
        if quota is None:
            continue
        wanted = request.wanted.get(name, 0)
        asked = wanted + request.ahead.get(name, 0)
        granted = min(asked, max(0, grant.granted.get(name, 0)))
        if granted:
            valid_us = min(
                grant.valid_ms.get(name, 0) * 1000, quota.terms.valid_us
            )
            state.quotas.counters["granted"] += granted
            permits.add(state, quota, granted, request.sent_us + valid_us)
        if granted < wanted:
            link.holds[name] = _hold(state, quota, grant)
        else:
            link.holds.pop(name, None)
            if granted < asked:
                quota.ahead_held_until_us = state.now_us + AHEAD_HOLD_US


def _hold(
    state: state_lib.GateState,
    quota: quota_state.OrganisationQuota,
    grant: messages.Grant,
) -> quota_state.Hold:
    retry_after_ms = grant.retry_after_ms.get(quota.name)
    if retry_after_ms is None:
        return quota_state.Hold(state.now_us + MAX_HOLD_US, None)
    # A faulty reader must not send callers away for longer than any would.
    retry_after_us = min(
        max(1, retry_after_ms) * 1000, granter.MAX_RETRY_AFTER_US
    )
    return quota_state.Hold(
        until_us=state.now_us + min(_max_hold_us(quota), retry_after_us),
        retry_at_us=state.now_us + retry_after_us,
    )


def _max_hold_us(quota: quota_state.OrganisationQuota) -> int:
    """Returns how long a reader that refused is not asked again at most.

    Its bucket must not overflow meanwhile: that takes half of the bucket.
    """
    tokens = quota.burst_requests + quota.terms.depth_requests
    half_full_us = int(1e6 * tokens / (2 * quota.terms.refill_per_s))
    return max(MIN_HOLD_US, min(MAX_HOLD_US, half_full_us))


def on_received(
    state: state_lib.GateState, event: messages.QuotaPermitsReceived
) -> bool:
    """Handles a reply; returns whether it answers the request in flight."""
    link = _link(state, event.reader)
    request = link.request
    if request is None or request.request_id != event.request_id:
        return _on_late_reply(state, event)
    link.request = None
    if link.failures:
        detail = (
            f"the reader {event.reader} grants permits again after"
            f" {link.failures} failed requests"
        )
        state.emit(
            effects.WriteLogLine("info", "quota_reader_regained", detail)
        )
    link.failures = 0
    link.avoided_until_us = 0
    apply_grant(state, link, request, event.grant)
    return True


def _on_late_reply(
    state: state_lib.GateState, event: messages.QuotaPermitsReceived
) -> bool:
    """Takes the permits of a late reply; returns whether any still count.

    Their validity began with the request, and the reader has taken them from
    the quota. A reader whose permits arrive expired stays avoided, so that the
    fallback is used.
    """
    link = _link(state, event.reader)
    request = link.late_request
    if request is None or request.request_id != event.request_id:
        return False
    link.late_request = None
    valid_us = 1000 * max(event.grant.valid_ms.values(), default=0)
    if request.sent_us + valid_us <= state.now_us:
        return False
    link.avoided_until_us = 0
    apply_grant(state, link, request, event.grant)
    return True


def on_failed(
    state: state_lib.GateState, event: messages.QuotaRequestFailed
) -> bool:
    """Avoids a reader that failed; returns whether the event is current."""
    link = _link(state, event.reader)
    if link.request is None or link.request.request_id != event.request_id:
        return False
    link.late_request, link.request = link.request, None
    avoidance_us = min(MAX_AVOIDANCE_US, AVOIDANCE_US << min(link.failures, 10))
    if event.unsupported:
        avoidance_us = UNSUPPORTED_AVOIDANCE_US
    if not link.failures:
        detail = (
            f"the reader {event.reader} grants no permits: {event.reason};"
            f" it is not asked for {avoidance_us // 1000} ms"
        )
        state.emit(effects.WriteLogLine("warning", "quota_reader_lost", detail))
    link.failures += 1
    link.avoided_until_us = state.now_us + avoidance_us
    return True
