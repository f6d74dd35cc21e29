"""What a gate host knows of each target."""

import attrs

from fireflyspindle.core import events
from fireflyspindle.core import load as load_lib
from fireflyspindle.core import records


@attrs.define
class Target:
    """One endpoint as this gate host sees it.

    Attributes:
        spec: The endpoint as configured.
        in_flight: Attempts of this gate host that have not ended.
        leaving: Whether a sign of leaving was seen; it stays for good.
        affinity: This host's fixed preference, in attempts in flight; the
            least is preferred.
        connection_share: Most connections that this gate host opens to it.
        load: Estimate of its load.
    """

    spec: records.TargetSpec
    in_flight: int = 0
    leaving: bool = False
    affinity: float = 0.0
    connection_share: int = 1_000
    load: load_lib.TargetLoad = attrs.field(factory=load_lib.TargetLoad)


def on_begin(target: Target, now_us: int) -> None:
    """Counts an attempt that begins."""
    target.in_flight += 1


def on_answered(
    target: Target, report: events.LoadReport | None, now_us: int
) -> None:
    """Takes the load report on an answer."""
    if report is not None and report.leaving:
        target.leaving = True


def on_end(target: Target, now_us: int) -> None:
    """Counts an attempt that has ended."""
    target.in_flight -= 1
