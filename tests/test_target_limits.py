"""Limits that targets state on the requests from all gate hosts together."""

import bisect
import heapq

import multidict
import pytest

from fireflyspindle import headers
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import fleet as fleet_lib
from fireflyspindle.core import published
from fireflyspindle.core import target_limits
from fireflyspindle.core import targets
from fireflyspindle.platform import header_profile
import published_driver as published_host


def report(limit_per_s=None, **fields):
    """Returns a load report with a limit, or without the header."""
    header = None
    if limit_per_s is not None:
        header = events.RateLimitHeader(limit_per_s)
    return events.LoadReport(
        **{"in_flight": 0, "slots": 4, "rate_limit": header, **fields}
    )


def target_of(host, attempt):
    """Returns the target of an attempt."""
    return next(
        target
        for target in host.service().targets.values()
        if target.spec.address == attempt.target
    )


def limit_lines(host):
    """Returns the details of the log lines about limits."""
    return [
        line.detail
        for line in host.effects_of(effects.WriteLogLine)
        if line.code == "target_limit"
    ]


@pytest.mark.parametrize(
    ("texts", "expected_per_s"),
    [
        (["4.5"], 4.5),
        (["0"], 0.0),
        ([" 12 "], 12.0),
        (["0.25"], 0.25),
        (["9", "4.5"], 4.5),
        (["9", "x"], 9.0),
        (["-1"], None),
        (["nan"], None),
        (["inf"], None),
        (["1e3"], None),
        (["4,5"], None),
        ([""], None),
        (["1" * 30], None),
    ],
)
@pytest.mark.parametrize(
    ("name", "parse"),
    [
        (header_profile.SERVER_LIMIT, header_profile.parse_load_report),
        (headers.RATE_LIMIT, headers.parse_load_report),
    ],
)
def test_rate_limit_header_is_parsed(name, parse, texts, expected_per_s):
    fields = multidict.CIMultiDict([(name, text) for text in texts])
    assert parse(fields).rate_limit == events.RateLimitHeader(expected_per_s)
    assert parse(multidict.CIMultiDict()).rate_limit is None


# The kind of the answer must not matter for who is told of the limit.
@pytest.mark.parametrize("answer", list(targets.AnswerKind))
def test_limit_is_read_from_every_kind_of_answer(make_published_host, answer):
    host = make_published_host(targets=1)
    stated = report(limit_per_s=4.5)
    if answer is targets.AnswerKind.PROBE:
        host.call_arrives(1)
        host.answer_probes({"10.0.0.0:80": stated})
    else:
        host.arrive_and_send(1)
        declined = answer is targets.AnswerKind.DECLINED
        host.answer(
            1,
            1,
            status=503 if declined else 200,
            not_run=declined,
            report=stated,
        )
    target = host.service().targets["i-0"]
    assert target.rate_limit.requests_per_s == 4.5
    assert "takes 4.5 requests/s" in limit_lines(host)[0]


def test_limit_ends_with_an_answer_of_the_same_kind_without_it(
    make_published_host,
):
    host = make_published_host(targets=1)
    target = host.service().targets["i-0"]
    host.arrive_and_send(1)
    host.arrive_and_send(2)
    host.answer(1, 1, report=report(limit_per_s=100.0))
    # Sent before the limit was known.
    host.answer(2, 1, report=report())
    assert target.rate_limit is not None
    host.advance(1_000_000)
    host.call_arrives(3)
    host.answer_probes({"10.0.0.0:80": report()})
    assert target.rate_limit is not None
    host.answer(3, 1, report=report())
    assert target.rate_limit is None
    assert "no longer limits" in limit_lines(host)[-1]


def test_invalid_limit_changes_nothing_and_is_logged(make_published_host):
    host = make_published_host(targets=1)
    invalid = report(rate_limit=events.RateLimitHeader(None))
    host.arrive_and_send(1)
    host.answer(1, 1, report=invalid)
    target = host.service().targets["i-0"]
    assert target.rate_limit is None
    host.finish(1)
    host.arrive_and_send(4)
    host.answer(4, 1, report=invalid)
    host.finish(4)
    assert ["invalid" in line for line in limit_lines(host)] == [True]
    host.arrive_and_send(2)
    host.answer(2, 1, report=report(limit_per_s=100.0))
    host.arrive_and_send(3)
    host.answer(3, 1, report=invalid)
    assert target.rate_limit.requests_per_s == 100.0


def test_limit_that_changes_with_every_answer_is_logged_once_a_second(
    make_published_host,
):
    host = make_published_host(targets=1)
    for call_id in range(1, 31):
        limit_per_s = 10_000.0 + call_id
        serve(host, call_id, limit_per_s, duration_us=100_000)
    assert 3 <= len(limit_lines(host)) <= 4


