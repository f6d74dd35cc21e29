"""The decision trace of a call, kept until it ends, for the log.

Steps hold plain values; only those of logged calls are formatted as text.
"""

import attrs

# Maximum steps kept per call; a call that waits through many probe rounds
# exceeds it.
MAX_STEPS = 24


@attrs.define(frozen=True)
class Step:
    """One decision or event in the processing of a call.

    Attributes:
        at_us: Time since the call arrived.
        what: Short machine-readable code.
        target: Key of the target concerned, or an empty string.
        inputs: Names and values that the decision was based on.
    """

    at_us: int
    what: str
    target: str = ""
    inputs: tuple[tuple[str, str | int | float | bool], ...] = ()


@attrs.define
class Steps:
    """The steps of one call.

    Attributes:
        kept: The first steps.
        dropped_count: Number of later steps that were not kept.
    """

    kept: list[Step] = attrs.field(factory=list)
    dropped_count: int = 0

    def add(self, step: Step) -> None:
        """Keeps a step, or counts it if there are too many."""
        if len(self.kept) < MAX_STEPS:
            self.kept.append(step)
        else:
            self.dropped_count += 1


def as_data(steps: Steps) -> list[dict[str, str | int | float | bool]]:
    """Returns the steps as JSON data, with times in milliseconds."""
    return [
        {
            "ms": round(step.at_us / 1000, 1),
            "what": step.what,
            **({"target": step.target} if step.target else {}),
            **dict(step.inputs),
        }
        for step in steps.kept
    ]
