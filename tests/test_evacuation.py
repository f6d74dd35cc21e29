"""Evacuations of failure domains: nothing reaches a target there."""

import pytest

from fireflyspindle.core import attempts
from fireflyspindle.core import effects
from fireflyspindle.core import ejection
from fireflyspindle.core import events
from fireflyspindle.core import reachability
from fireflyspindle.core import reducer
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import store_state
from fireflyspindle.core import targets
from fireflyspindle.core.evacuation import domains
import published_driver as published_host

EVACUATED = published_host.OTHER_DOMAIN
KEPT = published_host.DOMAIN
LIMIT_MS = 5_000


@pytest.fixture
def make_divided_host(make_published_host):
    """Returns a factory of hosts with targets in two failure domains."""

    def make(evacuated=3, kept=3, **fields):
        host = make_published_host(
            targets=0, **{"evacuation_limit_ms": LIMIT_MS, **fields}
        )
        host.register(
            *(
                published_host.entry(
                    number,
                    failure_domain=EVACUATED if number < evacuated else KEPT,
                )
                for number in range(evacuated + kept)
            )
        )
        return host

    return make


def reached(host, since=0):
    """Returns how often a target in the evacuated domain was reached."""
    inside = {
        target.spec.address
        for target in host.service().targets.values()
        if target.spec.failure_domain == EVACUATED
    }
    return sum(
        isinstance(effect, effects.SendToTarget | effects.ProbeTarget)
        and effect.target in inside
        for effect in host.effects[since:]
    )


def run_calls(host, first_id=1_000, calls=60, report=None):
    """Runs calls that are answered at once."""
    for call_id in range(first_id, first_id + calls):
        attempt = host.arrive_and_send(call_id)
        if attempt is not None:
            answer = report or published_host.load()
            host.answer(call_id, attempt.attempt, report=answer)
            host.finish(call_id)
        host.advance(40_000)


def lines(host, code):
    """Returns the details of the log lines with a code."""
    return [
        line.detail
        for line in host.effects_of(effects.WriteLogLine)
        if line.code == code
    ]


# Each of these keeps a target in a path of its own to a request or probe.
def _nothing(host, target):
    pass


def _trial(host, target):
    target.ejected = True
    target.health.ejected_until_us = host.now_us
    host.service().ejected[target.spec.key] = target


def _stated_limit(host, target):
    target.rate_limit = targets.RateLimit(100.0, host.now_us, 1.0, host.now_us)
    host.service().limited_targets.append(target)


def _pause(host, target):
    target.paused_until_us = host.now_us + 10_000


def _reported_idle(host, target):
    target.reported_load.reported_us = host.now_us


def _silence(host, target):
    host.service().reachability.failed_targets.add(target.spec.key)
    host.state.reachability.failed_targets.add(target.spec.key)
    reachability.on_check_due(host.state)


STATES = [_nothing, _trial, _stated_limit, _pause, _reported_idle, _silence]


@pytest.mark.parametrize("prepare", STATES)
@pytest.mark.parametrize("evacuated", [1, 3, 30])
def test_target_in_any_state_is_not_reached(
    make_divided_host, prepare, evacuated
):
    host = make_divided_host(evacuated=evacuated)
    run_calls(host)
    for target in host.service().targets.values():
        if target.spec.failure_domain == EVACUATED:
            prepare(host, target)
    host.evacuate(EVACUATED)
    since = len(host.effects)
    run_calls(host, first_id=2_000, calls=150)
    assert not reached(host, since)
    assert len([e for e in host.sent if e.call_id >= 2_000]) == 150


# Targets that enter, restart or move during an evacuation are not known when
# it starts.
def test_target_that_registers_later_is_not_reached(make_divided_host):
    host = make_divided_host(evacuated=1)
    host.evacuate(EVACUATED)
    since = len(host.effects)
    host.register(
        published_host.entry(0, failure_domain=EVACUATED, started_ms=9_000),
        published_host.entry(50, failure_domain=EVACUATED),
    )
    run_calls(host)
    assert not reached(host, since)


