"""The choice of a target for an attempt.

Each candidate gets a score in attempts in flight; the least one is chosen. A
gate host uses a stable subset of a large service, and looks at a few other
targets each time, so that the cost does not grow with the service.
"""

import hashlib

from fireflyspindle.core import forecast
from fireflyspindle.core import load as load_lib
from fireflyspindle.core import slow_start
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import targets

MAX_CANDIDATES = 16
SAMPLED_CANDIDATES = 4

AGE_WEIGHT = 0.4
OTHER_DOMAIN_PENALTY = 0.05
TIE_SPREAD = 0.01

# Part of the connection share that is kept for a probe.
PROBE_CONNECTIONS = 1


def choose(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> targets.Target | None:
    """Returns the best target that this call has not tried, if any."""
    if service.looks_ahead:
        found = ranked(state, service, call)
        return found[0][1] if found else None
    best: targets.Target | None = None
    best_score = 0.0
    trust = service.load.trust()
    cold: targets.Target | None = None
    for target in _candidates(state, service):
        if target.leaving or target.ejected:
            continue
        if target.spec.key in call.tried:
            continue
        if target.in_flight >= target.connection_share:
            continue
        if target.warm_at_us and not slow_start.admits(state, target):
            cold = target
            continue
        score = _score(state, service.load, target, trust)
        if best is None or score < best_score:
            best = target
            best_score = score
    return best or cold


def has_untried(service: state_lib.ServiceState, call: state_lib.Call) -> bool:
    """Whether there is a target that a call has not been sent to."""
    return any(
        not target.leaving
        and not target.ejected
        and target.spec.key not in call.tried
        for target in service.targets.values()
    )


def ranked(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
    *,
    hopeful: bool = False,
) -> list[tuple[float, targets.Target]]:
    """Returns the targets that a call may go to, the likeliest first.

    Each comes with the time after which it is expected to answer, in
    microseconds; see `forecast.answer_us`.
    """
    found = [
        (
            forecast.answer_us(state, service, target, call, hopeful=hopeful),
            target,
        )
        for target in _candidates(state, service)
        if not target.leaving
        and not target.ejected
        and target.spec.key not in call.tried
        and target.in_flight < target.connection_share
    ]
    found.sort(key=lambda pair: pair[0])
    return found


def expected(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
) -> float:
    """Returns the load to expect at a target, in attempts per slot."""
    return _score(state, service.load, target, service.load.trust())


def _score(
    state: state_lib.GateState,
    service: load_lib.ServiceLoad,
    target: targets.Target,
    trust: float,
) -> float:
    """Returns the load to expect at a target, in attempts per slot."""
    own = target.in_flight
    now_us = state.now_us
    score = target.distance + state.random.random() * TIE_SPREAD
    if own:
        age_us = own * now_us - target.load.started_sum_us
        score += own + AGE_WEIGHT * age_us / service.typical_us
    if trust:
        score += trust * load_lib.expected_others(service, target.load, now_us)
    return score / target.spec.slots


def _candidates(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> list[targets.Target]:
    if len(service.candidates) == len(service.targets):
        return service.candidates
    sampled = state.random.sample(service.others, SAMPLED_CANDIDATES)
    return service.candidates + sampled


def refresh(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> None:
    """Picks the candidates of a service after its targets have changed."""
    policy = state.configuration.policy(service.name)
    domain = state.settings.failure_domain
    for target in service.targets.values():
        limit = target.spec.connection_limit // policy.gate_hosts_max
        target.connection_share = max(1, limit - PROBE_CONNECTIONS)
        same_domain = target.spec.failure_domain == domain
        target.distance = 0.0 if same_domain else OTHER_DOMAIN_PENALTY
    ranked = list(service.targets.values())
    if len(ranked) > MAX_CANDIDATES + SAMPLED_CANDIDATES:
        ranked.sort(key=lambda target: _rank(state, target))
        service.others = ranked[MAX_CANDIDATES:]
        service.candidates = ranked[:MAX_CANDIDATES]
        return
    service.others = []
    service.candidates = ranked


def _rank(state: state_lib.GateState, target: targets.Target) -> bytes:
    """Returns this gate host's fixed rank of a target.

    Ranking by a hash of host and target is rendezvous hashing (Thaler and
    Ravishankar, 1998): a change of targets moves no other target's rank.
    """
    text = f"{state.settings.host_id} {target.spec.key}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
