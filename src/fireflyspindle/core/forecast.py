"""Forecasts of when a target would answer, from its load reports.

Load pattern: other work on the same machines slows some of the targets down
several times over for fractions of a second, and only a recent report of a
target shows whether it is affected. The weight of a report falls with its
age; an old one is replaced by the average of the service.
"""

from fireflyspindle.core import events
from fireflyspindle.core import forecast_state
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import targets

# Age at which a report has no weight left; slow periods of a target last about
# half a second.
REPORT_LIFETIME_US = 500_000
# Weight of one report in the moving averages of a service: these cover about
# two seconds of the reports that a gate host receives.
REPORT_EWMA_WEIGHT = 1 / 64
# Weight of one answer in the average processing time; it reduces a relative
# standard deviation of 0.3 to 0.05.
PROCESSING_TIME_EWMA_WEIGHT = 1 / 32
# Expected processing time before the first answer, as a share of the time to
# the soft deadline; 0.34 to 0.4 on typical routes.
INITIAL_PROCESSING_TIME_SHARE = 0.4
# Expected processing time when there is no soft deadline either; typical
# services take 67 to 160 ms.
DEFAULT_PROCESSING_TIME_US = 100_000
# Slowdown above which a target counts as slow. Soft deadlines are 2.5 times the
# processing time, so that a call that takes twice as long still meets its own.
SLOW_TARGET_SLOWDOWN = 2.0
# Penalty of a target in another failure domain: traffic between domains costs
# money. Penalties are added to the expected answer time, as shares of the
# processing time.
OTHER_DOMAIN_PENALTY = 0.15
# Penalty of a target whose slots are all taken; some targets slow down as they
# fill.
OCCUPANCY_PENALTY = 0.3
# Penalty of a target that has just started: processing takes about twice as
# long then.
WARMUP_PENALTY = 1.0
# Penalty of a target whose attempts all fail; comparable to a slow target,
# which takes seven times the usual processing time.
FAILURE_PENALTY = 8.0
# Penalty of a target without a recent report, so that a target that was probed
# and is at its usual speed is preferred.
STALE_REPORT_PENALTY = 0.2
# Expected answer time of an unresponsive target.
UNRESPONSIVE_ANSWER_US = 60_000_000
# Initial backoff before an unresponsive target is probed again, and the number
# of times that it doubles, up to 3.2 s: about the time after a fault at which
# the service bounds must hold again (`contact-ms`).
PROBE_BACKOFF_US = 200_000
MAX_BACKOFF_DOUBLINGS = 4
# Share of the slots in use above which a target may slow down.
NEAR_CAPACITY_SHARE = 0.8
# Slowdown of targets near capacity above which their last slots are left free:
# beyond it, more concurrent calls reduce the throughput.
SATURATION_SLOWDOWN_LIMIT = 1.2
# Weight of one answer in the estimate of that slowdown, so that a burst is
# detected within about 16 answers; and the limit of one answer's slowdown, so
# that a single long request does not dominate the estimate.
SATURATION_EWMA_WEIGHT = 1 / 16
MAX_SATURATION_SLOWDOWN = 3.0
# Jitter of a forecast, so that gate hosts with the same reports do not all
# choose the same target.
JITTER_SHARE = 0.08
# Consecutive answers without a load report after which the targets of a service
# are considered not to report their load.
MAX_MISSING_REPORTS = 8


def on_report(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
    report: events.LoadReport,
    own_in_flight: int,
) -> None:
    """Handles a load report of a target.

    Args:
        state: State of the gate host.
        service: Service of the target.
        target: The target.
        report: The report.
        own_in_flight: Attempts of this gate host that the target held when it
            sent the report.
    """
    reported, averages = target.reported_load, service.averages
    reported.missed_probes = 0
    reported.unresponsive_until_us = 0
    reported.reported_us = state.now_us
    reported.slowdown = report.slowdown if report.slowdown is not None else 1.0
    if report.in_flight is None:
        reported.others_in_flight = 0
        on_missing_report(service)
        return
    averages.missing_reports = 0
    reported.others_in_flight = max(0, report.in_flight - own_in_flight)
    averages.slowdown += REPORT_EWMA_WEIGHT * (
        reported.slowdown - averages.slowdown
    )
    averages.others_in_flight += REPORT_EWMA_WEIGHT * (
        reported.others_in_flight - averages.others_in_flight
    )


def on_missing_report(service: state_lib.ServiceState) -> None:
    """Counts an answer without a load report; several stop the probing."""
    service.averages.missing_reports += 1
    if service.averages.missing_reports >= MAX_MISSING_REPORTS:
        service.probes_before_send = False


def on_probe_timeout(
    state: state_lib.GateState, target: targets.Target
) -> None:
    """Handles a probe time-out: backs off from the target."""
    reported = target.reported_load
    backoff_us = PROBE_BACKOFF_US << min(
        reported.missed_probes, MAX_BACKOFF_DOUBLINGS
    )
    reported.missed_probes += 1
    reported.unresponsive_until_us = state.now_us + backoff_us


