"""Placement of attempts: probes the most promising targets, then sends.

Load pattern: see `forecast`. Of two targets that are probed just before the
call is sent, one is nearly always at its usual speed. If neither is, a second
round probes others, including targets in other failure domains. A probe costs
a hundredth of the value of a call that is answered in time.
"""

from fireflyspindle.core import answers
from fireflyspindle.core import attempts
from fireflyspindle.core import dispatch_queue
from fireflyspindle.core import ejection
from fireflyspindle.core import events
from fireflyspindle.core import fleet
from fireflyspindle.core import forecast
from fireflyspindle.core import hedging
from fireflyspindle.core import helper_list
from fireflyspindle.core import probes
from fireflyspindle.core import reachability
from fireflyspindle.core import relays
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import target_limits
from fireflyspindle.core import target_selection
from fireflyspindle.core import targets
from fireflyspindle.core import timers
from fireflyspindle.core.evacuation import domains as evacuation_domains
from fireflyspindle.core.load_sharing import admission

# Targets probed in one round, and rounds before one attempt. With a third of
# the targets slow, 1 in 80 calls finds none of four targets at its usual speed.
PROBES_PER_ROUND = 2
MAX_ROUNDS = 2
# Time-out of one round; targets usually answer a probe within 6 ms.
PROBE_TIMEOUT_US = 25_000
# Age up to which a report makes a new probe unnecessary. A target keeps its
# speed for half a second, so that 1 in 16 targets has changed by this age.
FRESH_REPORT_US = 30_000
# Burst of the probe budget, as the time in which it accrues.
PROBE_BURST_S = 1.0
# Minimum time between two refills of the probe tokens; a refill looks at every
# service.
PROBE_REFILL_INTERVAL_US = 10_000
# Retry-After of calls that an evacuation leaves no target. Operators end it, so
# that no better time is known; a minute would delay callers after its end.
EVACUATION_RETRY_MS = 1_000


