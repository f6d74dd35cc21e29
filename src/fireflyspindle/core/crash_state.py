"""State of the requests that were in progress at targets when these crashed."""

import attrs

from fireflyspindle.core import events


@attrs.define
class LostConnections:
    """Requests that lost their connection to a target, before it is known why.

    Attributes:
        service: Name of the target's service.
        lost_us: Time of the first loss.
        fingerprints: Fingerprints of the requests.
        refused: Whether the target has refused a connection since.
        crashed: Whether the target has crashed.
    """

    service: str
    lost_us: int
    fingerprints: set[str] = attrs.field(factory=set)
    refused: bool = False
    crashed: bool = False


@attrs.define
class CrashState:
    """What this host knows of crashes of targets.

    Attributes:
        checks: Lost connections whose reason is being found out, by target.
    """

    checks: dict[events.TargetStart, LostConnections] = attrs.field(
        factory=dict
    )
