"""State and counters of hedged requests."""

import collections
import enum

import attrs

from fireflyspindle.core.hedges import budget as budget_lib


class Cause(enum.Enum):
    """Why a request that was late enough was not hedged."""

    RUNS_ONCE = "runs_once"
    BODY_NOT_BUFFERED = "body_not_buffered"
    ROUTE_NOT_NAMED = "route_not_named"
    ATTEMPT_ENDED = "attempt_ended"
    MAX_ATTEMPTS = "max_attempts"
    SUSPECT = "suspect"
    DEADLINE = "deadline"
    STOPPING = "stopping"
    CALLS_WAITING = "calls_waiting"
    TARGETS_LOST = "targets_lost"
    LOAD = "load"
    HEDGE_BUDGET = "hedge_budget"
    RESEND_BUDGET = "resend_budget"
    NO_TARGET = "no_target"
    TARGET_EVACUATED = "target_evacuated"
    TARGET_LEAVING = "target_leaving"
    TARGET_EJECTED = "target_ejected"
    TARGET_UNRESPONSIVE = "target_unresponsive"
    TARGET_SLOW = "target_slow"
    TARGET_LIMIT = "target_limit"
    TARGET_FULL = "target_full"
    QUOTA = "quota"


@attrs.define
class Counters:
    """Counts of hedges since the start of the host.

    Attributes:
        sent: Hedges sent.
        won: Hedges whose answer was forwarded to the caller.
        refused: Hedges that were due and not sent, by cause.
    """

    sent: int = 0
    won: int = 0
    refused: collections.Counter[Cause] = attrs.field(
        factory=collections.Counter
    )


@attrs.define
class ServiceHedges:
    """Hedges of one service on this gate host.

    Attributes:
        budget: Budget of the operator's limit; None before the first call.
        stopped_by_load: Whether the last due hedge was refused because of the
            load of the targets.
        logged_us: Time of the latest log line about that.
    """

    budget: budget_lib.HedgeBudget | None = None
    stopped_by_load: bool = False
    logged_us: int | None = None
