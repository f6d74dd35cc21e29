"""State that a gate host keeps for each target."""

import enum

import attrs

from fireflyspindle.core import forecast_state
from fireflyspindle.core import load as load_lib
from fireflyspindle.core import records


@attrs.define
class Health:
    """Health of a target as measured by this gate host.

    Attributes:
        outcome_samples: Number of attempts with a known outcome.
        latency_samples: Number of latency samples.
        consecutive_failures: Failed attempts since the last success.
        refused_connections: Refused connections since the last answer.
        failure_share: Moving average of the share of failed attempts.
        latency_us: Moving average of the latency of answers.
        last_duration_us: Duration of the last attempt.
        ejections: Ejections that count towards the length of the next one.
        ejected_us: Time at which it was ejected.
        ejected_until_us: Time from which an ejected target gets trial calls.
        trials_passed: Consecutive successful trial calls.
        returned_us: Time at which its last ejection ended.
    """

    outcome_samples: int = 0
    latency_samples: int = 0
    consecutive_failures: int = 0
    refused_connections: int = 0
    failure_share: float = 0.0
    latency_us: float = 0.0
    last_duration_us: int = 0
    ejections: int = 0
    ejected_us: int = 0
    ejected_until_us: int = 0
    trials_passed: int = 0
    returned_us: int = 0


@attrs.define(frozen=True)
class DiscoveredTarget(records.TargetSpec):
    """A target as described by its own entry in the store.

    Attributes:
        incarnation: Id of the target.
        started_ms: Wall-clock time of its start; a target may restart under the
            same id.
    """

    incarnation: str = ""
    started_ms: int = 0

    @property
    def key(self) -> str:
        """The id, because another target may reuse an address."""
        return self.incarnation


class AnswerKind(enum.Enum):
    """Kind of an answer of a target.

    Attributes:
        EXECUTED: An answer to a request that the target ran.
        DECLINED: An answer to a request that the target did not run.
        PROBE: An answer to a load probe.
    """

    EXECUTED = "executed"
    DECLINED = "declined"
    PROBE = "probe"


@attrs.define
class RateLimit:
    """A target's limit on the requests from all gate hosts together.

    Attributes:
        requests_per_s: The limit.
        stated_us: Time at which the target first stated a limit.
        permits: Requests that this gate host may send; the fraction is what has
            accrued of the next one.
        refilled_us: Time up to which the permits have accrued.
        permits_per_us: Rate at which they accrue.
        divided_by: Number of gate hosts on which that rate rests; 0 before it
            has been computed.
        stated_by: Kinds of the answers that stated it.
        heard_us: Time at which it was last stated.
        logged_us: Time of the latest log line about it.
    """

    requests_per_s: float
    stated_us: int
    permits: float
    refilled_us: int
    permits_per_us: float = 0.0
    divided_by: int = 0
    stated_by: set[AnswerKind] = attrs.field(factory=set)
    heard_us: int = 0
    logged_us: int = 0


@attrs.define
class Target:
    """State of one target at this gate host.

    Attributes:
        spec: The target as configured.
        in_flight: Attempts of this gate host that have not ended.
        leaving: Whether its current incarnation is leaving.
        ejected: Whether it gets no calls except trial calls.
        health: Health as measured by this gate host.
        slow_start_from_us: Time at which its slow start began.
        slow_start_until_us: Time at which its slow start ends.
        domain_penalty: Penalty for its failure domain, as a number of attempts
            in flight.
        max_connections: Maximum connections that this gate host opens to it.
        load: Estimate of its load.
        reported_load: Load and slowdown that it last reported.
        rate_limit: Limit on its requests; None while it states none.
        invalid_limit_us: Time of the latest log line about an invalid limit.
        paused_until_us: End of the pause that it asked for.
        invalid_header_us: Time of the latest log line about invalid headers.
        largest_queue: Longest queue that it has reported.
        reported_empty_us: Time since which it has reported no requests while
            this gate host had overdue attempts there; 0 if it hasn't.
    """

    spec: records.TargetSpec
    in_flight: int = 0
    leaving: bool = False
    domain_penalty: float = 0.0
    max_connections: int = 1_000
    load: load_lib.TargetLoad = attrs.field(factory=load_lib.TargetLoad)
    reported_load: forecast_state.LoadReportState = attrs.field(
        factory=forecast_state.LoadReportState
    )
    ejected: bool = False
    health: Health = attrs.field(factory=Health)
    slow_start_from_us: int = 0
    slow_start_until_us: int = 0
    rate_limit: RateLimit | None = None
    invalid_limit_us: int = load_lib.NEVER_US
    paused_until_us: int = 0
    invalid_header_us: int = load_lib.NEVER_US
    largest_queue: int = 0
    reported_empty_us: int = 0


def on_attempt_started(target: Target, now_us: int) -> None:
    """Counts an attempt that starts."""
    target.in_flight += 1


def on_attempt_ended(target: Target, now_us: int) -> None:
    """Counts an attempt that has ended."""
    target.in_flight -= 1
