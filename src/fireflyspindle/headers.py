"""Names of the headers between callers, gate hosts and targets."""

TENANT = "Fireflyspindle-Tenant"
CLASS = "Fireflyspindle-Class"
DEADLINE_MS = "Fireflyspindle-Deadline-Ms"
REPEATABLE = "Fireflyspindle-Repeatable"
IDEMPOTENCY_KEY = "Idempotency-Key"
REQUEST_ID = "Fireflyspindle-Request-Id"

OUTCOME = "Fireflyspindle-Outcome"
RETRY_AFTER = "Retry-After"

IN_FLIGHT = "Fireflyspindle-In-Flight"
LEAVING = "Fireflyspindle-Leaving"
INCARNATION = "Fireflyspindle-Incarnation"
NOT_RUN = "Fireflyspindle-Not-Run"

# Headers of one connection, never carried on (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