# The end of a limit of 0 shows only in the answer to a request.
def test_target_that_takes_no_requests_gets_one_now_and_then(
    make_published_host,
):
    host = make_published_host(targets=1)
    host.feed(events.HostsReported, host.state.following.stream_number, 1)
    host.advance(fleet_lib.JOIN_TIME_US)
    host.arrive_and_send(1)
    host.answer(1, 1, report=report(limit_per_s=0.0))
    host.finish(1)
    for call_id in range(2, 62):
        host.advance(500_000)
        host.arrive_and_send(call_id)
        for attempt in host.sent:
            if attempt.call_id == call_id:
                host.answer(call_id, 1, report=report(limit_per_s=0.0))
        host.finish(call_id)
    assert 2 <= len(host.sent) - 1 <= 4


def test_waiting_calls_are_refused_once_limits_are_reached(
    make_published_host,
):
    host = make_published_host(targets=1)
    full = {"10.0.0.0:80": report(in_flight=4)}
    host.call_arrives(1, deadline_ms=5_000)
    published_host.answer_probes(host, full, 60_000)
    assert host.service().waiting_calls
    limited = {"10.0.0.0:80": report(limit_per_s=0.1, in_flight=4)}
    published_host.answer_probes(host, limited, 60_000)
    assert host.gate_answer(1).error == "target_limits"


# A target that states a high limit all the time would get calls unprobed.
def test_target_with_a_high_limit_is_probed(make_published_host):
    host = make_published_host(targets=2)
    for call_id in range(1, 41):
        serve(host, call_id, 10_000.0, duration_us=100_000)
    probed = [e.target for e in host.effects_of(effects.ProbeTarget)]
    assert probed.count("10.0.0.0:80") >= 20


# Probes may count as requests at a target with a limit.
@pytest.mark.parametrize("limit_per_s", [50.0, 500.0])
def test_fleet_counts_probes_towards_the_limit(
    make_published_host, limit_per_s
):
    fleet = fleet_of(make_published_host, 14, 14)
    times_us = []
    for host in fleet:
        first_id = 1 + learn_limit(host, limit_per_s)
        start_us, known = host.now_us, len(host.effects)
        for call_id in range(first_id, first_id + 300):
            at_us = host.now_us - start_us
            serve(host, call_id, limit_per_s, 0, 20_000)
            for effect in host.effects[known:]:
                if (
                    isinstance(
                        effect, effects.SendToTarget | effects.ProbeTarget
                    )
                    and effect.target == "10.0.0.0:80"
                ):
                    times_us.append(at_us)
            known = len(host.effects)
    assert most_in_window(times_us) <= 1.5 * 4 * limit_per_s + 5


@pytest.mark.parametrize("limit_per_s", [0.1, 50.0])
def test_limited_target_gets_no_probes(make_published_host, limit_per_s):
    host = make_published_host(targets=2)
    host.arrive_and_send(1)
    host.answer(1, 1, report=report(limit_per_s=limit_per_s))
    host.finish(1)
    limited = host.sent[0].target
    probes = len(host.effects_of(effects.ProbeTarget))
    for call_id in range(2, 42):
        host.advance(100_000)
        host.arrive_and_send(call_id)
    probed = {e.target for e in host.effects_of(effects.ProbeTarget)[probes:]}
    assert probed
    assert limited not in probed
    sent = [e.target for e in host.sent[1:]].count(limited)
    assert bool(sent) == (limit_per_s > 1.0)


# A target that others are preferred to would keep its limit here for ever.
def test_end_of_a_limit_is_noticed_although_other_targets_are_better(
    make_published_host,
):
    host = make_published_host(targets=0)
    far = {"failure_domain": published_host.OTHER_DOMAIN}
    host.register(
        published_host.entry(0, **far),
        *(published_host.entry(number) for number in range(1, 5)),
    )
    host.feed(events.HostsReported, host.state.following.stream_number, 2)
    host.advance(fleet_lib.JOIN_TIME_US)
    target = host.service().targets["i-0"]
    target_limits.on_answer(
        host.state,
        host.service(),
        target,
        events.RateLimitHeader(5.0),
        targets.AnswerKind.EXECUTED,
        host.now_us,
    )
    for call_id in range(1, 101):
        host.advance(50_000)
        send = host.arrive_and_send(call_id)
        host.answer(call_id, send.attempt, report=report())
        host.finish(call_id)
    assert target.rate_limit is None


