"""State of the reducer, updated in place."""

import collections
import enum
import random

import attrs

from fireflyspindle.core import answer_times as answer_times_lib
from fireflyspindle.core import budgets
from fireflyspindle.core import claim_state
from fireflyspindle.core import configuration as configuration_lib
from fireflyspindle.core import crash_state
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import forecast_state
from fireflyspindle.core import held_state
from fireflyspindle.core import helper_state
from fireflyspindle.core import incarnations
from fireflyspindle.core import load as load_lib
from fireflyspindle.core import members
from fireflyspindle.core import published
from fireflyspindle.core import queueing
from fireflyspindle.core import reachability_state
from fireflyspindle.core import recent_records as recent_records_lib
from fireflyspindle.core import records
from fireflyspindle.core import recovery_state
from fireflyspindle.core import steps as steps_lib
from fireflyspindle.core import store_state
from fireflyspindle.core import targets as targets_lib
from fireflyspindle.core import timers as timers_lib
from fireflyspindle.core.evacuation import evacuation_state
from fireflyspindle.core.hedges import hedge_state
from fireflyspindle.core.load_sharing import sharing_state
from fireflyspindle.core.organisations import key_state
from fireflyspindle.core.quotas import quota_state


@attrs.define(frozen=True)
class CoreSettings:
    """Settings of the core.

    Attributes:
        host_id: Id of this gate host's incarnation, unique for each start.
        failure_domain: Failure domain that this gate host runs in.
        drain_grace_ms: Time for which a stopping host still accepts calls.
        drain_limit_ms: Hard limit on the duration of a planned stop.
        claims: Settings of claims.
        incarnation: Number that increases with each start of the host.
        control_address: Address at which peers reach this gate host.
        peer_addresses: Control addresses of the peers contacted at start.
        reader_version: Newest version of configuration payloads supported.
        log_keep_s: Retention of records in the log.
        store: Settings of a host that is configured by the platform's store;
            None for one that is configured by the log of records.
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
    """Progress of a call from its caller's view."""

    WAITING = "waiting"
    FORWARDING = "forwarding"
    ANSWERED = "answered"


@attrs.define
class Attempt:
    """One attempt to send a call's request to a target.

    Attributes:
        number: Number of the attempt within the call, from 1.
        target: The target.
        started_us: Time of sending.
        service: Service of the target.
        expected_slowdown: Expected processing time, relative to the usual time.
        near_capacity: Whether the target's slots were nearly all in use.
        declined: Whether the target stated that it did not run the request.
        answered: Whether the head of an answer of the service has arrived.
        relayed: Whether the target is a gate host that carries the call.
        hedge: Whether it was sent while another attempt was in flight, within
            the operator's limit.
    """

    number: int
    target: targets_lib.Target
    started_us: int
    service: "ServiceState"
    expected_slowdown: float = 1.0
    near_capacity: bool = False
    declined: bool = False
    answered: bool = False
    relayed: bool = False
    hedge: bool = False