def on_latency(
    service: state_lib.ServiceState,
    latency_us: int,
    slowdown: float,
    near_capacity: bool,
) -> None:
    """Updates the averages with the latency of a successful answer.

    Args:
        service: Service of the target.
        latency_us: Time from sending to the answer's headers.
        slowdown: Slowdown that was expected of the target at sending.
        near_capacity: Whether the target was near capacity at sending.
    """
    averages = service.averages
    processing_us = latency_us / max(1.0, slowdown)
    if near_capacity and averages.processing_time_us:
        saturation_slowdown = min(
            MAX_SATURATION_SLOWDOWN, processing_us / averages.processing_time_us
        )
        averages.saturation_slowdown += SATURATION_EWMA_WEIGHT * (
            saturation_slowdown - averages.saturation_slowdown
        )
        return
    if not averages.processing_time_us:
        averages.processing_time_us = processing_us
    averages.processing_time_us += PROCESSING_TIME_EWMA_WEIGHT * (
        processing_us - averages.processing_time_us
    )


def processing_time_us(
    service: state_lib.ServiceState, call: state_lib.Call
) -> float:
    """Returns the expected processing time of a call at the usual speed."""
    if service.averages.processing_time_us:
        return service.averages.processing_time_us
    if call.soft_deadline_us is None:
        return DEFAULT_PROCESSING_TIME_US
    return INITIAL_PROCESSING_TIME_SHARE * (
        call.soft_deadline_us - call.arrived_us
    )


def expected_slowdown(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
) -> float:
    """Returns the expected processing time relative to the usual time."""
    weight = _report_weight(state, target.reported_load)
    mean = service.averages.slowdown
    return mean + (target.reported_load.slowdown - mean) * weight


def expected_answer_us(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
    call: state_lib.Call,
    *,
    optimistic: bool = False,
) -> float:
    """Returns the expected time to an answer of a target, in microseconds.

    Args:
        state: State of the gate host.
        service: Service of the target.
        target: The target.
        call: The call to be sent.
        optimistic: Whether a target without a recent report counts as being
            at its usual speed; used to choose the targets to probe.
    """
    reported = target.reported_load
    if state.now_us < reported.unresponsive_until_us:
        return UNRESPONSIVE_ANSWER_US + state.random.random()
    base_us = processing_time_us(service, call)
    weight = _report_weight(state, reported)
    in_flight = expected_in_flight(state, service, target)
    slots = target.spec.slots
    penalty = (
        OCCUPANCY_PENALTY * in_flight / slots
        + JITTER_SHARE * state.random.random()
    )
    if optimistic:
        expected_us = base_us * (1 + (reported.slowdown - 1) * weight)
    else:
        expected_us = base_us * expected_slowdown(state, service, target)
        penalty += STALE_REPORT_PENALTY * (1 - weight)
    queued = in_flight + 1 - slots
    if queued > 0:
        expected_us *= 1 + queued / slots
    if target.domain_penalty:
        penalty += OTHER_DOMAIN_PENALTY
    if state.now_us < target.slow_start_until_us and target.cold_limit is None:
        # Where the rate of cold targets is limited, the permits of this host
        # are there to be used; the load report tells how slow the target is.
        penalty += WARMUP_PENALTY
    excess_failure_share = target.health.failure_share - service.failure_share
    penalty += FAILURE_PENALTY * max(0.0, excess_failure_share)
    return expected_us + base_us * penalty


def has_free_slot(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
) -> bool:
    """Whether a target is expected to have a slot free for a call."""
    slots = float(target.spec.slots)
    if service.averages.saturation_slowdown > SATURATION_SLOWDOWN_LIMIT:
        slots = max(1.0, slots * NEAR_CAPACITY_SHARE)
    return expected_in_flight(state, service, target) + 1 <= slots


def is_near_capacity(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
) -> bool:
    """Whether one more call brings a target near its capacity."""
    in_flight = expected_in_flight(state, service, target) + 1
    return in_flight > NEAR_CAPACITY_SHARE * target.spec.slots


def expected_in_flight(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
) -> float:
    """Returns the expected number of requests in flight at a target."""
    weight = _report_weight(state, target.reported_load)
    mean = service.averages.others_in_flight
    return (
        target.in_flight
        + mean
        + (target.reported_load.others_in_flight - mean) * weight
    )


def has_recent_report(
    state: state_lib.GateState, target: targets.Target, age_us: int
) -> bool:
    """Whether the latest report of a target is at most `age_us` old."""
    return state.now_us - target.reported_load.reported_us <= age_us


def _report_weight(
    state: state_lib.GateState, reported: forecast_state.LoadReportState
) -> float:
    return max(
        0.0, 1.0 - (state.now_us - reported.reported_us) / REPORT_LIFETIME_US
    )
