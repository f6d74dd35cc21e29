"""Detection that a gate host reaches no target."""

import pytest

from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import reachability
import published_driver as published_host


def log_codes(host):
    """Returns the codes of the log lines about lost targets."""
    return [
        line.code
        for line in host.effects_of(effects.WriteLogLine)
        if line.code in {"targets_lost", "targets_regained"}
    ]


@pytest.mark.parametrize(
    "reason",
    [
        None,
        events.FailureReason.REFUSED,
        events.FailureReason.CONNECT_TIMEOUT,
        events.FailureReason.DISCONNECTED,
    ],
)
def test_host_that_reaches_no_target_says_so_once(make_published_host, reason):
    host = make_published_host(targets=6)
    host.arrive_and_send(1)
    host.answer(1, 1)
    host.lose_targets(reason=reason)
    assert host.state.reachability.lost
    assert log_codes(host) == ["targets_lost"]


def test_targets_that_are_down_are_no_broken_path(make_published_host):
    host = make_published_host(targets=6)
    host.arrive_and_send(1)
    host.answer(1, 1)
    host.finish(1)
    down = {f"10.0.0.{number}:80": None for number in range(4)}
    for call_id in range(2, 40):
        host.call_arrives(call_id)
        host.answer_probes(down)
        host.advance(10_000)
        for call in list(host.state.calls.values()):
            for number, attempt in list(call.attempts.items()):
                if attempt.target.spec.address in down:
                    reason = events.FailureReason.REFUSED
                    host.fail(call.call_id, number, reason, False)
                else:
                    host.answer(call.call_id, number)
                    host.finish(call.call_id)
    assert log_codes(host) == []


def test_cut_ends_after_answers_on_new_connections(make_published_host):
    host = make_published_host(targets=6)
    host.lose_targets()
    lost_us = host.state.reachability.lost_us
    assert lost_us is not None
    for answered in (True, True, False, True, True):
        check_targets(host, answered)
        assert host.state.reachability.lost
    check_targets(host, answered=True)
    assert not host.state.reachability.lost
    assert log_codes(host) == ["targets_lost", "targets_regained"]
    checks = [
        probe
        for probe in host.effects_of(effects.ProbeTarget)
        if probe.new_connection
    ]
    assert len(checks) >= 6


def check_targets(host, answered):
    """Runs the next check of a host that is cut off."""
    host.advance(reachability.CHECK_INTERVAL_US)
    report = published_host.load() if answered else None
    for probe_id in list(host.state.probes):
        host.feed(events.ProbeEnded, probe_id, report)


# Connections that were open before the cut may live on.
def test_answer_on_an_open_connection_does_not_end_the_cut(
    make_published_host,
):
    host = make_published_host(targets=6)
    host.arrive_and_send(1)
    host.lose_targets()
    host.answer(1, 1)
    assert host.state.reachability.lost


def test_one_service_without_a_reachable_target_is_detected(
    make_published_host,
):
    rules = (
        published_host.rule(),
        published_host.rule("r2", "t", "/t/"),
    )
    host = make_published_host(targets=4, rules=rules)
    services = published_host.document(2, rules, ("s", "t"))
    host.configure(services)
    host.register(
        *(published_host.entry(number, service="t") for number in range(10, 14))
    )
    for call_id in range(1, 60, 2):
        host.arrive_and_send(call_id)
        host.answer(call_id, 1)
        host.finish(call_id)
        host.call_arrives(call_id + 1, path="/t/x")
        for _ in range(6):
            host.advance(10_000)
        host.fail_probes()
    assert not host.state.reachability.lost
    assert host.service("t").reachability.lost
    assert not host.service("s").reachability.lost


def test_service_with_a_single_target_is_never_a_broken_path(
    make_published_host,
):
    host = make_published_host(targets=1)
    host.lose_targets(20, events.FailureReason.REFUSED)
    assert not host.state.reachability.lost
    assert log_codes(host) == []
