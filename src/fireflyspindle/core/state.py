"""The state that the reducer owns and updates in place."""

import collections
import enum
import random

import attrs

from fireflyspindle.core import budgets
from fireflyspindle.core import claim_state
from fireflyspindle.core import configuration as configuration_lib
from fireflyspindle.core import effects
from fireflyspindle.core import forecast_state
from fireflyspindle.core import incarnations
from fireflyspindle.core import load as load_lib
from fireflyspindle.core import members
from fireflyspindle.core import published
from fireflyspindle.core import queueing
from fireflyspindle.core import recent_records as recent_records_lib
from fireflyspindle.core import records
from fireflyspindle.core import recovery_state
from fireflyspindle.core import steps as steps_lib
from fireflyspindle.core import store_state
from fireflyspindle.core import targets as targets_lib
from fireflyspindle.core import timers as timers_lib


@attrs.define(frozen=True)
class CoreSettings:
    """Settings of the core.

    Attributes:
        host_id: Id of this gate host's incarnation, unique for each start.
        failure_domain: Failure domain that this gate host runs in.
        drain_grace_ms: Time for which a host that stops still takes calls.
        drain_limit_ms: Hard limit of a planned stop.
        claims: Settings of claims.
        incarnation: Grows with each start of the host.
        control_address: Address at which peers reach this gate host.
        peer_addresses: Control addresses of peers to ask at first.
        reader_version: Newest configuration payloads that are read.
        log_keep_s: Time for which the log keeps a record.
        store: Settings of a host that the platform's store drives; None for
            one that the log of records drives.
    """

    host_id: str
    failure_domain: str = ""
    drain_grace_ms: int = 0
    drain_limit_ms: int = 60_000
    claims: claim_state.ClaimSettings = claim_state.ClaimSettings()
    incarnation: int = 0
    control_address: str = ""
    peer_addresses: tuple[str, ...] = ()
    reader_version: int = records.READER_VERSION
    log_keep_s: int = 3_600
    store: store_state.StoreSettings | None = None


class CallPhase(enum.Enum):
    """Where a call stands for its caller."""

    WAITING = "waiting"
    FORWARDING = "forwarding"
    ANSWERED = "answered"


@attrs.define
class Attempt:
    """One sending of a call's request to a target.

    Attributes:
        number: Number of the attempt within the call, from 1.
        target: The target.
        started_us: Time of sending.
        service: Service of the target.
        pace: Pace that was expected of the target.
        crowded: Whether the target's slots were nearly all taken.
        declined: Whether the target stated that it ran nothing.
    """

    number: int
    target: targets_lib.Target
    started_us: int
    service: "ServiceState"
    pace: float = 1.0
    crowded: bool = False
    declined: bool = False


