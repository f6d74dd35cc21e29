"""One fault at a time in the reducer; the history check finds each."""

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


def wrap(monkeypatch, module, name, make):
    """Replaces a function of a module by what `make` builds around it."""
    monkeypatch.setattr(module, name, make(getattr(module, name)))


def retry_too_many(monkeypatch):
    """Takes every request for repeatable."""

    def make(arrive):
        def faulty(state, event):
            event.repeatable = True
            arrive(state, event)

        return faulty

    wrap(monkeypatch, calls, "on_arrived", make)


def claim_skipped(monkeypatch):
    """Sends keyed requests without a claim."""
    monkeypatch.setattr(
        claims, "offer", lambda state, call, _: admission.offer(state, call)
    )


def answer_crossed(monkeypatch):
    """Hands an answer to another call that waits."""

    def make(answered):
        def faulty(state, event):
            for number, call in state.calls.items():
                if number != event.call_id and event.attempt in call.attempts:
                    event.call_id = number
                    break
            answered(state, event)

        return faulty

    wrap(monkeypatch, calls, "on_answered", make)


def not_run_after_send(monkeypatch):
    """Forgets that an attempt may have run."""

    def make(give_up):
        def faulty(state, call, *why, **more):
            call.maybe_ran = False
            give_up(state, call, *why, **more)

        return faulty

    wrap(monkeypatch, answers, "give_up", make)


def answer_withheld(monkeypatch):
    """Gives up on a call without a word to the caller."""

    def make(give_up):
        def faulty(state, call, *why, **more):
            kept = len(state.outbox)
            give_up(state, call, *why, **more)
            state.outbox[kept:] = [
                effect
                for effect in state.outbox[kept:]
                if not isinstance(effect, effects.AnswerCaller)
            ]

        return faulty

    wrap(monkeypatch, answers, "give_up", make)


def call_cut_by_stop(monkeypatch):
    """Exits at once when a planned stop is asked for."""
    monkeypatch.setattr(
        drain, "exit_if_drained", lambda state: state.emit(effects.Exit())
    )


def record_reverted(monkeypatch):
    """Puts the first record of a key back in force now and then."""
    first = {}

    def make(fold):
        def faulty(config, offset, body):
            folded = fold(config, offset, body)
            for key, entry in config.entries.items():
                old = first.setdefault((id(config), key), entry)
                if offset % 5 == 0:
                    config.entries[key] = old
            return folded

        return faulty

    wrap(monkeypatch, configuration, "fold", make)


def record_missed(monkeypatch):
    """Passes over a record of the log now and then."""

    def make(fold):
        def faulty(config, offset, body):
            if offset % 4 == 3 and offset == config.next_offset:
                config.next_offset += 1
                return None
            return fold(config, offset, body)

        return faulty

    wrap(monkeypatch, configuration, "fold", make)


def leaving_target_used(monkeypatch):
    """Takes no sign that a target is leaving."""
    monkeypatch.setattr(leaving, "note", lambda *_sign, **_more: None)


def budget_ignored(monkeypatch):
    """Probes without a slot of the budget."""
    monkeypatch.setattr(probe_slots, "owned", lambda _state: 0)
    monkeypatch.setattr(probing, "share", lambda _budget, _slot: 100)


def records_late(monkeypatch):
    """Stops to fold the log after its first records."""

    def make(fold):
        def faulty(config, offset, body):
            return fold(config, offset, body) if offset < 8 else None

        return faulty

    wrap(monkeypatch, configuration, "fold", make)


@pytest.mark.parametrize(
    ("mutant", "promise"),
    [
        (retry_too_many, "at_most_once"),
        (claim_skipped, "at_most_once"),
        (answer_crossed, "own_answer"),
        (not_run_after_send, "not_run_is_true"),
        (answer_withheld, "every_call_is_told"),
        (call_cut_by_stop, "planned_stop"),
        (budget_ignored, "measuring_budget"),
        (leaving_target_used, "leaving"),
        (record_reverted, "never_reverts"),
        (record_missed, "only_accepted_in_force"),
        (records_late, "in_force_in_time"),
    ],
)
def test_fault_in_the_reducer_is_found(monkeypatch, mutant, promise):
    mutant(monkeypatch)
    wanted = history_checks.Promise(promise)
    for seed in range(MAX_SEEDS):
        found = history_run.run_seed(seed).violations
        if any(violation.promise is wanted for violation in found):
            return
    pytest.fail(f"{mutant.__name__} was not found on {MAX_SEEDS} seeds")
