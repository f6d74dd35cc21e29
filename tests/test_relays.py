"""Calls that another gate host carries for one that reaches no target."""

import collections

import pytest

from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import helper_list
from fireflyspindle.core import published
from fireflyspindle.core import reachability
from fireflyspindle.core import relays
from fireflyspindle.core import state as state_lib
import published_driver as published_host

OWN_ADDRESS = "10.9.0.0:7620"


def helper(number, domain=published_host.DOMAIN):
    """Returns the address of helper `number`."""
    return events.HelperAddress(f"10.9.0.{number}:7620", domain)


def cut_off_host(make_published_host, helpers=3, **fields):
    """Returns a host that reaches no target and knows its helpers."""
    host = make_published_host(targets=6, relay_address=OWN_ADDRESS, **fields)
    host.lose_targets()
    assert host.state.reachability.lost
    listed = tuple(helper(number) for number in range(1, helpers + 1))
    host.feed(events.HelpersListed, listed)
    return host


def sends_of(host, call_id):
    """Returns the sends of a call."""
    return [send for send in host.sent if send.call_id == call_id]


def relay(host, call_id, **fields):
    """Feeds a call; returns its relayed send."""
    host.call_arrives(call_id, **fields)
    (send,) = sends_of(host, call_id)
    assert send.relayed
    return send


def strict_rule():
    """Returns a rule for requests that may run once."""
    return published_host.rule(repeatable=False)


def test_call_of_a_cut_off_host_is_relayed_with_the_time_that_is_left(
    make_published_host,
):
    host = cut_off_host(make_published_host)
    send = relay(host, 1, deadline_ms=300)
    assert send.target in {helper(n).address for n in (1, 2, 3)}
    assert send.timeout_us == 300_000
    assert send.incarnation == ""
    host.answer(1, 1)
    assert host.outcome(1) is effects.Outcome.COMPLETE


def test_relayed_calls_are_spread_over_the_helpers(make_published_host):
    counts = collections.Counter()
    for seed in range(8):
        host = cut_off_host(make_published_host, helpers=6, seed=seed)
        for call_id in range(1, 31):
            counts[relay(host, call_id).target] += 1
            if call_id > 3:
                host.answer(call_id - 3, 1)
                host.finish(call_id - 3)
    assert len(counts) == 6
    assert max(counts.values()) <= 2 * 8 * 30 / 6


def test_helper_in_the_same_failure_domain_is_preferred(make_published_host):
    host = cut_off_host(make_published_host, helpers=0)
    other = helper(2, published_host.OTHER_DOMAIN)
    host.feed(events.HelpersListed, (helper(1), other))
    assert [relay(host, n).target for n in (1, 2, 3)] == [
        helper(1).address,
        helper(1).address,
        other.address,
    ]


@pytest.mark.parametrize("rules", [(), (strict_rule(),)])
def test_call_that_a_helper_may_have_run_is_not_sent_again(
    make_published_host, rules
):
    host = cut_off_host(make_published_host, rules=rules)
    relay(host, 1)
    host.fail(1, 1, events.FailureReason.DISCONNECTED, sent=True)
    assert host.gate_answer(1).status == 502
    assert host.outcome(1) is effects.Outcome.UNKNOWN
    assert len(sends_of(host, 1)) == 1


def test_call_that_did_not_reach_a_helper_goes_to_the_next(
    make_published_host,
):
    host = cut_off_host(make_published_host, rules=(strict_rule(),))
    first = relay(host, 1)
    host.fail(1, 1, events.FailureReason.REFUSED, sent=False)
    host.answer(1, 2, 503, not_run=True, not_carried=True)
    targets = [send.target for send in sends_of(host, 1)]
    assert len(set(targets)) == 3
    host.answer(1, 3)
    assert host.outcome(1) is effects.Outcome.COMPLETE
    # Helpers that could not carry a call are left out for a while.
    assert {relay(host, n).target for n in range(2, 6)} == {targets[2]}
    host.advance(relays.AVOIDANCE_US)
    host.feed(events.HelpersListed, tuple(map(helper, (1, 2, 3))))
    again = {relay(host, n).target for n in range(10, 30)}
    assert first.target in again


def relay_late_call(host):
    """Sends a call to a target that hangs; returns its send to a helper."""
    host.arrive_and_send(1, deadline_ms=5_000)
    host.state.reachability.lost_us = host.now_us
    host.advance(1_000_000)
    return sends_of(host, 1)[-1]


