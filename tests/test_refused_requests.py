"""Requests under which targets crashed are refused, by all hosts."""

import pytest

import crash_fleet
from fireflyspindle.core import crash_evidence
from fireflyspindle.core import effects
from fireflyspindle.core import events
import published_driver as published_host

FINGERPRINT = crash_fleet.FINGERPRINT
OTHER = "e" * 32
# Time in which all hosts must know what one of them knows (`contact-ms`).
CONTACT_US = 3_000_000


@pytest.fixture
def make_fleet(make_published_host):
    """Returns a factory of fleets whose calls run once."""

    def make(hosts=4, **fields):
        rule = published_host.rule(**{"repeatable": False, **fields})
        return crash_fleet.CrashFleet(make_published_host, hosts, [rule])

    return make


@pytest.fixture
def refusing_fleet(make_fleet):
    """Returns a fleet of which three hosts saw one crash each."""
    fleet = make_fleet()
    for host in fleet.hosts[:3]:
        fleet.crash_under(host)
        fleet.share()
    return fleet


def log_lines(host, code):
    """Returns the details of the log lines with a code."""
    return [
        line.detail
        for line in host.effects_of(effects.WriteLogLine)
        if line.code == code
    ]


def test_crashes_add_up_over_hosts(make_fleet):
    fleet = make_fleet()
    for host in fleet.hosts[:3]:
        assert fleet.answer_to(host) is None
        fleet.crash_under(host)
        fleet.share()
    for host in fleet.hosts:
        answer = fleet.answer_to(host)
        assert answer.status == 503
        assert answer.outcome is effects.Outcome.NOT_RUN
        assert answer.error == "crashes_targets"
        assert "3 targets of service s crashed" in answer.detail
        assert answer.retry_after_ms == 300_000
        (line,) = log_lines(host, "request_refused")
        assert FINGERPRINT in line
        assert all(name in line for name in fleet.crashed)


def test_all_hosts_know_of_the_third_crash_in_time(make_fleet):
    fleet = make_fleet()
    for host in fleet.hosts[:3]:
        fleet.crash_under(host)
    fleet.share(CONTACT_US)
    assert all(fleet.answer_to(host) is not None for host in fleet.hosts)


def test_other_requests_are_not_refused(refusing_fleet):
    for host in refusing_fleet.hosts:
        assert refusing_fleet.answer_to(host, OTHER) is None
        assert refusing_fleet.answer_to(host, "") is None


def test_same_crash_seen_by_several_hosts_counts_once(make_fleet):
    fleet = make_fleet()
    start = events.TargetStart("i-0", 1_000)
    for host in fleet.hosts:
        crash_evidence.on_crash(host.state, "s", start, FINGERPRINT)
    fleet.share()
    assert len(fleet.records) == 1
    assert fleet.answer_to(fleet.hosts[0]) is None


def test_request_that_another_target_answers_is_no_longer_suspected(make_fleet):
    fleet = make_fleet()
    first, second, third = fleet.hosts[:3]
    for host in (first, second):
        fleet.crash_under(host)
        fleet.share()
    assert len(fleet.records) == 2
    fleet.answer_other(third, FINGERPRINT)
    fleet.share()
    assert fleet.records == {}
    fleet.crash_under(third)
    fleet.share()
    assert fleet.answer_to(first) is None


@pytest.mark.parametrize(
    ("status", "not_run"), [(500, False), (504, False), (503, True)]
)
def test_answer_without_a_run_to_its_end_keeps_the_suspicion(
    make_fleet, status, not_run
):
    fleet = make_fleet(max_attempts=1)
    host = fleet.hosts[0]
    fleet.crash_under(host)
    attempt = host.arrive_and_send(500, fingerprint=FINGERPRINT)
    report = published_host.load()
    host.answer(
        500, attempt.attempt, status=status, not_run=not_run, report=report
    )
    assert FINGERPRINT in host.state.crashes.suspects


def test_call_that_a_resend_answers_is_not_reported(make_fleet):
    fleet = make_fleet(repeatable=True)
    host = fleet.hosts[0]
    attempt = host.arrive_and_send(1, fingerprint=FINGERPRINT)
    host.advance(40_000)
    fleet.crash(host, attempt)
    again = [effect for effect in host.sent if effect.call_id == 1][-1]
    assert again.attempt == 2
    host.advance(100_000)
    host.answer(1, 2, report=published_host.load())
    fleet.share(1_000_000)
    assert not host.effects_of(effects.AppendCrashes)


def test_crash_of_a_target_that_answers_later_is_withdrawn(refusing_fleet):
    fleet = refusing_fleet
    alive = min(fleet.crashed)
    start = events.TargetStart(alive, 1_000)
    host = fleet.hosts[3]
    crash_evidence.on_target_answered(host.state, start, host.now_us)
    assert fleet.answer_to(host) is not None
    later_us = host.now_us + 2_000_000
    crash_evidence.on_target_answered(host.state, start, later_us)
    host.feed(events.TimerFired)
    fleet.share()
    for each in fleet.hosts:
        (line,) = log_lines(each, "request_accepted")
        assert FINGERPRINT in line
    assert fleet.answer_to(fleet.hosts[0]) is None


