"""Hedged requests within an operator's limit on the platform."""

import random

import pytest

from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import placement
from fireflyspindle.core.evacuation import domains
from fireflyspindle.core.hedges import budget as budget_lib
from fireflyspindle.core.hedges import checks
from fireflyspindle.core.hedges import hedge_state
from fireflyspindle.core.quotas import permits
from fireflyspindle.platform import hedge_variables
import published_driver

Cause = hedge_state.Cause
SECOND_US = 1_000_000
# Time at which a call is hedged: above the usual 100 ms of the histogram.
LATE_US = 112_000


@pytest.fixture
def make_hedging_host(make_published_host):
    """Returns a factory of hosts that have seen 200 calls of 100 ms."""

    def make(targets=6, **fields):
        host = make_published_host(
            targets=targets, **{"hedge_share": 0.2, **fields}
        )
        service = host.service()
        service.averages.processing_time_us = 100_000
        for _ in range(200):
            service.load.latencies.add(100_000)
        service.hedges.budget = budget_lib.new(
            0.2, 10 * SECOND_US, host.now_us, host.state.random
        )
        for _ in range(20):
            service.hedges.budget.earn(host.now_us, host.state.random)
            service.resend_budget.earn(host.now_us)
        return host

    return make


def hedges(host):
    """Returns the hedges that a host has sent."""
    return [effect for effect in host.sent if effect.hedge]


def forget_reports(host):
    """Makes every report too old, so that a hedge needs a probe round."""
    for target in host.service().targets.values():
        target.reported_load.reported_us = -SECOND_US


def let_become_late(host, loads=None):
    """Lets a call become late; probes of its hedge report `loads`."""
    host.advance(LATE_US)
    while host.state.probes:
        host.answer_probes(loads)


def assert_refused(host, cause):
    """Checks that one hedge was refused, for one cause."""
    assert hedges(host) == []
    assert host.state.hedges.refused == {cause: 1}


def test_late_call_is_hedged_and_the_loser_is_cancelled(make_hedging_host):
    """Guards against a target that works on for an answered caller."""
    host = make_hedging_host()
    host.arrive_and_send(1)
    let_become_late(host)
    assert len(hedges(host)) == 1
    assert hedges(host)[0].target != host.sent[0].target
    host.answer(1, 2)
    cancelled = host.effects_of(effects.CancelAttempt)
    assert [(e.call_id, e.attempt) for e in cancelled] == [(1, 1)]
    assert (host.state.hedges.sent, host.state.hedges.won) == (1, 1)


def test_call_is_not_hedged_before_the_quantile(make_hedging_host):
    """Guards against hedges of calls that are no slower than most."""
    host = make_hedging_host()
    host.arrive_and_send(1)
    host.advance(95_000)
    assert not host.state.probes
    assert not hedges(host)


@pytest.mark.parametrize(
    ("rule", "call", "store", "cause"),
    [
        ({"repeatable": False}, {}, {}, Cause.RUNS_ONCE),
        ({}, {"resendable": False}, {}, Cause.BODY_NOT_BUFFERED),
        ({}, {}, {"hedge_routes": frozenset({"x"})}, Cause.ROUTE_NOT_NAMED),
        ({"max_attempts": 1}, {}, {}, Cause.MAX_ATTEMPTS),
        ({}, {"deadline_ms": 150}, {}, Cause.DEADLINE),
        ({}, {}, {"hedge_load_limit": 0.01}, Cause.LOAD),
    ],
)
def test_call_is_not_hedged(make_hedging_host, rule, call, store, cause):
    """Guards against a second run, and against hedges beyond the settings."""
    host = make_hedging_host(rules=[published_driver.rule(**rule)], **store)
    host.arrive_and_send(1, **call)
    let_become_late(host)
    assert_refused(host, cause)


def make_slow(host, target):
    target.reported_load.reported_us = host.now_us + LATE_US
    target.reported_load.slowdown = 7.0


def eject(_host, target):
    target.ejected = True


def make_unresponsive(host, target):
    target.reported_load.unresponsive_until_us = host.now_us + SECOND_US


def pause(host, target):
    target.paused_until_us = host.now_us + SECOND_US


def fill(host, target):
    target.reported_load.reported_us = host.now_us + LATE_US
    target.reported_load.others_in_flight = 9


def leave(_host, target):
    target.leaving = True


