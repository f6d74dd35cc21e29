"""Attempts that a target never answers, recognised before the deadline.

Load pattern: in a burst, a full target ignores a request and whatever follows
on that connection, while it answers everything else. Without this module the
caller waits until its deadline. Later reports of the target, to probes or with
other responses, show whether it still holds the request:

- It reports no request in flight, twice: it doesn't hold the request. This is
  certain.
- It reports fewer requests than this host alone has there, or a free slot: it
  holds at most some of this host's requests. This is a suspicion, and counts
  only after a certain case at the same service: elsewhere an overdue request is
  more likely at a target that has just become slow.

Both count only for a request that is unanswered after a multiple of its
expected processing time, so that responses on their way don't mislead.
"""

from fireflyspindle.core import answers
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import forecast
from fireflyspindle.core import placement
from fireflyspindle.core import retries
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import targets
from fireflyspindle.core import timers

# Age of an unanswered attempt from which reports count, as a multiple of its
# expected processing time. The standard deviation of the processing time is 0.3
# of its mean, so that hardly any attempt takes this long at a constant speed.
OVERDUE_FACTOR = 3.0
# Minimum time between two reports that make the evidence certain. A response
# that was on its way at the first report has arrived by then.
CONFIRMATION_US = 20_000
# Time for which a service counts as having targets that hang.
HANGS_RETENTION_US = 60_000_000


def on_report(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
    report: events.LoadReport,
    own_in_flight: int,
) -> None:
    """Handles a load report that may show that attempts are not held.

    The attempts are handled by a timer that is due at once, because a response
    that brought the report is still being handled.

    Args:
        state: State of the gate host.
        service: Service of the target.
        target: The target.
        report: The report, which states the requests in flight.
        own_in_flight: Attempts of this host that are unanswered there.
    """
    assert report.in_flight is not None
    target.largest_queue = max(
        target.largest_queue, report.in_flight - target.spec.slots
    )
    if report.in_flight:
        target.reported_empty_us = 0
    if not own_in_flight or not _may_show_hang(target, report, own_in_flight):
        return
    ages_us = target.in_flight * state.now_us - target.load.started_sum_us
    if ages_us < OVERDUE_FACTOR * service.averages.processing_time_us:
        return
    certain = False
    if not report.in_flight:
        target.reported_empty_us = target.reported_empty_us or state.now_us
        empty_for_us = state.now_us - target.reported_empty_us
        certain = empty_for_us >= CONFIRMATION_US
    state.timers.add(
        state.now_us,
        timers.HungAttemptsDue(
            service.name, target.spec.key, state.now_us, certain
        ),
    )


def _may_show_hang(
    target: targets.Target, report: events.LoadReport, own_in_flight: int
) -> bool:
    in_flight = report.in_flight or 0
    return in_flight < own_in_flight or in_flight < target.spec.slots


def on_due(state: state_lib.GateState, timer: timers.HungAttemptsDue) -> None:
    """Handles the overdue attempts of a target after a report."""
    service = state.services.get(timer.service)
    target = service.targets.get(timer.target) if service else None
    if service is None or target is None:
        return
    for call in list(state.calls.values()):
        for attempt in list(call.attempts.values()):
            if attempt.target is target and _is_overdue(
                service, call, attempt, timer.reported_us
            ):
                _handle(state, service, call, attempt, certain=timer.certain)


def _is_overdue(
    service: state_lib.ServiceState,
    call: state_lib.Call,
    attempt: state_lib.Attempt,
    reported_us: int,
) -> bool:
    """Whether an attempt was unanswered for too long at a report.

    A body that is still being sent can't run yet, so calls with a body that is
    not buffered are left out.
    """
    if call.phase is not state_lib.CallPhase.WAITING or not call.resendable:
        return False
    if attempt.declined or attempt.relayed:
        return False
    age_us = reported_us - attempt.started_us
    slowdown = max(
        1.0, attempt.expected_slowdown, attempt.target.reported_load.slowdown
    )
    expected_us = slowdown * forecast.processing_time_us(service, call)
    return age_us >= OVERDUE_FACTOR * expected_us


def _handle(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
    attempt: state_lib.Attempt,
    *,
    certain: bool,
) -> None:
    if certain:
        _on_certain(state, service, call, attempt)
    elif (
        state.now_us < service.hangs_until_us
        and call.repeatable
        and len(call.attempts) == 1
    ):
        _send_elsewhere(state, service, call)


def _on_certain(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
    attempt: state_lib.Attempt,
) -> None:
    """Ends an attempt that its target doesn't hold.

    Its connection is closed. A request that may run again is retried elsewhere
    as after any lost connection. Another one is answered 504: it can't be
    called "not run", but waiting for its answer is in vain.
    """
    _log(state, service, attempt)
    service.hangs_until_us = state.now_us + HANGS_RETENTION_US
    call.record_step(
        state.now_us,
        "hung",
        attempt.target.spec.key,
        attempt=attempt.number,
        age_ms=(state.now_us - attempt.started_us) // 1000,
    )
    # Until the next report, the target's room counts as used.
    attempt.target.reported_load.others_in_flight += 1
    state.emit(effects.CancelAttempt(call.call_id, attempt.number))
    if call.repeatable or len(call.attempts) > 1:
        return
    call.may_have_run = True
    answers.fail_call(
        state,
        call,
        504,
        "target_hung",
        "the target doesn't answer the request and reports none in progress",
    )


def _send_elsewhere(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    call: state_lib.Call,
) -> None:
    """Sends a call to a second target, within the budget of resends."""
    if call.probe_round is not None or not retries.may_send_again(state, call):
        return
    if retries.charge_budget(state, service):
        placement.place(state, service, call)


def _log(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    attempt: state_lib.Attempt,
) -> None:
    """Writes a line for the first hung attempt of a service in a while."""
    if state.now_us < service.hangs_until_us:
        return
    detail = (
        f"{attempt.target.spec.key} of service {service.name} has not answered"
        f" a request for {(state.now_us - attempt.started_us) // 1000} ms and"
        " reports none in progress"
    )
    state.emit(effects.WriteLogLine("warning", "target_hung", detail))


def may_be_full(
    state: state_lib.GateState,
    service: state_lib.ServiceState,
    target: targets.Target,
) -> bool:
    """Whether one more request may exceed a target's slots and queue.

    Only a service whose targets have hung is held to this, as other targets
    decline or reset what exceeds their queue. The longest queue that the
    target has reported is all that is known to fit.
    """
    if state.now_us >= service.hangs_until_us:
        return False
    room = target.spec.slots + target.largest_queue
    return forecast.expected_in_flight(state, service, target) >= room
