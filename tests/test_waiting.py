"""Calls that wait at a gate host for a free slot, under overload."""

import collections

import pytest

from fireflyspindle.core import effects
from fireflyspindle.core import events
import published_driver as published_host


def test_call_waits_until_a_target_has_a_free_slot(
    make_published_host,
):
    host = make_published_host(targets=6)
    host.call_arrives(1)
    published_host.answer_probes(
        host, published_host.slow_loads(in_flight=4, slowdown=1.0), 60_000
    )
    assert host.sent == []
    assert host.gate_answer(1) is None
    published_host.answer_probes(host, None, 60_000)
    assert [e.call_id for e in host.sent] == [1]


def test_newest_waiting_call_that_is_in_time_is_sent_first(
    make_published_host,
):
    host = make_published_host(targets=6)
    host.call_arrives(1)
    published_host.answer_probes(
        host, published_host.slow_loads(in_flight=4, slowdown=1.0), 190_000
    )
    host.call_arrives(2)
    published_host.answer_probes(
        host, published_host.slow_loads(in_flight=4, slowdown=1.0), 30_000
    )
    assert host.sent == []
    published_host.answer_probes(host, None, 40_000)
    assert [e.call_id for e in host.sent] == [2, 1]


def test_late_call_is_sent_to_an_unused_slow_target(
    make_published_host,
):
    rule = published_host.rule(timeout_ms=2_000)
    host = make_published_host(targets=6, rules=[rule])
    loads = published_host.slow_loads(in_flight=4, slowdown=1.0)
    loads["10.0.0.3:80"] = published_host.load(slowdown=published_host.SLOW)
    host.call_arrives(1)
    published_host.answer_probes(host, loads, 100_000)
    assert host.sent == []
    published_host.answer_probes(host, loads, 120_000)
    assert [e.target for e in host.sent] == ["10.0.0.3:80"]


def test_waiting_call_is_refused_unsent_before_its_deadline(
    make_published_host,
):
    host = make_published_host(targets=6)
    host.call_arrives(1, deadline_ms=600)
    published_host.answer_probes(
        host, published_host.slow_loads(in_flight=4, slowdown=1.0), 500_000
    )
    assert host.sent == []
    assert host.gate_answer(1).status == 503
    assert host.gate_answer(1).outcome is effects.Outcome.NOT_RUN
    assert not host.service().waiting_calls


def test_more_urgent_route_is_sent_first(make_published_host):
    rules = [
        published_host.rule("urgent", prefix="/u/", priority=0),
        published_host.rule("other", prefix="/s/", priority=2),
    ]
    host = make_published_host(targets=6, rules=rules)
    host.call_arrives(1, path="/u/x")
    host.call_arrives(2)
    published_host.answer_probes(
        host, published_host.slow_loads(in_flight=4, slowdown=1.0), 40_000
    )
    published_host.answer_probes(host, None, 40_000)
    assert [e.call_id for e in host.sent] == [1, 2]


def test_burst_beyond_capacity_serves_what_fits_in_time(make_published_host):
    """Twice the call rate that six targets of 4 slots can serve, for 2 s."""
    host = make_published_host(targets=6, seed=5)
    work_us, spacing_us = 120_000, 2_500
    in_flight_by_target = collections.Counter()
    completions = []
    arrived_us = {}
    in_time = sent_count = 0
    for step in range(1_000):
        call_id = step + 1
        if step < 800:
            arrived_us[call_id] = host.now_us
            host.call_arrives(call_id)
        next_us = host.now_us + spacing_us
        host.advance(spacing_us)
        host.now_us = next_us
        host.answer_probes(
            {
                f"10.0.0.{n}:80": published_host.load(
                    in_flight=in_flight_by_target[f"10.0.0.{n}:80"]
                )
                for n in range(6)
            }
        )
        newly_sent, sent_count = host.sent[sent_count:], len(host.sent)
        for effect in newly_sent:
            in_flight_by_target[effect.target] += 1
            queued = max(0, in_flight_by_target[effect.target] - 4)
            end_us = host.now_us + work_us * (1 + queued / 4)
            completions.append((end_us, effect))
        for completion in [
            completion
            for completion in completions
            if completion[0] <= host.now_us
        ]:
            completions.remove(completion)
            effect = completion[1]
            in_flight_by_target[effect.target] -= 1
            if effect.call_id not in host.state.calls:
                continue
            in_time += host.now_us - arrived_us[effect.call_id] <= 300_000
            host.answer(
                effect.call_id,
                effect.attempt,
                report=published_host.load(
                    in_flight=in_flight_by_target[effect.target]
                ),
            )
            host.finish(effect.call_id)
    capacity = 6 * 4 * 2.0 / 0.120
    assert in_time >= 0.75 * capacity


