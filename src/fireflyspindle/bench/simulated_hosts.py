"""Simulated gate hosts and their attempts in flight."""

import attrs

from fireflyspindle.bench import fake_target
from fireflyspindle.bench import virtual
from fireflyspindle.core import effects


@attrs.define(eq=False)
class AttemptInFlight:
    """One attempt in flight.

    Attributes:
        host: Gate host that sent it.
        effect: Effect that started the attempt.
        target: Target of the attempt.
        request: The request at the target, or None before it arrived.
        ended: Whether its end was reported to the gate host.
        answered: Whether its response headers were reported.
    """

    host: "Host"
    effect: effects.SendToTarget
    target: fake_target.FakeTarget
    request: fake_target.Request | None = None
    ended: bool = False
    answered: bool = False


@attrs.define(eq=False)
class Host:
    """One incarnation of a gate host.

    Attributes:
        name: Name of the incarnation, also used as its address.
        index: Index of the host in the fleet.
        gate: Reducer of the host, run on the timeline.
        attempts: Attempts in flight, by call and attempt number.
        pending_calls: Calls received that have no outcome yet.
        in_load_balancer: Whether the load balancer sends it calls.
        fault_free_since_us: Start of the current fault-free period; -1 during
            a fault.
        skew_ms: Offset of its wall clock, in milliseconds.
    """

    name: str
    index: int
    gate: virtual.VirtualGate
    attempts: dict[tuple[int, int], AttemptInFlight] = attrs.field(factory=dict)
    pending_calls: set[int] = attrs.field(factory=set)
    in_load_balancer: bool = True
    fault_free_since_us: int = 0
    skew_ms: int = 0
