"""Where a gate host would send a request now, and why.

The reducer itself handles the arrival, on a copy of the state, so that a
preview can't differ from the decision that follows. The state of the host, its
budgets, permits and random generator are not changed.
"""

import copy
from typing import Any

import attrs

from fireflyspindle.core import destinations
from fireflyspindle.core import dispatch_queue
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import forecast
from fireflyspindle.core import reducer
from fireflyspindle.core import refusals
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import target_selection
from fireflyspindle.core import targets

# Number of the call on the copy; calls of callers have positive numbers.
CALL_ID = -1
# Targets listed with their expected times to an answer.
MAX_CANDIDATES = 8


@attrs.define(frozen=True)
class Candidate:
    """A target that the request may be sent to, as this host sees it.

    Attributes:
        target: Key of the target.
        address: Address of the target.
        failure_domain: Failure domain of the target.
        expected_ms: Expected time to an answer.
        in_flight: Requests of this host in flight there.
        others_in_flight: Requests of other hosts there, as last reported.
        slots: Requests that it processes at a time.
        slowdown: Expected processing time, relative to the usual time.
        report_age_ms: Age of its latest load report; None without one.
        has_free_slot: Whether a slot is expected to be free.
    """

    target: str
    address: str
    failure_domain: str
    expected_ms: float
    in_flight: int
    others_in_flight: int
    slots: int
    slowdown: float
    report_age_ms: int | None
    has_free_slot: bool


@attrs.define(frozen=True)
class Preview:
    """The decision on a request.

    Attributes:
        decision: "sent", "relayed", "probes", "waits" or "refused".
        detail: Why, in a sentence.
        route: Name of the route; empty in the project's own interface.
        service: Service of the request, empty if it has none.
        address: Address that it would be sent to; for "probes" the one without
            newer reports, if any. Empty if there is none.
        probed: Addresses of the targets that would be probed first.
        status: HTTP status of a refusal, or 0.
        error: Code of a refusal, or empty.
        retry_after_ms: Retry-After of a refusal, or None.
        candidates: Targets that it may be sent to, fastest first.
    """

    decision: str
    detail: str
    route: str = ""
    service: str = ""
    address: str = ""
    probed: tuple[str, ...] = ()
    status: int = 0
    error: str = ""
    retry_after_ms: int | None = None
    candidates: tuple[Candidate, ...] = ()


def preview(state: state_lib.GateState, event: events.CallArrived) -> Preview:
    """Returns the decision on a request that would arrive now.

    Args:
        state: State of the gate host; it is not changed.
        event: The arrival; its number is replaced.
    """
    event = attrs.evolve(event, call_id=CALL_ID)
    explained = _explain(copy_state(state), event)
    copied = copy_state(state)
    return _decision(copied, explained, reducer.reduce(copied, event))


def copy_state(state: state_lib.GateState) -> state_lib.GateState:
    """Returns a copy on which decisions can be tried.

    Records that no arrival of a call changes are shared, because copying those
    of a large fleet takes many times as long as the decision.
    """
    shared: list[object] = [
        state.settings,
        state.configuration,
        state.claims,
        state.recent_records,
        state.service_settings,
        state.registered_targets,
        state.leaving_starts,
    ]
    shared += [
        target.spec
        for service in state.services.values()
        for target in service.targets.values()
    ]
    memo: dict[int, Any] = {id(record): record for record in shared}
    return copy.deepcopy(state, memo)


def _explain(state: state_lib.GateState, event: events.CallArrived) -> Preview:
    """Returns what the decision rests on; uses up a copy of the state."""
    state.now_us = event.now_us
    destination = destinations.find(state, event)
    if isinstance(destination, refusals.Refusal):
        return Preview("refused", destination.detail)
    service = destination.service
    call = state_lib.Call(
        call_id=CALL_ID,
        service=service.name,
        tenant=destination.organisation,
        traffic_class="",
        repeatable=destination.repeatable,
        resendable=event.resendable,
        arrived_us=event.now_us,
        deadline_us=destination.deadline_us,
        route=destination.route,
        soft_deadline_us=destination.soft_deadline_us,
        priority=destination.priority,
    )
    state.calls[CALL_ID] = call
    ranked = target_selection.rank_targets(state, service, call)
    available = dispatch_queue.find_available_target(state, service, call)
    return Preview(
        decision="",
        detail="",
        route=destination.route,
        service=service.name,
        address=available.spec.address if available is not None else "",
        candidates=tuple(
            _candidate(state, service, expected_us, target)
            for expected_us, target in ranked[:MAX_CANDIDATES]
        ),
    )


def _candidate(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    expected_us: float,
    target: targets.Target,
) -> Candidate:
    reported = target.reported_load
    age_us = state.now_us - reported.reported_us
    return Candidate(
        target=target.spec.key,
        address=target.spec.address,
        failure_domain=target.spec.failure_domain,
        expected_ms=round(expected_us / 1000, 1),
        in_flight=target.in_flight,
        others_in_flight=reported.others_in_flight,
        slots=target.spec.slots,
        slowdown=round(forecast.expected_slowdown(state, service, target), 2),
        report_age_ms=age_us // 1000 if reported.reported_us >= 0 else None,
        has_free_slot=forecast.has_free_slot(state, service, target),
    )


def _decision(
    state: state_lib.GateState,
    explained: Preview,
    emitted: list[effects.Effect],
) -> Preview:
    """Returns the decision that the effects of an arrival carry out."""
    probed = []
    for effect in emitted:
        match effect:
            case effects.SendToTarget(call_id, _, address) if (
                call_id == CALL_ID
            ):
                return _sent(effect, address, explained)
            case effects.AnswerCaller(call_id) if call_id == CALL_ID:
                return attrs.evolve(
                    explained,
                    decision="refused",
                    detail=effect.detail,
                    address="",
                    status=effect.status,
                    error=effect.error,
                    retry_after_ms=effect.retry_after_ms,
                )
            case effects.ProbeTarget(probe_id, address):
                probe = state.probes.get(probe_id)
                if probe is not None and probe.call_id == CALL_ID:
                    probed.append(address)
    if probed:
        return attrs.evolve(
            explained,
            decision="probes",
            detail="no target with a free slot and no request of this host has"
            " a report recent enough, so that the most promising are probed"
            " before the send",
            probed=tuple(probed),
        )
    return attrs.evolve(explained, decision="waits", detail=_wait_reason(state))


def _sent(
    effect: effects.SendToTarget, address: str, explained: Preview
) -> Preview:
    detail = "it is the target with the best forecast that may take it now"
    if effect.relayed:
        detail = "this host reaches no target; another gate host carries it"
    return attrs.evolve(
        explained,
        decision="relayed" if effect.relayed else "sent",
        detail=detail,
        address=address,
    )


def _wait_reason(state: state_lib.GateState) -> str:
    call = state.calls.get(CALL_ID)
    service = state.services.get(call.service) if call is not None else None
    if service is None:
        return "it waits"
    if CALL_ID in service.waiting_calls:
        return (
            "no target is known to have a free slot;"
            f" {len(service.waiting_calls) - 1} other requests wait"
        )
    return f"{max(0, len(service.queue) - 1)} other requests wait for admission"
