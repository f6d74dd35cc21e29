"""State of quotas on a gate host."""

import collections

import attrs

from fireflyspindle.core import events
from fireflyspindle.core import store_state
from fireflyspindle.core.quotas import terms as terms_lib

# Time for which a reader still divides by a larger number of readers after the
# list became shorter. Every host has the new list by then.
READERS_PERIOD_US = 10_000_000


@attrs.define(frozen=True)
class Permit:
    """The right to send one request.

    Attributes:
        organisation: Name of the organisation.
        expires_us: Time from which it may not be used.
    """

    organisation: str
    expires_us: int


@attrs.define
class WaitingCall:
    """A call that waits for a permit.

    Attributes:
        event: Its arrival; None for a call that has been admitted, whose permit
            expired before it was sent.
        until_us: Time until which it may wait.
    """

    event: events.CallArrived | None
    until_us: int


@attrs.define
class OrganisationQuota:
    """The quota of one organisation, and its permits at this host.

    Attributes:
        name: Name of the organisation.
        requests_per_s: Quota over all hosts.
        burst_requests: Requests that it may send beyond that rate.
        terms: Division of the tolerance.
        permits: Unused permits.
        waiting: Calls that wait for a permit, oldest first.
        recent_requests: Recent requests at this host, decayed exponentially.
        counted_us: Time of the latest of them.
        ahead_held_until_us: Time until which no permits are requested ahead.
        fallback_due_us: Time at which the next fallback permit accrues; None
            before the first need.
        logged_us: Time of the latest log line about refused calls; None before
            the first.
    """

    name: str
    requests_per_s: float
    burst_requests: float
    terms: terms_lib.Terms
    permits: list[Permit] = attrs.field(factory=list)
    waiting: dict[int, WaitingCall] = attrs.field(factory=dict)
    recent_requests: float = 0.0
    counted_us: int = 0
    ahead_held_until_us: int = 0
    fallback_due_us: int | None = None
    logged_us: int | None = None


@attrs.define
class Bucket:
    """Token bucket of a reader for its part of one quota.

    Attributes:
        requests_per_s: Rate at which it fills.
        capacity: Most tokens that it holds.
        tokens: Tokens, one for each permit.
        refilled_us: Time of the last refill.
        recently_refused: Refused wants, decayed exponentially.
        refused_us: Time of the latest of them.
    """

    requests_per_s: float
    capacity: float
    tokens: float
    refilled_us: int
    recently_refused: float = 0.0
    refused_us: int = 0


@attrs.define(frozen=True)
class PermitRequest:
    """A request to a reader in flight.

    Attributes:
        request_id: Number of the request.
        sent_us: Time of sending.
        wanted: Permits that calls wait for, by organisation.
        ahead: Permits requested ahead, by organisation.
    """

    request_id: int
    sent_us: int
    wanted: dict[str, int]
    ahead: dict[str, int]


@attrs.define(frozen=True)
class Hold:
    """A reader is not asked for permits of an organisation for a while.

    Attributes:
        until_us: End of that time.
        retry_at_us: Time at which it expects to grant a permit; None if it
            doesn't know the organisation.
    """

    until_us: int
    retry_at_us: int | None


@attrs.define
class ReaderLink:
    """What this host knows of a reader's grants.

    Attributes:
        order: Place of the reader among those that this host doesn't follow.
        request: Request in flight, if any.
        late_request: Latest request that was not answered in time; its answer
            still counts.
        avoided_until_us: Time until which it is not asked at all.
        failures: Consecutive failed requests.
        holds: Organisations for which it is not asked for a while.
    """

    order: float
    request: PermitRequest | None = None
    late_request: PermitRequest | None = None
    avoided_until_us: int = 0
    failures: int = 0
    holds: dict[str, Hold] = attrs.field(factory=dict)


@attrs.define
class QuotaState:
    """Quotas on a gate host.

    Attributes:
        limited: Organisations with a quota in force, by name.
        buckets: Buckets of this host, if it is a reader.
        reader_counts: Recent numbers of readers.
        configured: Whether quotas have been in force.
        links: The other readers by control address, and this host as "".
        last_request_id: Number of the latest request to a reader.
        check_due_us: Time of the next check of waiting calls, or None.
        permits_by_call: Permits of calls that have not ended.
        counters: Counts of permits and refusals, by cause.
    """

    limited: dict[str, OrganisationQuota] = attrs.field(factory=dict)
    buckets: dict[str, Bucket] = attrs.field(factory=dict)
    reader_counts: store_state.RecentMaximum = attrs.field(
        factory=lambda: store_state.RecentMaximum(READERS_PERIOD_US)
    )
    configured: bool = False
    links: dict[str, ReaderLink] = attrs.field(factory=dict)
    last_request_id: int = 0
    check_due_us: int | None = None
    permits_by_call: dict[int, Permit] = attrs.field(factory=dict)
    counters: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