def test_call_is_placed_elsewhere_when_a_probe_round_chose_a_target(
    make_divided_host,
):
    host = make_divided_host(evacuated=3, kept=1)
    host.call_arrives(1)
    assert host.state.probes
    host.evacuate(EVACUATED)
    since = len(host.effects)
    host.answer_probes()
    host.advance(50_000)
    host.answer_probes()
    assert not reached(host, since)
    assert [e.call_id for e in host.sent] == [1]


def test_waiting_call_is_not_sent_to_a_slot_that_gets_free(make_divided_host):
    host = make_divided_host(evacuated=3, kept=1)
    full = {
        f"10.0.0.{n}:80": published_host.load(in_flight=4) for n in range(4)
    }
    host.call_arrives(1)
    published_host.answer_probes(host, full, 60_000)
    assert host.service().waiting_calls
    host.evacuate(EVACUATED)
    since = len(host.effects)
    free_inside = {**full, **{f"10.0.0.{n}:80": None for n in range(3)}}
    published_host.answer_probes(host, free_inside, 60_000)
    assert not reached(host, since)
    assert host.service().waiting_calls
    published_host.answer_probes(host, {}, 60_000)
    assert [e.target for e in host.sent] == ["10.0.0.3:80"]
    assert not reached(host, since)


@pytest.mark.parametrize("sent", [False, True])
def test_retry_goes_elsewhere(make_divided_host, sent):
    host = make_divided_host(evacuated=3, kept=1)
    run_calls(host)
    attempt = host.arrive_and_send(1)
    host.evacuate(EVACUATED)
    since = len(host.effects)
    host.fail(1, attempt.attempt, events.FailureReason.DISCONNECTED, sent=sent)
    host.answer_probes()
    host.advance(30_000)
    assert not reached(host, since)


def test_hedge_goes_elsewhere_or_is_not_sent(make_divided_host):
    host = make_divided_host(evacuated=4, kept=1)
    run_calls(host)
    for call_id in range(1, 20):
        host.arrive_and_send(call_id)
    host.evacuate(EVACUATED)
    since = len(host.effects)
    for _ in range(60):
        host.advance(10_000)
        host.answer_probes()
    assert not reached(host, since)


# The check of a crash goes to the very target whose connection was lost.
def test_lost_connection_is_not_checked_by_a_probe(make_divided_host):
    host = make_divided_host(evacuated=1, kept=0)
    attempt = host.arrive_and_send(1, fingerprint="f" * 32)
    host.evacuate(EVACUATED)
    since = len(host.effects)
    host.fail(1, attempt.attempt, events.FailureReason.DISCONNECTED, sent=True)
    host.advance(500_000)
    assert not reached(host, since)


# A lost failure domain is evacuated because its targets fail: that is no sign
# of a broken path, after which all calls would be relayed.
def test_failures_in_the_domain_are_no_sign_of_a_broken_path(
    make_divided_host,
):
    host = make_divided_host(evacuated=5, kept=1)
    for call_id in range(1, 30):
        host.call_arrives(call_id)
        host.answer_probes()
    host.evacuate(EVACUATED)
    host.advance(400_000)
    for call in list(host.state.calls.values()):
        for number, attempt in list(call.attempts.items()):
            if attempt.target.spec.failure_domain == EVACUATED:
                host.fail(
                    call.call_id,
                    number,
                    events.FailureReason.DISCONNECTED,
                    sent=True,
                )
    assert not host.state.reachability.lost
    assert not host.service().reachability.lost


# The last check before the send holds whatever chose the target.
@pytest.mark.parametrize("hedge", [False, True])
def test_send_to_an_evacuated_target_is_refused(make_divided_host, hedge):
    host = make_divided_host(evacuated=1, kept=1)
    host.call_arrives(1)
    call, service = host.state.calls[1], host.service()
    if hedge:
        attempts.begin(host.state, call, service.targets["i-1"])
    host.evacuate(EVACUATED)
    host.state.outbox.clear()
    attempts.begin(host.state, call, service.targets["i-0"])
    host.feed(events.TimerFired)
    assert not [e for e in host.sent if e.target == "10.0.0.0:80"]
    answer = host.gate_answer(1)
    assert (answer is None) == hedge
    if answer is not None:
        assert (answer.status, answer.error) == (503, "no_target")


