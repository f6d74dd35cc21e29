"""Whether a target may get requests, considering evacuated failure domains.

Load pattern: a whole failure domain loses its capacity at one moment, and the
other domains get its load. `may_receive` is the only test of an evacuation. It
looks the failure domain up on each use, so that a target that registers, or
restarts, during an evacuation needs no update.
"""

from fireflyspindle.core import effects
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import targets


def may_receive(state: state_lib.GateState, target: targets.Target) -> bool:
    """Whether a target is in no evacuated failure domain."""
    return target.spec.failure_domain not in state.evacuations.by_domain


def may_send_attempt(
    state: state_lib.GateState, call_id: int, number: int
) -> bool:
    """Whether an attempt that waited for a connection may still be sent."""
    call = state.calls.get(call_id)
    attempt = call.attempts.get(number) if call is not None else None
    if attempt is None or attempt.relayed:
        return True
    return may_receive(state, attempt.target)


def takes_requests(state: state_lib.GateState, target: targets.Target) -> bool:
    """Whether a target is neither leaving nor evacuated."""
    return not target.leaving and may_receive(state, target)


def leaves_no_target(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> bool:
    """Whether evacuations cover every target of a service that isn't leaving.

    The calls of such a service can't be served: no wait, no probe and no other
    gate host changes that.
    """
    if not state.evacuations.by_domain:
        return False
    present = [
        target for target in service.targets.values() if not target.leaving
    ]
    return bool(present) and not any(
        may_receive(state, target) for target in present
    )


def evacuated_targets(state: state_lib.GateState) -> int:
    """Returns how many targets get no requests because of evacuations."""
    return sum(
        not may_receive(state, target)
        for service in state.services.values()
        for target in service.targets.values()
    )


def on_attempt_ended(
    state: state_lib.GateState, attempt: state_lib.Attempt
) -> None:
    """Logs the end of the last request to an evacuated failure domain."""
    domain = attempt.target.spec.failure_domain
    evacuation = state.evacuations.by_domain.get(domain)
    if evacuation is None or attempt.relayed:
        return
    evacuation.in_flight -= 1
    if not evacuation.in_flight:
        log_drained(state, domain)


def log_drained(state: state_lib.GateState, domain: str) -> None:
    """Logs that no request of this host runs in a failure domain."""
    evacuation = state.evacuations.by_domain[domain]
    elapsed_ms = (state.now_us - evacuation.started_us) // 1000
    detail = (
        f"no request of this host runs in failure domain {domain!r},"
        f" {elapsed_ms} ms after its evacuation started here"
    )
    state.emit(effects.WriteLogLine("info", "evacuation_drained", detail))
