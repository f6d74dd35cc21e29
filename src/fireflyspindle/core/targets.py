"""What a gate host knows of each target."""

import attrs

from fireflyspindle.core import forecast_state
from fireflyspindle.core import load as load_lib
from fireflyspindle.core import records


@attrs.define
class Health:
    """Outcomes and times of a target as this gate host sees them.

    Attributes:
        outcomes: Attempts judged.
        answers: Answers whose time was taken.
        failures_in_row: Failures since the last good answer.
        refusals: Refused connections since the last answer.
        failure_share: Moving average of failed attempts.
        latency_us: Moving average of the time to an answer.
        last_us: Time that the last attempt took.
        ejections: Ejections whose pauses still add up.
        ejected_us: Time at which it was ejected.
        ejected_until_us: Time from which an ejected target is tried.
        trials_passed: Trial calls that went well in a row.
        returned_us: Time at which it came back from an ejection.
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
    """One endpoint as this gate host sees it.

    Attributes:
        spec: The endpoint as configured.
        in_flight: Attempts of this gate host that have not ended.
        leaving: Whether its present incarnation is leaving.
        ejected: Whether it is left out but for trial calls.
        health: Outcomes and times as this gate host sees them.
        cold_from_us: Time at which its slow start began.
        warm_at_us: Time at which its slow start ends.
        distance: Disadvantage of its failure domain, in attempts in flight.
        connection_share: Most connections that this gate host opens to it.
        load: Estimate of its load.
        seen: What it last stated of its load and pace.
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
    """Counts an attempt that begins."""
    target.in_flight += 1


def on_end(target: Target, now_us: int) -> None:
    """Counts an attempt that has ended."""
    target.in_flight -= 1
