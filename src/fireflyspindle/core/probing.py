"""Probes targets without recent load reports, within a fleet-wide budget.

The budget of a service is a whole number of probes per second over all gate
hosts and is divided among the probe slots. The owner of a slot sends at most
its share in any `WINDOW_US`, so the budget holds in any one second.
"""

from fireflyspindle.core import crash_detection
from fireflyspindle.core import crash_evidence
from fireflyspindle.core import discovery
from fireflyspindle.core import events
from fireflyspindle.core import forecast
from fireflyspindle.core import leaving
from fireflyspindle.core import load as load_lib
from fireflyspindle.core import placement
from fireflyspindle.core import probe_slots
from fireflyspindle.core import probes
from fireflyspindle.core import reachability
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import target_limits
from fireflyspindle.core import target_statements
from fireflyspindle.core import targets

SECOND_US = 1_000_000
MAX_SEND_DELAY_US = 100_000
CLOCK_MARGIN_US = 100_000
WINDOW_US = SECOND_US + MAX_SEND_DELAY_US + CLOCK_MARGIN_US

IDLE_PROBE_INTERVAL_US = 5_000_000
EJECTED_PROBE_INTERVAL_US = 1_000_000


def send_due_probes(state: state_lib.GateState) -> None:
    """Sends the due probes that this gate host's slot allows."""
    probe_slots.on_timer(state)
    slot = probe_slots.usable_slot(state)
    if slot is None or state.stopping:
        return
    for service in state.services.values():
        policy = state.configuration.policy(service.name)
        while _may_probe(state, service, policy.probes_per_s, slot):
            target = _next_target(state, service)
            if target is None:
                break
            _send_probe(state, service, target)


def slot_share(probes_per_s: float, slot: int) -> int:
    """Returns the probes per second of a service that a slot may send."""
    quotient, remainder = divmod(int(probes_per_s), probe_slots.SLOTS)
    return quotient + (1 if slot < remainder else 0)


def _may_probe(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    probes_per_s: float,
    slot: int,
) -> bool:
    sent_us = service.probes_sent_us
    while sent_us and sent_us[0] <= state.now_us - WINDOW_US:
        sent_us.popleft()
    return len(sent_us) < slot_share(probes_per_s, slot)


def _next_target(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> targets.Target | None:
    """Returns the target whose probe is most overdue, if any."""
    most_overdue: targets.Target | None = None
    max_overdue_us = 0
    for target in service.candidates:
        if target.leaving or not target_limits.may_probe(
            state, service, target
        ):
            continue
        last_us = max(target.load.reported_us, target.load.probed_us)
        interval_us = (
            EJECTED_PROBE_INTERVAL_US
            if target.ejected
            else IDLE_PROBE_INTERVAL_US
        )
        overdue_us = state.now_us - last_us - interval_us
        if overdue_us > max_overdue_us:
            most_overdue = target
            max_overdue_us = overdue_us
    return most_overdue


def _send_probe(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
) -> None:
    service.probes_sent_us.append(state.now_us)
    slot_valid_us = state.probe_slots.valid_until_us - state.now_us
    probes.send_probe(
        state, service, target, min(MAX_SEND_DELAY_US, slot_valid_us)
    )


def on_probe_ended(
    state: state_lib.GateState, event: events.ProbeEnded
) -> None:
    """Handles the load report, or the failure, of a probe."""
    probe = state.probes.pop(event.probe_id, None)
    if probe is None:
        return
    _update_load(state, probe, event)
    if probe.call_id:
        placement.on_probe_ended(state, probe, event)


def _update_crashes(
    state: state_lib.GateState,
    target: targets.Target,
    probe: state_lib.Probe,
    event: events.ProbeEnded,
) -> None:
    """Handles what a probe tells about crashes of a target."""
    if event.refused:
        crash_detection.on_probe_refused(state, target)
    if event.report is None:
        return
    crash_detection.on_answered(state, target, probe.sent_us)
    start = target_statements.start_of(target)
    if start is not None and event.report.incarnation == start.target_id:
        crash_evidence.on_target_answered(state, start, probe.sent_us)


def _update_load(
    state: state_lib.GateState,
    probe: state_lib.Probe,
    event: events.ProbeEnded,
) -> None:
    report = event.report
    service = state.services.get(probe.service)
    target = service.targets.get(probe.target) if service else None
    if service is None or target is None:
        return
    reachability.on_probe_ended(
        state, service, target, probe, answered=report is not None
    )
    _update_crashes(state, target, probe, event)
    if report is not None:
        target_limits.on_answer(
            state,
            service,
            target,
            report.rate_limit,
            targets.AnswerKind.PROBE,
            probe.sent_us,
        )
        target_statements.on_answer(
            state, service, target, report, declined=not report.healthy
        )
        if not report.healthy:
            report = None
    if service.probes_before_send:
        if report is None:
            forecast.on_probe_timeout(state, target)
            return
        discovery.check_incarnation(state, target, report)
        forecast.on_report(state, service, target, report, target.in_flight)
        return
    if report is None:
        return
    leaving.on_report(state, target.spec.address, report)
    if report.in_flight is None:
        return
    load_lib.on_report(
        service.load,
        target.load,
        report.in_flight,
        target.in_flight,
        state.now_us,
    )
