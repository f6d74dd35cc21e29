"""Retries: which calls are retried, where, and how often."""

import random

import pytest

from fireflyspindle.core import budgets
from fireflyspindle.core import effects
from fireflyspindle.core import events

COMPLETE = effects.Outcome.COMPLETE
NOT_RUN = effects.Outcome.NOT_RUN
UNKNOWN = effects.Outcome.UNKNOWN


def refuse(host, attempt):
    return host.fail(1, attempt, events.FailureReason.REFUSED, sent=False)


def disconnect(host, attempt):
    return host.fail(1, attempt, events.FailureReason.DISCONNECTED, sent=True)


def answer_not_run(host, attempt):
    return host.answer(1, attempt, status=503, not_run=True)


def answer_503(host, attempt):
    return host.answer(1, attempt, status=503)


def answer_500(host, attempt):
    return host.answer(1, attempt, status=500)


@pytest.mark.parametrize(
    ("repeatable", "steps", "sent", "outcome"),
    [
        (True, [refuse, answer_500], 2, COMPLETE),
        (True, [disconnect, answer_500], 2, COMPLETE),
        (True, [answer_503, answer_500], 2, COMPLETE),
        (True, [disconnect, answer_not_run, answer_not_run], 3, UNKNOWN),
        (True, [answer_503, answer_not_run, answer_not_run], 3, UNKNOWN),
        (True, [answer_not_run, answer_not_run, answer_not_run], 3, NOT_RUN),
        (True, [disconnect, disconnect, disconnect], 3, UNKNOWN),
        (True, [disconnect, disconnect, refuse], 3, UNKNOWN),
        (True, [answer_503, answer_503, answer_503], 3, COMPLETE),
        (False, [refuse, answer_not_run, answer_500], 3, COMPLETE),
        (False, [refuse, refuse, refuse], 3, NOT_RUN),
        (False, [answer_not_run, answer_not_run, answer_not_run], 3, NOT_RUN),
        (False, [answer_not_run, disconnect], 2, UNKNOWN),
        (False, [answer_503], 1, COMPLETE),
        (False, [disconnect], 1, UNKNOWN),
    ],
)
def test_attempts_and_outcome(make_host, repeatable, steps, sent, outcome):
    host = make_host(targets=4)
    host.call_arrives(1, repeatable=repeatable)
    for number, step in enumerate(steps, start=1):
        step(host, number)
    targets = [effect.target for effect in host.sent]
    assert len(targets) == sent
    assert len(set(targets)) == sent
    assert host.outcome(1) == outcome


def test_body_that_is_not_buffered_is_sent_once(make_host):
    host = make_host(targets=4)
    host.call_arrives(1, resendable=False)
    refuse(host, 1)
    assert len(host.sent) == 1
    assert host.outcome(1) == NOT_RUN


def test_not_run_answer_of_the_only_target_is_forwarded(make_host):
    host = make_host(targets=1)
    host.call_arrives(1)
    answer_not_run(host, 1)
    assert host.effects_of(effects.ForwardAnswer)[0].outcome == NOT_RUN


def answer_until_done(host, attempt):
    """Answers a call and its retries; targets with even numbers fail."""
    while attempt is not None:
        failing = host.target_index(attempt.target) % 2 == 0
        status = 503 if failing else 200
        taken = host.answer(attempt.call_id, attempt.attempt, status)
        host.finish(attempt.call_id)
        retries = [e for e in taken if isinstance(e, effects.SendToTarget)]
        attempt = retries[0] if retries else None


@pytest.mark.parametrize("hosts", [1, 16])
def test_failing_half_of_the_targets_causes_at_most_15_percent_retries(
    make_host, hosts
):
    fleet = [make_host(targets=16, seed=seed) for seed in range(hosts)]
    generator = random.Random(1)
    calls = 500 * hosts
    pending = []
    for call_id in range(1, calls + 1):
        host = generator.choice(fleet)
        pending.append((host, host.call_arrives(call_id)))
        if len(pending) > 16 * hosts:
            answer_until_done(*pending.pop(0))
    attempts = sum(len(host.sent) for host in fleet)
    assert calls < attempts <= 1.15 * calls


def test_budget_grants_share_and_burst():
    budget = budgets.TokenBudget(burst=3.0, tokens=3.0)
    granted = 0
    for _ in range(1_000):
        budget.earn(0.1)
        granted += budget.spend()
    assert 100 <= granted <= 103
