"""Names of the headers between callers, gate hosts and targets."""

from collections.abc import Callable, Sequence
import re

import attrs
import multidict

from fireflyspindle.core import events

TENANT = "Fireflyspindle-Tenant"
CLASS = "Fireflyspindle-Class"
DEADLINE_MS = "Fireflyspindle-Deadline-Ms"
REPEATABLE = "Fireflyspindle-Repeatable"
IDEMPOTENCY_KEY = "Idempotency-Key"
OTHER_COPIES = "Fireflyspindle-Other-Copies"
REQUEST_ID = "Fireflyspindle-Request-Id"

OUTCOME = "Fireflyspindle-Outcome"
RETRY_AFTER = "Retry-After"

IN_FLIGHT = "Fireflyspindle-In-Flight"
RATE_LIMIT = "Fireflyspindle-Rate-Limit"
LEAVING = "Fireflyspindle-Leaving"
INCARNATION = "Fireflyspindle-Incarnation"
NOT_RUN = "Fireflyspindle-Not-Run"

# Outcome of a call that another gate host relayed; between gate hosts only.
RELAY_OUTCOME = "Fireflyspindle-Relay-Outcome"
# Value that states that the gate host could not carry the call.
NOT_CARRIED = "not-carried"
# Fingerprint of a relayed request; between gate hosts only.
RELAY_FINGERPRINT = "Fireflyspindle-Relay-Fingerprint"
# "no" if a relayed request may run only once; between gate hosts only.
RELAY_REPEATABLE = "Fireflyspindle-Relay-Repeatable"
# Number of targets that a relayed request may still be sent to; between gate
# hosts only.
RELAY_MAX_ATTEMPTS = "Fireflyspindle-Relay-Max-Attempts"
# Service that the gate host which relays a call has chosen, percent-encoded;
# between gate hosts only.
RELAY_SERVICE = "Fireflyspindle-Relay-Service"
# Digest of the API key of a relayed request, and the service chosen for it in
# place of `RELAY_SERVICE`, which then names one that can't exist, so that gate
# hosts of builds that know no keys refuse it; between gate hosts only.
RELAY_KEY_DIGEST = "Fireflyspindle-Relay-Key-Digest"
RELAY_KEYED_SERVICE = "Fireflyspindle-Relay-Keyed-Service"
# Start of the target that answered a relayed call, if it says that it is
# leaving: the time of the start in milliseconds, a space and the target's id.
RELAY_LEAVING = "Fireflyspindle-Relay-Leaving"

# Prefix of the headers defined by the gate, in lower case.
OWN_PREFIX = b"fireflyspindle-"

MAX_DIGITS = 9
MAX_DECIMAL_CHARACTERS = 20
MAX_INCARNATION_CHARACTERS = 100

_DECIMAL = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+", re.ASCII)

# Hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1), and
# those that frame the body or address the next hop, which each hop sets itself.
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"fireflyspindle-relay-fingerprint",
        b"fireflyspindle-relay-key-digest",
        b"fireflyspindle-relay-keyed-service",
        b"fireflyspindle-relay-leaving",
        b"fireflyspindle-relay-max-attempts",
        b"fireflyspindle-relay-outcome",
        b"fireflyspindle-relay-repeatable",
        b"fireflyspindle-relay-service",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


HeaderFields = multidict.MultiMapping[str]


def parse_load_report(fields: HeaderFields) -> events.LoadReport:
    """Parses the load report in the headers of an answer to a call or probe."""
    text = fields.get(IN_FLIGHT, "")
    valid = text.isascii() and text.isdecimal() and len(text) <= MAX_DIGITS
    return events.LoadReport(
        in_flight=int(text) if valid else None,
        leaving=LEAVING in fields,
        incarnation=fields.get(INCARNATION, "")[:MAX_INCARNATION_CHARACTERS],
        rate_limit=parse_rate_limit(fields.getall(RATE_LIMIT, ())),
    )


