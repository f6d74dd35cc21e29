"""Attempts that a target ignores, recognised by its later reports."""

import pytest

from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import probes
import published_driver as published_host

WORK_US = 60_000.0
# More than three times the processing time.
OVERDUE_US = 200_000


@pytest.fixture
def make_unanswered_call(make_published_host):
    """Returns a factory of hosts with an unanswered attempt of call 1."""

    def make(repeatable=False, waited_us=OVERDUE_US, **fields):
        rule = published_host.rule(repeatable=repeatable)
        host = make_published_host(targets=4, rules=[rule])
        host.service().averages.processing_time_us = WORK_US
        host.arrive_and_send(1, **fields)
        host.now_us += waited_us
        return host

    return make


def _report(host, in_flight=0):
    """Lets the target of call 1 report its load, in response to a probe."""
    service = host.service()
    address = host.sent[0].target
    target = next(
        t for t in service.targets.values() if t.spec.address == address
    )
    probe_id = probes.send_probe(host.state, service, target, 0)
    host.feed(events.ProbeEnded, probe_id, published_host.load(in_flight))
    host.advance(0)


def _report_empty_twice(host):
    _report(host)
    host.now_us += 30_000
    _report(host)


# The caller would wait for its deadline in vain.
def test_request_that_runs_once_gets_504_when_its_target_holds_nothing(
    make_unanswered_call,
):
    host = make_unanswered_call()
    _report_empty_twice(host)
    assert host.gate_answer(1).status == 504
    assert host.gate_answer(1).outcome is effects.Outcome.UNKNOWN
    assert host.effects_of(effects.CancelAttempt)
    assert len(host.sent) == 1


# An early 504 would take the answer from a caller whose request runs.
@pytest.mark.parametrize("case", ["runs", "early", "once", "upload"])
def test_request_that_may_run_keeps_waiting(make_unanswered_call, case):
    host = make_unanswered_call(
        waited_us=100_000 if case == "early" else OVERDUE_US,
        resendable=case != "upload",
    )
    _report(host, in_flight=1 if case == "runs" else 0)
    if case != "once":
        host.now_us += 30_000
        _report(host, in_flight=1 if case == "runs" else 0)
    assert host.gate_answer(1) is None
    assert not host.effects_of(effects.CancelAttempt)


# A repeatable request must not wait at a target that ignores it.
def test_repeatable_request_is_sent_to_another_target(make_unanswered_call):
    host = make_unanswered_call(repeatable=True)
    host.state.timers = type(host.state.timers)()
    _report_empty_twice(host)
    while host.state.probes:
        host.answer_probes()
    if host.effects_of(effects.CancelAttempt):
        host.fail(1, 1, events.FailureReason.CANCELLED, True)
    while host.state.probes:
        host.answer_probes()
    assert len(host.sent) == 2
    assert host.sent[1].target != host.sent[0].target
    assert 1 in host.state.calls


# One more request would be ignored too.
def test_target_that_hangs_gets_no_more_than_its_known_queue(
    make_unanswered_call,
):
    host = make_unanswered_call()
    _report_empty_twice(host)
    service = host.service()
    for target in service.targets.values():
        target.reported_load.reported_us = host.now_us
        target.reported_load.others_in_flight = 4
        target.reported_load.unresponsive_until_us = host.now_us + 10_000_000
    host.call_arrives(2)
    assert len(host.sent) == 1
