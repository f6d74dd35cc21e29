"""Observed history of a simulated run of several gate hosts.

The simulation records what is observable from outside the gate hosts: what
callers sent and received, what targets ran, which probes were sent and which
revisions each host had active. `history_checks` uses nothing else.
"""

import attrs

from fireflyspindle.core import effects


@attrs.define
class ObservedCall:
    """One request of a caller.

    Attributes:
        call: Number of the request, unique in the run.
        gate: Name of the gate host that received it.
        arrived_us: Time at which the gate host received it.
        repeatable: Whether it may be executed more than once.
        key: Idempotency key, or an empty string.
        outcome: Outcome that the caller received, or None.
        completed_us: Time at which the caller received its outcome.
        response_to: Number of the request that the forwarded response answers.
        response_complete: Whether a forwarded response was complete.
        gate_crashed: Whether its gate host was killed before the outcome.
        aborted_by_shutdown: Whether its gate host exited in a graceful
            shutdown before the outcome.
        caller_disconnected: Whether the caller disconnected before the
            outcome.
    """

    call: int
    gate: str
    arrived_us: int
    repeatable: bool
    key: str = ""
    outcome: effects.Outcome | None = None
    completed_us: int = 0
    response_to: int | None = None
    response_complete: bool = True
    gate_crashed: bool = False
    aborted_by_shutdown: bool = False
    caller_disconnected: bool = False


@attrs.define
class ObservedExecution:
    """A target started to run a request."""

    call: int
    key: str
    target: str
    started_us: int


@attrs.define
class ObservedSend:
    """A gate host sent a request to a target."""

    call: int
    gate: str
    target: str
    sent_us: int


@attrs.define
class ObservedProbe:
    """A gate host sent a probe to a target."""

    service: str
    gate: str
    sent_us: int


@attrs.define
class ObservedDeparture:
    """A target started to announce that it is leaving.

    Attributes:
        target: Address of the target.
        announced_us: Time from which it announces it.
        returned_us: Time at which a new incarnation started, or None.
    """

    target: str
    announced_us: int
    returned_us: int | None = None


@attrs.define
class ObservedRevision:
    """A gate host activated a revision of a key."""

    gate: str
    key: str
    revision: int
    seen_us: int


@attrs.define
class ObservedAcceptance:
    """A record was appended that the configuration rules accept."""

    key: str
    revision: int
    accepted_us: int


@attrs.define
class FaultFreePeriod:
    """A period in which a gate host ran, not paused, with log access."""

    gate: str
    from_us: int
    until_us: int


@attrs.define
class History:
    """All observations of one run.

    Attributes:
        probe_budgets_per_s: Probe budget by service, in probes per second.
        faults: Number of faults by kind.
        events: Number of events fed to reducers.
    """

    calls: dict[int, ObservedCall] = attrs.field(factory=dict)
    executions: list[ObservedExecution] = attrs.field(factory=list)
    sends: list[ObservedSend] = attrs.field(factory=list)
    probes: list[ObservedProbe] = attrs.field(factory=list)
    leaving: list[ObservedDeparture] = attrs.field(factory=list)
    revisions: list[ObservedRevision] = attrs.field(factory=list)
    accepted: list[ObservedAcceptance] = attrs.field(factory=list)
    fault_free: list[FaultFreePeriod] = attrs.field(factory=list)
    probe_budgets_per_s: dict[str, float] = attrs.field(factory=dict)
    faults: dict[str, int] = attrs.field(factory=dict)
    events: int = 0