def test_new_incarnation_has_no_limit(make_published_host):
    host = make_published_host(targets=1)
    host.arrive_and_send(1)
    host.answer(1, 1, report=report(limit_per_s=4.5))
    host.register(published_host.entry(0, started_ms=2_000))
    assert host.service().targets["i-0"].rate_limit is None


def fleet_of(make_published_host, hosts, counted=None):
    """Returns gate hosts of which each has seen the limit of target i-0."""
    fleet = []
    for seed in range(hosts):
        host = make_published_host(targets=2, seed=seed)
        settings = published.ServiceSettings("s", "/health", 1_100)
        document = published_host.document(version=2)
        host.configure(
            published_host.with_fields(document, services=(settings,))
        )
        if counted is not None:
            stream = host.state.following.stream_number
            host.feed(events.HostsReported, stream, counted)
            host.advance(fleet_lib.JOIN_TIME_US)
        fleet.append(host)
    return fleet


def learn_limit(host, limit_per_s):
    """Runs calls until i-0 has stated its limit; returns their number."""
    calls = 0
    while host.service().targets["i-0"].rate_limit is None:
        calls += 1
        serve(host, calls, limit_per_s)
    return calls


def serve(host, call_id, limit_per_s, in_flight=0, duration_us=20_000):
    """Runs one call for a period; returns the times of its sends to i-0.

    Target i-0 states its limit with each answer, after 10 ms. The other target
    has `in_flight` requests of other hosts.
    """
    loads = {
        "10.0.0.0:80": report(limit_per_s),
        "10.0.0.1:80": report(in_flight=in_flight),
    }
    end_us = host.now_us + duration_us
    sent_us = []
    known = len(host.effects)
    host.call_arrives(call_id)
    while host.now_us < end_us:
        host.answer_probes(loads)
        new = host.effects[known:]
        known += len(new)
        host.advance(10_000)
        for attempt in new:
            if not isinstance(attempt, effects.SendToTarget):
                continue
            limited = attempt.target == "10.0.0.0:80"
            if limited:
                sent_us.append(host.now_us)
            answer = report(limit_per_s if limited else None)
            host.answer(attempt.call_id, attempt.attempt, report=answer)
            host.finish(attempt.call_id)
    return sent_us


def most_in_window(times_us, window_us=4_000_000):
    """Returns the most times in any window."""
    times_us = sorted(times_us)
    return max(
        (
            bisect.bisect_right(times_us, start_us + window_us) - index
            for index, start_us in enumerate(times_us)
        ),
        default=0,
    )


# A share of one request for each host adds up to a burst of the whole fleet.
@pytest.mark.parametrize(
    ("hosts", "counted", "calls", "spacing_us"),
    [(2, 2, 200, 50_000), (14, 14, 120, 100_000), (129, 129, 24, 250_000)],
)
@pytest.mark.parametrize("limit_per_s", [0.5, 4.5, 20.0])
def test_fleet_keeps_the_limit_that_a_target_states(
    make_published_host, hosts, counted, calls, spacing_us, limit_per_s
):
    fleet = fleet_of(make_published_host, hosts, counted)
    sent_us = []
    for host in fleet:
        first_id = 1 + learn_limit(host, limit_per_s)
        start_us = host.now_us
        for call_id in range(first_id, first_id + calls):
            # The other target is full half of the time.
            in_flight = 4 * (call_id % 2)
            sent_us += [
                at_us - start_us
                for at_us in serve(
                    host, call_id, limit_per_s, in_flight, spacing_us
                )
            ]
    assert most_in_window(sent_us) <= 1.5 * 4 * limit_per_s + 5
    duration_s = calls * spacing_us / 1e6
    assert len(sent_us) >= min(0.4 * limit_per_s * duration_s, 10)


def test_host_without_a_count_takes_the_share_of_the_largest_fleet(
    make_published_host,
):
    (host,) = fleet_of(make_published_host, 1)
    first_id = 1 + learn_limit(host, 20.0)
    sent = 0
    for call_id in range(first_id, first_id + 100):
        sent += len(serve(host, call_id, 20.0, duration_us=100_000))
    largest_fleet = host.state.configuration.policy("s").gate_hosts_max
    assert sent <= 1 + 10 * 20.0 / largest_fleet


