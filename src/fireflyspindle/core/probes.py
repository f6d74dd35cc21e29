"""Sends load probes to targets."""

from fireflyspindle.core import effects
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import target_limits
from fireflyspindle.core import targets


def send_probe(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
    max_delay_us: int,
    call_id: int = 0,
    *,
    checks_reachability: bool = False,
    timeout_us: int | None = None,
) -> int:
    """Sends a load probe to a target; returns the number of the probe.

    Args:
        state: State of the gate host.
        service: Service of the target.
        target: The target.
        max_delay_us: Maximum delay before the probe is sent.
        call_id: Number of the call that waits for the load, or 0.
        checks_reachability: Whether the probe checks that the target is
            reachable, on a new connection.
        timeout_us: Time limit of the probe; None for the usual one.
    """
    target.load.probed_us = state.now_us
    target_limits.on_probe_sent(state, service, target)
    state.last_probe_id += 1
    state.probes[state.last_probe_id] = state_lib.Probe(
        service.name,
        target.spec.key,
        state.now_us,
        call_id,
        checks_reachability,
    )
    service_settings = state.service_settings.get(service.name)
    if service_settings is not None:
        path = service_settings.load_path
    else:
        path = state.configuration.policy(service.name).load_path
    state.emit(
        effects.ProbeTarget(
            state.last_probe_id,
            target.spec.address,
            path,
            state.now_us + max_delay_us,
            new_connection=checks_reachability,
            timeout_us=timeout_us,
        )
    )
    return state.last_probe_id
