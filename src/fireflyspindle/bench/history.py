"""What happened in a run of several gate hosts, as plain records.

The world writes these down as an observer outside every gate host would: what
callers sent and were told, what targets ran, what was probed, and which
revisions were in force where. `history_checks` reads nothing else.
"""

import attrs

from fireflyspindle.core import effects


@attrs.define
class CallSeen:
    """One request of a caller.

    Attributes:
        call: Number of the request, unique in the run.
        gate: Name of the gate host that took it.
        arrived_us: Time at which the gate host took it.
        repeatable: Whether it may run more than once.
        key: Idempotency key with its tenant, or an empty string.
        told: What the caller was told, or None.
        told_us: Time at which the caller had its whole answer.
        answer_of: Number of the request that the forwarded answer belongs to.
        whole: Whether a forwarded answer was whole.
        gate_crashed: Whether its gate host was killed before it was told.
        cut_by_stop: Whether its gate host exited by a planned stop before it
            was told.
        left: Whether the caller went away before it was told.
    """

    call: int
    gate: str
    arrived_us: int
    repeatable: bool
    key: str = ""
    told: effects.Outcome | None = None
    told_us: int = 0
    answer_of: int | None = None
    whole: bool = True
    gate_crashed: bool = False
    cut_by_stop: bool = False
    left: bool = False


@attrs.define
class RunSeen:
    """A target began to run a request."""

    call: int
    key: str
    target: str
    started_us: int


@attrs.define
class SendSeen:
    """A request reached a target's door."""

    call: int
    gate: str
    target: str
    sent_us: int


@attrs.define
class ProbeSeen:
    """A probe reached a target."""

    service: str
    gate: str
    sent_us: int


@attrs.define
class LeavingSeen:
    """A target showed its first sign of leaving.

    Attributes:
        target: Address of the target.
        shown_us: Time of the sign.
        returned_us: Time at which another incarnation took its place.
    """

    target: str
    shown_us: int
    returned_us: int | None = None


@attrs.define
class RevisionSeen:
    """A gate host put a revision of a key in force."""

    gate: str
    key: str
    revision: int
    seen_us: int


@attrs.define
class AcceptedSeen:
    """The log took a record that the fold of the whole log accepts."""

    key: str
    revision: int
    accepted_us: int


@attrs.define
class Undisturbed:
    """A span in which a gate host ran, awake and able to reach the log."""

    gate: str
    from_us: int
    until_us: int


@attrs.define
class History:
    """Everything seen in one run.

    Attributes:
        probe_budgets_per_s: Agreed budget by service.
        faults: Number of faults by kind.
        events: Number of events fed to reducers.
    """

    calls: dict[int, CallSeen] = attrs.field(factory=dict)
    runs: list[RunSeen] = attrs.field(factory=list)
    sends: list[SendSeen] = attrs.field(factory=list)
    probes: list[ProbeSeen] = attrs.field(factory=list)
    leaving: list[LeavingSeen] = attrs.field(factory=list)
    revisions: list[RevisionSeen] = attrs.field(factory=list)
    accepted: list[AcceptedSeen] = attrs.field(factory=list)
    undisturbed: list[Undisturbed] = attrs.field(factory=list)
    probe_budgets_per_s: dict[str, float] = attrs.field(factory=dict)
    faults: dict[str, int] = attrs.field(factory=dict)
    events: int = 0