@attrs.define
class Call:
    """A call that has not been answered or still has attempts in flight.

    Attributes:
        call_id: Number of the call.
        service: Name of the service that it is routed to.
        tenant: Name of the tenant.
        traffic_class: Name of the traffic class.
        repeatable: Whether the request may run more than once.
        resendable: Whether the shell buffers the body for another attempt.
        arrived_us: Time of arrival.
        deadline_us: Time at which the caller gives up.
        phase: Its progress from the caller's view.
        attempts: Attempts in flight by number.
        sent_attempts: Number of attempts made so far.
        outcome: Outcome reported to the caller, or None before that.
        target_us: Time spent at the target that answered.
        last_target: Address of the target of the latest attempt.
        tried_targets: Keys of the targets of all attempts.
        counts_towards_limits: Whether it counts towards limits.
        may_have_run: Whether an attempt or another copy may have run the
            request.
        status: HTTP status of the answer of the target that ran it, or 0.
        claim: Claim of its idempotency key, if it has one.
        request_id: Id of the request.
        route: Name of the published rule that matched it, if any.
        soft_deadline_us: Soft deadline, after which an answer is worth less, if
            stated.
        max_attempts: Maximum number of attempts. Attempts that never reached
            their target count only if no published rule matched the call.
        priority: Priority of its route; 0 is the most urgent.
        has_large_bodies: Whether its route has large bodies.
        unreached_attempts: Attempts that never reached their target or that
            another gate host did not carry.
        lent_attempts: Further attempts that the gate host to which the call is
            relayed may make.
        probe_round: Probe round in progress before its next attempt, if any.
        steps: Decisions made for it.
        relayed: Whether another gate host relayed it to this one.
        relays: Attempts by other gate hosts.
        fingerprint: Fingerprint of its request, equal for copies of it; empty
            if unknown.
        organisation: Name of the organisation that its key names; empty where
            requests need no key.
        key_digest: Digest of the API key of its request, or empty.
        public: Whether its route needs no key.
        hedge_charged: Whether its probe round is for a hedge that the budgets
            have been charged for.
        configuration_version: Version of the published configuration that
            routed it, or 0.
        configuration_unproven: Whether that version may not have been the
            newest then.
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
    tried_targets: set[str] = attrs.field(factory=set)
    counts_towards_limits: bool = False
    may_have_run: bool = False
    status: int = 0
    claim: claim_state.CallClaim | None = None
    request_id: str = ""
    route: str = ""
    soft_deadline_us: int | None = None
    max_attempts: int = 3
    priority: int = 0
    has_large_bodies: bool = False
    unreached_attempts: int = 0
    lent_attempts: int = 0
    probe_round: "ProbeRound | None" = None
    steps: steps_lib.Steps = attrs.field(factory=steps_lib.Steps)
    relayed: bool = False
    relays: int = 0
    fingerprint: str = ""
    organisation: str = ""
    key_digest: str = ""
    public: bool = False
    hedge_charged: bool = False
    configuration_version: int = 0
    configuration_unproven: bool = False

    @property
    def attempts_left(self) -> int:
        """Number of attempts that may still be made."""
        used_attempts = self.sent_attempts + self.lent_attempts
        if self.route:
            used_attempts -= self.unreached_attempts
        return self.max_attempts - used_attempts

    def record_step(
        self,
        now_us: int,
        what: str,
        target: str = "",
        **inputs: str | int | float | bool,
    ) -> None:
        """Records a decision, if the call matched a published rule."""
        if not self.route:
            return
        at_us = now_us - self.arrived_us
        self.steps.add(
            steps_lib.Step(at_us, what, target, tuple(inputs.items()))
        )


@attrs.define
class ProbeRound:
    """A round of probes of several targets before an attempt of a call.

    Attributes:
        round_id: Number of the round, unique at this gate host.
        index: Number of the round before the attempt, from 1.
        pending_probes: Numbers of its probes in flight.
    """

    round_id: int
    index: int
    pending_probes: set[int]


@attrs.define(frozen=True)
class SlotRead:
    """Offset of a probe slot's latest record, and when this host read it."""

    offset: int
    read_us: int


@attrs.define(frozen=True)
class SlotClaim:
    """An own record of a probe slot that has not been read back.

    Attributes:
        number: Number of the record.
        previous_offset: Offset of the slot's previous record, or None.
        sent_us: Time of sending.
    """

    number: int
    previous_offset: int | None
    sent_us: int


@attrs.define
class ProbeSlots:
    """State of the fleet's probe slots on this gate host.

    Attributes:
        reading: Whether the first read has been requested.
        reading_since_us: Time since which no record has been missed, or None.
        read_from_start: Whether the stream was read from its first record.
        latest: Latest record of each slot.
        pending: Own record that has not been read back, if any.
        owned: Slot that this gate host owns, or None.
        valid_until_us: Time until which it may use the slot.
        last_number: Number of its latest record.
    """

    reading: bool = False
    reading_since_us: int | None = None
    read_from_start: bool = False
    latest: dict[int, SlotRead] = attrs.field(factory=dict)
    pending: SlotClaim | None = None
    owned: int | None = None
    valid_until_us: int = 0
    last_number: int = 0


