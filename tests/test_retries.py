"""Retries: what may run again, where, and how often."""

import random

import pytest

from fireflyspindle.core import budgets
from fireflyspindle.core import effects
from fireflyspindle.core import events

COMPLETE = effects.Outcome.COMPLETE
NOT_RUN = effects.Outcome.NOT_RUN
UNKNOWN = effects.Outcome.UNKNOWN


def refused(host, attempt):
    return host.fail(1, attempt, events.FailureReason.REFUSED, sent=False)


def cut(host, attempt):
    return host.fail(1, attempt, events.FailureReason.DISCONNECTED, sent=True)


def not_run(host, attempt):
    return host.answer(1, attempt, status=503, not_run=True)


def status_503(host, attempt):
    return host.answer(1, attempt, status=503)


def status_500(host, attempt):
    return host.answer(1, attempt, status=500)


@pytest.mark.parametrize(
    ("repeatable", "steps", "sent", "outcome"),
    [
        (True, [refused, status_500], 2, COMPLETE),
        (True, [cut, status_500], 2, COMPLETE),
        (True, [status_503, status_500], 2, COMPLETE),
        (True, [cut, not_run, not_run], 3, UNKNOWN),
        (True, [status_503, not_run, not_run], 3, UNKNOWN),
        (True, [not_run, not_run, not_run], 3, NOT_RUN),
        (True, [cut, cut, cut], 3, UNKNOWN),
        (True, [cut, cut, refused], 3, UNKNOWN),
        (True, [status_503, status_503, status_503], 3, COMPLETE),
        (False, [refused, not_run, status_500], 3, COMPLETE),
        (False, [refused, refused, refused], 3, NOT_RUN),
        (False, [not_run, not_run, not_run], 3, NOT_RUN),
        (False, [not_run, cut], 2, UNKNOWN),
        (False, [status_503], 1, COMPLETE),
        (False, [cut], 1, UNKNOWN),
    ],
)
def test_attempts_and_outcome(make_host, repeatable, steps, sent, outcome):
    host = make_host(targets=4)
    host.arrive(1, repeatable=repeatable)
    for number, step in enumerate(steps, start=1):
        step(host, number)
    targets = [effect.target for effect in host.sent]
    assert len(targets) == sent
    assert len(set(targets)) == sent
    assert host.outcome(1) == outcome


def test_body_that_is_not_held_is_sent_once(make_host):
    host = make_host(targets=4)
    host.arrive(1, resendable=False)
    refused(host, 1)
    assert len(host.sent) == 1
    assert host.outcome(1) == NOT_RUN


def test_sole_target_s_refusal_is_forwarded(make_host):
    host = make_host(targets=1)
    host.arrive(1)
    not_run(host, 1)
    assert host.of(effects.ForwardAnswer)[0].outcome == NOT_RUN


def settle(host, attempt):
    """Answers a call and its retries; targets with even numbers fail."""
    while attempt is not None:
        failing = host.index_of(attempt.target) % 2 == 0
        status = 503 if failing else 200
        taken = host.answer(attempt.call_id, attempt.attempt, status)
        host.finish(attempt.call_id)
        again = [e for e in taken if isinstance(e, effects.SendToTarget)]
        attempt = again[0] if again else None


@pytest.mark.parametrize("hosts", [1, 16])
def test_failing_half_sees_at_most_115_percent(make_host, hosts):
    fleet = [make_host(targets=16, seed=seed) for seed in range(hosts)]
    chooser = random.Random(1)
    calls = 500 * hosts
    waiting = []
    for call_id in range(1, calls + 1):
        host = chooser.choice(fleet)
        waiting.append((host, host.arrive(call_id)))
        if len(waiting) > 16 * hosts:
            settle(*waiting.pop(0))
    attempts = sum(len(host.sent) for host in fleet)
    assert calls < attempts <= 1.15 * calls


def test_budget_grants_share_and_burst():
    budget = budgets.ShareBudget(burst=3.0, tokens=3.0)
    granted = 0
    for _ in range(1_000):
        budget.earn(0.1)
        granted += budget.spend()
    assert 100 <= granted <= 103