def test_sent_waiting_call_is_not_sent_again_by_its_probes(
    make_published_host,
):
    """The probes of a waiting call end after an answer freed a slot for it."""
    rule = published_host.rule(repeatable=False)
    host = make_published_host(targets=6, rules=[rule])
    full = published_host.slow_loads(in_flight=4, slowdown=1.0)
    host.arrive_and_send(1)
    host.advance(300_000)
    host.call_arrives(2)
    published_host.answer_probes(host, full, 24_000)
    for _ in range(60):
        host.advance(1_000)
        if host.state.calls[2].probe_round is not None:
            break
    assert host.state.calls[2].probe_round is not None
    assert 2 in host.service().waiting_calls
    host.answer(1, 1, report=published_host.load())
    host.finish(1)
    assert [e.call_id for e in host.sent] == [1, 2]
    host.answer_probes()
    assert [e.call_id for e in host.sent] == [1, 2]


def test_targets_that_slow_down_near_capacity_keep_a_slot_free(
    make_published_host,
):
    host = make_published_host(targets=4)
    for call_id in range(1, 41):
        near_capacity = call_id > 10
        loads = published_host.slow_loads(
            in_flight=3 if near_capacity else 0, slowdown=1.0
        )
        host.call_arrives(call_id)
        while host.state.probes:
            host.answer_probes(loads)
        host.now_us += 200_000 if near_capacity else 100_000
        host.answer(
            call_id,
            1,
            report=published_host.load(in_flight=3 if near_capacity else 0),
        )
        host.finish(call_id)
        host.now_us += 50_000
    sent = len(host.sent)
    host.call_arrives(99)
    published_host.answer_probes(
        host, published_host.slow_loads(in_flight=3, slowdown=1.0), 30_000
    )
    assert len(host.sent) == sent


def test_every_call_is_sent_while_targets_decline_half_of_them(
    make_published_host,
):
    host = make_published_host(targets=6, resend_share=0.0)
    for call_id in range(1, 201):
        host.arrive_and_send(call_id)
        if call_id % 2:
            host.answer(
                call_id,
                1,
                status=503,
                not_run=True,
                report=published_host.load(),
            )
        else:
            host.answer(call_id, 1, report=published_host.load())
            host.finish(call_id)
        while host.state.probes:
            host.answer_probes()
        host.now_us += 50_000
    assert len({e.call_id for e in host.sent}) == 200


def test_full_target_with_a_fresh_report_does_not_prevent_probing_others(
    make_published_host,
):
    """Answers of a full target keep its load report fresh."""
    rule = published_host.rule(repeatable=False)
    host = make_published_host(targets=6, rules=[rule])
    host.arrive_and_send(1)
    busy = host.sent[0].target
    host.advance(400_000)
    host.answer(1, 1, report=published_host.load(in_flight=4))
    host.finish(1)
    emitted = host.call_arrives(2)
    probed = [e.target for e in emitted if isinstance(e, effects.ProbeTarget)]
    assert len(probed) == 2
    assert busy not in probed


