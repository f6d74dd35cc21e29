"""Cold targets get a limited number of requests from all hosts together."""

import bisect

import attrs
import multidict
import pytest

from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import fleet as fleet_lib
from fireflyspindle.core import published
from fireflyspindle.core import store_state
from fireflyspindle.core import target_limits
from fireflyspindle.core import targets
from fireflyspindle.core.cold_targets import cold
from fireflyspindle.platform import header_profile
import published_driver as published_host

RATE_PER_S = 8.6
TOLERANCE = store_state.ColdTolerance(factor=1.5, slack_requests=8.0)
TOLERATED = 1.5 * RATE_PER_S + 8.0
START_MS = 20_000
# Connections that a target takes; the platform allows 8.5 for each gate host.
CONNECTIONS_PER_HOST = 8.5


@pytest.fixture
def make_cold_host(make_published_host):
    """Returns a factory of hosts that limit the rate of cold targets."""

    def make(entries=(), hosts=14, rate_per_s=RATE_PER_S, counted=1, **store):
        store = {
            "cold_tolerance": TOLERANCE,
            "evacuation_limit_ms": 5_000,
            **store,
        }
        host = make_published_host(targets=0, **store)
        settings = published.ServiceSettings(
            "s",
            "/health",
            int(CONNECTIONS_PER_HOST * hosts),
            rate_per_s,
            START_MS,
        )
        document = published_host.document(version=2)
        host.configure(attrs.evolve(document, services=(settings,)))
        if counted is not None:
            stream = host.state.following.stream_number
            host.feed(events.HostsReported, stream, counted)
            host.advance(fleet_lib.JOIN_TIME_US)
        host.register(*entries)
        return host

    return make


def cold_entry(number, left_ms=START_MS, **fields):
    """Returns the entry of a cold target."""
    return published_host.entry(number, warmup_left_ms=left_ms, **fields)


def is_cold(host, number=0):
    """Whether a host limits the requests of a target as cold."""
    host.feed(events.TimerFired)
    target = host.service().targets[f"i-{number}"]
    return target_limits.cold_limit(host.state, target) is not None


def state_cold(host, left_ms, number=0):
    """Feeds the answer to a probe by which a target states its cold time."""
    limit = host.service().targets[f"i-{number}"].cold_limit
    if limit is not None:
        limit.permits = 1.0
    host.call_arrives(host.now_us)
    report = published_host.load()
    report.cold_left_ms = left_ms
    host.answer_probes({f"10.0.0.{number}:80": report})


@pytest.mark.parametrize(
    ("texts", "expected_ms"),
    [
        (["1500"], 1500.0),
        (["0"], 0.0),
        (["100", "2000"], 2000.0),
        (["x", "30"], 30.0),
        (["-1"], None),
        ([], None),
    ],
)
def test_header_is_parsed(texts, expected_ms):
    fields = multidict.CIMultiDict(
        [(header_profile.COLD_MS, text) for text in texts]
    )
    report = header_profile.parse_load_report(fields)
    assert report.cold_left_ms == expected_ms
    invalid = "x" in texts or "-1" in texts
    assert (header_profile.COLD_MS in report.invalid_headers) == invalid


# A target that reports false values could end its own limit.
@pytest.mark.parametrize("entry_ms", [0, 4_000])
@pytest.mark.parametrize("header_ms", [0, 1_000, 8_000])
def test_longer_cold_time_counts(make_cold_host, entry_ms, header_ms):
    host = make_cold_host([cold_entry(0, entry_ms), published_host.entry(1)])
    state_cold(host, header_ms)
    longest_ms = max(entry_ms, header_ms)
    host.advance(max(0, longest_ms * 1_000 - 50_000))
    assert is_cold(host) == (longest_ms > 0)
    host.advance(100_000)
    assert not is_cold(host)


def test_target_turns_cold_at_any_moment(make_cold_host):
    host = make_cold_host([published_host.entry(n) for n in range(2)])
    assert not is_cold(host)
    state_cold(host, 3_000)
    assert is_cold(host)
    host.register(cold_entry(1, 9_000, sequence=2))
    assert is_cold(host, 1)


@pytest.mark.parametrize(
    "fields", [{"cold_tolerance": None}, {"rate_per_s": 0.0}]
)
def test_nothing_is_limited_where_it_is_off(make_cold_host, fields):
    host = make_cold_host([cold_entry(0)], hosts=99, **fields)
    state_cold(host, 9_000)
    for call_id in range(1, 21):
        assert host.arrive_and_send(call_id)
        host.answer(call_id, 1, report=published_host.load())
        host.finish(call_id)
    assert not is_cold(host)
    assert not cold.cold_targets(host.state)


@pytest.mark.parametrize("stated_per_s", [0.5, 500.0])
def test_lower_of_both_limits_counts(make_cold_host, stated_per_s):
    host = make_cold_host([cold_entry(0)], hosts=1)
    target = host.service().targets["i-0"]
    target_limits.on_answer(
        host.state,
        host.service(),
        target,
        events.RateLimitHeader(stated_per_s),
        targets.AnswerKind.EXECUTED,
        host.now_us,
    )
    sent = 0
    for _ in range(1_000):
        host.state.now_us += 10_000
        if target_limits.may_send(host.state, host.service(), target):
            target_limits.on_sent(host.state, host.service(), target)
            sent += 1
    lower_per_s = min(stated_per_s, RATE_PER_S)
    assert sent <= 10 * lower_per_s + 1
    assert sent >= 4 * lower_per_s - 1