@pytest.mark.parametrize(
    ("trouble", "cause"),
    [
        (make_slow, Cause.TARGET_SLOW),
        (eject, Cause.TARGET_EJECTED),
        (make_unresponsive, Cause.TARGET_UNRESPONSIVE),
        (pause, Cause.TARGET_LIMIT),
        (fill, Cause.TARGET_FULL),
        (leave, Cause.TARGET_LEAVING),
    ],
)
def test_target_in_trouble_gets_no_hedge(make_hedging_host, trouble, cause):
    """Guards against a hedge that lands in the trouble of the first send."""
    host = make_hedging_host()
    sent = host.arrive_and_send(1)
    service = host.service()
    for target in service.targets.values():
        if target.spec.address != sent.target:
            trouble(host, target)
    host.advance(LATE_US)
    assert_refused(host, cause)
    # A refused hedge must not use up the operator's limit.
    assert service.hedges.budget.allows(host.now_us)


def test_target_above_its_stated_limit_gets_no_hedge(make_hedging_host):
    """Guards against hedges that exceed the limits that targets state."""
    host = make_hedging_host(targets=2)
    sent = host.arrive_and_send(1)
    service = host.service()
    (other,) = [
        target
        for target in service.targets.values()
        if target.spec.address != sent.target
    ]
    placement.target_limits.on_answer(
        host.state,
        service,
        other,
        events.RateLimitHeader(0.001),
        placement.target_limits.targets.AnswerKind.PROBE,
        host.now_us,
    )
    other.rate_limit.permits = 0.5
    host.advance(LATE_US)
    assert_refused(host, Cause.TARGET_LIMIT)


def test_target_that_turned_slow_during_the_probes_gets_no_hedge(
    make_hedging_host,
):
    """Guards against a send on what was known before the probes."""
    host = make_hedging_host()
    host.arrive_and_send(1)
    forget_reports(host)
    let_become_late(host, published_driver.slow_loads())
    assert_refused(host, Cause.TARGET_SLOW)
    assert host.service().hedges.budget.allows(host.now_us)


def test_call_that_waits_stops_hedges_also_during_the_probes(
    make_hedging_host,
):
    """Guards against a hedge that takes the slot of a waiting call."""
    host = make_hedging_host()
    host.arrive_and_send(1)
    forget_reports(host)
    host.advance(LATE_US)
    assert host.state.probes
    host.service().waiting_calls[2] = None
    host.state.calls[2] = host.state.calls[1]
    for probe_id in list(host.state.probes):
        call = host.state.calls[1]
        call.probe_round.pending_probes.discard(probe_id)
    placement._end_round(host.state, host.state.calls[1])
    assert_refused(host, Cause.CALLS_WAITING)


def test_retry_that_replaces_a_hedge_is_sent_once(make_hedging_host):
    """Guards against a hedge and a retry of the same failed attempt."""
    host = make_hedging_host()
    host.arrive_and_send(1)
    forget_reports(host)
    host.advance(LATE_US)
    assert host.state.probes
    host.fail(1, 1, events.FailureReason.DISCONNECTED, sent=True)
    while host.state.probes:
        host.answer_probes()
    assert len(host.sent) == 2
    assert not hedges(host)
    assert host.state.hedges.sent == 0


def test_retried_call_is_not_hedged(make_hedging_host):
    """Guards against a hedge after the attempt that was late has ended."""
    host = make_hedging_host()
    host.arrive_and_send(1)
    host.fail(1, 1, events.FailureReason.DISCONNECTED, sent=True)
    while host.state.probes:
        host.answer_probes()
    host.advance(LATE_US)
    assert_refused(host, Cause.ATTEMPT_ENDED)


def test_spent_budget_stops_hedges(make_hedging_host):
    """Guards against more extra sends than the operator allows."""
    host = make_hedging_host()
    budget = host.service().hedges.budget
    while budget.allows(host.now_us):
        budget.spend(host.now_us)
    host.arrive_and_send(1)
    host.advance(LATE_US)
    assert_refused(host, Cause.HEDGE_BUDGET)


def test_spent_resend_budget_stops_hedges(make_hedging_host):
    """Guards against hedges beyond the budget that retries need."""
    host = make_hedging_host(resend_slack=0.0)
    resend_budget = host.service().resend_budget
    while resend_budget.spend(host.now_us, 0.0):
        pass
    host.arrive_and_send(1)
    host.advance(LATE_US)
    assert_refused(host, Cause.RESEND_BUDGET)


