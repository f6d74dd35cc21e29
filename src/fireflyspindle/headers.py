"""Names of the headers between callers, gate hosts and targets."""

from collections.abc import Callable, Mapping

import attrs

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
LEAVING = "Fireflyspindle-Leaving"
INCARNATION = "Fireflyspindle-Incarnation"
NOT_RUN = "Fireflyspindle-Not-Run"

# Every header of the gate's own, in lower case.
OWN_PREFIX = b"fireflyspindle-"

MAX_DIGITS = 9
MAX_INCARNATION_CHARACTERS = 100

# Headers of one connection, never carried on (RFC 9110, section 7.6.1), and
# those that frame the body or ask the next hop, which each side sets anew.
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
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


def read_load(given: Mapping[str, str]) -> events.LoadReport:
    """Reads the load report in the headers of an answer or a probe."""
    text = given.get(IN_FLIGHT, "")
    valid = text.isascii() and text.isdecimal() and len(text) <= MAX_DIGITS
    return events.LoadReport(
        in_flight=int(text) if valid else None,
        leaving=LEAVING in given,
        incarnation=given.get(INCARNATION, "")[:MAX_INCARNATION_CHARACTERS],
    )


@attrs.define(frozen=True)
class Dialect:
    """How callers, gate hosts and targets spell what they tell each other.

    Attributes:
        request_id: Header with the id of a request, which a target echoes.
        deadline_ms: Header with the time that a request has left.
        not_run: Header by which a target states that it ran nothing.
        target_incarnation: Header that names the incarnation a request is
            meant for, or an empty string to send none.
        outcome: Header with the outcome for the caller, or an empty string
            to send none.
        own_prefix: Start of the headers, in lower case, that belong to a hop.
        carried: Headers with that start, in lower case, that go to targets.
        answered: Headers with that start, in lower case, that go to callers.
        callers_give_ids: Whether callers choose the ids of their requests.
        strict_echo: Whether targets always echo the id, so that an answer
            with another id is passed over and a good one without it is not
            believed.
        whole_messages: Whether bodies without a stated length are held up to
            the limits for bodies before they are passed on; an answer may
            then end with its connection.
        fractional_retry_after: Whether Retry-After may hold fractions.
        read_load: Reads the load report in the headers of an answer.
    """

    request_id: str = REQUEST_ID
    deadline_ms: str = DEADLINE_MS
    not_run: str = NOT_RUN
    target_incarnation: str = ""
    outcome: str = OUTCOME
    own_prefix: bytes = OWN_PREFIX
    carried: frozenset[bytes] = frozenset(
        name.lower().encode() for name in (TENANT, CLASS, REPEATABLE)
    )
    answered: frozenset[bytes] = frozenset()
    callers_give_ids: bool = False
    strict_echo: bool = False
    whole_messages: bool = False
    fractional_retry_after: bool = False
    read_load: Callable[[Mapping[str, str]], events.LoadReport] = read_load


OWN = Dialect()
