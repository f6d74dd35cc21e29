"""Random schedule of faults for a history run."""

import random

import attrs

MIN_DURATION_US = 200_000
MAX_DURATION_US = 4_000_000


@attrs.define(frozen=True)
class LogDown:
    """The log service is unreachable from the listed gate hosts."""

    gates: tuple[int, ...]


@attrs.define(frozen=True)
class LogSlow:
    """Each request to the log is delayed by `delay_us`."""

    delay_us: int


@attrs.define(frozen=True)
class LogAnswersLost:
    """Responses to appends are lost, whether or not the append took effect."""


@attrs.define(frozen=True)
class GatePaused:
    """A gate host is paused, as by SIGSTOP."""

    gate: int


@attrs.define(frozen=True)
class GateCrashed:
    """A gate host is killed and replaced."""

    gate: int


@attrs.define(frozen=True)
class GateReplaced:
    """A gate host is shut down gracefully and replaced."""

    gate: int


@attrs.define(frozen=True)
class PeersParted:
    """The network between `group` and the other gate hosts is partitioned."""

    group: frozenset[int]


@attrs.define(frozen=True)
class AnswersDisturbed:
    """Responses of targets are lost, delayed, duplicated or mismatched."""


@attrs.define(frozen=True)
class TargetLeaving:
    """A target drains, stops, and restarts as a new incarnation."""

    target: int


@attrs.define(frozen=True)
class TargetFailing:
    """A target rejects every request immediately."""

    target: int


@attrs.define(frozen=True)
class TargetSlow:
    """A target's service times are multiplied."""

    target: int


@attrs.define(frozen=True)
class OperatorsRace:
    """Two operators publish the same key concurrently."""


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
class ScheduledFault:
    """A fault with its start time and duration."""

    at_us: int
    duration_us: int
    fault: Fault


def kind(fault: Fault) -> str:
    """Returns the name under which faults of this kind are counted."""
    return type(fault).__name__


def schedule(
    generator: random.Random,
    count: int,
    window_us: int,
    gates: int,
    targets: int,
) -> list[ScheduledFault]:
    """Returns `count` faults at random times; they may overlap."""
    return [
        ScheduledFault(
            at_us=generator.randrange(window_us),
            duration_us=generator.randrange(MIN_DURATION_US, MAX_DURATION_US),
            fault=_random_fault(generator, gates, targets),
        )
        for _ in range(count)
    ]


def _random_fault(generator: random.Random, gates: int, targets: int) -> Fault:
    gate = generator.randrange(gates)
    target = generator.randrange(targets)
    subset = tuple(index for index in range(gates) if generator.random() < 0.5)
    return generator.choice(
        (
            LogDown(subset),
            LogDown(tuple(range(gates))),
            LogSlow(generator.randrange(50_000, 1_500_000)),
            LogAnswersLost(),
            GatePaused(gate),
            GateCrashed(gate),
            GateReplaced(gate),
            PeersParted(frozenset(subset)),
            AnswersDisturbed(),
            AnswersDisturbed(),
            TargetLeaving(target),
            TargetFailing(target),
            TargetSlow(target),
            OperatorsRace(),
        )
    )
