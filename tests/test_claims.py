"""At-most-once execution with several gate hosts, one log and faults."""

import pytest

import claim_fleet
from fireflyspindle.core import claim_state
from fireflyspindle.core import effects
from fireflyspindle.core import events

COMPLETE = effects.Outcome.COMPLETE
NOT_RUN = effects.Outcome.NOT_RUN
UNKNOWN = effects.Outcome.UNKNOWN
IN_DOUBT = events.AppendOutcome.UNKNOWN
REFUSED = events.AppendOutcome.REFUSED
MINUTE_US = 60_000_000


@pytest.fixture
def fleet():
    fleet = claim_fleet.Fleet()
    fleet.settle_all(rounds=2)
    return fleet


def is_sent(gate, call):
    return call.call_id in gate.running


def test_call_is_sent_once_its_claim_is_read_back(fleet):
    gate = fleet.gates[0]
    call = fleet.call(gate, fleet.key("a"))
    assert not is_sent(gate, call)
    gate.settle(gate.appends[0], events.AppendOutcome.DONE)
    assert not is_sent(gate, call)
    gate.read()
    assert is_sent(gate, call)


def test_simultaneous_copies_at_two_gates_are_sent_once(fleet):
    key = fleet.key("a")
    first = fleet.call(fleet.gates[0], key, copies=True)
    second = fleet.call(fleet.gates[1], key, copies=True)
    fleet.settle_all()
    assert fleet.sends[key] == 1
    fleet.answer(fleet.gates[0], first, status=201)
    fleet.settle_all()
    assert (second.outcome, second.status) == (COMPLETE, 409)


@pytest.mark.parametrize(
    ("answer", "expected"),
    [({"status": 201}, COMPLETE), ({"status": 500}, COMPLETE)],
)
def test_later_copy_gets_the_recorded_outcome(fleet, answer, expected):
    key = fleet.key("a")
    first = fleet.call(fleet.gates[0], key)
    fleet.settle_all()
    fleet.answer(fleet.gates[0], first, **answer)
    fleet.settle_all()
    for gate in fleet.gates:
        assert fleet.call(gate, key, copies=True).outcome is expected


def test_unsent_claim_is_released_and_the_key_can_run_elsewhere(fleet):
    first_gate, second_gate = fleet.gates[:2]
    key = fleet.key("a")
    first = fleet.call(first_gate, key, copies=False, deadline_ms=50)
    first_gate.settle(first_gate.appends[0], IN_DOUBT)
    delayed_append = fleet.in_doubt_appends[0]
    fleet.advance(60_000)
    assert first.outcome is NOT_RUN
    fleet.commit(delayed_append)
    second = fleet.call(second_gate, key)
    fleet.settle_all()
    assert is_sent(second_gate, second)
    assert not is_sent(first_gate, first)


def test_duplicate_commit_does_not_own_a_released_key(fleet):
    first_gate, second_gate = fleet.gates[:2]
    key = fleet.key("a")
    fleet.call(first_gate, key, deadline_ms=50)
    append = first_gate.appends[0]
    fleet.commit(append)
    fleet.advance(60_000)
    fleet.settle_all()
    fleet.commit_duplicate(append)
    second = fleet.call(second_gate, key)
    fleet.settle_all()
    assert is_sent(second_gate, second)


def test_append_in_doubt_is_retried_after_a_read_without_it(fleet):
    gate = fleet.gates[0]
    call = fleet.call(gate, fleet.key("a"))
    gate.settle(gate.appends[0], IN_DOUBT)
    assert not gate.appends
    fleet.settle_all()
    assert is_sent(gate, call)
    assert len(fleet.bodies) == 1


def test_append_in_doubt_that_was_committed_is_not_retried(fleet):
    gate = fleet.gates[0]
    call = fleet.call(gate, fleet.key("a"))
    fleet.commit(gate.appends[0])
    gate.settle(gate.appends[0], IN_DOUBT)
    fleet.settle_all()
    assert is_sent(gate, call)
    assert len(fleet.bodies) == 1


@pytest.mark.parametrize(
    ("copies", "expected"), [(None, UNKNOWN), (False, NOT_RUN), (True, UNKNOWN)]
)
def test_log_down_refuses_at_the_deadline(fleet, copies, expected):
    gate = fleet.gates[0]
    call = fleet.call(gate, fleet.key("a"), copies=copies, deadline_ms=500)
    for _ in range(20):
        for append in list(gate.appends):
            gate.settle(append, REFUSED)
        assert call.outcome is None
        fleet.advance(24_000)
    fleet.advance(24_000)
    assert call.outcome is expected
    fleet.settle_all()
    assert not fleet.bodies