def place(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> bool:
    """Sends an attempt, at once or after a probe round or a wait.

    Returns:
        False when there is no target.
    """
    if reachability.is_lost(state, service):
        if call.relayed:
            return False
        if relays.relay(state, service, call):
            return True
        if helper_list.is_known(state):
            return False
    if not service.probes_before_send:
        target = choose_target(state, service, call)
        return _send(state, call, target)
    if service.ejected:
        if _send(state, call, ejection.trial_target(state, service, call)):
            return True
    if not call.attempts:
        if _send(state, call, target_limits.unheard_target(state, service)):
            return True
    return probe_targets(state, service, call) or _send_or_wait(
        state, service, call
    )


def _send(
    state: state_lib.GateState,
    call: state_lib.Call,
    target: targets.Target | None,
) -> bool:
    if target is None:
        return False
    return attempts.begin(state, call, target)


def choose_target(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> targets.Target | None:
    """Returns the target for an attempt without probing first."""
    if not service.ejected:
        return target_selection.choose(state, service, call)
    return (
        ejection.trial_target(state, service, call)
        or target_selection.choose(state, service, call)
        or ejection.fallback_target(state, service, call)
    )


def probe_targets(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
    round_index: int = 1,
) -> bool:
    """Probes the most promising targets for their load, if that may help.

    Args:
        state: State of the gate host.
        service: Service of the call.
        call: The call to be sent.
        round_index: Index of the probe round, from 1.

    Returns:
        Whether a probe round was started; the call continues when it ends.
    """
    available = dispatch_queue.find_available_target(state, service, call)
    if available is not None and not available.in_flight:
        if forecast.has_recent_report(state, available, FRESH_REPORT_US):
            return False
    candidates = [
        target
        for _, target in target_selection.rank_targets(
            state, service, call, optimistic=True
        )
        if target_limits.may_probe(state, service, target)
        and not forecast.has_recent_report(state, target, FRESH_REPORT_US)
        and state.now_us >= target.reported_load.unresponsive_until_us
    ][:PROBES_PER_ROUND]
    state.last_probe_round_id += 1
    probe_round = state_lib.ProbeRound(
        state.last_probe_round_id, round_index, set()
    )
    for target in candidates:
        if take_probe_token(state):
            probe_round.pending_probes.add(
                probes.send_probe(
                    state, service, target, PROBE_TIMEOUT_US, call.call_id
                )
            )
    call.record_step(
        state.now_us,
        "looks",
        round=round_index,
        asked=len(probe_round.pending_probes),
        wanted=len(candidates),
        probes_left=int(state.probe_tokens),
    )
    if not probe_round.pending_probes:
        return False
    call.probe_round = probe_round
    state.timers.add(
        state.now_us + PROBE_TIMEOUT_US,
        timers.ProbeRoundTimeout(call.call_id, probe_round.round_id),
    )
    return True


def probe_budget_per_s(state: state_lib.GateState) -> float:
    """Returns this gate host's share of the probe budget, per second."""
    per_s = 0.0
    for service in state.services.values():
        policy = state.configuration.policy(service.name)
        targets_per_s = policy.probes_per_s * len(service.targets)
        per_s += targets_per_s * fleet.share(state, policy)
    return per_s


def take_probe_token(state: state_lib.GateState) -> bool:
    """Takes one token from this gate host's share of the probe budget."""
    elapsed_us = state.now_us - state.probe_tokens_refilled_us
    if elapsed_us >= PROBE_REFILL_INTERVAL_US:
        per_s = probe_budget_per_s(state)
        state.probe_tokens = min(
            max(1.0, per_s * PROBE_BURST_S),
            state.probe_tokens + elapsed_us / 1e6 * per_s,
        )
        state.probe_tokens_refilled_us = state.now_us
    if state.probe_tokens < 1.0:
        return False
    state.probe_tokens -= 1.0
    return True


def on_probe_ended(
    state: state_lib.GateState, probe: state_lib.Probe, event: events.ProbeEnded
) -> None:
    """Continues a call once the last probe of its round has ended."""
    call = state.calls.get(probe.call_id)
    if call is None or call.probe_round is None:
        return
    call.probe_round.pending_probes.discard(event.probe_id)
    if not call.probe_round.pending_probes:
        _end_round(state, call)


def on_round_timeout(
    state: state_lib.GateState, call_id: int, round_id: int
) -> None:
    """Continues a call whose probes did not all end in time."""
    call = state.calls.get(call_id)
    if (
        call is None
        or call.probe_round is None
        or call.probe_round.round_id != round_id
    ):
        return
    for probe_id in call.probe_round.pending_probes:
        probe = state.probes.get(probe_id)
        service = state.services.get(probe.service) if probe else None
        if probe is None or service is None:
            continue
        target = service.targets.get(probe.target)
        if target is not None:
            forecast.on_probe_timeout(state, target)
    _end_round(state, call)


def _end_round(state: state_lib.GateState, call: state_lib.Call) -> None:
    """Sends the call based on the reports, or starts another round."""
    ended_round, call.probe_round = call.probe_round, None
    assert ended_round is not None
    service = state.services.get(call.service)
    if hedging.on_probed(state, service, call):
        return
    if service is None or call.phase is not state_lib.CallPhase.WAITING:
        answers.finish_if_done(state, call)
        return
    if reachability.is_lost(state, service) and helper_list.is_known(state):
        if not place(state, service, call) and not call.attempts:
            refuse_no_target(state, service, call)
        return
    if ended_round.index < MAX_ROUNDS:
        if dispatch_queue.find_available_target(state, service, call) is None:
            if probe_targets(state, service, call, ended_round.index + 1):
                return
    if _send_or_wait(state, service, call):
        dispatch_queue.dispatch(state, service)
    elif not call.attempts:
        refuse_no_target(state, service, call)


def _send_or_wait(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> bool:
    """Sends a call to a target with a free slot, or queues it.

    Returns:
        False when there is no target or, for a hedge, none with a free slot.
    """
    target = dispatch_queue.find_available_target(state, service, call)
    if target is not None and not call.attempts:
        if dispatch_queue.must_yield(state, service, call):
            dispatch_queue.enqueue(state, service, call)
            dispatch_queue.dispatch(state, service)
            return True
    if target is not None:
        admission.on_sending(state, service)
        service.waiting_calls.pop(call.call_id, None)
        return _send(state, call, target)
    if call.attempts:
        return False
    if target_may_become_available(state, service, call):
        dispatch_queue.enqueue(state, service, call)
        return True
    service.waiting_calls.pop(call.call_id, None)
    return _send(state, call, choose_target(state, service, call))


def refuse_no_target(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> None:
    """Refuses a call that no target is available for."""
    service.waiting_calls.pop(call.call_id, None)
    if evacuation_domains.leaves_no_target(state, service):
        answers.fail_call(
            state,
            call,
            answers.failure_status(call),
            "no_target",
            f"every failure domain with targets of service {service.name} is"
            " evacuated",
            answers.jittered_retry_after_ms(state, EVACUATION_RETRY_MS),
        )
        return
    if reachability.is_lost(state, service):
        answers.fail_call(
            state,
            call,
            answers.failure_status(call),
            "targets_unreachable",
            f"this gate host reaches no target of service {service.name}, and"
            " no other one carries the call",
            not_carried=call.relayed and not call.may_have_run,
        )
        return
    if target_limits.max_waiting_calls(state, service) is None:
        answers.fail_call(
            state, call, 503, "no_target", "no target is available"
        )
        return
    wait_ms = target_limits.shortest_wait_us(state, service) // 1000
    answers.fail_call(
        state,
        call,
        answers.failure_status(call),
        "target_limits",
        f"the targets of service {service.name} take no more requests of this"
        f" gate host for {wait_ms} ms because of their limits or pauses",
        answers.jittered_retry_after_ms(state, wait_ms),
    )


def target_may_become_available(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> bool:
    """Whether waiting may help: an untried, responsive target is left."""
    return any(
        not target.leaving
        and not target.ejected
        and target.spec.key not in call.tried_targets
        and state.now_us >= target.reported_load.unresponsive_until_us
        and target_limits.may_send_soon(state, service, target)
        for target in service.targets.values()
    )