def test_evacuated_domain_gets_no_hedge(make_hedging_host, monkeypatch):
    """Guards against hedges into a failure domain that is evacuated."""
    host = make_hedging_host()
    host.arrive_and_send(1)
    monkeypatch.setattr(domains, "may_receive", lambda *_: False)
    let_become_late(host)
    assert_refused(host, Cause.TARGET_EVACUATED)


def test_quota_is_asked_last(make_hedging_host, monkeypatch):
    """Guards against hedges without a permit, and permits without a hedge."""
    asked = []
    monkeypatch.setattr(
        permits, "take_for_hedge", lambda _, call: asked.append(call.call_id)
    )
    host = make_hedging_host()
    host.arrive_and_send(1)
    forget_reports(host)
    host.advance(LATE_US)
    assert asked == []
    while host.state.probes:
        host.answer_probes()
    assert asked == [1]
    assert_refused(host, Cause.QUOTA)


def test_without_a_limit_calls_are_hedged_by_forecast(make_hedging_host):
    """Guards against a change for deployments that set no limit."""
    host = make_hedging_host(hedge_share=0.0)
    host.arrive_and_send(1)
    host.advance(140_000)
    assert not host.state.probes
    let_become_late(host)
    assert len(hedges(host)) == 1
    assert host.state.hedges == hedge_state.Counters()


@pytest.mark.parametrize("share", [0.02, 0.05])
@pytest.mark.parametrize(
    ("hosts", "per_s"), [(14, 7), (99, 2), (99, 7), (311, 2)]
)
def test_limit_holds_over_the_fleet_in_any_window(hosts, per_s, share):
    """Guards against hosts that all use a saved allowance at one moment.

    Every host wants to hedge each request, after a time in which none did. No
    host knows the number of hosts.
    """
    generator = random.Random(hosts * per_s)
    fleet = [
        budget_lib.new(share, 10 * SECOND_US, 0, generator)
        for _ in range(hosts)
    ]
    requests, sent = [0] * 150, [0] * 150
    for second in range(150):
        for budget in fleet:
            for number in range(per_s):
                now_us = second * SECOND_US + number
                budget.earn(now_us, generator)
                requests[second] += 1
                if second >= 70 and budget.allows(now_us):
                    budget.spend(now_us)
                    sent[second] += 1
    windows = range(10, 150)
    assert (
        max(
            sum(sent[end - 10 : end]) / sum(requests[end - 10 : end])
            for end in windows
        )
        <= share
    )
    assert sum(sent[70:]) >= 0.5 * share * sum(requests[70:])


def test_used_share_counts_the_requests_of_other_hosts(make_hedging_host):
    """Guards against hedges in a fleet whose other hosts fill the targets."""
    host = make_hedging_host()
    service = host.service()
    assert checks.used_share(service) == 0
    service.averages.others_in_flight = 2.0
    service.in_flight = 6
    assert checks.used_share(service) == pytest.approx(0.75)


@pytest.mark.parametrize(
    ("percent", "share"), [("0", 0.0), ("2", 0.02), ("2.5", 0.025), ("20", 0.2)]
)
def test_variables_are_read(percent, share):
    """Guards against a limit other than the operator's."""
    variables = {
        hedge_variables.PERCENT_VARIABLE: percent,
        hedge_variables.ROUTES_VARIABLE: "r-1, r-2",
    }
    assert hedge_variables.parse(variables).unwrap() == (
        hedge_variables.HedgeSettings(share, frozenset({"r-1", "r-2"}))
    )
    assert hedge_variables.parse({}).unwrap().share == 0


@pytest.mark.parametrize(
    ("percent", "routes"),
    [
        ("20.1", ""),
        ("-1", ""),
        ("nan", ""),
        ("1e1", ""),
        ("2%", ""),
        ("\u0662", ""),
        ("2", "a,,b"),
    ],
)
def test_invalid_variables_are_refused(percent, routes):
    """Guards against a host that starts with a limit nobody has set."""
    errors = hedge_variables.parse(
        {
            hedge_variables.PERCENT_VARIABLE: percent,
            hedge_variables.ROUTES_VARIABLE: routes,
        }
    ).unwrap_err()
    assert len(errors) == 1
    assert errors[0].startswith("FIREFLYSPINDLE_HEDGE_")