@attrs.define
class Call:
    """A call that has not ended in all its parts.

    Attributes:
        call_id: Number of the call.
        service: Name of the service it goes to.
        tenant: Name of the tenant.
        traffic_class: Name of the class.
        repeatable: Whether the request may run more than once.
        resendable: Whether the shell holds the body for another attempt.
        arrived_us: Time of arrival.
        deadline_us: Time at which the caller gives up.
        phase: Where it stands for its caller.
        attempts: Attempts that have not ended, by number.
        sent_attempts: Number of attempts made so far.
        outcome: What the caller was told, once it was.
        target_us: Time spent at the answering target.
        last_target: Address of the target of the latest attempt.
        tried: Addresses of the targets of all attempts.
        counted: Whether it counts towards limits.
        maybe_ran: Whether an attempt ended without a word on having run.
        status: HTTP status of a target's answer that ran it, or 0.
        claim: Its part in the claims of its key, if it has one.
        request_id: Id of the request.
        route: Name of the published rule that it came by, if any.
        aim_us: Time by which an answer is worth most, if it is stated.
        max_attempts: Most targets that it may be sent to.
        priority: Rank of its route; 0 is the most urgent.
        unreached_attempts: Attempts that never reached their target.
        look: Loads that are asked for before its next attempt, if any.
        steps: What was decided for it.
    """

    call_id: int
    service: str
    tenant: str
    traffic_class: str
    repeatable: bool
    resendable: bool
    arrived_us: int
    deadline_us: int
    phase: CallPhase = CallPhase.WAITING
    attempts: dict[int, Attempt] = attrs.field(factory=dict)
    sent_attempts: int = 0
    outcome: effects.Outcome | None = None
    target_us: int = 0
    last_target: str = ""
    tried: set[str] = attrs.field(factory=set)
    counted: bool = False
    maybe_ran: bool = False
    status: int = 0
    claim: claim_state.ClaimUse | None = None
    request_id: str = ""
    route: str = ""
    aim_us: int | None = None
    max_attempts: int = 3
    priority: int = 0
    unreached_attempts: int = 0
    look: "Look | None" = None
    steps: steps_lib.Steps = attrs.field(factory=steps_lib.Steps)

    def note(
        self,
        now_us: int,
        what: str,
        target: str = "",
        **inputs: str | int | float | bool,
    ) -> None:
        """Keeps a step of a call that came by a published rule."""
        if not self.route:
            return
        at_us = now_us - self.arrived_us
        self.steps.add(
            steps_lib.Step(at_us, what, target, tuple(inputs.items()))
        )


@attrs.define
class Look:
    """Loads that a call asks for before an attempt.

    Attributes:
        number: Number of the look.
        round: Number of the round of targets, from 1.
        waiting: Numbers of the probes that have not ended.
    """

    number: int
    round: int
    waiting: set[int]


@attrs.define(frozen=True)
class SlotSeen:
    """The latest record of a probe slot, and when this host read it."""

    offset: int
    read_us: int


@attrs.define(frozen=True)
class SlotClaim:
    """A record of a probe slot that was sent and has not been read back.

    Attributes:
        number: Number of the record.
        before_offset: Offset of the slot's record before it, or None.
        sent_us: Time of sending.
    """

    number: int
    before_offset: int | None
    sent_us: int


@attrs.define
class ProbeSlots:
    """What this gate host knows of the fleet's probe slots.

    Attributes:
        reading: Whether the first read was asked for.
        listening_us: Time since which every record was read, or None.
        whole: Whether the stream was read from its very first record.
        seen: Latest record of each slot.
        pending: Own record that is on its way.
        owned: Slot that this gate host owns, or None.
        valid_until_us: Time until which it may use the slot.
        last_number: Number of its latest record.
    """

    reading: bool = False
    listening_us: int | None = None
    whole: bool = False
    seen: dict[int, SlotSeen] = attrs.field(factory=dict)
    pending: SlotClaim | None = None
    owned: int | None = None
    valid_until_us: int = 0
    last_number: int = 0


@attrs.define(frozen=True)
class Probe:
    """A probe that has not ended.

    Attributes:
        service: Name of the service.
        target: Key of the target.
        call_id: Number of the call that looks at the target, or 0.
    """

    service: str
    target: str
    call_id: int = 0


@attrs.define
class Capacity:
    """Limits of the attempts that a service has in flight.

    Attributes:
        narrow: Limit for tenants that have more than their part.
        wide: Limit for everybody.
        offered: Calls of the last seconds, older ones fading.
        weights: Sum of the weights of the tenants that offer calls.
        overdrawn: Tenants that offer well above their share.
        check_us: Time at which they are worked out again.
    """

    narrow: float = 0.0
    wide: float = 0.0
    offered: float = 0.0
    weights: int = 0
    overdrawn: set[str] = attrs.field(factory=set)
    check_us: int = 0