def parse_rate_limit(
    texts: Sequence[str],
) -> events.RateLimitHeader | None:
    """Parses a limit on requests per second.

    Args:
        texts: Values of the header, several if it is repeated.

    Returns:
        The limit, the lowest of several; None without the header. A value that
        is not a decimal number of 0 or more is invalid.
    """
    if not texts:
        return None
    values = [parse_decimal(text) for text in texts]
    valid = [value for value in values if value is not None]
    return events.RateLimitHeader(min(valid, default=None))


def parse_max_attempts(texts: Sequence[str]) -> int | None:
    """Parses the number of targets that a request may still be sent to.

    Args:
        texts: Values of the header, several if it is repeated.

    Returns:
        The number, the lowest of several; None without the header. An invalid
        value counts as 1, so that the limit of the route holds.
    """
    values = [
        int(text)
        if text.isascii() and text.isdecimal() and len(text) <= MAX_DIGITS
        else 1
        for text in texts
    ]
    return min(values, default=None)


def parse_decimal(text: str) -> float | None:
    """Parses a decimal number of 0 or more; None if it is invalid."""
    text = text.strip()
    if len(text) > MAX_DECIMAL_CHARACTERS or not _DECIMAL.fullmatch(text):
        return None
    return float(text)


@attrs.define(frozen=True)
class HeaderProfile:
    """Headers between callers, gate hosts and targets, and their semantics.

    Attributes:
        request_id: Header with the id of a request, which a target echoes.
        deadline_ms: Header with the time left for a request.
        not_run: Header by which a target states that it did not run a
            request.
        target_incarnation: Header with the incarnation that must receive the
            request, or an empty string to send none.
        outcome: Header with the outcome for the caller, or an empty string
            to send none.
        reserved_prefix: Prefix, in lower case, of headers that are not
            forwarded unless listed in `forwarded_to_targets` or
            `forwarded_to_callers`.
        forwarded_to_targets: Headers with that prefix, in lower case, that are
            forwarded to targets.
        forwarded_to_callers: Headers with that prefix, in lower case, that are
            forwarded to callers.
        interprets_own_headers: Whether the tenant, the class, the idempotency
            key and the other headers defined by the gate mean anything in a
            request. If not, they are forwarded like any other header.
        bounds_deadlines: Whether the deadline that a caller may state is
            bounded, in whole milliseconds. If not, it is any decimal number,
            and routes bound the time of every call.
        callers_choose_ids: Whether callers choose the ids of their requests.
        requires_id_echo: Whether targets always echo the id; an answer with
            another id is then skipped, and one without an id is rejected.
        buffers_unsized_bodies: Whether bodies without a stated length are
            buffered, up to the limits for bodies, before they are forwarded; an
            answer may then be delimited by the end of its connection.
        fractional_retry_after: Whether Retry-After may hold fractions.
        reads_api_keys: Whether requests may carry an API key in the header
            Authorization.
        organisation: Header that states the organisation of a request to
            targets, or an empty string.
        parse_load_report: Parses the load report in the headers of an answer.
    """

    request_id: str = REQUEST_ID
    deadline_ms: str = DEADLINE_MS
    not_run: str = NOT_RUN
    target_incarnation: str = ""
    outcome: str = OUTCOME
    reserved_prefix: bytes = OWN_PREFIX
    forwarded_to_targets: frozenset[bytes] = frozenset(
        name.lower().encode() for name in (TENANT, CLASS, REPEATABLE)
    )
    forwarded_to_callers: frozenset[bytes] = frozenset()
    interprets_own_headers: bool = True
    bounds_deadlines: bool = True
    callers_choose_ids: bool = False
    requires_id_echo: bool = False
    buffers_unsized_bodies: bool = False
    fractional_retry_after: bool = False
    reads_api_keys: bool = False
    organisation: str = ""
    parse_load_report: Callable[[HeaderFields], events.LoadReport] = (
        parse_load_report
    )


DEFAULT_PROFILE = HeaderProfile()
