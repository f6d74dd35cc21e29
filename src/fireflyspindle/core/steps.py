"""What was decided for a call, kept until it ends, for the log.

Steps hold values; they become text only for the calls that are logged.
"""

import attrs

# Steps kept of one call; a call that looks for room many times has more.
MAX_STEPS = 24


@attrs.define(frozen=True)
class Step:
    """One decision, or one thing that happened to a call.

    Attributes:
        at_us: Time since the call arrived.
        what: Short machine-readable word.
        target: Key of the target that it is about, or an empty string.
        inputs: Names and values that decided it.
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
        left_out: Number of steps that came after those.
    """

    kept: list[Step] = attrs.field(factory=list)
    left_out: int = 0

    def add(self, step: Step) -> None:
        """Keeps a step, or counts it."""
        if len(self.kept) < MAX_STEPS:
            self.kept.append(step)
        else:
            self.left_out += 1


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
