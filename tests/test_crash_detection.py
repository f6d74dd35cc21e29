"""Whether a lost connection is taken for a crash of its target."""

import pytest

from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import state as state_lib
import published_driver as published_host

FINGERPRINT = "f" * 32
DISCONNECTED = events.FailureReason.DISCONNECTED
REFUSED = events.FailureReason.REFUSED


def lose_call(host, call_id=1, **fields):
    """Sends a call whose connection is lost; returns the attempt."""
    fields = {"fingerprint": FINGERPRINT, "deadline_ms": 700, **fields}
    attempt = host.arrive_and_send(call_id, **fields)
    host.advance(40_000)
    host.fail(call_id, attempt.attempt, DISCONNECTED, True)
    return attempt


def end_probes(host, refusing):
    """Ends the probes in flight; some targets refuse their connection."""
    for _ in range(10):
        for probe_id, probe in list(host.state.probes.items()):
            refused = probe.target in refusing
            report = None if refused else published_host.load()
            host.feed(events.ProbeEnded, probe_id, report, refused)


def lines(host, code):
    """Returns the details of the log lines with a code."""
    return [
        line.detail
        for line in host.effects_of(effects.WriteLogLine)
        if line.code == code
    ]


@pytest.fixture
def host(make_published_host):
    """Returns a host whose calls may run once."""
    rule = published_host.rule(repeatable=False)
    return make_published_host(targets=4, rules=[rule])


def test_target_that_refuses_connections_afterwards_has_crashed(host):
    attempt = lose_call(host)
    end_probes(host, {attempt.incarnation})
    host.arrive_and_send(2)
    (line,) = lines(host, "target_crashed")
    assert attempt.incarnation in line
    assert FINGERPRINT in line


def two_calls_at_one_target(host):
    """Sends calls until two are at one target; returns their attempts."""
    sent = {}
    for call_id in range(1, 20):
        attempt = host.arrive_and_send(call_id, fingerprint=FINGERPRINT)
        if attempt.target in sent:
            return sent[attempt.target], attempt
        sent[attempt.target] = attempt
    raise AssertionError("no target got two calls")


def test_refused_attempt_shows_the_crash_without_a_probe(host):
    lost, refused = two_calls_at_one_target(host)
    host.fail(lost.call_id, lost.attempt, DISCONNECTED, True)
    host.state.probes.clear()
    host.fail(refused.call_id, refused.attempt, REFUSED, False)
    host.arrive_and_send(50)
    assert len(lines(host, "target_crashed")) == 1


def test_target_that_answers_afterwards_has_not_crashed(host):
    lose_call(host)
    host.advance(1_000)
    end_probes(host, set())
    host.arrive_and_send(2)
    assert not lines(host, "target_crashed")


@pytest.mark.parametrize("how", ["draining", "removed", "says so"])
def test_target_that_is_leaving_is_not_said_to_have_crashed(host, how):
    attempt = host.arrive_and_send(1, fingerprint=FINGERPRINT)
    leaving_id = attempt.incarnation
    number = int(leaving_id.removeprefix("i-"))
    match how:
        case "draining":
            host.register(
                published_host.entry(number, draining=True, sequence=2)
            )
        case "removed":
            host.register(removed=[leaving_id])
        case "says so":
            report = published_host.load()
            report.leaving = True
            probe = state_lib.Probe("s", leaving_id, host.now_us)
            host.state.probes[9_999] = probe
            host.feed(events.ProbeEnded, 9_999, report)
    host.fail(1, attempt.attempt, DISCONNECTED, True)
    end_probes(host, {leaving_id})
    host.arrive_and_send(2)
    assert not lines(host, "target_crashed")


def test_host_that_reaches_no_target_does_not_speak_of_crashes(host):
    attempts = [lose_call(host, call_id) for call_id in (1, 2, 3)]
    everywhere = {f"i-{number}" for number in range(4)}
    assert attempts
    end_probes(host, everywhere)
    host.advance(50_000)
    end_probes(host, everywhere)
    assert not lines(host, "target_crashed")


def test_host_that_was_frozen_does_not_speak_of_crashes(host):
    attempt = host.arrive_and_send(1, fingerprint=FINGERPRINT, deadline_ms=700)
    host.now_us += 2_000_000
    host.fail(1, attempt.attempt, DISCONNECTED, True)
    end_probes(host, {attempt.incarnation})
    host.arrive_and_send(2)
    assert not lines(host, "target_crashed")


def test_loss_that_was_not_explained_in_time_is_forgotten(host):
    lost, refused = two_calls_at_one_target(host)
    host.fail(lost.call_id, lost.attempt, DISCONNECTED, True)
    host.state.probes.clear()
    host.now_us += 1_100_000
    host.fail(refused.call_id, refused.attempt, REFUSED, False)
    host.arrive_and_send(50)
    assert not lines(host, "target_crashed")
    assert not host.state.crashes.checks