def test_unreported_target_is_not_used_while_others_report(
    make_published_host,
):
    rule = published_host.rule(repeatable=False)
    host = make_published_host(targets=6, rules=[rule], probes_per_s=0.01)
    host.arrive_and_send(1)
    host.advance(100_000)
    host.answer(1, 1, report=published_host.load(in_flight=4))
    host.finish(1)
    host.call_arrives(2)
    assert len(host.sent) == 1
    host.advance(260_000)
    assert 2 in host.state.calls or host.gate_answer(2) is not None


# Milliseconds of usual work, latency objective and time-out of a route.
SHORT_WORK = (60, 200, 1_200)
LONG_WORK = (870, 2_000, 10_000)


def _host_without_probes(make_published_host, work, targets):
    """Returns a gate host that can send one probe only, and its service."""
    work_ms, objective_ms, timeout_ms = work
    rule = published_host.rule(
        timeout_ms=timeout_ms, latency_objective_ms=objective_ms, max_attempts=3
    )
    host = make_published_host(
        targets=targets, rules=[rule], probes_per_s=0.001
    )
    host.service().averages.processing_time_us = work_ms * 1_000.0
    host.state.probe_tokens = 1.0
    return host, host.service()


@pytest.mark.parametrize("work", [SHORT_WORK, LONG_WORK])
def test_retry_does_not_wait_for_reports_of_the_target_that_failed(
    make_published_host, work
):
    host, _ = _host_without_probes(make_published_host, work, targets=2)
    first = host.arrive_and_send(1)
    host.advance(1_000)
    host.fail(1, 1, events.FailureReason.TRUNCATED, True)
    assert [e.attempt for e in host.sent] == [1, 2]
    assert host.sent[1].target != first.target


@pytest.mark.parametrize("work", [SHORT_WORK, LONG_WORK])
def test_first_calls_are_sent_at_once_without_probes(make_published_host, work):
    host, _ = _host_without_probes(make_published_host, work, targets=2)
    host.state.probe_tokens = 0.0
    for call_id in range(1, 5):
        host.call_arrives(call_id)
    assert [e.call_id for e in host.sent] == [1, 2, 3, 4]


@pytest.mark.parametrize("work", [SHORT_WORK, LONG_WORK])
def test_waiting_call_reaches_a_target_that_is_no_longer_full(
    make_published_host, work
):
    """The only target reported no free slot, and no probe can ask again."""
    host, _ = _host_without_probes(make_published_host, work, targets=1)
    host.call_arrives(1)
    host.answer_probes({"10.0.0.0:80": published_host.load(in_flight=4)})
    assert host.sent == []
    host.advance(host.state.calls[1].deadline_us - host.now_us)
    assert [e.call_id for e in host.sent] == [1]


@pytest.mark.parametrize("work", [SHORT_WORK, LONG_WORK])
def test_late_call_is_sent_to_an_unreported_target_while_others_are_full(
    make_published_host, work
):
    """One target reports full again and again; the other just came back."""
    host, service = _host_without_probes(make_published_host, work, targets=2)
    full, returned = (service.targets[key] for key in ("i-0", "i-1"))
    full.in_flight = 4
    host.state.probe_tokens = 0.0
    full.reported_load.reported_us = host.now_us
    host.call_arrives(1)
    assert host.sent == []
    end_us = host.state.calls[1].deadline_us
    while host.now_us < end_us:
        full.reported_load.reported_us = host.now_us
        host.advance(50_000)
    assert [e.target for e in host.sent] == [returned.spec.address]


def test_late_call_is_not_sent_to_an_unreported_target_under_overload(
    make_published_host,
):
    host, service = _host_without_probes(make_published_host, SHORT_WORK, 2)
    full = service.targets["i-0"]
    full.in_flight = 4
    service.averages.others_in_flight = 3.5
    host.state.probe_tokens = 0.0
    full.reported_load.reported_us = host.now_us
    host.call_arrives(1)
    end_us = host.state.calls[1].deadline_us
    while host.now_us < end_us:
        full.reported_load.reported_us = host.now_us
        host.advance(50_000)
    assert host.sent == []
    assert host.gate_answer(1).status == 503