def test_calls_that_wait_are_refused_when_the_host_learns_of_it(make_fleet):
    fleet = make_fleet()
    host = fleet.hosts[3]
    for other in fleet.hosts[:2]:
        fleet.crash_under(other)
        fleet.share()
    host.call_arrives(900, fingerprint=FINGERPRINT)
    fleet.crash_under(fleet.hosts[2])
    fleet.share(50_000)
    sent = [effect for effect in host.sent if effect.call_id == 900]
    assert sent == []
    assert host.gate_answer(900).error == "crashes_targets"


def test_call_whose_own_failure_shows_the_third_crash_is_answered(make_fleet):
    fleet = make_fleet()
    host = fleet.hosts[0]
    for name in ("i-90", "i-91"):
        start = events.TargetStart(name, 1_000)
        crash_evidence.on_crash(host.state, "s", start, FINGERPRINT)
    by_target = {}
    for call_id in range(1, 60):
        attempt = host.arrive_and_send(call_id, fingerprint=FINGERPRINT)
        if attempt.target in by_target:
            break
        by_target[attempt.target] = attempt
    lost = by_target[attempt.target]
    host.fail(
        lost.call_id,
        lost.attempt,
        events.FailureReason.DISCONNECTED,
        True,
    )
    fleet.answer_other(host)
    host.fail(
        attempt.call_id, attempt.attempt, events.FailureReason.REFUSED, False
    )
    fleet.end_probes(host)
    assert len(log_lines(host, "request_refused")) == 1
    assert host.gate_answer(attempt.call_id).status == 503
    assert fleet.answer_to(host).error == "crashes_targets"


def test_writes_that_fail_are_repeated_until_all_hosts_know(make_fleet):
    fleet = make_fleet()
    fleet.error = "no response in time"
    for host in fleet.hosts[:3]:
        fleet.crash_under(host)
    fleet.share(20_000_000)
    assert fleet.answer_to(fleet.hosts[3]) is None
    fleet.error = ""
    fleet.share(CONTACT_US)
    assert fleet.answer_to(fleet.hosts[3]) is not None
    assert len(log_lines(fleet.hosts[0], "crashes_unsent")) == 1


def test_host_that_starts_later_refuses_too(refusing_fleet):
    assert refusing_fleet.answer_to(refusing_fleet.start_host()) is not None


def test_host_that_starts_much_later_does_not(refusing_fleet):
    host = refusing_fleet.start_host(age_us=301_000_000)
    assert refusing_fleet.answer_to(host) is None


def test_request_that_no_longer_comes_is_forgotten(refusing_fleet):
    refusing_fleet.share(320_000_000)
    assert refusing_fleet.records == {}
    for host in refusing_fleet.hosts:
        assert not host.state.crashes.suspects
        assert len(log_lines(host, "request_accepted")) == 1


def test_repetitions_at_one_host_count_at_all(refusing_fleet):
    fleet = refusing_fleet
    for _ in range(20):
        assert fleet.answer_to(fleet.hosts[0]) is not None
        fleet.share(55_000_000)
    assert all(fleet.answer_to(host) is not None for host in fleet.hosts)
    assert sum(key.start is None for key in fleet.records) == 1


def test_request_is_tried_again_an_hour_after_the_latest_crash(refusing_fleet):
    fleet = refusing_fleet
    for _ in range(61):
        fleet.answer_to(fleet.hosts[0])
        fleet.share(60_000_000)
    assert fleet.answer_to(fleet.hosts[0]) is None
    assert fleet.records == {}


def test_call_is_not_sent_to_a_third_target_by_its_host(make_fleet):
    fleet = make_fleet(repeatable=True, max_attempts=3)
    host = fleet.hosts[0]
    attempt = host.arrive_and_send(1, fingerprint=FINGERPRINT, deadline_ms=700)
    for _ in range(3):
        host.advance(40_000)
        fleet.crash(host, attempt)
        sent = [effect for effect in host.sent if effect.call_id == 1]
        if sent[-1] is attempt:
            break
        attempt = sent[-1]
    assert len(fleet.crashed) <= 2
    assert host.gate_answer(1).status == 502


def test_suspected_call_is_not_hedged(make_fleet):
    fleet = make_fleet(repeatable=True)
    host = fleet.hosts[0]
    start = events.TargetStart("i-0", 1_000)
    crash_evidence.on_crash(host.state, "s", start, FINGERPRINT)
    host.arrive_and_send(1, fingerprint=FINGERPRINT, deadline_ms=700)
    for _ in range(60):
        host.advance(10_000)
        host.answer_probes()
    assert len([effect for effect in host.sent if effect.call_id == 1]) == 1
