"""State of the evacuations of failure domains."""

import attrs


@attrs.define
class Evacuation:
    """An evacuation that is in force on this gate host.

    Attributes:
        started_us: Time at which it came into force here.
        in_flight: Requests to targets of the failure domain that were sent
            before and have not ended.
    """

    started_us: int
    in_flight: int = 0


@attrs.define
class Evacuations:
    """The evacuations in force.

    Attributes:
        by_domain: Evacuation by failure domain.
    """

    by_domain: dict[str, Evacuation] = attrs.field(factory=dict)