def test_probes_take_no_permit_of_a_cold_target(make_cold_host):
    host = make_cold_host([cold_entry(0)])
    limit = host.service().targets["i-0"].cold_limit
    limit.permits = 1.0
    host.call_arrives(1)
    assert host.effects_of(effects.ProbeTarget)
    assert limit.permits >= 1.0
    host.answer_probes()
    assert len(host.sent) == 1
    assert limit.permits < 1.0


# Calls would wait for permits that come too late.
def test_calls_beyond_the_rate_are_refused_at_once(make_cold_host):
    host = make_cold_host([cold_entry(0)], hosts=99, counted=99)
    for call_id in range(1, 20):
        host.call_arrives(call_id)
        host.answer_probes()
        host.advance(1_000)
    host.advance(200_000)
    answers = host.effects_of(effects.AnswerCaller)
    assert len(answers) >= 18
    assert {answer.error for answer in answers} == {"target_limits"}
    assert all(answer.retry_after_ms > 100 for answer in answers)


def test_targets_are_cold_after_an_evacuation(make_cold_host):
    host = make_cold_host([published_host.entry(n) for n in range(2)])
    host.evacuate(published_host.DOMAIN)
    host.evacuate(ended=[published_host.DOMAIN])
    assert cold.cold_targets(host.state) == 2
    # A read that repeats the entry of before says nothing new.
    host.register(published_host.entry(0))
    assert is_cold(host)
    host.register(published_host.entry(0, sequence=2))
    assert not is_cold(host)
    host.advance((START_MS - 100) * 1_000)
    assert is_cold(host, 1)
    host.advance(200_000)
    assert not is_cold(host, 1)


def most_in_second(times_us):
    """Returns the most times in any second."""
    times_us = sorted(times_us)
    return max(
        bisect.bisect_left(times_us, start_us + 1_000_000) - index
        for index, start_us in enumerate(times_us)
    )


# Each host believes in a number of hosts of its own.
BELIEFS = {
    "right": lambda hosts, _: hosts,
    "unknown": lambda _hosts, _number: None,
    "a third": lambda hosts, _: max(1, hosts // 3),
    "double": lambda hosts, _: 2 * hosts,
    "a part of 1 in 3 hosts": lambda hosts, n: hosts if n % 3 else hosts // 3,
    "own part of two": lambda hosts, _: hosts // 2,
}


def demand_of_fleet(host, hosts, belief, cold_targets=1, step_us=50_000):
    """Runs hosts that use each permit of a cold target at once, for 20 s.

    The targets turn cold at the same moment for all hosts.

    Returns:
        The times of the sends for each target.
    """
    service = host.service()
    spec = service.targets["i-0"].spec
    groups = []
    start_us = host.now_us
    for number in range(hosts):
        own = [targets.Target(spec) for _ in range(cold_targets)]
        for target in own:
            cold.update(host.state, service, target)
        groups.append((belief(hosts, number), number * 100, own))
    sent_us = [[] for _ in range(cold_targets)]
    counts = host.state.host_counts
    for step in range(20_000_000 // step_us):
        for counted, offset_us, own in groups:
            host.state.now_us = start_us + step * step_us + offset_us
            counts.recent = store_state.RecentMaximum(10**9)
            if counted is not None:
                counts.recent.add(host.state.now_us, counted)
            for index, target in enumerate(own):
                target.slow_start_until_us = host.state.now_us + 1
                if target_limits.may_send(host.state, service, target):
                    target_limits.on_sent(host.state, service, target)
                    sent_us[index].append(host.state.now_us)
    return sent_us


# Shares of the rate that are used with full demand in runs of 20 s.
@pytest.mark.parametrize("belief", list(BELIEFS))
@pytest.mark.parametrize("hosts", [14, 99, 311])
def test_fleet_keeps_the_rate_of_a_cold_target(make_cold_host, hosts, belief):
    host = make_cold_host([cold_entry(0)], hosts=hosts)
    sent_us = demand_of_fleet(host, hosts, BELIEFS[belief])[0]
    assert most_in_second(sent_us) <= TOLERATED
    share = len(sent_us) / 20 / RATE_PER_S
    print(f"{hosts} hosts, {belief}: {most_in_second(sent_us)}, {share:.2f}")
    if belief == "right":
        assert share >= 0.4


def test_domain_that_is_cold_at_one_moment_is_not_overloaded(make_cold_host):
    host = make_cold_host([cold_entry(0)], hosts=99)
    groups = demand_of_fleet(
        host, 99, BELIEFS["right"], cold_targets=20, step_us=250_000
    )
    assert max(map(most_in_second, groups)) <= TOLERATED
    assert min(map(len, groups)) >= 0.3 * 20 * RATE_PER_S
