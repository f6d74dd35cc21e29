"""Deadlines of calls, and non-repeatable requests that overrun them."""

import pytest

from fireflyspindle.core import deadlines
from fireflyspindle.core import effects
from fireflyspindle.core import events


def count_cancelled(host) -> int:
    return len(host.effects_of(effects.CancelAttempt))


@pytest.mark.parametrize("answered", [False, True], ids=["waiting", "late"])
@pytest.mark.parametrize("repeatable", [True, False])
def test_deadline_covers_the_whole_answer(make_host, repeatable, answered):
    host = make_host()
    host.call_arrives(
        1, repeatable=repeatable, resendable=False, deadline_ms=100
    )
    if answered:
        host.answer(1, 1)
    host.advance(99_000)
    assert count_cancelled(host) == 0
    host.advance(2_000)
    # A late answer is cut; an unanswered non-repeatable request keeps running.
    assert count_cancelled(host) == (1 if answered or repeatable else 0)
    if not answered:
        assert host.outcome(1) is effects.Outcome.UNKNOWN


def test_non_repeatable_request_may_overrun_for_a_limited_time(make_host):
    host = make_host()
    host.call_arrives(1, repeatable=False, deadline_ms=100)
    host.advance(100_000 + deadlines.OVERRUN_LIMIT_US - 1_000)
    assert count_cancelled(host) == 0
    host.advance(2_000)
    assert count_cancelled(host) == 1
    host.fail(1, 1, events.FailureReason.CANCELLED, sent=True)
    [finished] = host.effects_of(effects.CallFinished)
    assert finished.outcome is effects.Outcome.UNKNOWN
    assert host.state.calls == {}


@pytest.mark.parametrize(
    ("repeatable", "outcome"),
    [(True, effects.Outcome.UNKNOWN), (False, effects.Outcome.COMPLETE)],
)
def test_outcome_is_recorded_after_the_caller_left(
    make_host, repeatable, outcome
):
    host = make_host()
    host.call_arrives(1, repeatable=repeatable)
    host.feed(events.CallerDisconnected, 1)
    assert count_cancelled(host) == (1 if repeatable else 0)
    if repeatable:
        host.fail(1, 1, events.FailureReason.CANCELLED, sent=True)
    else:
        host.answer(1, 1)
    [finished] = host.effects_of(effects.CallFinished)
    assert finished.outcome is outcome


def test_ended_calls_arm_no_timers(make_host):
    host = make_host()
    before = len(host.effects_of(effects.SetTimer))
    for number in range(1, 500):
        host.advance(1_000)
        host.call_arrives(number, deadline_ms=100)
        host.answer(number, 1)
        host.finish(number)
    assert len(host.effects_of(effects.SetTimer)) - before < 100
