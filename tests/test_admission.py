"""Limits, the bounded fair queue, and immediate refusals."""

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
HARD_LIMIT = int(
    max(capacity.MIN_HARD_LIMIT, capacity.HARD_LIMIT_FACTOR * SLOTS)
)


def find_answer(host, call_id):
    return next(
        (
            e
            for e in host.effects_of(effects.AnswerCaller)
            if e.call_id == call_id
        ),
        None,
    )


def record_latencies(host, latency_us=10_000):
    """Completes 20 calls, so that the host has a latency estimate."""
    for call_id in range(900_000, 900_020):
        sent = host.call_arrives(call_id)
        host.advance(latency_us)
        host.answer(call_id, sent.attempt)
        host.finish(call_id)


def send_calls(host, calls, first=1, tenant=""):
    for call_id in range(first, first + calls):
        host.call_arrives(call_id, tenant=tenant)


def queue_length(host):
    return len(host.state.services["s"].queue)


@pytest.fixture
def host(make_host):
    made = make_host(targets=1)
    made.publish("tenant", "a", {"weight": 1})
    made.publish("tenant", "b", {"weight": 1})
    record_latencies(made)
    return made


def test_queue_is_bounded_and_excess_is_refused_at_once(host):
    host.publish("policy", "s", {"max_queued_calls": 5})
    calls = HARD_LIMIT + 14
    send_calls(host, calls)
    assert queue_length(host) == 5
    refused = [n for n in range(1, calls + 1) if find_answer(host, n)]
    assert len(refused) == 14 - 5
    for call_id in refused:
        answer = find_answer(host, call_id)
        assert answer.outcome is NOT_RUN
        assert (answer.status, answer.error) == (503, "queue_full")
        assert answer.retry_after_ms >= 1000


def test_full_queue_evicts_from_the_longer_tenant_queue(host):
    host.publish("policy", "s", {"max_queued_calls": 6})
    send_calls(host, HARD_LIMIT + 14, tenant="a")
    host.call_arrives(1000, tenant="b")
    host.call_arrives(1001, tenant="b")
    tenant_queues = host.state.services["s"].queue.tenant_queues
    sizes = {
        tenant: tenant_queue.size
        for tenant, tenant_queue in tenant_queues.items()
    }
    assert sizes.get("a", 0) <= 6
    assert find_answer(host, 1000) is None
    assert find_answer(host, 1001) is None


def test_queued_calls_are_sent_when_attempts_end(host):
    sent_before = len(host.sent)
    send_calls(host, HARD_LIMIT + 4)
    assert queue_length(host) == 4
    for call_id in range(1, 5):
        host.answer(call_id, 1)
        host.finish(call_id)
    assert queue_length(host) == 0
    assert len(host.sent) - sent_before == HARD_LIMIT + 4


@pytest.mark.parametrize(
    ("deadline_ms", "error"), [(5, "too_late"), (1_000, None)]
)
def test_deadline_that_cannot_be_met_is_refused_at_once(
    host, deadline_ms, error
):
    send_calls(host, 1)
    host.call_arrives(50, deadline_ms=deadline_ms)
    answer = find_answer(host, 50)
    assert (answer.error if answer else None) == error
    assert answer is None or answer.outcome is NOT_RUN


def test_queued_call_is_refused_once_it_can_not_meet_its_deadline(host):
    send_calls(host, HARD_LIMIT)
    host.call_arrives(500, deadline_ms=200)
    assert queue_length(host) == 1
    host.advance(185_000)
    assert queue_length(host) == 1
    host.advance(10_000)
    assert queue_length(host) == 0
    assert find_answer(host, 500).outcome is NOT_RUN


@pytest.mark.parametrize("reason", ["caller", "deadline"])
def test_call_that_leaves_the_queue_is_never_sent(host, reason):
    last_call_id = HARD_LIMIT + 1
    send_calls(host, last_call_id)
    assert queue_length(host) == 1
    if reason == "caller":
        host.feed(events.CallerDisconnected, last_call_id)
    else:
        host.advance(11_000_000)
    before = {effect.call_id for effect in host.sent}
    assert queue_length(host) == 0
    assert last_call_id not in before
    assert last_call_id not in host.state.calls


@pytest.mark.parametrize(
    ("kind", "fields"),
    [("tenant", {"tenant": "a"}), ("class", {"traffic_class": "a"})],
)
def test_limit_in_flight(host, kind, fields):
    host.publish(kind, "a", {"max_in_flight": 3})
    for call_id in range(1, 6):
        host.call_arrives(call_id, **fields)
    assert [bool(find_answer(host, n)) for n in range(1, 6)] == [
        False,
        False,
        False,
        True,
        True,
    ]
    assert find_answer(host, 4).status == 429
    host.answer(1, 1)
    host.finish(1)
    assert host.call_arrives(9, **fields) is not None


def list_hosts(host, count):
    gates = [events.ListedHost(f"g{n}", f"10.1.0.{n}:1") for n in range(count)]
    host.feed(events.HostListRead, gates, [])


@pytest.mark.parametrize(
    ("hosts", "known_hosts", "max_excess"),
    [(1, 1, 1.0), (4, 4, 1.0), (14, 14, 1.0), (15, 14, 15 / 14), (14, 15, 1.0)],
)
def test_fleet_rate_exceeds_the_limit_by_unknown_hosts_only(
    make_host, hosts, known_hosts, max_excess
):
    seconds, limit_per_s = 10, 20 * hosts
    fleet = [make_host(targets=4, seed=seed) for seed in range(hosts)]
    admitted = 0
    for host in fleet:
        host.publish("tenant", "a", {"max_calls_per_s": limit_per_s})
        list_hosts(host, known_hosts - 1)
        for call_id in range(60 * seconds):
            sent = host.call_arrives(call_id, tenant="a")
            if sent is not None:
                admitted += 1
                host.answer(call_id, sent.attempt)
                host.finish(call_id)
            host.advance(1_000_000 // 60)
        assert {e.status for e in host.effects_of(effects.AnswerCaller)} == {
            429
        }
    max_admitted = limit_per_s * max_excess * (seconds + 1)
    assert 0.9 * limit_per_s * seconds <= admitted <= max_admitted + hosts


def test_round_robin_follows_weights():
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


def test_queue_returns_every_call_once():
    queue = queueing.FairQueue()
    for call_id in range(60):
        queue.add(call_id, "abc"[call_id % 3], "xy"[call_id % 2])
    assert queue.remove(7)
    assert not queue.remove(7)
    popped = []
    while len(queue):
        popped.append(queue.pop(lambda _: 2, lambda _: 1, lambda _: True))
    assert sorted(popped) == [n for n in range(60) if n != 7]
    assert queue.tenant_queues == {}


@pytest.mark.parametrize("gates", [1, 8])
def test_tenant_at_ten_times_its_share_slows_others_by_less_than_a_fifth(
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
