"""State of whether this gate host reaches any target."""

import attrs


@attrs.define
class Reachability:
    """Whether this gate host reaches any target of a group.

    Attributes:
        answered_us: Time of the latest answer.
        failed_targets: Keys of the targets that failed since then.
        silent_us: Time of the latest answer before no target was reachable.
        lost_us: Time at which no target was found reachable; None while some
            are.
        check_answers: Consecutive answers to checks since then.
    """

    answered_us: int = 0
    failed_targets: set[str] = attrs.field(factory=set)
    silent_us: int = 0
    lost_us: int | None = None
    check_answers: int = 0

    @property
    def lost(self) -> bool:
        """Whether no target is reachable."""
        return self.lost_us is not None
