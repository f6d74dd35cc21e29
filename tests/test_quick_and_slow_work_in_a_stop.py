"""Planned stops of a host whose services do quick and slow work.

Requests were passed on by the mean time of the service's answers and cut at
the end of the stop, while others were at work for longer than was left.
"""

import asyncio

import pytest

from fireflyspindle.core import answer_times
from fireflyspindle.core import effects
from fireflyspindle.core import events
import platform_driver
import published_driver
import test_relays
import test_requests_late_in_a_stop as late_in_a_stop

COMPLETE = effects.Outcome.COMPLETE
LIMIT_US = late_in_a_stop.LIMIT_US
SECOND_US = late_in_a_stop.SECOND_US
REPEATABLE = late_in_a_stop.REPEATABLE
QUICK_US = 10_000

assert_refused = late_in_a_stop.assert_refused
sends_of = late_in_a_stop.sends_of
slow_rule = late_in_a_stop.slow_rule
stop = late_in_a_stop.stop
make_stopping_host = late_in_a_stop.make_stopping_host


@pytest.fixture
def make_host(make_published_host):
    """Returns a factory of hosts that have answered quick calls."""

    def make(repeatable=False, answers=16, **fields):
        host = make_published_host(
            **{
                "rules": [slow_rule(repeatable)],
                "drain": late_in_a_stop.DRAIN,
                **fields,
            }
        )
        run(host, range(1_000, 1_000 + answers))
        return host

    return make


def run(host, call_ids, work_us=QUICK_US, **fields):
    """Sends and answers calls, one after the other."""
    for call_id in call_ids:
        assert host.arrive_and_send(call_id, **fields)
        host.advance(work_us)
        host.answer(call_id, 1)
        host.finish(call_id)


@REPEATABLE
def test_late_call_is_refused_while_others_outlast_every_answer(
    make_host, repeatable
):
    # The mean of the answers before the stop says 10 ms.
    host = make_host(repeatable)
    for call_id in range(1, 5):
        assert host.arrive_and_send(call_id)
    stop(host)
    host.advance(LIMIT_US - 3 * SECOND_US)
    host.call_arrives(5)
    assert_refused(host, 5)
    assert not sends_of(host, 5)
    # Those at work keep their attempts.
    host.answer(1, 1)
    assert host.outcome(1) is COMPLETE


@REPEATABLE
def test_late_call_is_refused_after_slow_answers(make_host, repeatable):
    # As in the record: two answers of 4 s among quick ones, nothing at work.
    host = make_host(repeatable, answers=50)
    assert host.arrive_and_send(1)
    assert host.arrive_and_send(2)
    stop(host)
    host.advance(4 * SECOND_US)
    for call_id in (1, 2):
        host.answer(call_id, 1)
        host.finish(call_id)
    host.call_arrives(3)
    assert_refused(host, 3)
    assert not sends_of(host, 3)


@REPEATABLE
def test_waiting_call_is_refused_once_another_outlasts_every_answer(
    make_host, repeatable
):
    # It was held until its deadline or the end of the stop.
    host = make_host(repeatable, targets=1)
    stop(host)
    for call_id in range(1, 5):
        assert host.arrive_and_send(call_id)
    host.call_arrives(5)
    host.advance(QUICK_US)
    assert list(host.service().waiting_calls) == [5]
    assert host.gate_answer(5) is None
    host.advance(1)
    assert_refused(host, 5)


@pytest.mark.parametrize(
    "reason",
    [events.FailureReason.CANCELLED, events.FailureReason.DISCONNECTED],
)
def test_attempt_that_was_given_up_counts_with_its_time(make_host, reason):
    # The answer would have taken longer still.
    host = make_host(repeatable=True)
    assert host.arrive_and_send(1)
    host.advance(3 * SECOND_US)
    host.feed(events.CallerDisconnected, 1)
    host.fail(1, 1, reason, sent=True)
    run(host, range(10, 20))
    stop(host)
    host.advance(LIMIT_US - 2 * SECOND_US)
    host.call_arrives(2)
    assert_refused(host, 2)


def test_answer_lasts_until_the_end_of_its_body(make_host):
    host = make_host()
    assert host.arrive_and_send(1)
    host.advance(QUICK_US)
    host.answer(1, 1)
    host.advance(3 * SECOND_US)
    host.finish(1)
    stop(host)
    host.advance(LIMIT_US - 2 * SECOND_US)
    host.call_arrives(2)
    assert_refused(host, 2)


def test_quick_route_is_served_while_another_one_is_slow(make_host):
    rules = [
        slow_rule(False, name="quick"),
        slow_rule(False, name="slow", prefix="/slow/"),
    ]
    host = make_host(rules=rules)
    run(host, range(1, 17), SECOND_US, path="/slow/x")
    assert host.arrive_and_send(20, path="/slow/x")
    stop(host)
    host.advance(LIMIT_US - SECOND_US)
    assert host.arrive_and_send(21)
    host.call_arrives(22, path="/slow/x")
    assert_refused(host, 22)


def test_quick_work_is_served_until_shortly_before_the_end(make_host):
    host = make_host()
    stop(host)
    while host.now_us < host.state.stop_limit_us - 150_000:
        run(host, [host.now_us])
    host.advance(host.state.stop_limit_us - 100_000 - host.now_us)
    host.call_arrives(1)
    assert_refused(host, 1)


