"""Gate hosts of a world, and the attempts that they have on their way."""

import attrs

from fireflyspindle.bench import fake_target
from fireflyspindle.bench import virtual
from fireflyspindle.core import effects


@attrs.define(eq=False)
class Sent:
    """One attempt on its way.

    Attributes:
        host: Gate host that sent it.
        effect: What was asked for.
        target: Where it went.
        work: The request at the target, once it arrived.
        ended: Whether its end was reported to the gate host.
        answered: Whether the headers of its answer were reported.
    """

    host: "Host"
    effect: effects.SendToTarget
    target: fake_target.FakeTarget
    work: fake_target.Work | None = None
    ended: bool = False
    answered: bool = False


@attrs.define(eq=False)
class Host:
    """One incarnation of a gate host.

    Attributes:
        name: Name of the incarnation, which is its address too.
        place: Number of its place in the fleet.
        gate: The reducer on the timeline.
        sent: Attempts that have not ended, by call and number.
        open_calls: Calls that it took and that were not told.
        listed: Whether the balancer sends it callers.
        disturbed_us: Time at which it was last held up, or began.
        skew_ms: How far its wall clock runs ahead.
    """

    name: str
    place: int
    gate: virtual.VirtualGate
    sent: dict[tuple[int, int], Sent] = attrs.field(factory=dict)
    open_calls: set[int] = attrs.field(factory=set)
    listed: bool = True
    disturbed_us: int = 0
    skew_ms: int = 0
