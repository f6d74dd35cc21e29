"""State that a gate host keeps for each target."""

import attrs

from fireflyspindle.core import forecast_state
from fireflyspindle.core import load as load_lib
from fireflyspindle.core import records


@attrs.define
class Health:
    """Health of a target as measured by this gate host.

    Attributes:
        outcomes: Number of attempts with a known outcome.
        answers: Number of latency samples.
        failures_in_row: Consecutive failures.
        refusals: Refused connections since the last answer.
        failure_share: Moving average of the share of failed attempts.
        latency_us: Moving average of the latency of answers.
        last_us: Duration of the last attempt.
        ejections: Ejections that count towards the length of the next one.
        ejected_us: Time at which it was ejected.
        ejected_until_us: Time from which an ejected target gets trial calls.
        trials_passed: Consecutive successful trial calls.
        returned_us: Time at which its last ejection ended.
    """

    outcomes: int = 0
    answers: int = 0
    failures_in_row: int = 0
    refusals: int = 0
    failure_share: float = 0.0
    latency_us: float = 0.0
    last_us: int = 0
    ejections: int = 0
    ejected_us: int = 0
    ejected_until_us: int = 0
    trials_passed: int = 0
    returned_us: int = 0


@attrs.define
class Target:
    """State of one target at this gate host.

    Attributes:
        spec: The target as configured.
        in_flight: Attempts of this gate host that have not ended.
        leaving: Whether its current incarnation is leaving.
        ejected: Whether it gets no calls except trial calls.
        health: Health as measured by this gate host.
        cold_from_us: Time at which its slow start began.
        warm_at_us: Time at which its slow start ends.
        distance: Penalty for its failure domain, in attempts in flight.
        connection_share: Maximum connections that this gate host opens to it.
        load: Estimate of its load.
        seen: Load and pace that it last reported.
    """

    spec: records.TargetSpec
    in_flight: int = 0
    leaving: bool = False
    distance: float = 0.0
    connection_share: int = 1_000
    load: load_lib.TargetLoad = attrs.field(factory=load_lib.TargetLoad)
    seen: forecast_state.Seen = attrs.field(factory=forecast_state.Seen)
    ejected: bool = False
    health: Health = attrs.field(factory=Health)
    cold_from_us: int = 0
    warm_at_us: int = 0


def on_begin(target: Target, now_us: int) -> None:
    """Counts an attempt that starts."""
    target.in_flight += 1


def on_end(target: Target, now_us: int) -> None:
    """Counts an attempt that has ended."""
    target.in_flight -= 1