@pytest.mark.parametrize("read_before_pause", [False, True])
def test_owner_paused_for_a_minute_does_not_send(fleet, read_before_pause):
    paused, other = fleet.gates[:2]
    key = fleet.key("a")
    fleet.advance(60_000)
    first = fleet.call(paused, key, copies=True)
    fleet.commit(paused.appends[0])
    fleet.advance(MINUTE_US, paused=[paused])
    second = fleet.call(other, key, copies=True)
    other.read()
    fleet.advance(2_000_000, paused=[paused])
    assert second.outcome is UNKNOWN
    paused.now_us = fleet.now_us
    if read_before_pause:
        paused.read()
        assert first.outcome is NOT_RUN
    fleet.settle_all()
    assert first.outcome is not None
    assert not fleet.sends[key]
    third = fleet.call(other, key, copies=True)
    fleet.settle_all()
    assert is_sent(other, third)


def test_replaced_owner_leaves_the_key_unknown(fleet):
    key = fleet.key("a")
    fleet.call(fleet.gates[0], key)
    fleet.settle_all()
    fleet.gates[0] = fleet.new_gate()
    fleet.settle_all()
    copies = [fleet.call(gate, key, copies=True) for gate in fleet.gates]
    fleet.advance(2_000_000)
    assert [call.outcome for call in copies] == [UNKNOWN] * 3
    assert fleet.sends[key] == 1


def test_planned_stop_waits_for_the_outcome_to_be_written(fleet):
    gate = fleet.gates[0]
    key = fleet.key("a")
    first = fleet.call(gate, key)
    fleet.settle_all()
    gate.feed(events.StopRequested)
    fleet.answer(gate, first)
    assert not gate.effects_of(effects.Exit)
    fleet.settle_all()
    assert gate.effects_of(effects.Exit)
    assert fleet.call(fleet.gates[1], key, copies=True).outcome is COMPLETE


@pytest.mark.parametrize(
    ("age_ms", "copies", "status", "expected"),
    [
        (0, None, 0, None),
        (299_000, None, 0, None),
        (301_000, None, 410, UNKNOWN),
        (301_000, False, 410, NOT_RUN),
        (301_000, True, 410, UNKNOWN),
        (400_000, None, 410, UNKNOWN),
        (400_000, False, 410, NOT_RUN),
        (-59_000, None, 0, None),
        (-61_000, None, 400, NOT_RUN),
        (-61_000, True, 400, NOT_RUN),
    ],
)
def test_key_is_accepted_within_its_validity(
    fleet, age_ms, copies, status, expected
):
    fleet.advance(MINUTE_US)
    call = fleet.call(fleet.gates[0], fleet.key("a", age_ms), copies=copies)
    assert (call.status, call.outcome) == (status, expected)


def test_key_reused_with_another_body_is_refused(fleet):
    key = fleet.key("a")
    fleet.call(fleet.gates[0], key)
    at_owner = fleet.call(fleet.gates[0], key, digest="e")
    fleet.settle_all()
    elsewhere = fleet.call(fleet.gates[1], key, digest="e")
    for call in (at_owner, elsewhere):
        assert (call.status, call.outcome) == (422, NOT_RUN)


def test_copy_at_the_same_gate_gets_the_outcome_of_the_first(fleet):
    gate = fleet.gates[0]
    key = fleet.key("a")
    first = fleet.call(gate, key, copies=True)
    second = fleet.call(gate, key, copies=True)
    fleet.settle_all()
    fleet.answer(gate, first)
    fleet.settle_all()
    assert second.outcome is COMPLETE


def test_key_of_an_interrupted_request_stays_unknown(fleet):
    gate, other = fleet.gates[:2]
    key = fleet.key("a")
    first = fleet.call(gate, key)
    fleet.settle_all()
    attempt = gate.running[first.call_id].attempt
    reason = events.FailureReason.DISCONNECTED
    gate.fail(first.call_id, attempt, reason, sent=True)
    fleet.settle_all()
    second = fleet.call(other, key, copies=True)
    assert (first.outcome, second.outcome) == (UNKNOWN, UNKNOWN)


def test_claim_in_doubt_is_released_after_a_later_append_was_refused(fleet):
    gate, other = fleet.gates[:2]
    key = fleet.key("a")
    fleet.call(gate, key, deadline_ms=350)
    gate.settle(gate.appends[0], IN_DOUBT)
    for _ in range(4):
        fleet.advance(50_000)
        gate.read()
    gate.settle(gate.appends[0], REFUSED)
    fleet.advance(400_000)
    fleet.commit(fleet.in_doubt_appends[0])
    second = fleet.call(other, key)
    fleet.settle_all()
    assert is_sent(other, second)


