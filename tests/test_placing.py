"""Placement of calls under load, and refusal of those without a target."""

import collections

import pytest

from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import published
import published_driver as published_host


def test_call_is_sent_after_probing_two_targets(make_published_host):
    host = make_published_host(targets=6)
    emitted = host.call_arrives(1)
    probed = [e for e in emitted if isinstance(e, effects.ProbeTarget)]
    assert len(probed) == 2
    assert host.sent == []
    host.answer_probes(
        {probed[0].target: published_host.load(slowdown=published_host.SLOW)}
    )
    assert [e.target for e in host.sent] == [probed[1].target]


def test_second_round_probes_others_when_both_are_slow(make_published_host):
    host = make_published_host(targets=6)
    emitted = host.call_arrives(1)
    first = {e.target for e in emitted if isinstance(e, effects.ProbeTarget)}
    host.answer_probes(
        dict.fromkeys(first, published_host.load(slowdown=published_host.SLOW))
    )
    assert host.sent == []
    host.answer_probes()
    assert host.sent[0].target not in first


def test_unresponsive_target_delays_a_call_for_one_round_only(
    make_published_host,
):
    host = make_published_host(targets=6)
    emitted = host.call_arrives(1)
    unresponsive, other = [
        e.target for e in emitted if isinstance(e, effects.ProbeTarget)
    ]
    for probe_id, probe in list(host.state.probes.items()):
        if probe.target == "i-" + other.split(".")[3].split(":")[0]:
            host.feed(events.ProbeEnded, probe_id, published_host.load())
    host.advance(26_000)
    assert [e.target for e in host.sent] == [other]
    for call_id in range(2, 6):
        host.now_us += 30_000
        emitted = host.call_arrives(call_id)
        assert unresponsive not in [
            e.target for e in emitted if isinstance(e, effects.ProbeTarget)
        ]
        while host.state.probes:
            host.answer_probes({unresponsive: None})


def test_temporarily_slow_quarter_of_the_targets_is_avoided(
    make_published_host,
):
    host = make_published_host(targets=16, seed=3)
    addresses = [f"10.0.0.{number}:80" for number in range(16)]
    sent_to_slow = 0
    for call_id in range(1, 401):
        if call_id % 40 == 1:
            slow = set(host.state.random.sample(addresses, 4))
            loads = {
                address: published_host.load(slowdown=published_host.SLOW)
                for address in slow
            }
        host.call_arrives(call_id)
        while host.state.probes:
            host.answer_probes(loads)
        sent_to_slow += host.sent[-1].target in slow
        host.answer(
            call_id,
            1,
            report=loads.get(host.sent[-1].target, published_host.load()),
        )
        host.finish(call_id)
        host.now_us += 12_500
    assert sent_to_slow <= 400 * 0.02


def test_own_failure_domain_is_preferred_until_it_is_slow(
    make_published_host,
):
    host = make_published_host(targets=0)
    near = [published_host.entry(n) for n in range(2)]
    far = [
        published_host.entry(n, failure_domain=published_host.OTHER_DOMAIN)
        for n in range(2, 6)
    ]
    host.register(*near, *far)
    near_addresses = {entry.address for entry in near}
    for call_id in range(1, 11):
        assert host.arrive_and_send(call_id).target in near_addresses
        host.answer(call_id, 1, report=published_host.load())
        host.finish(call_id)
        host.now_us += 100_000
    host.call_arrives(99)
    while host.state.probes:
        host.answer_probes(
            dict.fromkeys(
                near_addresses,
                published_host.load(slowdown=published_host.SLOW),
            )
        )
    assert host.sent[-1].target not in near_addresses


def test_full_targets_are_skipped(make_published_host):
    host = make_published_host(targets=6)
    emitted = host.call_arrives(1)
    first, second = [
        e.target for e in emitted if isinstance(e, effects.ProbeTarget)
    ]
    host.answer_probes(
        {
            first: published_host.load(in_flight=9),
            second: published_host.load(in_flight=1),
        }
    )
    assert [e.target for e in host.sent] == [second]


