"""What a gate host knows of each target."""

import attrs

from fireflyspindle.core import records


@attrs.define
class Target:
    """One endpoint as this gate host sees it.

    Attributes:
        spec: The endpoint as configured.
        in_flight: Attempts of this gate host that have not ended.
        leaving: Whether a sign of leaving was seen; it stays for good.
        affinity: This host's fixed random preference, to break ties.
    """

    spec: records.TargetSpec
    in_flight: int = 0
    leaving: bool = False
    affinity: float = 0.0