def test_key_declined_by_the_target_runs_on_retry(fleet):
    gate, other = fleet.gates[:2]
    key = fleet.key("a")
    first = fleet.call(gate, key)
    fleet.settle_all()
    for _ in range(5):
        if is_sent(gate, first):
            fleet.answer(gate, first, status=503, not_run=True)
    assert first.outcome is NOT_RUN
    fleet.settle_all()
    second = fleet.call(other, key)
    fleet.settle_all()
    assert is_sent(other, second)


def test_new_gate_after_expiry_does_not_send_an_old_key(fleet):
    key = fleet.key("a")
    first = fleet.call(fleet.gates[0], key)
    fleet.settle_all()
    fleet.answer(fleet.gates[0], first)
    fleet.settle_all()
    fleet.advance(MINUTE_US)
    fleet.earliest = len(fleet.bodies)
    fleet.call(fleet.gates[0], fleet.key("b"))
    fleet.settle_all()
    fresh = fleet.new_gate()
    fleet.gates.append(fresh)
    fleet.settle_all()
    call = fleet.call(fresh, key, copies=True)
    assert (call.status, call.outcome) == (503, UNKNOWN)


def test_new_gate_skips_expired_records(fleet):
    old_key, new_key = fleet.key("old"), fleet.key("new")
    fleet.call(fleet.gates[0], old_key)
    fleet.settle_all()
    fleet.advance(2 * MINUTE_US)
    filler = fleet.bodies[0].replace('"number":1', '"number":9')
    fleet.bodies[1:] = [filler] * 500
    fleet.committed_at_us[1:] = [fleet.now_us] * 500
    for number in range(20):
        new_key = fleet.key(f"new{number}")
        fleet.call(fleet.gates[1], new_key)
        fleet.gates[1].settle(
            fleet.gates[1].appends[0], events.AppendOutcome.DONE
        )
        fleet.advance(1_000_000)
    claims = claim_state.ClaimSettings(
        fleet_appends_per_s=0.1, key_validity_ms=130_000
    )
    fresh = fleet.new_gate(claims=claims)
    fleet.gates.append(fresh)
    fresh.read()
    fleet.advance(60_000)
    assert fresh.reads[0].from_offset == 521 - 100
    fleet.settle_all()
    call = fleet.call(fresh, old_key, copies=True)
    assert (call.status, call.outcome) == (410, UNKNOWN)
    call = fleet.call(fresh, new_key, copies=True)
    fleet.settle_all()
    assert not is_sent(fresh, call)


def test_late_claim_of_an_evicted_key_is_not_sent(fleet):
    gate, other = fleet.gates[:2]
    key = fleet.key("a")
    first = fleet.call(gate, key, copies=True, deadline_ms=3_600_000)
    delayed_append = gate.appends[0]
    second = fleet.call(other, key, copies=True)
    other.settle(other.appends[0], events.AppendOutcome.DONE)
    other.read()
    assert is_sent(other, second)
    for _ in range(7):
        fleet.advance(MINUTE_US)
        fleet.call(gate, fleet.key("b"))
    fleet.commit(delayed_append)
    fleet.settle_all()
    assert not is_sent(gate, first)


def test_unreadable_newer_record_invalidates_earlier_keys(fleet):
    gate = fleet.gates[0]
    key = fleet.key("a")
    fleet.call(gate, fleet.key("b"))
    fleet.bodies.append('{"version":2}')
    fleet.committed_at_us.append(fleet.now_us)
    fleet.settle_all()
    call = fleet.call(gate, key)
    assert (call.status, call.outcome) == (503, UNKNOWN)


def test_batches_stay_within_the_hosts_append_share(fleet):
    gate = fleet.gates[0]
    large_targets = [
        {"address": address, "slots": 500, "connection_limit": 100_000}
        for address in gate.addresses
    ]
    gate.publish("service", "s", {"targets": large_targets})
    gate.advance(1_000_000)
    gate.effects.clear()
    for number in range(1000):
        fleet.call(gate, fleet.key(f"k{number}"), deadline_ms=60_000)
        while gate.appends:
            gate.settle(gate.appends[0], events.AppendOutcome.DONE)
        if gate.reads:
            gate.read()
        fleet.advance(1_000)
    settings = gate.state.claims.settings
    share_per_s = settings.fleet_appends_per_s / settings.max_gate_hosts
    appends = gate.effects_of(effects.AppendRecord)
    assert len(appends) <= share_per_s + 5
    assert sum(fleet.sends.values()) > 900