def host_with_helpers(make_published_host, **fields):
    """Returns a host that reaches its targets and knows two helpers."""
    rules = [published_host.rule(timeout_ms=10_000, **fields)]
    host = make_published_host(
        targets=6, relay_address=OWN_ADDRESS, rules=rules
    )
    host.feed(events.HelpersListed, (helper(1), helper(2)))
    for _ in range(20):
        host.service().resend_budget.earn(host.now_us)
    return host


def test_call_of_a_cut_off_host_states_all_attempts(make_published_host):
    host = cut_off_host(make_published_host)
    assert relay(host, 1).max_attempts == 2


@pytest.mark.parametrize("max_attempts", [2, 3])
def test_late_call_is_relayed_with_the_attempts_that_are_left(
    make_published_host, max_attempts
):
    """Guards against more runs than the route allows."""
    host = host_with_helpers(make_published_host, max_attempts=max_attempts)
    send = relay_late_call(host)
    assert send.relayed
    assert send.max_attempts == max_attempts - 1


def test_late_call_without_an_attempt_left_is_not_relayed(make_published_host):
    """Guards against more runs than the route allows."""
    host = host_with_helpers(make_published_host, max_attempts=1)
    relay_late_call(host)
    assert not relays.relay(host.state, host.service(), host.state.calls[1])
    assert len(sends_of(host, 1)) == 1


def test_declined_call_without_an_attempt_left_is_not_relayed(
    make_published_host,
):
    """Guards against more runs than the route allows."""
    host = host_with_helpers(make_published_host, max_attempts=1)
    host.arrive_and_send(1)
    host.state.reachability.lost_us = host.now_us
    host.answer(1, 1, 503, not_run=True)
    assert host.gate_answer(1).status == 503
    assert len(sends_of(host, 1)) == 1


def test_attempts_that_a_helper_may_use_are_used(make_published_host):
    """Guards against a retry beside a helper that makes one too."""
    host = host_with_helpers(make_published_host, max_attempts=3)
    assert relay_late_call(host).relayed
    host.state.reachability.lost_us = None
    host.fail(1, 2, events.FailureReason.DISCONNECTED, sent=True)
    host.answer(1, 1, 500)
    host.answer_probes()
    assert len(sends_of(host, 1)) == 2
    assert host.state.calls[1].phase is state_lib.CallPhase.FORWARDING


@pytest.mark.parametrize("reached", [False, True])
def test_relay_that_is_not_carried_uses_no_attempt(
    make_published_host, reached
):
    host = host_with_helpers(make_published_host, max_attempts=3)
    assert relay_late_call(host).max_attempts == 2
    if reached:
        host.answer(1, 2, 503, not_run=True, not_carried=True)
    else:
        host.fail(1, 2, events.FailureReason.REFUSED, sent=False)
    host.answer(1, 1, 500)
    send = sends_of(host, 1)[-1]
    assert (send.attempt, send.relayed, send.max_attempts) == (3, True, 2)


@pytest.mark.parametrize(
    ("stated", "sends"), [(None, 2), (0, 1), (1, 1), (2, 2), (9, 2)]
)
def test_helper_sends_a_call_as_often_as_is_stated_and_its_route_allows(
    make_published_host, stated, sends
):
    """Guards against more runs than the route allows."""
    host = make_published_host(targets=6)
    host.arrive_and_send(1, relayed=True, relay_max_attempts=stated)
    for attempt in range(1, sends + 1):
        host.fail(1, attempt, events.FailureReason.DISCONNECTED, sent=True)
        host.answer_probes()
    assert len(sends_of(host, 1)) == sends
    assert host.gate_answer(1).status == 502


@pytest.mark.parametrize(("stated", "sends"), [(None, 2), (1, 1)])
def test_hedge_of_a_helper_counts_as_an_attempt(
    make_published_host, stated, sends
):
    """Guards against more runs than the route allows."""
    rules = [published_host.rule(timeout_ms=10_000)]
    host = make_published_host(targets=6, rules=rules)
    host.arrive_and_send(
        1, relayed=True, relay_max_attempts=stated, deadline_ms=5_000
    )
    for _ in range(100):
        host.advance(10_000)
        host.answer_probes()
    assert len(sends_of(host, 1)) == sends


def test_helper_that_lost_its_targets_carried_what_it_may_have_run(
    make_published_host,
):
    """Guards against a call that the next helper runs once more."""
    host = make_published_host(targets=6, relay_address=OWN_ADDRESS)
    host.feed(events.HelpersListed, (helper(1),))
    host.arrive_and_send(1, relayed=True)
    host.advance(100_000)
    host.fail(1, 1, events.FailureReason.DISCONNECTED, sent=True)
    assert host.state.probes
    host.state.reachability.lost_us = host.now_us
    host.answer_probes()
    answer = host.gate_answer(1)
    assert (answer.status, answer.not_carried) == (502, False)
    assert answer.outcome is effects.Outcome.UNKNOWN


