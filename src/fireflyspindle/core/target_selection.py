"""The choice of a target for an attempt.

Each candidate gets a score, its expected load in attempts per slot; the lowest
score wins. For a large service a gate host uses a stable subset of the targets
plus a small random sample of the others, so that the cost does not grow with
the service.
"""

import hashlib

from fireflyspindle.core import forecast
from fireflyspindle.core import load as load_lib
from fireflyspindle.core import slow_start
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import target_limits
from fireflyspindle.core import targets
from fireflyspindle.core.load_sharing import hung_attempts

MAX_CANDIDATES = 16
SAMPLED_CANDIDATES = 4

AGE_WEIGHT = 0.4
OTHER_DOMAIN_PENALTY = 0.05
TIE_SPREAD = 0.01

# Connections to a target that are reserved for probes.
RESERVED_PROBE_CONNECTIONS = 1


def choose(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> targets.Target | None:
    """Returns the best target that a call has not been sent to, if any."""
    if service.probes_before_send:
        ranked = rank_targets(state, service, call)
        return ranked[0][1] if ranked else None
    best: targets.Target | None = None
    best_score = 0.0
    report_weight = service.load.report_weight()
    slow_start_target: targets.Target | None = None
    for target in _candidates(state, service):
        if target.leaving or target.ejected:
            continue
        if target.spec.key in call.tried_targets:
            continue
        if target.in_flight >= target.max_connections:
            continue
        if not target_limits.may_send(state, service, target):
            continue
        if target.slow_start_until_us and not slow_start.may_choose(
            state, target
        ):
            slow_start_target = target
            continue
        score = _score(state, service.load, target, report_weight)
        if best is None or score < best_score:
            best = target
            best_score = score
    return best or slow_start_target


def has_untried(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> bool:
    """Whether there is a target that a call may still be sent to."""
    return any(
        not target.leaving
        and not target.ejected
        and target.spec.key not in call.tried_targets
        and target_limits.may_send_soon(state, service, target)
        for target in service.targets.values()
    )


def rank_targets(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
    *,
    optimistic: bool = False,
) -> list[tuple[float, targets.Target]]:
    """Returns the targets that a call may be sent to, fastest first.

    Each is paired with its expected time to an answer, in microseconds; see
    `forecast.expected_answer_us`.
    """
    ranked = [
        (
            forecast.expected_answer_us(
                state, service, target, call, optimistic=optimistic
            ),
            target,
        )
        for target in _candidates(state, service)
        if not target.leaving
        and not target.ejected
        and target.spec.key not in call.tried_targets
        and target.in_flight < target.max_connections
        and target_limits.may_send(state, service, target)
        and (
            optimistic or not hung_attempts.may_be_full(state, service, target)
        )
    ]
    ranked.sort(key=lambda pair: pair[0])
    return ranked


def expected_load(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
) -> float:
    """Returns the expected load of a target, in attempts per slot."""
    return _score(state, service.load, target, service.load.report_weight())


def _score(
    state: state_lib.GateState,
    service: load_lib.ServiceLoad,
    target: targets.Target,
    report_weight: float,
) -> float:
    """Returns the expected load of a target, in attempts per slot."""
    own_in_flight = target.in_flight
    now_us = state.now_us
    score = target.domain_penalty + state.random.random() * TIE_SPREAD
    if own_in_flight:
        age_us = own_in_flight * now_us - target.load.started_sum_us
        score += own_in_flight + AGE_WEIGHT * age_us / service.mean_latency_us
    if report_weight:
        score += report_weight * load_lib.expected_others_in_flight(
            service, target.load, now_us
        )
    return score / target.spec.slots


def _candidates(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> list[targets.Target]:
    if not service.sampled_targets:
        return service.candidates
    sampled = state.random.sample(service.sampled_targets, SAMPLED_CANDIDATES)
    if not service.limited_targets:
        return service.candidates + sampled
    # A host that has a permit of a limited target considers it: the others may
    # have none.
    considered = service.candidates + sampled
    keys = {target.spec.key for target in considered}
    return considered + [
        target
        for target in service.limited_targets
        if target.spec.key not in keys
    ]


def refresh_candidates(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> None:
    """Picks the candidates of a service after its targets have changed.

    A target that is leaving is no candidate.
    """
    policy = state.configuration.policy(service.name)
    domain = state.settings.failure_domain
    for target in service.targets.values():
        limit = target.spec.connection_limit // policy.gate_hosts_max
        target.max_connections = max(1, limit - RESERVED_PROBE_CONNECTIONS)
        same_domain = target.spec.failure_domain == domain
        target.domain_penalty = 0.0 if same_domain else OTHER_DOMAIN_PENALTY
    ranked = [
        target for target in service.targets.values() if not target.leaving
    ]
    if len(ranked) > MAX_CANDIDATES + SAMPLED_CANDIDATES:
        ranked.sort(key=lambda target: _rendezvous_hash(state, target))
        service.sampled_targets = ranked[MAX_CANDIDATES:]
        service.candidates = ranked[:MAX_CANDIDATES]
    else:
        service.sampled_targets = []
        service.candidates = ranked
    target_limits.refresh_limited(service)


def _rendezvous_hash(
    state: state_lib.GateState, target: targets.Target
) -> bytes:
    """Returns a hash of this gate host and a target, to rank targets by.

    This is rendezvous hashing (Thaler and Ravishankar, 1998): adding or
    removing a target does not change the relative order of the others.
    """
    hash_input = f"{state.settings.host_id} {target.spec.key}".encode()
    return hashlib.blake2b(hash_input, digest_size=8).digest()