def test_target_gets_fewer_calls_until_its_warmup_ends(make_published_host):
    host = make_published_host(targets=3)
    host.register(published_host.entry(7, warmup_left_ms=3_000))
    during_warmup, after_warmup = collections.Counter(), collections.Counter()
    for call_id in range(1, 121):
        counts = during_warmup if host.now_us < 4_000_000 else after_warmup
        counts[host.arrive_and_send(call_id).incarnation] += 1
        host.now_us += 40_000
        host.answer(call_id, 1, report=published_host.load())
        host.finish(call_id)
        host.now_us += 40_000
    assert during_warmup["i-7"] < during_warmup["i-0"] / 2
    assert after_warmup["i-7"] > 0


def test_late_repeatable_call_is_hedged_within_the_budget(
    make_published_host,
):
    host = make_published_host(targets=6)
    host.arrive_and_send(1)
    host.advance(170_000)
    published_host.answer_probes(host, None, 60_000)
    sent = [e for e in host.sent if e.call_id == 1]
    assert [e.hedge for e in sent] == [False, True]
    assert sent[0].target != sent[1].target


def test_non_repeatable_call_is_sent_once_only(make_published_host):
    rule = published_host.rule(repeatable=False)
    host = make_published_host(targets=6, rules=[rule])
    host.arrive_and_send(1)
    host.advance(300_000)
    host.fail(1, 1, events.FailureReason.DISCONNECTED, sent=True)
    assert len(host.sent) == 1
    assert host.gate_answer(1).status == 502
    assert host.gate_answer(1).outcome is effects.Outcome.UNKNOWN


def test_unsent_non_repeatable_call_is_retried_elsewhere(
    make_published_host,
):
    rule = published_host.rule(repeatable=False)
    host = make_published_host(targets=6, rules=[rule])
    host.arrive_and_send(1)
    host.fail(1, 1, events.FailureReason.REFUSED, sent=False)
    while host.state.probes:
        host.answer_probes()
    assert len(host.sent) == 2
    assert host.sent[0].target != host.sent[1].target


def test_declined_call_without_another_target_gets_retry_after(
    make_published_host,
):
    host = make_published_host(targets=1)
    host.arrive_and_send(1)
    host.answer(1, 1, status=503, not_run=True)
    assert host.gate_answer(1).status == 503
    assert host.gate_answer(1).outcome is effects.Outcome.NOT_RUN
    assert 0 < host.gate_answer(1).retry_after_ms < 1_000


def test_attempts_of_a_call_stay_within_the_limit_of_its_route(
    make_published_host,
):
    host = make_published_host(targets=6)
    host.arrive_and_send(1)
    host.answer(1, 1, status=503, not_run=True)
    while host.state.probes:
        host.answer_probes()
    host.answer(1, 2, status=503, not_run=True)
    assert len(host.sent) == 2
    assert host.gate_answer(1).status == 503


def test_retries_stay_within_their_share_while_every_attempt_fails(
    make_published_host,
):
    host = make_published_host(targets=16, resend_share=0.2, resend_slack=62)
    call_count = 300
    for call_id in range(1, call_count + 1):
        host.arrive_and_send(call_id)
        for attempt in (1, 2):
            host.answer(call_id, attempt, status=503, not_run=True)
            while host.state.probes:
                host.answer_probes()
        host.now_us += 20_000
    assert len(host.sent) - call_count <= 0.2 * call_count + 1


def test_timeout_of_the_route_limits_the_deadline(make_published_host):
    host = make_published_host(
        targets=2, rules=[published_host.rule(repeatable=False, timeout_ms=500)]
    )
    host.arrive_and_send(1, deadline_ms=2_000)
    assert host.sent[0].timeout_us <= 500_000
    host.advance(500_001)
    assert host.gate_answer(1).status == 504


def test_call_without_targets_is_refused_at_once(make_published_host):
    host = make_published_host(targets=0)
    host.call_arrives(1)
    assert host.gate_answer(1).status == 503
    assert host.gate_answer(1).error == "no_target"


def test_split_to_a_service_without_targets_is_refused_not_rerouted(
    make_published_host,
):
    rule = published_host.rule(
        parts=(published.Part("s", 1), published.Part("t", 1))
    )
    host = make_published_host(targets=0)
    host.configure(
        published_host.document(version=2, rules=[rule], services=("s", "t"))
    )
    host.register(published_host.entry(0, service="s"))
    for call_id in range(1, 21):
        host.arrive_and_send(call_id)
        host.answer(call_id, 1, report=published_host.load())
        host.finish(call_id)
    refused = [host.gate_answer(n) for n in range(1, 21) if host.gate_answer(n)]
    assert 9 <= len(refused) <= 11


