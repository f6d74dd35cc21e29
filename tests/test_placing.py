"""Where calls go under load, and what becomes of those that can't go."""

import collections

import pytest

from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import published
import published_driver as published_host

SLOW = 7.0


def load(in_flight=0, pace=1.0, slots=4):
    return events.LoadReport(in_flight=in_flight, slots=slots, pace=pace)


def test_call_waits_for_the_load_of_two_targets(make_published_host):
    host = make_published_host(targets=6)
    taken = host.arrive(1)
    probed = [e for e in taken if isinstance(e, effects.ProbeTarget)]
    assert len(probed) == 2
    assert host.sent == []
    host.tell_loads({probed[0].target: load(pace=SLOW)})
    assert [e.target for e in host.sent] == [probed[1].target]


def test_second_round_asks_others_when_both_are_slow(make_published_host):
    host = make_published_host(targets=6)
    taken = host.arrive(1)
    first = {e.target for e in taken if isinstance(e, effects.ProbeTarget)}
    host.tell_loads(dict.fromkeys(first, load(pace=SLOW)))
    assert host.sent == []
    host.tell_loads()
    assert host.sent[0].target not in first


def test_silent_target_holds_a_call_up_for_one_round_only(
    make_published_host,
):
    host = make_published_host(targets=6)
    taken = host.arrive(1)
    silent, other = [
        e.target for e in taken if isinstance(e, effects.ProbeTarget)
    ]
    for probe_id, probe in list(host.state.probes.items()):
        if probe.target == "i-" + other.split(".")[3].split(":")[0]:
            host.feed(events.ProbeEnded, probe_id, load())
    host.advance(26_000)
    assert [e.target for e in host.sent] == [other]
    for call_id in range(2, 6):
        host.now_us += 30_000
        taken = host.arrive(call_id)
        assert silent not in [
            e.target for e in taken if isinstance(e, effects.ProbeTarget)
        ]
        while host.state.probes:
            host.tell_loads({silent: None})


def test_slow_spells_of_a_quarter_of_the_targets_are_avoided(
    make_published_host,
):
    host = make_published_host(targets=16, seed=3)
    addresses = [f"10.0.0.{number}:80" for number in range(16)]
    on_slow = 0
    for call_id in range(1, 401):
        if call_id % 40 == 1:
            slow = set(host.state.random.sample(addresses, 4))
            loads = {address: load(pace=SLOW) for address in slow}
        host.arrive(call_id)
        while host.state.probes:
            host.tell_loads(loads)
        on_slow += host.sent[-1].target in slow
        host.answer(call_id, 1, report=loads.get(host.sent[-1].target, load()))
        host.finish(call_id)
        host.now_us += 12_500
    assert on_slow <= 400 * 0.02


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
        assert host.place(call_id).target in near_addresses
        host.answer(call_id, 1, report=load())
        host.finish(call_id)
        host.now_us += 100_000
    host.arrive(99)
    while host.state.probes:
        host.tell_loads(dict.fromkeys(near_addresses, load(pace=SLOW)))
    assert host.sent[-1].target not in near_addresses


def test_full_targets_are_passed_over(make_published_host):
    host = make_published_host(targets=6)
    taken = host.arrive(1)
    first, second = [
        e.target for e in taken if isinstance(e, effects.ProbeTarget)
    ]
    host.tell_loads({first: load(in_flight=9), second: load(in_flight=1)})
    assert [e.target for e in host.sent] == [second]


def test_cold_target_gets_calls_once_it_is_warm(make_published_host):
    host = make_published_host(targets=3)
    host.register(published_host.entry(7, cold_left_ms=3_000))
    early, later = collections.Counter(), collections.Counter()
    for call_id in range(1, 121):
        seen = early if host.now_us < 4_000_000 else later
        seen[host.place(call_id).incarnation] += 1
        host.now_us += 40_000
        host.answer(call_id, 1, report=load())
        host.finish(call_id)
        host.now_us += 40_000
    assert early["i-7"] < early["i-0"] / 2
    assert later["i-7"] > 0