# Such calls would wait for a slot until their deadline.
@pytest.mark.parametrize("phase", ["arrives", "probes", "waits", "lost"])
def test_call_without_a_place_is_refused_at_once(make_divided_host, phase):
    host = make_divided_host(evacuated=6, kept=0)
    full = published_host.slow_loads(in_flight=4)
    if phase == "lost":
        host.lose_targets()
        host.feed(
            events.HelpersListed, (events.HelperAddress("10.9.0.1:7620", ""),)
        )
    if phase in ("probes", "waits"):
        host.call_arrives(1, deadline_ms=5_000)
    if phase == "waits":
        published_host.answer_probes(host, full, 60_000)
        assert host.service().waiting_calls
    host.evacuate(EVACUATED)
    if phase in ("arrives", "lost"):
        host.call_arrives(1, deadline_ms=5_000)
    answer = host.gate_answer(1)
    assert (answer.status, answer.error) == (503, "no_target")
    assert answer.outcome is effects.Outcome.NOT_RUN
    assert answer.retry_after_ms
    assert 1 not in host.state.calls
    assert not host.service().waiting_calls


def test_requests_already_sent_run_to_completion(make_divided_host):
    host = make_divided_host(evacuated=1, kept=0)
    attempt = host.arrive_and_send(1)
    host.evacuate(EVACUATED)
    assert not lines(host, "evacuation_drained")
    host.answer(1, attempt.attempt)
    host.finish(1)
    assert host.outcome(1) is effects.Outcome.COMPLETE
    assert len(lines(host, "evacuation_drained")) == 1


def test_repeatable_request_that_fails_there_is_not_sent_again(
    make_divided_host,
):
    host = make_divided_host(evacuated=6, kept=0)
    attempt = host.arrive_and_send(1)
    host.evacuate(EVACUATED)
    host.fail(1, attempt.attempt, events.FailureReason.DISCONNECTED, sent=True)
    assert len(host.sent) == 1
    assert host.gate_answer(1).status == 502


# The relayed call is checked by the helper, whose own read of the record may
# be the newer one.
def test_helper_refuses_a_relayed_call(make_divided_host):
    host = make_divided_host(evacuated=6, kept=0)
    host.evacuate(EVACUATED)
    since = len(host.effects)
    host.call_arrives(1, relayed=True)
    assert host.gate_answer(1).error == "no_target"
    assert not reached(host, since)


def test_targets_get_requests_again_after_the_end(make_divided_host):
    host = make_divided_host(evacuated=6, kept=0)
    host.evacuate(EVACUATED)
    host.evacuate(ended=[EVACUATED])
    run_calls(host)
    assert reached(host)
    assert lines(host, "evacuation_ended")


def test_last_known_state_holds_in_an_outage_of_the_store(make_divided_host):
    host = make_divided_host()
    host.evacuate(EVACUATED)
    since = len(host.effects)
    for _ in range(20):
        for source in store_state.Source:
            host.feed(events.StoreReadFailed, source.value, "timeout", None)
        run_calls(host, first_id=host.now_us, calls=20)
    assert not reached(host, since)


# A host that starts, or whose history was dropped, reads a snapshot: it lacks
# the records that were removed.
def test_snapshot_replaces_all_evacuations(make_divided_host):
    host = make_divided_host()
    host.evacuate(EVACUATED, "west-c", is_snapshot=True)
    assert set(host.state.evacuations.by_domain) == {EVACUATED, "west-c"}
    host.evacuate("west-c", is_snapshot=True)
    assert set(host.state.evacuations.by_domain) == {"west-c"}
    host.configure(published_host.document(version=5), is_snapshot=False)
    assert set(host.state.evacuations.by_domain) == {"west-c"}


# An own read and the reader's relayed ones arrive in any order.
def test_older_read_changes_nothing(make_divided_host):
    host = make_divided_host()
    host.evacuate(EVACUATED)
    host.next_offset -= 2
    host.evacuate(ended=[EVACUATED])
    assert EVACUATED in host.state.evacuations.by_domain
    host.next_offset += 5
    host.evacuate(ended=[EVACUATED])
    host.next_offset -= 2
    host.evacuate(EVACUATED, is_snapshot=True)
    assert not host.state.evacuations.by_domain