@attrs.define(frozen=True)
class Probe:
    """A probe in flight.

    Attributes:
        service: Name of the service.
        target: Key of the target.
        sent_us: Time of sending.
        call_id: Number of the call whose probe round sent it, or 0.
        checks_reachability: Whether it checks that the target is reachable.
    """

    service: str
    target: str
    sent_us: int
    call_id: int = 0
    checks_reachability: bool = False


@attrs.define
class Capacity:
    """Limits on the attempts that a service has in flight.

    Attributes:
        soft_limit: Limit for tenants above their fair share.
        hard_limit: Limit for all tenants.
        total_offered: Recent calls, decayed exponentially.
        total_weight: Sum of the weights of the tenants with recent calls.
        over_share_tenants: Tenants whose offered load is well above their
            share.
        refresh_at_us: Time at which these are next recomputed.
    """

    soft_limit: float = 0.0
    hard_limit: float = 0.0
    total_offered: float = 0.0
    total_weight: int = 0
    over_share_tenants: set[str] = attrs.field(factory=set)
    refresh_at_us: int = 0


@attrs.define
class ServiceState:
    """State of one service on this gate host.

    Attributes:
        name: Name of the service.
        payload: The service record last applied to the targets.
        policy: The policy last applied to the targets.
        targets: Targets by key.
        candidates: Targets that every choice considers.
        sampled_targets: Targets of a large service that choices only sample.
        limited_targets: Targets that limit their requests.
        load: Estimates of load over all targets.
        hedge_budget: Budget of hedges.
        probes_sent_us: Times of its latest probes.
        probes_before_send: Whether targets are probed for their load before a
            call is sent.
        averages: Averages of the load and processing time of its targets.
        waiting_calls: Calls that wait for a free slot at a target, by number.
        dispatch_timer_armed: Whether a check for free slots is scheduled.
        resend_budget: Budget of attempts beyond the first of a request; None
            where the budgets of retries and hedges apply.
        reachability: Whether this gate host reaches any of its targets.
        ejected: Ejected targets by key.
        retry_budget: Budget of retries.
        queue: Calls queued by admission, as the limits on attempts in flight
            are reached.
        in_flight: Attempts in flight.
        in_flight_by_tenant: Attempts in flight by tenant.
        offered_by_tenant: Recent calls by tenant, decayed exponentially.
        capacity: Limits on the attempts in flight.
        latency_samples: Successful answers whose latency was measured.
        latency_us: Moving average of the latency of successful answers; 0
            before the first.
        fast_latency_us: Estimate of the latency of a fast answer; 0 before the
            first.
        failure_share: Moving average of the share of failed attempts.
        hedges: Hedges within the operator's limit.
        answer_times: Times of its answers, by route.
    """

    name: str
    payload: records.Service | None = None
    policy: records.Policy | None = None
    targets: dict[str, targets_lib.Target] = attrs.field(factory=dict)
    candidates: list[targets_lib.Target] = attrs.field(factory=list)
    sampled_targets: list[targets_lib.Target] = attrs.field(factory=list)
    limited_targets: list[targets_lib.Target] = attrs.field(factory=list)
    load: load_lib.ServiceLoad = attrs.field(factory=load_lib.ServiceLoad)
    ejected: dict[str, targets_lib.Target] = attrs.field(factory=dict)
    queue: queueing.FairQueue = attrs.field(factory=queueing.FairQueue)
    in_flight: int = 0
    in_flight_by_tenant: dict[str, int] = attrs.field(factory=dict)
    offered_by_tenant: dict[str, float] = attrs.field(factory=dict)
    capacity: Capacity = attrs.field(factory=Capacity)
    latency_samples: int = 0
    latency_us: float = 0.0
    fast_latency_us: float = 0.0
    failure_share: float = 0.0
    retry_budget: budgets.TokenBudget = attrs.field(factory=budgets.TokenBudget)
    hedge_budget: budgets.TokenBudget = attrs.field(
        factory=lambda: budgets.TokenBudget(tokens=0.0)
    )
    probes_sent_us: collections.deque[int] = attrs.field(
        factory=collections.deque
    )
    probes_before_send: bool = False
    averages: forecast_state.ServiceAverages = attrs.field(
        factory=forecast_state.ServiceAverages
    )
    waiting_calls: dict[int, None] = attrs.field(factory=dict)
    dispatch_timer_armed: bool = False
    resend_budget: budgets.WindowBudget | None = None
    reachability: reachability_state.Reachability = attrs.field(
        factory=reachability_state.Reachability
    )
    hedges: hedge_state.ServiceHedges = attrs.field(
        factory=hedge_state.ServiceHedges
    )
    answer_times: dict[str, answer_times_lib.AnswerTimes] = attrs.field(
        factory=dict
    )