def test_late_repeatable_call_is_hedged_within_the_budget(
    make_published_host,
):
    host = make_published_host(targets=6)
    host.place(1)
    host.advance(170_000)
    answer_probes(host, None, 60_000)
    sent = [e for e in host.sent if e.call_id == 1]
    assert [e.hedge for e in sent] == [False, True]
    assert sent[0].target != sent[1].target


def test_non_repeatable_call_is_sent_once_only(make_published_host):
    rule = published_host.rule(repeatable=False)
    host = make_published_host(targets=6, rules=[rule])
    host.place(1)
    host.advance(300_000)
    host.fail(1, 1, events.FailureReason.DISCONNECTED, sent=True)
    assert len(host.sent) == 1
    assert host.told(1).status == 502
    assert host.told(1).outcome is effects.Outcome.UNKNOWN


def test_non_repeatable_call_that_never_left_is_sent_elsewhere(
    make_published_host,
):
    rule = published_host.rule(repeatable=False)
    host = make_published_host(targets=6, rules=[rule])
    host.place(1)
    host.fail(1, 1, events.FailureReason.REFUSED, sent=False)
    while host.state.probes:
        host.tell_loads()
    assert len(host.sent) == 2
    assert host.sent[0].target != host.sent[1].target


def test_declined_call_without_another_target_is_told_when_to_return(
    make_published_host,
):
    host = make_published_host(targets=1)
    host.place(1)
    host.answer(1, 1, status=503, not_run=True)
    assert host.told(1).status == 503
    assert host.told(1).outcome is effects.Outcome.NOT_RUN
    assert 0 < host.told(1).retry_after_ms < 1_000


def test_attempts_of_a_call_stay_within_its_routes_limit(
    make_published_host,
):
    host = make_published_host(targets=6)
    host.place(1)
    host.answer(1, 1, status=503, not_run=True)
    while host.state.probes:
        host.tell_loads()
    host.answer(1, 2, status=503, not_run=True)
    assert len(host.sent) == 2
    assert host.told(1).status == 503


def test_repeats_stay_within_their_share_while_everything_fails(
    make_published_host,
):
    host = make_published_host(targets=16, repeat_share=0.2, repeat_slack=62)
    calls = 300
    for call_id in range(1, calls + 1):
        host.place(call_id)
        for attempt in (1, 2):
            host.answer(call_id, attempt, status=503, not_run=True)
            while host.state.probes:
                host.tell_loads()
        host.now_us += 20_000
    assert len(host.sent) - calls <= 0.2 * calls + 1


def test_timeout_of_the_route_ends_the_wait(make_published_host):
    host = make_published_host(
        targets=2, rules=[published_host.rule(repeatable=False, timeout_ms=500)]
    )
    host.place(1, deadline_ms=2_000)
    assert host.sent[0].timeout_us <= 500_000
    host.advance(500_001)
    assert host.told(1).status == 504


def test_call_without_targets_is_refused_at_once(make_published_host):
    host = make_published_host(targets=0)
    host.arrive(1)
    assert host.told(1).status == 503
    assert host.told(1).error == "no_target"