@pytest.mark.parametrize(
    ("grace_s", "work_s"),
    [(6, 4.0), (3, 1.0)],
)
async def test_slow_requests_after_quick_ones_are_not_cut_at_the_end(
    grace_s, work_s
):
    quick = [True]

    async def work(request, writer):
        await asyncio.sleep(0.01 if quick[0] else work_s)
        writer.write(platform_driver.answer(request))

    async with platform_driver.running(
        platform_driver.server_behaviour(work),
        grace_s=grace_s,
        timeout_ms=12_000,
    ) as platform:
        address = platform.host.data_path.server.address
        for number in range(16):
            result = await late_in_a_stop.send_once(address, f"p{number}")
            assert result.status == 200
        quick[0] = False
        platform.host.request_stop()
        sending = []
        for number in range(32):
            sending.append(
                asyncio.create_task(
                    late_in_a_stop.send_once(address, f"q{number}")
                )
            )
            await asyncio.sleep(0.1)
        results = await asyncio.gather(*sending)
    ran = len(platform.requests) - 16
    served = [each for each in results if each.status == 200]
    assert {each.status for each in results} <= {200, 503, 0}
    assert len(served) == ran >= 1
    refused = [each for each in results if each.status == 503]
    assert refused
    # Held, they waited for up to 4 s.
    assert max(each.waited_s for each in refused) < 0.5


def test_call_is_not_relayed_while_others_outlast_every_answer(
    make_published_host,
):
    host = test_relays.cut_off_host(
        make_published_host,
        rules=[slow_rule()],
        drain=late_in_a_stop.DRAIN,
    )
    while any(call.attempts for call in host.state.calls.values()):
        host.fail_attempts(events.FailureReason.DISCONNECTED, sent=True)
    for number in range(1, 17):
        test_relays.relay(host, number)
        host.advance(QUICK_US)
        host.answer(number, 1)
        host.finish(number)
    stop(host)
    host.advance(LIMIT_US - 3 * SECOND_US)
    host.feed(events.HelpersListed, (test_relays.helper(1),))
    test_relays.relay(host, 20)
    host.advance(SECOND_US)
    host.feed(events.HelpersListed, (test_relays.helper(1),))
    host.call_arrives(21)
    assert not sends_of(host, 21)
    assert_refused(host, 21)


def times_of(host, route="r"):
    """Returns the answer times of a route."""
    return host.service().answer_times[route]


@pytest.mark.parametrize("answers", [7, 8])
def test_few_answers_do_not_bound_the_next_one(make_host, answers):
    host = make_host(answers=answers)
    stop(host)
    assert host.arrive_and_send(1, deadline_ms=5_500)
    host.call_arrives(2)
    if answers == 8:
        assert sends_of(host, 2)
    else:
        assert_refused(host, 2)


@pytest.mark.parametrize(
    ("status", "not_run"), [(500, False), (503, False), (503, True)]
)
def test_failures_are_no_samples_of_the_answers(make_host, status, not_run):
    # A service that fails fast tells nothing of its work.
    host = make_host(answers=0)
    for call_id in range(1, 21):
        assert host.arrive_and_send(call_id)
        host.advance(QUICK_US)
        host.answer(call_id, 1, status=status, not_run=not_run)
        host.fail_attempts(events.FailureReason.DISCONNECTED, sent=True)
        host.finish(call_id)
    assert times_of(host).answers == 0
    stop(host)
    host.call_arrives(30)
    assert_refused(host, 30)


def test_old_outlier_is_forgotten_after_two_generations(make_host):
    # One request that hung must not count for the whole life of a host.
    size = answer_times.GENERATION_ANSWERS
    host = make_host(repeatable=True, answers=0)
    run(host, [1], work_us=3 * SECOND_US)
    run(host, range(2, 2 * size))
    assert times_of(host).recent_longest_us == 3 * SECOND_US
    run(host, [2 * size])
    assert times_of(host).recent_longest_us == QUICK_US
    assert times_of(host).is_known


def test_answer_times_of_dropped_routes_are_forgotten(make_host):
    # They would grow with every change of the configuration.
    host = make_host()
    assert host.arrive_and_send(1)
    for number in range(2, 7):
        rule = slow_rule(name=f"r{number}")
        host.configure(published_driver.document(number, [rule]))
        run(host, [number])
    assert set(host.service().answer_times) == {"r", "r6"}
    host.answer(1, 1)
    host.finish(1)
    host.configure(published_driver.document(7, [slow_rule(name="r7")]))
    run(host, [7])
    assert set(host.service().answer_times) == {"r7"}
    assert not times_of(host, "r7").started_us


def test_hedge_is_not_sent_while_its_call_outlasts_every_answer(
    make_stopping_host,
):
    # The call may be slow work, which its hedge would be as well.
    host = make_stopping_host(targets=6, stopped=False)
    times = times_of(host)
    times.longest_us = SECOND_US
    stop(host)
    assert host.arrive_and_send(1)
    host.service().resend_budget.earn(host.now_us)
    host.advance(3 * SECOND_US // 2)
    while host.state.probes:
        host.answer_probes()
    assert len(sends_of(host, 1)) == 1
