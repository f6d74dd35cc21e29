"""Ejection by outcome and latency, its limit, and the return of targets."""

import heapq

import pytest

from fireflyspindle.core import effects
from fireflyspindle.core import events

TIMEOUT = events.FailureReason.TIMEOUT
REFUSED = (events.FailureReason.REFUSED, 200)
UNREACHABLE = (events.FailureReason.UNREACHABLE, 200)
SILENT = (TIMEOUT, 1_000_000)


class Fleet:
    """Simulated targets that answer after 10 ms or as `faults` says."""

    def __init__(self, host, faults):
        self.host = host
        self.faults = faults
        self.calls = 0
        self.attempts_by_address = dict.fromkeys(host.addresses, 0)
        self._due = []

    def run(self, calls, interval_us=1_000, **fields):
        """Makes calls at a fixed interval; ends attempts when they are due."""
        for _ in range(calls):
            self.calls += 1
            self._send(self.host.call_arrives(self.calls, **fields))
            self._end_attempts(self.host.now_us + interval_us)

    def _send(self, sent):
        if sent is None:
            return
        self.attempts_by_address[sent.target] += 1
        fault = self.faults.get(
            self.host.target_index(sent.target), (200, 10_000)
        )
        due_us = self.host.now_us + fault[1]
        heapq.heappush(self._due, (due_us, sent.call_id, sent, fault[0]))

    def _end_attempts(self, until_us):
        host = self.host
        while self._due and self._due[0][0] <= until_us:
            due_us, call_id, sent, result = heapq.heappop(self._due)
            host.advance(due_us - host.now_us)
            if isinstance(result, int):
                returned_effects = host.answer(call_id, sent.attempt, result)
            else:
                returned_effects = host.fail(
                    call_id, sent.attempt, result, result is TIMEOUT
                )
            host.finish(call_id)
            for effect in returned_effects:
                if isinstance(effect, effects.SendToTarget):
                    self._send(effect)
        host.advance(until_us - host.now_us)

    def ejected(self):
        """Returns the numbers of the ejected targets."""
        targets = self.host.state.services["s"].targets.values()
        return [n for n, t in enumerate(targets) if t.ejected]


@pytest.mark.parametrize(
    ("faults", "ejected"),
    [
        ({}, []),
        ({1: (503, 1_000)}, [1]),
        ({1: (500, 1_000)}, [1]),
        ({1: REFUSED}, [1]),
        ({1: UNREACHABLE}, [1]),
        ({1: SILENT}, [1]),
        ({1: (200, 500_000)}, [1]),
        ({1: (503, 1_000), 2: REFUSED, 3: SILENT}, [1, 2, 3]),
    ],
)
def test_failing_and_slow_targets_are_ejected(make_host, faults, ejected):
    fleet = Fleet(make_host(targets=8), faults)
    fleet.run(4_000)
    assert fleet.ejected() == ejected


@pytest.mark.parametrize(
    "fault", [(503, 1_000), (500, 0), REFUSED, UNREACHABLE, SILENT]
)
def test_ejection_limit_holds_and_all_targets_return(make_host, fault):
    host = make_host(targets=8)
    fleet = Fleet(host, dict.fromkeys(range(8), fault))
    fleet.run(400)
    assert len(fleet.ejected()) <= 4
    fleet.faults = {}
    fleet.run(4_000, interval_us=20_000)
    assert fleet.ejected() == []


def test_fast_failures_do_not_attract_calls(make_host):
    fleet = Fleet(make_host(targets=8), {1: (503, 100)})
    fleet.run(1_000)
    assert fleet.attempts_by_address["10.0.0.1:80"] <= 20


@pytest.mark.parametrize(
    ("fault", "repeatable", "min_trials", "max_trials"),
    [
        ((503, 1_000), True, 20, 65),
        ((503, 1_000), False, 10, 20),
        (SILENT, True, 4, 12),
    ],
)
def test_number_of_trial_calls_per_minute(
    make_host, fault, repeatable, min_trials, max_trials
):
    host = make_host(targets=4)
    fleet = Fleet(host, {1: fault})
    fleet.run(1_000, interval_us=10_000, repeatable=repeatable)
    assert fleet.ejected() == [1]
    attempts_before = fleet.attempts_by_address["10.0.0.1:80"]
    fleet.run(1_200, interval_us=50_000, repeatable=repeatable)
    assert (
        min_trials
        <= fleet.attempts_by_address["10.0.0.1:80"] - attempts_before
        <= max_trials
    )


def test_returned_target_gets_slow_start(make_host):
    host = make_host(targets=4)
    fleet = Fleet(host, {1: SILENT})
    fleet.run(3_000, interval_us=20_000)
    fleet.faults = {}
    while fleet.ejected():
        fleet.run(1, interval_us=20_000)
    attempts_before = fleet.attempts_by_address["10.0.0.1:80"]
    fleet.run(200, interval_us=0)
    assert 1 <= fleet.attempts_by_address["10.0.0.1:80"] - attempts_before < 40


def test_ejected_targets_are_used_when_no_other_remains(make_host):
    host = make_host(targets=2)
    fleet = Fleet(host, {1: (503, 1_000)})
    fleet.run(100)
    assert fleet.ejected() == [1]
    host.state.services["s"].targets["10.0.0.0:80"].leaving = True
    assert host.call_arrives(9_999).target == "10.0.0.1:80"


def test_repeated_refusals_mark_at_most_half_as_leaving(make_host):
    host = make_host(targets=4)
    service = host.state.services["s"]
    report = events.LoadReport(incarnation="x")
    for call_id in range(1, 9):
        sent = host.call_arrives(call_id)
        host.answer(call_id, sent.attempt, report=report)
    for call_id in range(1, 9):
        host.finish(call_id)
    fleet = Fleet(host, dict.fromkeys(range(4), REFUSED))
    fleet.calls = 100
    fleet.run(400, interval_us=100_000)
    leaving = [t for t in service.targets.values() if t.leaving]
    assert 1 <= len(leaving) <= 2


def test_answers_of_an_ejected_target_that_was_removed_are_forwarded(
    make_host,
):
    # The third of them was lost with an exception: the target was no longer
    # among the ejected ones.
    host = make_host(targets=4)
    fleet = Fleet(host, {1: (503, 1_000)})
    fleet.run(400)
    assert fleet.ejected() == [1]
    service = host.state.services["s"]
    target = service.targets[host.addresses[1]]
    host.advance(target.health.ejected_until_us - host.now_us + 1)
    sends = [host.call_arrives(10_000 + number) for number in range(3)]
    for sent in sends:
        attempt = host.state.calls[sent.call_id].attempts[sent.attempt]
        attempt.target = target
        target.in_flight += 1
    del service.targets[target.spec.key], service.ejected[target.spec.key]
    host.advance(1_000)
    for sent in sends:
        answered = host.answer(sent.call_id, sent.attempt, 200)
        assert any(isinstance(e, effects.ForwardAnswer) for e in answered)
