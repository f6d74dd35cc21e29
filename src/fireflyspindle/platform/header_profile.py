"""The platform's headers between clients, gate hosts and servers."""

from fireflyspindle import headers
from fireflyspindle.core import events

_PREFIX = "X-Fireflyspindle-"
REQUEST_ID = _PREFIX + "Request-Id"
DEADLINE_MS = _PREFIX + "Deadline-Ms"
TARGET_INSTANCE = _PREFIX + "Target-Instance"
NOT_EXECUTED = _PREFIX + "Not-Executed"
INSTANCE_ID = _PREFIX + "Instance-Id"
SERVER_LOAD = _PREFIX + "Server-Load"
TENANT = _PREFIX + "Tenant"
SERVER_SIGNATURE = _PREFIX + "Server-Signature"
SERVER_LIMIT = "Server-Limit"
SERVER_LEAVING = "Server-Leaving"
COLD_MS = _PREFIX + "Cold-Ms"

# The load fields are running, waiting and slots; a fourth, the slowdown, is
# optional.
REQUIRED_LOAD_FIELDS = 3
# Value of the slowdown field for a server at its usual speed.
NOMINAL_SLOWDOWN = 100.0
MAX_LOAD_VALUE = 1_000_000


def parse_load_report(
    response_headers: headers.HeaderFields,
) -> events.LoadReport:
    """Parses the load report of a server, ignoring malformed values."""
    report = events.LoadReport(
        incarnation=response_headers.get(INSTANCE_ID, "")[:100],
        rate_limit=headers.parse_rate_limit(
            response_headers.getall(SERVER_LIMIT, ())
        ),
    )
    _parse_leaving(response_headers, report)
    _parse_retry_after(response_headers, report)
    _parse_cold_time(response_headers, report)
    fields = response_headers.get(SERVER_LOAD, "").split(",")
    values = [_load_value(field) for field in fields]
    if len(values) < REQUIRED_LOAD_FIELDS or None in values:
        return report
    running, waiting, slots = (value or 0 for value in values[:3])
    report.in_flight = running + waiting
    report.slots = slots
    if len(values) > REQUIRED_LOAD_FIELDS:
        report.slowdown = (values[REQUIRED_LOAD_FIELDS] or 0) / NOMINAL_SLOWDOWN
    return report


def _parse_leaving(
    response_headers: headers.HeaderFields, report: events.LoadReport
) -> None:
    """Parses whether the server is leaving; one "1" of several suffices."""
    texts = [
        text.strip() for text in response_headers.getall(SERVER_LEAVING, ())
    ]
    report.leaving = "1" in texts
    if any(text not in ("0", "1") for text in texts):
        report.invalid_headers += (SERVER_LEAVING,)


def _parse_retry_after(
    response_headers: headers.HeaderFields, report: events.LoadReport
) -> None:
    """Parses a time in seconds, the longest of several; dates are invalid."""
    texts = response_headers.getall(headers.RETRY_AFTER, ())
    values = [headers.parse_decimal(text) for text in texts]
    report.retry_after_s = max(
        (value for value in values if value is not None), default=None
    )
    if None in values:
        report.invalid_headers += (headers.RETRY_AFTER,)


def _parse_cold_time(
    response_headers: headers.HeaderFields, report: events.LoadReport
) -> None:
    """Parses a time in milliseconds, the longest of several."""
    texts = response_headers.getall(COLD_MS, ())
    values = [headers.parse_decimal(text) for text in texts]
    report.cold_left_ms = max(
        (value for value in values if value is not None), default=None
    )
    if None in values:
        report.invalid_headers += (COLD_MS,)


def _load_value(text: str) -> int | None:
    text = text.strip()
    if not text.isascii() or not text.isdecimal() or len(text) > 7:
        return None
    return min(int(text), MAX_LOAD_VALUE)


HEADER_PROFILE = headers.HeaderProfile(
    request_id=REQUEST_ID,
    deadline_ms=DEADLINE_MS,
    not_run=NOT_EXECUTED,
    target_incarnation=TARGET_INSTANCE,
    outcome="",
    reserved_prefix=_PREFIX.lower().encode(),
    forwarded_to_callers=frozenset({SERVER_SIGNATURE.lower().encode()}),
    interprets_own_headers=False,
    bounds_deadlines=False,
    callers_choose_ids=True,
    requires_id_echo=True,
    buffers_unsized_bodies=True,
    fractional_retry_after=True,
    reads_api_keys=True,
    organisation=TENANT,
    parse_load_report=parse_load_report,
)