@attrs.define
class LogPosition:
    """Read position of this gate host in one stream of the log.

    Attributes:
        next_offset: First offset that has not been read.
        end_offset: End offset of the log at the last read, or None before
            the first read.
        consecutive_failures: Failed reads since the last successful one.
    """

    next_offset: int = 0
    end_offset: int | None = None
    consecutive_failures: int = 0


@attrs.define
class RateBucket:
    """Token bucket for the call rate of a tenant at this gate host.

    Attributes:
        tokens: Available tokens, one per call.
        refilled_us: Time of the last refill.
    """

    tokens: float
    refilled_us: int


@attrs.define
class Usage:
    """Usage of this gate host by tenants and traffic classes.

    Attributes:
        in_flight_by_tenant: Admitted calls in flight by tenant.
        in_flight_by_class: Admitted calls in flight by traffic class.
        rate_buckets: Token buckets of the tenants with a rate limit.
        fleet_size: Gate hosts that accept calls, as last counted.
        fleet_refresh_at_us: Time at which they are next counted.
    """

    in_flight_by_tenant: dict[str, int] = attrs.field(factory=dict)
    in_flight_by_class: dict[str, int] = attrs.field(factory=dict)
    rate_buckets: dict[str, RateBucket] = attrs.field(factory=dict)
    fleet_size: int = 1
    fleet_refresh_at_us: int = 0


