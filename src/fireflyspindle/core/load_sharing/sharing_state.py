"""State of the decisions under shortage at a gate host."""

import attrs


@attrs.define
class Served:
    """Requests of one organisation that were sent lately.

    Attributes:
        requests: Requests, decayed exponentially up to `updated_us`.
        updated_us: Time of the latest request.
    """

    requests: float = 0.0
    updated_us: int = 0


@attrs.define
class Shortage:
    """How fast waiting calls of a service were sent lately.

    Attributes:
        sent: Calls that were sent while calls waited, decayed exponentially.
        waited_us: Time in which calls waited, decayed in the same way.
        updated_us: Time up to which both are decayed.
    """

    sent: float = 0.0
    waited_us: float = 0.0
    updated_us: int = 0


@attrs.define
class SharingState:
    """What this gate host needs to share capacity under shortage.

    Attributes:
        weights: Weight of each organisation; empty without organisations.
        default_weight: Weight of calls without an organisation.
        served: Recent requests by service and organisation.
        shortages: Recent shortage by service.
        refused_early: Calls that were refused because they could not be
            reached in time.
    """

    weights: dict[str, float] = attrs.field(factory=dict)
    default_weight: float = 1.0
    served: dict[tuple[str, str], Served] = attrs.field(factory=dict)
    shortages: dict[str, Shortage] = attrs.field(factory=dict)
    refused_early: int = 0
