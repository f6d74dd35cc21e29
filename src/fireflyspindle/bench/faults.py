"""Random faults of a history run, each with its span."""

import random

import attrs

MIN_SPAN_US = 200_000
MAX_SPAN_US = 4_000_000


@attrs.define(frozen=True)
class LogDown:
    """The log service answers nobody, or some gate hosts only."""

    gates: tuple[int, ...]


@attrs.define(frozen=True)
class LogSlow:
    """Each request to the log takes this much longer."""

    delay_us: int


@attrs.define(frozen=True)
class LogAnswersLost:
    """Appends take effect or not, and their answers are lost."""


@attrs.define(frozen=True)
class GatePaused:
    """A gate host is frozen."""

    gate: int


@attrs.define(frozen=True)
class GateCrashed:
    """A gate host is killed and another takes its place."""

    gate: int


@attrs.define(frozen=True)
class GateReplaced:
    """A gate host is stopped as planned and another takes its place."""

    gate: int


@attrs.define(frozen=True)
class PeersParted:
    """Two groups of gate hosts can't reach each other."""

    group: frozenset[int]


@attrs.define(frozen=True)
class AnswersDisturbed:
    """Answers of targets are lost, late, doubled or crossed."""


@attrs.define(frozen=True)
class TargetLeaving:
    """A target drains, stops, and comes back as another incarnation."""

    target: int


@attrs.define(frozen=True)
class TargetFailing:
    """A target fails every request at once."""

    target: int


@attrs.define(frozen=True)
class TargetSlow:
    """A target takes many times longer."""

    target: int


@attrs.define(frozen=True)
class OperatorsRace:
    """Two operators publish the same key at the same moment."""


Fault = (
    LogDown
    | LogSlow
    | LogAnswersLost
    | GatePaused
    | GateCrashed
    | GateReplaced
    | PeersParted
    | AnswersDisturbed
    | TargetLeaving
    | TargetFailing
    | TargetSlow
    | OperatorsRace
)


@attrs.define(frozen=True)
class Planned:
    """A fault with its place in time."""

    at_us: int
    span_us: int
    fault: Fault


def kind(fault: Fault) -> str:
    """Returns the name under which a fault is counted."""
    return type(fault).__name__


def plan(
    generator: random.Random,
    count: int,
    length_us: int,
    gates: int,
    targets: int,
) -> list[Planned]:
    """Returns `count` faults at random times; they may overlap."""
    return [
        Planned(
            at_us=generator.randrange(length_us),
            span_us=generator.randrange(MIN_SPAN_US, MAX_SPAN_US),
            fault=_fault(generator, gates, targets),
        )
        for _ in range(count)
    ]


def _fault(generator: random.Random, gates: int, targets: int) -> Fault:
    gate = generator.randrange(gates)
    target = generator.randrange(targets)
    some = tuple(index for index in range(gates) if generator.random() < 0.5)
    return generator.choice(
        (
            LogDown(some),
            LogDown(tuple(range(gates))),
            LogSlow(generator.randrange(50_000, 1_500_000)),
            LogAnswersLost(),
            GatePaused(gate),
            GateCrashed(gate),
            GateReplaced(gate),
            PeersParted(frozenset(some)),
            AnswersDisturbed(),
            AnswersDisturbed(),
            TargetLeaving(target),
            TargetFailing(target),
            TargetSlow(target),
            OperatorsRace(),
        )
    )