def test_part_of_a_split_without_targets_is_refused_not_moved(
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
        host.place(call_id)
        host.answer(call_id, 1, report=load())
        host.finish(call_id)
    refused = [host.told(n) for n in range(1, 21) if host.told(n)]
    assert 9 <= len(refused) <= 11


def test_targets_that_state_no_load_are_not_asked_for_ever(
    make_published_host,
):
    host = make_published_host(targets=4)
    for call_id in range(1, 11):
        host.arrive(call_id)
        while host.state.probes:
            host.tell_loads(
                {f"10.0.0.{n}:80": events.LoadReport() for n in range(4)}
            )
        host.answer(call_id, 1)
        host.finish(call_id)
        host.now_us += 100_000
    assert not host.service().looks_ahead
    host.arrive(99)
    assert host.sent[-1].call_id == 99


@pytest.mark.parametrize("leaves", [True, False])
def test_caller_that_leaves_during_a_look_is_not_sent(
    make_published_host, leaves
):
    host = make_published_host(targets=4)
    host.arrive(1)
    if leaves:
        host.feed(events.CallerLeft, 1)
    host.tell_loads()
    assert bool(host.sent) is not leaves


def all_slow(count=6, in_flight=0, pace=SLOW):
    return {
        f"10.0.0.{n}:80": load(in_flight=in_flight, pace=pace)
        for n in range(count)
    }


def answer_probes(host, loads, for_us):
    """Answers probes for a time, 6 ms after each is asked."""
    end_us = host.now_us + for_us
    while host.now_us < end_us:
        host.advance(6_000)
        host.tell_loads(loads)


def test_call_waits_while_every_target_is_full_and_goes_when_one_is_not(
    make_published_host,
):
    host = make_published_host(targets=6)
    host.arrive(1)
    answer_probes(host, all_slow(in_flight=4, pace=1.0), 60_000)
    assert host.sent == []
    assert host.told(1) is None
    answer_probes(host, None, 60_000)
    assert [e.call_id for e in host.sent] == [1]


def test_of_waiting_calls_the_newest_that_is_in_time_goes_first(
    make_published_host,
):
    host = make_published_host(targets=6)
    host.arrive(1)
    answer_probes(host, all_slow(in_flight=4, pace=1.0), 190_000)
    host.arrive(2)
    answer_probes(host, all_slow(in_flight=4, pace=1.0), 30_000)
    assert host.sent == []
    answer_probes(host, None, 40_000)
    assert [e.call_id for e in host.sent] == [2, 1]


def test_late_call_goes_to_a_slow_target_that_nobody_else_wants(
    make_published_host,
):
    rule = published_host.rule(timeout_ms=2_000)
    host = make_published_host(targets=6, rules=[rule])
    loads = all_slow(in_flight=4, pace=1.0)
    loads["10.0.0.3:80"] = load(pace=SLOW)
    host.arrive(1)
    answer_probes(host, loads, 100_000)
    assert host.sent == []
    answer_probes(host, loads, 120_000)
    assert [e.target for e in host.sent] == ["10.0.0.3:80"]


def test_waiting_call_is_refused_unsent_before_its_deadline(
    make_published_host,
):
    host = make_published_host(targets=6)
    host.arrive(1, deadline_ms=600)
    answer_probes(host, all_slow(in_flight=4, pace=1.0), 500_000)
    assert host.sent == []
    assert host.told(1).status == 503
    assert host.told(1).outcome is effects.Outcome.NOT_RUN
    assert not host.service().room


def test_more_urgent_route_goes_first(make_published_host):
    rules = [
        published_host.rule("urgent", prefix="/u/", priority=0),
        published_host.rule("other", prefix="/s/", priority=2),
    ]
    host = make_published_host(targets=6, rules=rules)
    host.arrive(1, path="/u/x")
    host.arrive(2)
    answer_probes(host, all_slow(in_flight=4, pace=1.0), 40_000)
    answer_probes(host, None, 40_000)
    assert [e.call_id for e in host.sent] == [1, 2]


def test_burst_beyond_capacity_serves_what_fits_in_time(make_published_host):
    """Twice the calls that six targets of 4 slots serve, for two seconds."""
    host = make_published_host(targets=6, seed=5)
    work_us, spacing_us = 120_000, 2_500
    held = collections.Counter()
    ends = []
    arrived = {}
    in_time = seen = 0
    for step in range(1_000):
        call_id = step + 1
        if step < 800:
            arrived[call_id] = host.now_us
            host.arrive(call_id)
        next_us = host.now_us + spacing_us
        host.advance(spacing_us)
        host.now_us = next_us
        host.tell_loads(
            {
                f"10.0.0.{n}:80": load(in_flight=held[f"10.0.0.{n}:80"])
                for n in range(6)
            }
        )
        new, seen = host.sent[seen:], len(host.sent)
        for effect in new:
            held[effect.target] += 1
            queued = max(0, held[effect.target] - 4)
            end_us = host.now_us + work_us * (1 + queued / 4)
            ends.append((end_us, effect))
        for end in [end for end in ends if end[0] <= host.now_us]:
            ends.remove(end)
            effect = end[1]
            held[effect.target] -= 1
            if effect.call_id not in host.state.calls:
                continue
            in_time += host.now_us - arrived[effect.call_id] <= 300_000
            host.answer(
                effect.call_id,
                effect.attempt,
                report=load(in_flight=held[effect.target]),
            )
            host.finish(effect.call_id)
    capacity = 6 * 4 * 2.0 / 0.120
    assert in_time >= 0.75 * capacity


def test_waiting_call_that_was_sent_is_not_sent_again_by_its_look(
    make_published_host,
):
    """The look for room of a call ends after an answer showed some."""
    rule = published_host.rule(repeatable=False)
    host = make_published_host(targets=6, rules=[rule])
    full = all_slow(in_flight=4, pace=1.0)
    host.place(1)
    host.advance(300_000)
    host.arrive(2)
    answer_probes(host, full, 24_000)
    for _ in range(60):
        host.advance(1_000)
        if host.state.calls[2].look is not None:
            break
    assert host.state.calls[2].look is not None
    assert 2 in host.service().room
    host.answer(1, 1, report=load())
    host.finish(1)
    assert [e.call_id for e in host.sent] == [1, 2]
    host.tell_loads()
    assert [e.call_id for e in host.sent] == [1, 2]


def test_targets_that_slow_down_when_crowded_keep_a_slot_free(
    make_published_host,
):
    host = make_published_host(targets=4)
    for call_id in range(1, 41):
        crowded = call_id > 10
        loads = all_slow(in_flight=3 if crowded else 0, pace=1.0)
        host.arrive(call_id)
        while host.state.probes:
            host.tell_loads(loads)
        host.now_us += 200_000 if crowded else 100_000
        host.answer(call_id, 1, report=load(in_flight=3 if crowded else 0))
        host.finish(call_id)
        host.now_us += 50_000
    sent = len(host.sent)
    host.arrive(99)
    answer_probes(host, all_slow(in_flight=3, pace=1.0), 30_000)
    assert len(host.sent) == sent


def test_calls_go_on_while_every_target_sheds_half_of_them(
    make_published_host,
):
    host = make_published_host(targets=6, repeat_share=0.0)
    for call_id in range(1, 201):
        host.place(call_id)
        if call_id % 2:
            host.answer(call_id, 1, status=503, not_run=True, report=load())
        else:
            host.answer(call_id, 1, report=load())
            host.finish(call_id)
        while host.state.probes:
            host.tell_loads()
        host.now_us += 50_000
    assert len({e.call_id for e in host.sent}) == 200


def test_full_target_that_stated_its_load_just_now_hides_no_other(
    make_published_host,
):
    """Answers of a full target keep its statement fresh all the time."""
    rule = published_host.rule(repeatable=False)
    host = make_published_host(targets=6, rules=[rule])
    host.place(1)
    busy = host.sent[0].target
    host.advance(400_000)
    host.answer(1, 1, report=load(in_flight=4))
    host.finish(1)
    taken = host.arrive(2)
    asked = [e.target for e in taken if isinstance(e, effects.ProbeTarget)]
    assert len(asked) == 2
    assert busy not in asked


def test_calls_go_on_when_the_budget_of_probes_is_used_up(
    make_published_host,
):
    rule = published_host.rule(repeatable=False)
    host = make_published_host(targets=4, rules=[rule], probes_per_s=0.01)
    for call_id in range(1, 11):
        assert host.place(call_id) is not None
        host.now_us += 100_000
        host.answer(call_id, 1, report=load())
        host.finish(call_id)
        host.now_us += 400_000
    assert len(host.of(effects.ProbeTarget)) <= 2


def test_declined_call_goes_elsewhere_without_a_look(make_published_host):
    rule = published_host.rule(repeatable=False)
    host = make_published_host(
        targets=2, rules=[rule], probes_per_s=0.01, repeat_slack=64.0
    )
    host.place(1)
    host.answer(1, 1, status=421, not_run=True)
    assert len(host.sent) == 2


@pytest.mark.parametrize("repeatable", [True, False])
def test_kind_of_the_route_goes_before_the_method(
    make_published_host, repeatable
):
    rule = published_host.rule(repeatable=repeatable)
    host = make_published_host(targets=2, rules=[rule])
    sent = host.place(1, repeatable=not repeatable)
    assert sent.repeatable is repeatable
