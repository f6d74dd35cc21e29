"""Estimates of load, the choice of a target, and hedges."""

import pytest

from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import load
from fireflyspindle.core import target_selection


def complete_call(host, call_id, in_flight=None, took_us=10_000, **fields):
    """Completes one call; returns its target."""
    sent = host.call_arrives(call_id, **fields)
    host.advance(took_us)
    report = events.LoadReport(in_flight)
    host.answer(call_id, sent.attempt, report=report)
    host.finish(call_id)
    return sent.target


@pytest.mark.parametrize(
    ("follows", "expected"), [(1.0, 1.0), (0.25, 0.5), (0.0, 0.0), (-1.0, 0.0)]
)
def test_report_weight_depends_on_correlation_with_own_attempts(
    follows, expected
):
    service = load.ServiceLoad()
    for number in range(8_000):
        own = number % 3
        service.update_slope(own, 5 + follows * own + number // 3 % 2)
    assert service.report_weight() == pytest.approx(expected, abs=0.05)


def test_reports_below_own_attempts_are_ignored():
    service = load.ServiceLoad()
    under_reporter, accurate = load.TargetLoad(), load.TargetLoad()
    for number in range(20):
        load.on_report(service, accurate, 6, 2, number * 1_000)
        load.on_report(service, under_reporter, 0, 2, number * 1_000)
    estimates = [
        load.expected_others_in_flight(service, target, 20_000)
        for target in (under_reporter, accurate)
    ]
    assert estimates[0] == pytest.approx(
        load.OTHER_HOSTS_WEIGHT * service.mean_others_in_flight
    )
    assert estimates[1] > estimates[0]


@pytest.mark.parametrize("age_us", [0, 10_000, 200_000, 5_000_000])
def test_estimate_decays_to_the_mean(age_us):
    service = load.ServiceLoad(mean_others_in_flight=2.0)
    target = load.TargetLoad()
    load.on_report(service, target, 40, 0, 0)
    estimate = load.expected_others_in_flight(service, target, age_us)
    if age_us < load.REPORT_EXPIRY_US:
        assert estimate > load.OTHER_HOSTS_WEIGHT * 2.0
    else:
        assert (
            estimate == load.OTHER_HOSTS_WEIGHT * service.mean_others_in_flight
        )


def test_target_busy_with_other_hosts_is_avoided(make_host):
    host = make_host(targets=4)
    for number in range(2_000):
        host.state.services["s"].load.update_slope(number % 3, 3 + number % 3)
    used_indexes = []
    for call_id in range(200):
        sent = host.call_arrives(call_id)
        host.advance(10_000)
        busy = host.target_index(sent.target) == 0
        report = events.LoadReport(12 if busy else 1)
        host.answer(call_id, sent.attempt, report=report)
        host.finish(call_id)
        used_indexes.append(host.target_index(sent.target))
    assert used_indexes.count(0) < 30


def test_connection_share_is_not_exceeded(make_host):
    host = make_host(targets=2)
    for target in host.state.services["s"].targets.values():
        target.max_connections = 3
    sent = [host.call_arrives(call_id) for call_id in range(7)]
    assert sent[6] is None
    assert len(host.state.services["s"].queue) == 1
    host.answer(0, 1)
    host.finish(0)
    assert [effect.call_id for effect in host.sent] == list(range(7))
    assert host.sent[6].target == host.sent[0].target
    by_target = [one.target for one in sent[:6]]
    assert {by_target.count(address) for address in host.addresses} == {3}


@pytest.mark.parametrize(
    ("limit", "gate_hosts_max", "share"),
    [(260, 32, 7), (220, 17, 11), (10, 32, 1)],
)
def test_connection_share_is_derived_from_the_limit(
    make_host, limit, gate_hosts_max, share
):
    host = make_host(targets=1)
    host.publish("policy", "s", {"gate_hosts_max": gate_hosts_max})
    spec = {"address": host.addresses[0], "connection_limit": limit}
    host.publish("service", "s", {"targets": [spec]})
    target = host.state.services["s"].targets[host.addresses[0]]
    assert target.max_connections == share


def test_subset_of_a_large_service_is_stable(make_host):
    host = make_host(targets=200)
    service = host.state.services["s"]
    before = {target.spec.address for target in service.candidates}
    assert len(before) == target_selection.MAX_CANDIDATES
    addresses = [a for a in host.addresses if a not in list(before)[:2]]
    host.publish(
        "service",
        "s",
        {"targets": [{"address": address} for address in addresses]},
    )
    after = {target.spec.address for target in service.candidates}
    assert len(before & after) == target_selection.MAX_CANDIDATES - 2


def record_latencies(host):
    """Completes 200 calls of 10 ms, for the latency histogram."""
    for call_id in range(1_000, 1_200):
        complete_call(host, call_id, 1)


@pytest.mark.parametrize(
    ("fields", "hedged"),
    [
        ({}, True),
        ({"repeatable": False}, False),
        ({"resendable": False}, False),
        ({"deadline_ms": 5}, False),
    ],
)
def test_slow_call_is_hedged_if_it_is_repeatable(make_host, fields, hedged):
    host = make_host(targets=4)
    record_latencies(host)
    first = host.call_arrives(1, **fields)
    host.advance(100_000)
    sent = [effect for effect in host.sent if effect.call_id == 1]
    assert len(sent) == (2 if hedged else 1)
    if hedged:
        assert sent[1].hedge
        assert sent[1].target != first.target


def test_first_answer_is_used_and_the_other_attempt_cancelled(make_host):
    host = make_host(targets=4)
    record_latencies(host)
    host.call_arrives(1)
    host.advance(100_000)
    emitted = host.answer(1, 2)
    assert effects.CancelAttempt(1, 1) in emitted
    assert host.outcome(1) is effects.Outcome.COMPLETE


def test_hedges_stay_within_their_share(make_host):
    host = make_host(targets=4)
    record_latencies(host)
    host.state.services["s"].hedge_budget.tokens = 0.0
    for call_id in range(2_000, 3_000):
        sent = host.call_arrives(call_id)
        host.advance(100_000)
        host.answer(call_id, sent.attempt)
        host.finish(call_id)
    hedges = [effect for effect in host.sent if effect.hedge]
    assert 0 < len(hedges) <= 50