# Its body has been forwarded already.
def test_streamed_call_that_a_helper_did_not_carry_is_refused(
    make_published_host,
):
    host = cut_off_host(make_published_host)
    relay(host, 1, resendable=False)
    host.answer(1, 1, 503, not_run=True, not_carried=True)
    assert host.gate_answer(1).status == 503
    assert len(sends_of(host, 1)) == 1


def test_helper_that_lacks_one_route_gets_calls_of_others(make_published_host):
    rules = (
        published_host.rule(),
        published_host.rule("other", prefix="/other/"),
    )
    host = cut_off_host(make_published_host, helpers=1, rules=rules)
    relay(host, 1)
    host.answer(1, 1, status=421, not_run=True, not_carried=True)
    answer = host.gate_answer(1)
    assert (answer.status, answer.outcome) == (503, effects.Outcome.NOT_RUN)
    assert relay(host, 2, path="/other/x")


def test_call_is_refused_when_no_helper_carries_it(make_published_host):
    host = cut_off_host(make_published_host, helpers=6)
    relay(host, 1)
    for attempt in range(1, relays.MAX_RELAYS + 1):
        host.answer(1, attempt, 503, not_run=True, not_carried=True)
    answer = host.gate_answer(1)
    assert (answer.status, answer.outcome) == (503, effects.Outcome.NOT_RUN)
    assert len(sends_of(host, 1)) == relays.MAX_RELAYS


# The helper has tried other targets itself; the next would find no more room.
def test_call_that_a_helper_refused_for_lack_of_room_is_not_relayed_again(
    make_published_host,
):
    host = cut_off_host(make_published_host)
    relay(host, 1)
    host.answer(1, 1, 503, not_run=True)
    answer = host.gate_answer(1)
    assert (answer.status, answer.outcome) == (503, effects.Outcome.NOT_RUN)
    assert len(sends_of(host, 1)) == 1


def test_call_is_refused_at_once_when_every_host_is_cut_off(
    make_published_host,
):
    host = cut_off_host(make_published_host, helpers=0)
    host.call_arrives(1)
    answer = host.gate_answer(1)
    assert (answer.status, answer.error) == (503, "targets_unreachable")
    assert answer.outcome is effects.Outcome.NOT_RUN
    assert not sends_of(host, 1)


def test_relayed_call_is_never_relayed_further(make_published_host):
    host = cut_off_host(make_published_host)
    host.call_arrives(1, relayed=True)
    answer = host.gate_answer(1)
    assert (answer.status, answer.not_carried) == (503, True)
    assert answer.outcome is effects.Outcome.NOT_RUN
    assert not sends_of(host, 1)


def test_relayed_call_without_a_route_is_not_carried(make_published_host):
    host = make_published_host()
    host.call_arrives(1, path="/none/x", relayed=True)
    assert host.gate_answer(1).not_carried


def test_host_states_the_service_that_it_has_chosen(make_published_host):
    host = cut_off_host(make_published_host)
    assert relay(host, 1).service == "s"


def test_helper_with_another_version_does_not_choose_another_service(
    make_published_host,
):
    helper_host = make_published_host(targets=0)
    moved = published_host.rule(service="other")
    helper_host.configure(published_host.document(2, [moved], ["s", "other"]))
    helper_host.register(
        published_host.entry(1), published_host.entry(2, service="other")
    )
    assert not helper_host.arrive_and_send(1, relayed=True, relay_service="s")
    answer = helper_host.gate_answer(1)
    assert (answer.status, answer.error) == (421, "route_differs")
    assert answer.outcome is effects.Outcome.NOT_RUN
    assert answer.not_carried


def test_helper_sends_a_call_once_that_the_relaying_host_takes_for_strict(
    make_published_host,
):
    helper_host = make_published_host()
    assert helper_host.arrive_and_send(
        1, relayed=True, relay_service="s", relay_repeatable=False
    )
    helper_host.fail(1, 1, events.FailureReason.DISCONNECTED, sent=True)
    assert len(sends_of(helper_host, 1)) == 1
    assert helper_host.gate_answer(1).outcome is effects.Outcome.UNKNOWN


