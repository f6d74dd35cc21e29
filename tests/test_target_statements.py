"""What targets state in their answers: that they leave, or want a pause."""

import multidict
import pytest

from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.platform import header_profile
import published_driver as published_host

ADDRESS = "10.0.0.0:80"


def report(**fields):
    """Returns a load report of an idle target."""
    return events.LoadReport(**{"in_flight": 0, "slots": 4, **fields})


def reached(host, address=ADDRESS, since=0):
    """Returns the requests and probes that were sent to a target."""
    return [
        effect
        for effect in host.effects[since:]
        if isinstance(effect, effects.SendToTarget | effects.ProbeTarget)
        and effect.target == address
    ]


def run_calls(host, calls=40, spacing_us=50_000, first_id=1_000):
    """Runs calls that are answered at once."""
    for call_id in range(first_id, first_id + calls):
        attempt = host.arrive_and_send(call_id)
        if attempt is not None:
            host.answer(call_id, attempt.attempt, report=report())
            host.finish(call_id)
        host.advance(spacing_us)


def attempt_at(host, address=ADDRESS, **fields):
    """Runs calls until one is sent to a target; returns the attempt."""
    for call_id in range(1, 200):
        attempt = host.arrive_and_send(call_id, **fields)
        if attempt.target == address:
            return attempt
        host.answer(call_id, attempt.attempt, report=report())
        host.finish(call_id)
        host.advance(50_000)
    raise AssertionError("no call was sent to the target")


def state_leaving(host, answer):
    """Lets target i-0 state that it leaves, with one kind of answer."""
    stated = report(leaving=True)
    if answer == "probe":
        host.call_arrives(1)
        while host.state.probes:
            host.answer_probes({ADDRESS: stated})
        if not reached(host):
            host.call_arrives(2)
            host.answer_probes({ADDRESS: stated})
        return
    attempt = attempt_at(host)
    if answer == "helper":
        start = events.TargetStart("i-0", 1_000)
        host.state.calls[attempt.call_id].attempts[
            attempt.attempt
        ].relayed = True
        host.answer(attempt.call_id, attempt.attempt, leaving_start=start)
        host.finish(attempt.call_id)
        return
    if answer == "incomplete":
        reason = events.FailureReason.TRUNCATED
        host.feed(
            events.AttemptFailed,
            attempt.call_id,
            attempt.attempt,
            reason,
            True,
            status=200,
            report=stated,
        )
        return
    if answer == "caller left":
        host.feed(events.CallerDisconnected, attempt.call_id)
    host.answer(
        attempt.call_id,
        attempt.attempt,
        status=503 if answer == "declined" else 200,
        not_run=answer == "declined",
        report=stated,
    )
    host.finish(attempt.call_id)


@pytest.mark.parametrize(
    "answer",
    ["executed", "declined", "probe", "caller left", "helper", "incomplete"],
)
def test_target_that_says_it_leaves_gets_no_more_requests(
    make_published_host, answer
):
    rule = published_host.rule(repeatable=False)
    host = make_published_host(targets=2, rules=[rule])
    state_leaving(host, answer)
    assert host.service().targets["i-0"].leaving
    known = len(host.effects)
    run_calls(host)
    assert reached(host, since=known) == []
    lines = [
        line.detail
        for line in host.effects_of(effects.WriteLogLine)
        if line.code == "target_left"
    ]
    assert len(lines) == 1
    assert "it says that it is leaving" in lines[0]


@pytest.mark.parametrize(
    "change", ["newer entry", "older entry", "entry lapsed", "snapshot"]
)
def test_entries_of_the_same_start_do_not_end_the_leaving(
    make_published_host, change
):
    host = make_published_host(targets=2)
    state_leaving(host, "executed")
    match change:
        case "newer entry":
            host.register(published_host.entry(0, sequence=5))
        case "older entry":
            host.register(published_host.entry(0, sequence=0))
        case "entry lapsed":
            host.register(removed=["i-0"])
            host.advance(1_000_000)
            host.register(published_host.entry(0, sequence=9))
        case "snapshot":
            host.register(published_host.entry(1), is_snapshot=True)
            host.register(
                published_host.entry(0),
                published_host.entry(1),
                is_snapshot=True,
            )
    known = len(host.effects)
    run_calls(host)
    assert reached(host, since=known) == []


def test_new_start_of_a_leaving_target_is_used(make_published_host):
    host = make_published_host(targets=2)
    state_leaving(host, "executed")
    host.register(published_host.entry(0, started_ms=9_000))
    known = len(host.effects)
    run_calls(host)
    assert reached(host, since=known)