def test_targets_that_report_no_load_are_no_longer_probed(
    make_published_host,
):
    host = make_published_host(targets=4)
    for call_id in range(1, 11):
        host.call_arrives(call_id)
        while host.state.probes:
            host.answer_probes(
                {f"10.0.0.{n}:80": events.LoadReport() for n in range(4)}
            )
        host.answer(call_id, 1)
        host.finish(call_id)
        host.now_us += 100_000
    assert not host.service().probes_before_send
    host.call_arrives(99)
    assert host.sent[-1].call_id == 99


@pytest.mark.parametrize("disconnects", [True, False])
def test_call_of_a_caller_gone_during_probing_is_not_sent(
    make_published_host, disconnects
):
    host = make_published_host(targets=4)
    host.call_arrives(1)
    if disconnects:
        host.feed(events.CallerDisconnected, 1)
    host.answer_probes()
    assert bool(host.sent) is not disconnects


def test_calls_are_sent_when_the_probe_budget_is_exhausted(
    make_published_host,
):
    rule = published_host.rule(repeatable=False)
    host = make_published_host(targets=4, rules=[rule], probes_per_s=0.01)
    for call_id in range(1, 11):
        assert host.arrive_and_send(call_id) is not None
        host.now_us += 100_000
        host.answer(call_id, 1, report=published_host.load())
        host.finish(call_id)
        host.now_us += 400_000
    assert len(host.effects_of(effects.ProbeTarget)) <= 2


def test_declined_call_is_retried_elsewhere_without_probing(
    make_published_host,
):
    rule = published_host.rule(repeatable=False)
    host = make_published_host(
        targets=2, rules=[rule], probes_per_s=0.01, resend_slack=64.0
    )
    host.arrive_and_send(1)
    host.answer(1, 1, status=421, not_run=True)
    assert len(host.sent) == 2


@pytest.mark.parametrize("repeatable", [True, False])
def test_repeatability_of_the_route_overrides_the_method(
    make_published_host, repeatable
):
    rule = published_host.rule(repeatable=repeatable)
    host = make_published_host(targets=2, rules=[rule])
    sent = host.arrive_and_send(1, repeatable=not repeatable)
    assert sent.repeatable is repeatable


# Counted twice, an attempt would make targets look slower as they fill.
def test_attempt_does_not_count_itself_as_load_of_its_target(
    make_published_host,
):
    host = make_published_host(targets=1)
    for call_id in range(1, 5):
        host.arrive_and_send(call_id)
    attempts = [host.state.calls[n].attempts[1] for n in range(1, 5)]
    assert [attempt.near_capacity for attempt in attempts] == [
        False,
        False,
        False,
        True,
    ]


@pytest.mark.parametrize(
    ("has_large_bodies", "slowdown", "stays"),
    [
        # Calls with large bodies crossed domains for no gain to their callers.
        (True, 4.0, True),
        # They must not wait for a target that can't answer in time.
        (True, 60.0, False),
        # Other calls must not crowd the slow targets of their own domain.
        (False, 4.0, False),
    ],
)
def test_large_bodies_stay_in_their_domain_while_answers_are_in_time(
    make_published_host, has_large_bodies, slowdown, stays
):
    rule = published_host.rule(
        has_large_bodies=has_large_bodies,
        latency_objective_ms=1_500,
        timeout_ms=6_000,
    )
    host = make_published_host(targets=0, rules=[rule])
    near = [published_host.entry(n) for n in range(2)]
    far = [
        published_host.entry(n, failure_domain=published_host.OTHER_DOMAIN)
        for n in range(2, 6)
    ]
    host.register(*near, *far)
    for call_id in range(1, 31):
        host.arrive_and_send(call_id)
        host.now_us += 100_000
        host.answer(call_id, 1, report=published_host.load())
        host.finish(call_id)
    near_addresses = {entry.address for entry in near}
    loads = dict.fromkeys(
        near_addresses, published_host.load(slowdown=slowdown)
    )
    host.now_us += 1_000_000
    host.call_arrives(99)
    while host.state.probes:
        host.answer_probes(loads)
    assert (host.sent[-1].target in near_addresses) is stays