@attrs.define
class ServiceState:
    """What this gate host knows of one service.

    Attributes:
        name: Name of the service.
        payload: The record that the targets were last brought in line with.
        policy: The policy that they were last brought in line with.
        targets: Targets by address.
        candidates: Targets that this gate host looks at for each choice.
        others: Targets of a large service that are only sampled.
        load: Estimates of load over all targets.
        hedge_budget: Hedges that it may still make.
        probes_sent_us: Times of its latest probes.
        looks_ahead: Whether targets are asked for their load before a call
            is sent.
        pace: Estimates of how long work takes at this moment.
        room: Calls that wait for room at a target, by number.
        room_armed: Whether a look for room is due.
        repeats: Sends beyond the first of each request; None where the
            budgets of retries and hedges hold.
        ejected: Targets that are ejected, by address.
        retry_budget: Retries that it may still make.
        queue: Calls that wait for a target.
        in_flight: Attempts that have not ended.
        tenants: Attempts that have not ended, by tenant.
        offered: Calls of the last seconds by tenant, older ones fading.
        capacity: Limits of the attempts in flight.
        answers: Good answers whose time was taken.
        latency_us: Moving average of the time to a good answer; 0 for none.
        quick_us: Time that a quick answer takes; 0 for none.
        failure_share: Moving average of failed attempts.
    """

    name: str
    payload: records.Service | None = None
    policy: records.Policy | None = None
    targets: dict[str, targets_lib.Target] = attrs.field(factory=dict)
    candidates: list[targets_lib.Target] = attrs.field(factory=list)
    others: list[targets_lib.Target] = attrs.field(factory=list)
    load: load_lib.ServiceLoad = attrs.field(factory=load_lib.ServiceLoad)
    ejected: dict[str, targets_lib.Target] = attrs.field(factory=dict)
    queue: queueing.FairQueue = attrs.field(factory=queueing.FairQueue)
    in_flight: int = 0
    tenants: dict[str, int] = attrs.field(factory=dict)
    offered: dict[str, float] = attrs.field(factory=dict)
    capacity: Capacity = attrs.field(factory=Capacity)
    answers: int = 0
    latency_us: float = 0.0
    quick_us: float = 0.0
    failure_share: float = 0.0
    retry_budget: budgets.ShareBudget = attrs.field(factory=budgets.ShareBudget)
    hedge_budget: budgets.ShareBudget = attrs.field(
        factory=lambda: budgets.ShareBudget(tokens=0.0)
    )
    probes_sent_us: collections.deque[int] = attrs.field(
        factory=collections.deque
    )
    looks_ahead: bool = False
    pace: forecast_state.ServicePace = attrs.field(
        factory=forecast_state.ServicePace
    )
    room: dict[int, None] = attrs.field(factory=dict)
    room_armed: bool = False
    repeats: budgets.WindowBudget | None = None


@attrs.define
class LogPosition:
    """How far this gate host has read one stream of the log.

    Attributes:
        next_offset: First offset that has not been read.
        known_offset: Next offset of the log, or None before the first read.
        failures: Reads that have failed since the last one that succeeded.
    """

    next_offset: int = 0
    known_offset: int | None = None
    failures: int = 0


@attrs.define
class RateBucket:
    """Calls that a tenant may still make at this gate host.

    Attributes:
        calls: Calls at hand.
        filled_us: Time up to which calls were credited.
    """

    calls: float
    filled_us: int


@attrs.define
class Use:
    """What tenants and classes use of this gate host.

    Attributes:
        tenants: Calls admitted that have not ended, by tenant.
        classes: Calls admitted that have not ended, by class.
        rates: Buckets of the tenants with a limit per second.
        fleet_size: Gate hosts that take calls, as last counted.
        fleet_check_us: Time at which they are counted again.
    """

    tenants: dict[str, int] = attrs.field(factory=dict)
    classes: dict[str, int] = attrs.field(factory=dict)
    rates: dict[str, RateBucket] = attrs.field(factory=dict)
    fleet_size: int = 1
    fleet_check_us: int = 0


