"""Probes of targets that answers say nothing of, within an agreed budget.

The budget of a service is whole probes per second over all gate hosts. Each
probe of it belongs to one probe slot; the owner of a slot keeps its probes
`WINDOW_US` apart, so any one second holds at most the budget.
"""

from fireflyspindle.core import discovery
from fireflyspindle.core import events
from fireflyspindle.core import forecast
from fireflyspindle.core import leaving
from fireflyspindle.core import load as load_lib
from fireflyspindle.core import placing
from fireflyspindle.core import probe_slots
from fireflyspindle.core import probes
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import targets

SECOND_US = 1_000_000
SEND_GRACE_US = 100_000
CLOCK_MARGIN_US = 100_000
WINDOW_US = SECOND_US + SEND_GRACE_US + CLOCK_MARGIN_US

IDLE_US = 5_000_000
SUSPECT_US = 1_000_000


def on_due(state: state_lib.GateState) -> None:
    """Sends the probes that are due and that this gate host may send."""
    probe_slots.on_due(state)
    slot = probe_slots.owned(state)
    if slot is None or state.stopping:
        return
    for service in state.services.values():
        policy = state.configuration.policy(service.name)
        while _may_probe(state, service, policy.probes_per_s, slot):
            target = _wanted(state, service)
            if target is None:
                break
            _probe(state, service, target)


def share(probes_per_s: float, slot: int) -> int:
    """Returns how many probes of a service a slot holds for each second."""
    whole, rest = divmod(int(probes_per_s), probe_slots.SLOTS)
    return whole + (1 if slot < rest else 0)


def _may_probe(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    probes_per_s: float,
    slot: int,
) -> bool:
    sent_us = service.probes_sent_us
    while sent_us and sent_us[0] <= state.now_us - WINDOW_US:
        sent_us.popleft()
    return len(sent_us) < share(probes_per_s, slot)


def _wanted(
    state: state_lib.GateState, service: state_lib.ServiceState
) -> targets.Target | None:
    """Returns the target that most needs a probe, if any does."""
    wanted: targets.Target | None = None
    wanted_us = 0
    for target in service.candidates:
        if target.leaving:
            continue
        last_us = max(target.load.heard_us, target.load.probed_us)
        rest_us = SUSPECT_US if target.ejected else IDLE_US
        overdue_us = state.now_us - last_us - rest_us
        if overdue_us > wanted_us:
            wanted = target
            wanted_us = overdue_us
    return wanted


def _probe(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
) -> None:
    service.probes_sent_us.append(state.now_us)
    valid_us = state.probe_slots.valid_until_us - state.now_us
    probes.ask(state, service, target, min(SEND_GRACE_US, valid_us))


def on_ended(state: state_lib.GateState, event: events.ProbeEnded) -> None:
    """Takes the load report of a probe."""
    probe = state.probes.pop(event.probe_id, None)
    if probe is None:
        return
    _learn(state, probe, event.report)
    if probe.call_id:
        placing.on_probe_ended(state, probe, event)


def _learn(
    state: state_lib.GateState,
    probe: state_lib.Probe,
    report: events.LoadReport | None,
) -> None:
    service = state.services.get(probe.service)
    target = service.targets.get(probe.target) if service else None
    if service is None or target is None:
        return
    if service.looks_ahead:
        if report is None:
            forecast.on_silence(state, target)
            return
        discovery.on_report(state, target, report)
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