@pytest.mark.parametrize("status", [200, 421])
def test_late_answer_of_a_previous_start_does_not_concern_the_new_one(
    make_published_host, status
):
    rule = published_host.rule(repeatable=False)
    host = make_published_host(targets=2, rules=[rule])
    attempt = attempt_at(host)
    host.register(published_host.entry(0, started_ms=9_000))
    host.answer(
        attempt.call_id,
        attempt.attempt,
        status=status,
        not_run=status == 421,
        report=report(leaving=True),
    )
    host.finish(attempt.call_id)
    known = len(host.effects)
    run_calls(host)
    assert reached(host, since=known)


def test_waiting_call_is_not_sent_to_a_target_that_left(make_published_host):
    host = make_published_host(targets=1)
    full = {ADDRESS: published_host.load(in_flight=4)}
    host.call_arrives(1)
    published_host.answer_probes(host, full, 40_000)
    assert 1 in host.service().waiting_calls
    published_host.answer_probes(
        host, {ADDRESS: report(in_flight=0, leaving=True)}, 60_000
    )
    assert host.sent == []


def pause(host, retry_after_s, status=503):
    """Lets target i-0 decline a call and ask for a pause."""
    attempt = attempt_at(host)
    host.answer(
        attempt.call_id,
        attempt.attempt,
        status=status,
        not_run=True,
        report=report(retry_after_s=retry_after_s),
    )
    while host.state.probes:
        host.answer_probes()
    for call in list(host.state.calls.values()):
        for number in list(call.attempts):
            host.answer(call.call_id, number, report=report())
            host.finish(call.call_id)


@pytest.mark.parametrize("retry_after_s", [0.75, 2.0, 1e9])
@pytest.mark.parametrize("targets", [2, 12])
def test_target_that_asks_for_a_pause_gets_nothing_meanwhile(
    make_published_host, targets, retry_after_s
):
    host = make_published_host(targets=targets)
    pause(host, retry_after_s)
    known = len(host.effects)
    run_calls(host, calls=14, spacing_us=50_000)
    assert reached(host, since=known) == []
    if retry_after_s > 10:
        run_calls(host, calls=40, spacing_us=2_000_000, first_id=2_000)
        assert reached(host, since=known) == []
        return
    host.advance(2_000_000)
    run_calls(host, calls=400, spacing_us=20_000, first_id=2_000)
    assert reached(host, since=known)


def test_probe_that_is_declined_with_a_pause_pauses_too(make_published_host):
    host = make_published_host(targets=2)
    host.call_arrives(1)
    stated = report(healthy=False, retry_after_s=1.0)
    host.answer_probes({ADDRESS: stated})
    known = len(host.effects)
    run_calls(host, calls=15)
    assert reached(host, since=known) == []


@pytest.mark.parametrize("retry_after_s", [0.0, None])
def test_declined_call_without_a_time_is_no_pause(
    make_published_host, retry_after_s
):
    host = make_published_host(targets=2)
    pause(host, retry_after_s)
    known = len(host.effects)
    run_calls(host)
    assert reached(host, since=known)


def test_success_with_retry_after_is_no_pause(make_published_host):
    host = make_published_host(targets=2)
    pause(host, 60.0, status=200)
    known = len(host.effects)
    run_calls(host)
    assert reached(host, since=known)


@pytest.mark.parametrize("started_ms", [1_000, 9_000])
def test_pause_holds_for_one_start_of_a_target(make_published_host, started_ms):
    host = make_published_host(targets=2)
    pause(host, 60.0)
    host.register(removed=["i-0"])
    host.advance(100_000)
    entry = published_host.entry(0, sequence=9, started_ms=started_ms)
    host.register(entry)
    known = len(host.effects)
    run_calls(host)
    assert bool(reached(host, since=known)) is (started_ms == 9_000)


def test_shorter_pause_does_not_end_a_longer_one(make_published_host):
    rule = published_host.rule(repeatable=False)
    host = make_published_host(targets=1, rules=[rule])
    attempts = [host.arrive_and_send(1), host.arrive_and_send(2)]
    for attempt, retry_after_s in zip(attempts, (5.0, 1.0), strict=True):
        host.answer(
            attempt.call_id,
            attempt.attempt,
            status=503,
            not_run=True,
            report=report(retry_after_s=retry_after_s),
        )
    known = len(host.effects)
    run_calls(host, calls=60)
    assert reached(host, since=known) == []