@attrs.define
class GateState:
    """State of a gate host.

    Attributes:
        settings: Settings of the core.
        random: Seeded generator; the only source of randomness.
        claims: Claims of keyed calls.
        now_us: Time of the current event.
        configuration: Records in force.
        services: State of each service by name.
        calls: Calls in flight by number.
        recent_records: The latest configuration records, for peers.
        recovery: Progress of recovering the complete configuration.
        membership: The other gate hosts.
        log_positions: Read position in each stream of the log.
        pending_appends: Stream of each append in flight, by number.
        last_append_id: Number of the latest append.
        usage: Usage of this gate host by tenants and traffic classes.
        services_with_capacity: Services with queued or waiting calls where
            attempts have ended.
        incarnation_histories: Incarnations seen at each target address.
        timers: Queue of all timers.
        host_list_reads: Successful reads of the host list.
        host_list_failures: Failed reads of the host list.
        stopping: Whether a planned stop has begun.
        stop_limit_us: Time at which a planned stop ends, once it has begun.
        stop_check_at_us: Time of the next check of the calls that wait at a
            stopping host, or None.
        listening: Whether new connections of callers are accepted.
        probe_slots: Leases on the right to probe.
        probes: Probes in flight by number.
        last_probe_id: Number of the latest probe.
        outbox: Effects of the current event.
        store_reads: Reads of the platform's store by source.
        accepting_callers: Whether a host that is configured by the store
            accepts callers.
        following: State of following another host's reads of the store.
        host_counts: Counts of the gate hosts by the readers.
        rule_table: Published rules in force.
        unproven_calls: Calls routed by a configuration that may not be the
            newest.
        held_calls: Calls that are held until a read of the configuration has
            told whether there is a newer version.
        service_settings: Published settings of services by name.
        registered_targets: Targets that registered themselves, by id.
        leaving_starts: Starts of targets that are leaving, oldest first; kept
            after their entries are removed.
        pauses_us: Ends of the pauses that targets asked for, by start.
        last_probe_round_id: Number of the latest probe round.
        probe_tokens: Tokens of the probe rate limit, one per probe.
        probe_tokens_refilled_us: Time of their last refill.
        reachability: Whether this gate host reaches any target.
        reachability_check_scheduled: Whether the next check is scheduled.
        helpers: Gate hosts that may carry calls for this one.
        crashes: What is known of crashes of targets.
        evacuations: The evacuations in force.
        quotas: Quotas of organisations over all gate hosts.
        hedges: Counts of hedges.
        sharing: What decides how capacity is shared under shortage.
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
    pending_appends: dict[int, str] = attrs.field(factory=dict)
    last_append_id: int = 0
    usage: Usage = attrs.field(factory=Usage)
    services_with_capacity: list[str] = attrs.field(factory=list)
    incarnation_histories: dict[str, incarnations.IncarnationHistory] = (
        attrs.field(factory=dict)
    )
    timers: timers_lib.TimerQueue = attrs.field(factory=timers_lib.TimerQueue)
    host_list_reads: int = 0
    host_list_failures: int = 0
    stopping: bool = False
    stop_limit_us: int | None = None
    stop_check_at_us: int | None = None
    listening: bool = True
    probe_slots: ProbeSlots = attrs.field(factory=ProbeSlots)
    probes: dict[int, Probe] = attrs.field(factory=dict)
    last_probe_id: int = 0
    outbox: list[effects.Effect] = attrs.field(factory=list)
    store_reads: dict[store_state.Source, store_state.SourceReads] = (
        attrs.field(factory=dict)
    )
    accepting_callers: bool = False
    following: store_state.FollowState = attrs.field(
        factory=store_state.FollowState
    )
    host_counts: store_state.HostCounts = attrs.field(
        factory=store_state.HostCounts
    )
    rule_table: published.RuleTable = attrs.field(factory=published.RuleTable)
    unproven_calls: store_state.UnprovenCalls = attrs.field(
        factory=store_state.UnprovenCalls
    )
    held_calls: held_state.HeldCalls = attrs.field(factory=held_state.HeldCalls)
    service_settings: dict[str, published.ServiceSettings] = attrs.field(
        factory=dict
    )
    registered_targets: dict[str, store_state.RegisteredTarget] = attrs.field(
        factory=dict
    )
    leaving_starts: dict[events.TargetStart, None] = attrs.field(factory=dict)
    pauses_us: dict[events.TargetStart, int] = attrs.field(factory=dict)
    last_probe_round_id: int = 0
    probe_tokens: float = 0.0
    probe_tokens_refilled_us: int = 0
    reachability: reachability_state.Reachability = attrs.field(
        factory=reachability_state.Reachability
    )
    reachability_check_scheduled: bool = False
    helpers: helper_state.Helpers = attrs.field(factory=helper_state.Helpers)
    crashes: crash_state.CrashState = attrs.field(
        factory=crash_state.CrashState
    )
    organisations: key_state.KeyState = attrs.field(factory=key_state.KeyState)
    evacuations: evacuation_state.Evacuations = attrs.field(
        factory=evacuation_state.Evacuations
    )
    quotas: quota_state.QuotaState = attrs.field(factory=quota_state.QuotaState)
    hedges: hedge_state.Counters = attrs.field(factory=hedge_state.Counters)
    sharing: sharing_state.SharingState = attrs.field(
        factory=sharing_state.SharingState
    )

    def emit(self, effect: effects.Effect) -> None:
        """Adds an effect of the current event."""
        self.outbox.append(effect)


def new(settings: CoreSettings, seed: int) -> GateState:
    """Returns the state of a gate host that has just started.

    The seed must differ for each start of a host: claims use it to distinguish
    a host from the one that it replaces.
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
