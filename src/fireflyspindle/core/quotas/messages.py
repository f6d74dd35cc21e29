"""Events and effects of quotas: requests for permits and their replies."""

import attrs


@attrs.define
class QuotaPermitsRequested:
    """Another host asks this reader for permits.

    Attributes:
        now_us: Monotonic time.
        request_id: Number of the request, unique at this host.
        wanted: Permits that calls wait for, by organisation.
        ahead: Permits that the host expects to need soon, by organisation.
    """

    now_us: int
    request_id: int
    wanted: dict[str, int]
    ahead: dict[str, int] = attrs.field(factory=dict)


@attrs.define(frozen=True)
class Grant:
    """A reader's reply to a request for permits.

    Attributes:
        granted: Permits granted by organisation; an organisation that the
            reader doesn't know is absent.
        valid_ms: Validity of these permits, from the time of sending the
            request.
        retry_after_ms: Time after which a permit may be granted, for
            organisations that were granted fewer than wanted.
    """

    granted: dict[str, int] = attrs.field(factory=dict)
    valid_ms: dict[str, int] = attrs.field(factory=dict)
    retry_after_ms: dict[str, int] = attrs.field(factory=dict)


@attrs.define
class QuotaPermitsReceived:
    """A reader has answered a request for permits.

    Attributes:
        now_us: Monotonic time.
        reader: Control address of the reader.
        request_id: Number of the request.
        grant: The reply.
    """

    now_us: int
    reader: str
    request_id: int
    grant: Grant


@attrs.define
class QuotaRequestFailed:
    """A reader has not answered a request for permits in time.

    Attributes:
        now_us: Monotonic time.
        reader: Control address of the reader.
        request_id: Number of the request.
        reason: Human-readable reason.
        unsupported: Whether the reader's build grants no permits.
    """

    now_us: int
    reader: str
    request_id: int
    reason: str
    unsupported: bool = False


@attrs.define
class RequestQuotaPermits:
    """Ask a reader for permits.

    The shell reports `QuotaPermitsReceived` or `QuotaRequestFailed`, and a late
    answer after it.

    Attributes:
        reader: Control address of the reader.
        request_id: Number of the request.
        version: Version of the configuration in force.
        wanted: Permits that calls wait for, by organisation.
        ahead: Permits that are expected to be needed soon, by organisation.
    """

    reader: str
    request_id: int
    version: int
    wanted: dict[str, int]
    ahead: dict[str, int]


@attrs.define
class AnswerQuotaRequest:
    """Answer another host's request for permits.

    Attributes:
        request_id: Number of the request.
        grant: The reply; None if this host grants no permits.
    """

    request_id: int
    grant: Grant | None