def test_pause_is_no_sign_of_illness(make_published_host):
    host = make_published_host(targets=2)
    for _ in range(10):
        pause(host, 0.2)
        host.advance(500_000)
    assert host.service().ejected == {}
    assert host.service().targets["i-0"].health.consecutive_failures == 0


def test_calls_are_refused_at_once_while_all_targets_want_a_pause(
    make_published_host,
):
    rule = published_host.rule(repeatable=False, timeout_ms=10_000)
    host = make_published_host(targets=2, rules=[rule])
    for call_id, retry_after_s in ((1, 3.0), (2, 2.0)):
        attempt = host.arrive_and_send(call_id)
        host.answer(
            call_id,
            attempt.attempt,
            status=503,
            not_run=True,
            report=report(retry_after_s=retry_after_s),
        )
    known = len(host.effects)
    stated_ms = set()
    for call_id in range(10, 40):
        host.call_arrives(call_id)
        answer = host.gate_answer(call_id)
        assert answer.status == 503
        assert answer.outcome is effects.Outcome.NOT_RUN
        assert 1_900 <= answer.retry_after_ms <= 6_000
        stated_ms.add(answer.retry_after_ms)
    assert len(stated_ms) > 10
    assert reached(host, since=known) == []
    assert reached(host, "10.0.0.1:80", since=known) == []


def test_refusal_tells_of_the_targets_that_want_a_pause(make_published_host):
    host = make_published_host(targets=2)
    full = published_host.load(in_flight=4)
    declined = report(healthy=False, retry_after_s=4.0)
    host.call_arrives(1)
    published_host.answer_probes(
        host, {ADDRESS: declined, "10.0.0.1:80": full}, 600_000
    )
    answer = host.gate_answer(1)
    assert answer.error == "no_room"
    assert "1 of 2 targets take none of this gate host" in answer.detail


def test_waiting_calls_are_refused_once_all_targets_want_a_pause(
    make_published_host,
):
    host = make_published_host(targets=1)
    host.call_arrives(1)
    host.answer_probes({ADDRESS: published_host.load(in_flight=4)})
    assert 1 in host.service().waiting_calls
    published_host.answer_probes(
        host, {ADDRESS: report(healthy=False, retry_after_s=4.0)}, 70_000
    )
    assert host.sent == []
    assert host.gate_answer(1).status == 503
    assert host.gate_answer(1).retry_after_ms >= 3_900


@pytest.mark.parametrize(
    ("name", "texts", "leaving", "retry_after_s", "invalid"),
    [
        ("Server-Leaving", ["1"], True, None, False),
        ("server-leaving", [" 1 "], True, None, False),
        ("Server-Leaving", ["0"], False, None, False),
        ("Server-Leaving", ["0", "1"], True, None, False),
        ("Server-Leaving", ["1", "x"], True, None, True),
        ("Server-Leaving", ["true"], False, None, True),
        ("Server-Leaving", [""], False, None, True),
        ("Retry-After", ["2"], False, 2.0, False),
        ("Retry-After", ["0.25"], False, 0.25, False),
        ("Retry-After", ["0"], False, 0.0, False),
        ("Retry-After", ["1000000000"], False, 1e9, False),
        ("Retry-After", ["1", "3"], False, 3.0, False),
        ("Retry-After", ["-1"], False, None, True),
        ("Retry-After", ["nan"], False, None, True),
        ("Retry-After", ["9" * 30], False, None, True),
        ("Retry-After", ["Fri, 04 Dec 2026 10:00:00 GMT"], False, None, True),
        ("Retry-After", ["x", "3"], False, 3.0, True),
    ],
)
def test_statements_are_parsed(name, texts, leaving, retry_after_s, invalid):
    fields = multidict.CIMultiDict([(name, text) for text in texts])
    parsed = header_profile.parse_load_report(fields)
    assert parsed.leaving is leaving
    assert parsed.retry_after_s == retry_after_s
    assert bool(parsed.invalid_headers) is invalid


def test_invalid_header_is_logged_once_a_minute(make_published_host):
    host = make_published_host(targets=1)
    for call_id in range(1, 10):
        attempt = host.arrive_and_send(call_id)
        stated = report(invalid_headers=("Retry-After",))
        host.answer(call_id, attempt.attempt, report=stated)
        host.finish(call_id)
        host.advance(1_000_000)
    lines = [
        line
        for line in host.effects_of(effects.WriteLogLine)
        if line.code == "target_header_invalid"
    ]
    assert len(lines) == 1
    assert "Retry-After" in lines[0].detail
