"""Limits, the bounded fair queue, and refusals at once."""

import collections

import pytest

from fireflyspindle.bench import fairness
from fireflyspindle.bench import policy_model
from fireflyspindle.core import capacity
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import queueing

NOT_RUN = effects.Outcome.NOT_RUN
SLOTS = 4
WIDE = int(max(capacity.LEAST_WIDE, capacity.WIDE_FACTOR * SLOTS))


def refusal(host, call_id):
    return next(
        (e for e in host.of(effects.AnswerCaller) if e.call_id == call_id),
        None,
    )


def warm(host, latency_us=10_000):
    """Teaches the host how long answers take."""
    for call_id in range(900_000, 900_020):
        sent = host.arrive(call_id)
        host.advance(latency_us)
        host.answer(call_id, sent.attempt)
        host.finish(call_id)


def fill(host, calls, first=1, tenant=""):
    for call_id in range(first, first + calls):
        host.arrive(call_id, tenant=tenant)


def queued(host):
    return len(host.state.services["s"].queue)


@pytest.fixture
def host(make_host):
    made = make_host(targets=1)
    made.publish("tenant", "a", {"weight": 1})
    made.publish("tenant", "b", {"weight": 1})
    warm(made)
    return made


def test_queue_is_bounded_and_excess_is_refused_at_once(host):
    host.publish("policy", "s", {"max_queued_calls": 5})
    calls = WIDE + 14
    fill(host, calls)
    assert queued(host) == 5
    refused = [n for n in range(1, calls + 1) if refusal(host, n)]
    assert len(refused) == 14 - 5
    for call_id in refused:
        answer = refusal(host, call_id)
        assert answer.outcome is NOT_RUN
        assert (answer.status, answer.error) == (503, "queue_full")
        assert answer.retry_after_ms >= 1000


def test_full_queue_makes_room_for_the_shorter_line(host):
    host.publish("policy", "s", {"max_queued_calls": 6})
    fill(host, WIDE + 14, tenant="a")
    host.arrive(1000, tenant="b")
    host.arrive(1001, tenant="b")
    lines = host.state.services["s"].queue.lines
    sizes = {tenant: line.size for tenant, line in lines.items()}
    assert sizes.get("a", 0) <= 6
    assert refusal(host, 1000) is None
    assert refusal(host, 1001) is None


def test_ended_attempts_let_queued_calls_go(host):
    sent_before = len(host.sent)
    fill(host, WIDE + 4)
    assert queued(host) == 4
    for call_id in range(1, 5):
        host.answer(call_id, 1)
        host.finish(call_id)
    assert queued(host) == 0
    assert len(host.sent) - sent_before == WIDE + 4


@pytest.mark.parametrize(
    ("deadline_ms", "error"), [(5, "too_late"), (1_000, None)]
)
def test_deadline_that_cannot_be_met_is_refused_at_once(
    host, deadline_ms, error
):
    fill(host, 1)
    host.arrive(50, deadline_ms=deadline_ms)
    answer = refusal(host, 50)
    assert (answer.error if answer else None) == error
    assert answer is None or answer.outcome is NOT_RUN


def test_queued_call_is_refused_as_soon_as_it_is_hopeless(host):
    fill(host, WIDE)
    host.arrive(500, deadline_ms=200)
    assert queued(host) == 1
    host.advance(185_000)
    assert queued(host) == 1
    host.advance(10_000)
    assert queued(host) == 0
    assert refusal(host, 500).outcome is NOT_RUN


@pytest.mark.parametrize("leave", ["caller", "deadline"])
def test_call_that_leaves_the_queue_is_never_sent(host, leave):
    last = WIDE + 1
    fill(host, last)
    assert queued(host) == 1
    if leave == "caller":
        host.feed(events.CallerLeft, last)
    else:
        host.advance(11_000_000)
    before = {effect.call_id for effect in host.sent}
    assert queued(host) == 0
    assert last not in before
    assert last not in host.state.calls


@pytest.mark.parametrize(
    ("kind", "fields"),
    [("tenant", {"tenant": "a"}), ("class", {"traffic_class": "a"})],
)
def test_limit_in_flight(host, kind, fields):
    host.publish(kind, "a", {"max_in_flight": 3})
    for call_id in range(1, 6):
        host.arrive(call_id, **fields)
    assert [bool(refusal(host, n)) for n in range(1, 6)] == [
        False,
        False,
        False,
        True,
        True,
    ]
    assert refusal(host, 4).status == 429
    host.answer(1, 1)
    host.finish(1)
    assert host.arrive(9, **fields) is not None


def listed(host, count):
    gates = [events.ListedHost(f"g{n}", f"10.1.0.{n}:1") for n in range(count)]
    host.feed(events.HostListRead, gates, [])


@pytest.mark.parametrize(
    ("hosts", "believed", "most_share"),
    [(1, 1, 1.0), (4, 4, 1.0), (14, 14, 1.0), (15, 14, 15 / 14), (14, 15, 1.0)],
)
def test_fleet_rate_holds_within_the_hosts_not_heard_of(
    make_host, hosts, believed, most_share
):
    seconds, limit_per_s = 10, 20 * hosts
    fleet = [make_host(targets=4, seed=seed) for seed in range(hosts)]
    admitted = 0
    for host in fleet:
        host.publish("tenant", "a", {"max_calls_per_s": limit_per_s})
        listed(host, believed - 1)
        for call_id in range(60 * seconds):
            sent = host.arrive(call_id, tenant="a")
            if sent is not None:
                admitted += 1
                host.answer(call_id, sent.attempt)
                host.finish(call_id)
            host.advance(1_000_000 // 60)
        assert {e.status for e in host.of(effects.AnswerCaller)} == {429}
    most = limit_per_s * most_share * (seconds + 1)
    assert 0.9 * limit_per_s * seconds <= admitted <= most + hosts


def test_turns_follow_weights():
    queue = queueing.FairQueue()
    for call_id in range(300):
        queue.add(call_id, "ab"[call_id % 2], "")
    weights = {"a": 3, "b": 1}
    popped = [
        queue.pop(weights.get, lambda _: 1, lambda _: True) for _ in range(80)
    ]
    counts = collections.Counter("ab"[call_id % 2] for call_id in popped)
    assert counts == {"a": 60, "b": 20}
    assert popped.index(1) <= 3


def test_queue_gives_back_what_was_put_in():
    queue = queueing.FairQueue()
    for call_id in range(60):
        queue.add(call_id, "abc"[call_id % 3], "xy"[call_id % 2])
    assert queue.remove(7)
    assert not queue.remove(7)
    popped = []
    while len(queue):
        popped.append(queue.pop(lambda _: 2, lambda _: 1, lambda _: True))
    assert sorted(popped) == [n for n in range(60) if n != 7]
    assert queue.lines == {}


@pytest.mark.parametrize("gates", [1, 8])
def test_tenant_at_ten_times_its_share_moves_others_by_less_than_a_fifth(
    gates,
):
    plan = policy_model.Plan(
        policy_model.DEPLOYMENTS["zeevaart"],
        load=0.5,
        scenario="steady",
        service="exponential",
        gates=gates,
        duration_us=1_500_000,
    )
    assert fairness.compare(plan, seeds=2)["ratio"] < 1.2