# Hosts of a large fleet have a permit every few minutes each.
def test_fleet_of_1000_hosts_keeps_the_limit_that_a_target_states(
    make_published_host,
):
    limit_per_s, hosts = 4.5, 1_000
    host = make_published_host(targets=1)
    host.feed(events.HostsReported, host.state.following.stream_number, hosts)
    host.advance(fleet_lib.JOIN_TIME_US)
    service = host.service()
    header = events.RateLimitHeader(limit_per_s)
    limited = []
    for number in range(hosts):
        target = targets.Target(service.targets["i-0"].spec)
        target_limits.on_answer(
            host.state,
            service,
            target,
            header,
            targets.AnswerKind.EXECUTED,
            host.now_us,
        )
        limited.append((number * 250, target))
    sent_us = []
    start_us = host.now_us
    for step in range(48):
        for offset_us, target in limited:
            at_us = start_us + step * 250_000 + offset_us
            host.state.now_us = at_us
            if target_limits.may_send(host.state, service, target):
                target_limits.on_sent(host.state, service, target)
                sent_us.append(at_us)
    assert most_in_window(sent_us) <= 1.5 * 4 * limit_per_s + 5
    assert len(sent_us) >= 0.5 * limit_per_s * 12


def _times_at_full_demand(host, limit_per_s, hosts, duration_us):
    """Returns when a fleet sends if each host uses each permit at once."""
    service = host.service()
    start_us = host.state.now_us
    due = []
    for number in range(hosts):
        target = targets.Target(service.targets["i-0"].spec)
        target_limits.on_answer(
            host.state,
            service,
            target,
            events.RateLimitHeader(limit_per_s),
            targets.AnswerKind.EXECUTED,
            start_us,
        )
        wait_us = target_limits.wait_us(host.state, service, target)
        heapq.heappush(due, (start_us + wait_us, number, target))
    sent_us = []
    while due[0][0] < start_us + duration_us:
        at_us, number, target = heapq.heappop(due)
        host.state.now_us = at_us
        if target_limits.may_send(host.state, service, target):
            target_limits.on_sent(host.state, service, target)
            sent_us.append(at_us)
        wait_us = target_limits.wait_us(host.state, service, target)
        heapq.heappush(due, (at_us + max(1, wait_us), number, target))
    return sent_us


@pytest.mark.parametrize("limit_per_s", [0.5, 1.0, 2.0, 4.5])
@pytest.mark.parametrize("hosts", [129, 311])
def test_fleet_with_few_permits_keeps_the_limit_in_every_window(
    make_published_host, hosts, limit_per_s
):
    host = make_published_host(targets=1)
    stream = host.state.following.stream_number
    host.feed(events.HostsReported, stream, hosts)
    host.advance(fleet_lib.JOIN_TIME_US)
    most, sent = 0, 0
    for seed in range(300):
        host.state.random.seed(seed)
        sent_us = _times_at_full_demand(host, limit_per_s, hosts, 40_000_000)
        most = max(most, most_in_window(sent_us))
        sent += len(sent_us)
    assert most <= 1.5 * 4 * limit_per_s + 5
    assert sent >= 300 * 0.3 * limit_per_s * 40


# A call that no target may take would wait until its deadline.
def test_call_is_refused_at_once_when_all_targets_are_at_their_limits(
    make_published_host,
):
    host = make_published_host(targets=1)
    host.arrive_and_send(1)
    host.answer(1, 1, report=report(limit_per_s=0.1))
    host.finish(1)
    host.call_arrives(2, deadline_ms=800)
    answer = host.gate_answer(2)
    assert (answer.status, answer.outcome) == (503, effects.Outcome.NOT_RUN)
    assert answer.error == "target_limits"
    assert answer.retry_after_ms > 1_000
    assert [e.call_id for e in host.sent] == [1]


# Calls that waited for permits were refused after 0.6 of their time.
def test_calls_beyond_the_limits_of_all_targets_are_refused_soon(
    make_published_host,
):
    host = make_published_host(targets=6)
    host.feed(events.HostsReported, host.state.following.stream_number, 2)
    host.advance(fleet_lib.JOIN_TIME_US)
    loads = {f"10.0.0.{number}:80": report(5.0) for number in range(6)}
    arrived_us, refused_us = {}, {}
    known = len(host.effects)
    for call_id in range(1, 401):
        arrived_us[call_id] = host.now_us
        host.call_arrives(call_id, deadline_ms=800)
        host.advance(5_000)
        host.answer_probes(loads)
        new = host.effects[known:]
        known += len(new)
        for effect in new:
            if isinstance(effect, effects.SendToTarget):
                host.answer(effect.call_id, effect.attempt, report=report(5.0))
                host.finish(effect.call_id)
            elif isinstance(effect, effects.AnswerCaller):
                refused_us[effect.call_id] = host.now_us
    waits_us = [refused_us[call] - arrived_us[call] for call in refused_us]
    assert len(waits_us) > 200
    assert max(waits_us) <= 200_000