def test_helper_takes_the_stated_part_of_a_split(make_published_host):
    parts = (published.Part("s", 1), published.Part("other", 99))
    helper_host = make_published_host(targets=0)
    helper_host.configure(
        published_host.document(
            2, [published_host.rule(parts=parts)], ["s", "other"]
        )
    )
    helper_host.register(
        published_host.entry(1), published_host.entry(2, service="other")
    )
    for call_id in range(1, 5):
        sent = helper_host.arrive_and_send(
            call_id, relayed=True, relay_service="s"
        )
        assert sent.target == published_host.entry(1).address


def test_helper_chooses_the_service_for_a_host_of_an_older_build(
    make_published_host,
):
    assert make_published_host().arrive_and_send(1, relayed=True)


def test_relayed_call_credits_no_budget_of_the_helper(make_published_host):
    host = make_published_host(resend_slack=0.0)
    for call_id in range(1, 31):
        host.arrive_and_send(call_id, relayed=call_id > 1)
        host.answer(call_id, 1)
        host.finish(call_id)
    budget = host.service().resend_budget
    assert budget.balance(host.now_us) <= 0.2


def test_caller_that_leaves_ends_its_relayed_call(make_published_host):
    host = cut_off_host(make_published_host)
    relay(host, 1)
    host.feed(events.CallerDisconnected, 1)
    assert effects.CancelAttempt(1, 1) in host.effects


def test_helper_counts_for_no_estimate_of_the_targets(make_published_host):
    host = cut_off_host(make_published_host)
    averages = host.service().averages.processing_time_us
    relay(host, 1)
    host.advance(100_000)
    header = events.RateLimitHeader(4.5)
    report = events.LoadReport(in_flight=3, rate_limit=header)
    host.answer(1, 1, 500, report=report)
    assert host.service().averages.processing_time_us == averages
    assert host.state.reachability.lost


def test_list_is_requested_while_targets_are_unreachable(make_published_host):
    host = cut_off_host(make_published_host)
    host.advance(3 * helper_list.REQUEST_INTERVAL_US)
    requests = host.effects_of(effects.ListHelpers)
    assert len(requests) >= 4
    assert all(request.cut_off for request in requests[1:])
    for _ in range(reachability.ANSWERS_TO_REGAIN):
        host.advance(reachability.CHECK_INTERVAL_US)
        host.answer_probes()
    assert not host.state.reachability.lost
    host.advance(helper_list.REQUEST_INTERVAL_US)
    count = len(host.effects_of(effects.ListHelpers))
    host.advance(5 * helper_list.REQUEST_INTERVAL_US)
    assert len(host.effects_of(effects.ListHelpers)) == count


def test_calls_go_to_the_targets_again_after_the_cut(make_published_host):
    host = cut_off_host(make_published_host)
    host.lose_targets(reason=events.FailureReason.REFUSED)
    for _ in range(reachability.ANSWERS_TO_REGAIN + 1):
        host.advance(reachability.CHECK_INTERVAL_US)
        host.answer_probes()
    assert not host.state.reachability.lost
    assert not host.service().ejected
    send = host.arrive_and_send(1)
    assert not send.relayed


# Open connections live on while new ones are refused.
def test_call_that_reached_no_target_is_relayed(make_published_host):
    host = make_published_host(targets=6, relay_address=OWN_ADDRESS)
    host.feed(events.HelpersListed, (helper(1),))
    host.arrive_and_send(1, deadline_ms=700)
    while not host.sent[-1].relayed:
        assert not host.gate_answer(1)
        host.fail_attempts(events.FailureReason.REFUSED)
        host.answer_probes()
    assert not host.state.reachability.lost
    host.answer(1, len(host.sent))
    assert host.outcome(1) is effects.Outcome.COMPLETE


def test_waiting_calls_are_relayed_once_helpers_are_listed(
    make_published_host,
):
    host = make_published_host(targets=6, relay_address=OWN_ADDRESS)
    full = published_host.slow_loads(in_flight=4, slowdown=1.0)
    host.call_arrives(1, deadline_ms=5_000)
    published_host.answer_probes(host, full, 60_000)
    assert host.service().waiting_calls
    host.state.reachability.lost_us = host.now_us
    host.feed(events.HelpersListed, (helper(1),))
    assert sends_of(host, 1)[-1].relayed


def test_steps_of_a_relayed_call_name_the_helper(make_published_host):
    host = cut_off_host(make_published_host)
    send = relay(host, 1)
    host.answer(1, 1)
    host.finish(1)
    (finished,) = host.effects_of(effects.CallFinished)[-1:]
    assert finished.relayed
    (step,) = [step for step in finished.steps.kept if step.what == "relayed"]
    assert step.target == send.target
