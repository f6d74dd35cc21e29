"""State of whether this gate host reaches any target."""

import attrs

# Shortest time limit of a check whether targets are reachable.
CHECK_TIMEOUT_US = 100_000


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
        check_answered_us: Time at which the latest of them was sent.
        check_timeout_us: Time limit of a check.
    """

    answered_us: int = 0
    failed_targets: set[str] = attrs.field(factory=set)
    silent_us: int = 0
    lost_us: int | None = None
    check_answers: int = 0
    check_answered_us: int = 0
    check_timeout_us: int = CHECK_TIMEOUT_US

    @property
    def lost(self) -> bool:
        """Whether no target is reachable."""
        return self.lost_us is not None
