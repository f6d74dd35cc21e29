"""Names of the headers between callers, gate hosts and targets."""

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