def test_nothing_changes_where_evacuations_are_not_supported(
    make_divided_host,
):
    host = make_divided_host(evacuated=6, kept=0, evacuation_limit_ms=None)
    host.evacuate(EVACUATED)
    run_calls(host)
    assert reached(host)
    assert not lines(host, "evacuation_started")


# Share of the targets that may be ejected is taken of those that take requests.
def test_present_targets_are_not_all_ejected(make_divided_host):
    host = make_divided_host(evacuated=6, kept=2)
    host.evacuate(EVACUATED)
    for target in list(host.service().targets.values()):
        if target.spec.failure_domain == KEPT:
            for _ in range(ejection.MIN_CONSECUTIVE_FAILURES):
                ejection._sample_outcome(
                    host.state, host.service(), target, failed=True
                )
    assert len(host.service().ejected) <= 1


@pytest.mark.parametrize("seed", range(20))
def test_no_path_reaches_the_domain_in_a_random_run(make_divided_host, seed):
    host = make_divided_host(evacuated=4, kept=4, seed=seed)
    chosen = host.state.random.__class__(seed)
    evacuated = False
    since = 0
    for step in range(600):
        call_id = step + 1
        host.call_arrives(
            call_id, relayed=chosen.random() < 0.2, deadline_ms=800
        )
        loads = {
            target.spec.address: chosen.choice(
                [None, published_host.load(in_flight=chosen.randrange(6))]
            )
            for target in host.service().targets.values()
        }
        host.answer_probes(loads)
        _end_some_attempts(host, chosen)
        host.advance(chosen.randrange(20_000))
        if step % 100 == 50:
            evacuated = not evacuated
            if evacuated:
                host.evacuate(EVACUATED)
            else:
                host.evacuate(ended=[EVACUATED])
            since = len(host.effects)
        if evacuated:
            assert not reached(host, since)
    in_flight = sum(
        attempt.target.spec.failure_domain == EVACUATED
        for call in host.state.calls.values()
        for attempt in call.attempts.values()
    )
    assert evacuated is bool(host.state.evacuations.by_domain)
    if evacuated:
        evacuation = host.state.evacuations.by_domain[EVACUATED]
        assert evacuation.in_flight == in_flight


def _end_some_attempts(host, chosen):
    for call in list(host.state.calls.values()):
        for number in list(call.attempts):
            if chosen.random() < 0.3:
                _end_attempt(host, chosen, call, number)


def _end_attempt(host, chosen, call: state_lib.Call, number):
    end = chosen.randrange(4)
    if call.phase is not state_lib.CallPhase.WAITING:
        host.feed(events.AttemptEnded, call.call_id, number)
    elif end == 0:
        reason = chosen.choice(list(events.FailureReason))
        host.fail(call.call_id, number, reason, sent=chosen.random() < 0.5)
    elif end == 1:
        host.answer(call.call_id, number, status=503, not_run=True)
    else:
        host.answer(call.call_id, number, report=published_host.load())
        host.finish(call.call_id)


def test_evacuated_targets_are_counted(make_divided_host):
    host = make_divided_host(evacuated=4, kept=2)
    host.evacuate(EVACUATED)
    assert domains.evacuated_targets(host.state) == 4


# A host that restarts in an evacuation reads its record before it accepts
# callers, in the same read as the configuration.
def test_host_that_starts_obeys_from_its_first_request(make_published_host):
    host = make_published_host(targets=0, evacuation_limit_ms=LIMIT_MS)
    host.state = state_lib.new(host.state.settings, 1)
    host.effects.clear()
    host.next_offset = 0
    reducer.start(host.state, host.now_us)
    host.register(
        published_host.entry(0, failure_domain=EVACUATED),
        published_host.entry(1),
        is_snapshot=True,
    )
    assert not host.state.accepting_callers
    host.configure(
        published_host.document(),
        evacuated=frozenset({EVACUATED}),
        is_snapshot=True,
    )
    assert host.state.accepting_callers
    run_calls(host)
    assert not reached(host)
    assert host.sent