@attrs.define
class GateState:
    """Everything a gate host knows.

    Attributes:
        settings: Settings of the core.
        random: Seeded generator; the only source of randomness.
        claims: Claims of keyed calls.
        now_us: Time of the event at hand.
        configuration: Records in force.
        services: State of each service by name.
        calls: Calls that have not ended, by number.
        recent_records: The latest configuration records, for peers.
        recovery: How the whole configuration is reached and kept.
        membership: The other gate hosts.
        log_positions: How far each stream of the log has been read.
        appends: Stream of each append that has not been settled, by number.
        last_append_id: Number of the latest append.
        use: What tenants and classes use of this gate host.
        freed: Services with queued calls where attempts have ended.
        tenures: Incarnations seen at each address of a target.
        timers: Timers of all matters.
        host_list_reads: Reads of the host list that succeeded.
        host_list_failures: Reads of the host list that failed.
        stopping: Whether a planned stop has begun.
        listening: Whether new connections of callers are taken.
        probe_slots: Rights to probe.
        probes: Probes that have not ended, by number.
        last_probe_id: Number of the latest probe.
        outbox: Effects of the event at hand.
        store_reads: Reads of the platform's store by source.
        accepting: Whether a host that the store drives accepts callers.
        following: Whom this host follows for what the store says.
        rules: Published rules in force.
        service_terms: Published terms of services by name.
        registered: Targets that registered themselves, by id.
        last_look: Number of the latest look.
        probe_tokens: Probes that this gate host may send.
        probe_tokens_us: Time up to which these were credited.
    """

    settings: CoreSettings
    random: random.Random
    claims: claim_state.ClaimState
    now_us: int = 0
    configuration: configuration_lib.Configuration = attrs.field(
        factory=configuration_lib.Configuration
    )
    services: dict[str, ServiceState] = attrs.field(factory=dict)
    calls: dict[int, Call] = attrs.field(factory=dict)
    recent_records: recent_records_lib.RecentRecords = attrs.field(
        factory=recent_records_lib.RecentRecords
    )
    recovery: recovery_state.Recovery = attrs.field(
        factory=recovery_state.Recovery
    )
    membership: members.Membership = attrs.field(factory=members.Membership)
    log_positions: dict[str, LogPosition] = attrs.field(factory=dict)
    appends: dict[int, str] = attrs.field(factory=dict)
    last_append_id: int = 0
    use: Use = attrs.field(factory=Use)
    freed: list[str] = attrs.field(factory=list)
    tenures: dict[str, incarnations.Tenure] = attrs.field(factory=dict)
    timers: timers_lib.TimerQueue = attrs.field(factory=timers_lib.TimerQueue)
    host_list_reads: int = 0
    host_list_failures: int = 0
    stopping: bool = False
    listening: bool = True
    probe_slots: ProbeSlots = attrs.field(factory=ProbeSlots)
    probes: dict[int, Probe] = attrs.field(factory=dict)
    last_probe_id: int = 0
    outbox: list[effects.Effect] = attrs.field(factory=list)
    store_reads: dict[store_state.Source, store_state.Reads] = attrs.field(
        factory=dict
    )
    accepting: bool = False
    following: store_state.Following = attrs.field(
        factory=store_state.Following
    )
    rules: published.RuleTable = attrs.field(factory=published.RuleTable)
    service_terms: dict[str, published.ServiceTerms] = attrs.field(factory=dict)
    registered: dict[str, store_state.Known] = attrs.field(factory=dict)
    last_look: int = 0
    probe_tokens: float = 0.0
    probe_tokens_us: int = 0

    def emit(self, effect: effects.Effect) -> None:
        """Adds an effect to those of the event at hand."""
        self.outbox.append(effect)


def new(settings: CoreSettings, seed: int) -> GateState:
    """Returns the state of a gate host that has just started.

    The seed must differ for each start of a host: claims tell a host from the
    one that it replaces by it.
    """
    incarnation = random.Random(seed).getrandbits(64)
    writer = f"{settings.host_id}/{incarnation:016x}"
    state = GateState(
        settings=settings,
        random=random.Random(seed),
        claims=claim_state.ClaimState(settings.claims, writer),
    )
    state.configuration.reader_version = settings.reader_version
    return state
