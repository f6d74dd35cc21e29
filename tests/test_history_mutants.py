"""The history checks detect each of a set of faults in the reducer."""

import pytest

from fireflyspindle.bench import history_checks
from fireflyspindle.bench import history_run
from fireflyspindle.core import admission
from fireflyspindle.core import answers
from fireflyspindle.core import calls
from fireflyspindle.core import claims
from fireflyspindle.core import configuration
from fireflyspindle.core import drain
from fireflyspindle.core import effects
from fireflyspindle.core import leaving
from fireflyspindle.core import probe_slots
from fireflyspindle.core import probing

MAX_SEEDS = 12


def wrap(monkeypatch, module, name, make_faulty):
    """Replaces a function of a module with a wrapper built by `make_faulty`."""
    monkeypatch.setattr(module, name, make_faulty(getattr(module, name)))


def all_requests_repeatable(monkeypatch):
    """Treats every request as repeatable."""

    def make_faulty(arrive):
        def faulty(state, event):
            event.repeatable = True
            arrive(state, event)

        return faulty

    wrap(monkeypatch, calls, "on_arrived", make_faulty)


def claim_omitted(monkeypatch):
    """Admits keyed requests without a claim."""
    monkeypatch.setattr(
        claims,
        "admit_call",
        lambda state, call, _: admission.submit(state, call),
    )


def response_mismatched(monkeypatch):
    """Delivers a response to another pending call."""

    def make_faulty(answered):
        def faulty(state, event):
            for number, call in state.calls.items():
                if number != event.call_id and event.attempt in call.attempts:
                    event.call_id = number
                    break
            answered(state, event)

        return faulty

    wrap(monkeypatch, calls, "on_answered", make_faulty)


def not_run_after_execution(monkeypatch):
    """Reports a call as not run although an attempt may have run."""

    def make_faulty(fail_call):
        def faulty(state, call, *reason, **kwargs):
            call.may_have_run = False
            fail_call(state, call, *reason, **kwargs)

        return faulty

    wrap(monkeypatch, answers, "fail_call", make_faulty)


def response_missing(monkeypatch):
    """Fails a call without a response to the caller."""

    def make_faulty(fail_call):
        def faulty(state, call, *reason, **kwargs):
            start = len(state.outbox)
            fail_call(state, call, *reason, **kwargs)
            state.outbox[start:] = [
                effect
                for effect in state.outbox[start:]
                if not isinstance(effect, effects.AnswerCaller)
            ]

        return faulty

    wrap(monkeypatch, answers, "fail_call", make_faulty)


def call_aborted_by_shutdown(monkeypatch):
    """Exits immediately on a graceful shutdown."""
    monkeypatch.setattr(
        drain, "exit_if_drained", lambda state: state.emit(effects.Exit())
    )


def record_reverted(monkeypatch):
    """Reverts a key to its first record at every fifth offset."""
    first = {}

    def make_faulty(fold):
        def faulty(config, offset, body):
            result = fold(config, offset, body)
            for key, entry in config.entries.items():
                first_entry = first.setdefault((id(config), key), entry)
                if offset % 5 == 0:
                    config.entries[key] = first_entry
            return result

        return faulty

    wrap(monkeypatch, configuration, "fold", make_faulty)


def record_skipped(monkeypatch):
    """Skips a record at every fourth offset."""

    def make_faulty(fold):
        def faulty(config, offset, body):
            if offset % 4 == 3 and offset == config.next_offset:
                config.next_offset += 1
                return None
            return fold(config, offset, body)

        return faulty

    wrap(monkeypatch, configuration, "fold", make_faulty)


def departure_ignored(monkeypatch):
    """Ignores announcements that a target is leaving."""
    monkeypatch.setattr(leaving, "mark_leaving", lambda *_notice, **_more: None)


def budget_ignored(monkeypatch):
    """Probes without owning a probe slot."""
    monkeypatch.setattr(probe_slots, "usable_slot", lambda _state: 0)
    monkeypatch.setattr(probing, "slot_share", lambda _budget, _slot: 100)


def records_delayed(monkeypatch):
    """Stops applying records after the first eight offsets."""

    def make_faulty(fold):
        def faulty(config, offset, body):
            return fold(config, offset, body) if offset < 8 else None

        return faulty

    wrap(monkeypatch, configuration, "fold", make_faulty)


@pytest.mark.parametrize(
    ("mutant", "invariant"),
    [
        (all_requests_repeatable, "at_most_once"),
        (claim_omitted, "at_most_once"),
        (response_mismatched, "own_answer"),
        (not_run_after_execution, "not_run_is_true"),
        (response_missing, "every_call_is_told"),
        (call_aborted_by_shutdown, "planned_stop"),
        (budget_ignored, "measuring_budget"),
        (departure_ignored, "leaving"),
        (record_reverted, "never_reverts"),
        (record_skipped, "only_accepted_in_force"),
        (records_delayed, "in_force_in_time"),
    ],
)
def test_fault_in_reducer_is_detected(monkeypatch, mutant, invariant):
    mutant(monkeypatch)
    expected = history_checks.Invariant(invariant)
    for seed in range(MAX_SEEDS):
        violations = history_run.run_seed(seed).violations
        if any(violation.invariant is expected for violation in violations):
            return
    pytest.fail(f"{mutant.__name__} was not detected in {MAX_SEEDS} seeds")
