"""Checks of the promises against a history."""

import collections
import enum

import attrs

from fireflyspindle.bench import history as history_lib
from fireflyspindle.core import effects

SECOND_US = 1_000_000
# The time in which a target that shows that it is leaving still gets work.
LEAVING_GRACE_US = 5 * SECOND_US
IN_FORCE_LIMIT_US = 8 * SECOND_US


class Promise(enum.Enum):
    """What must always hold."""

    MEASURING_BUDGET = "measuring_budget"
    OWN_ANSWER = "own_answer"
    NOT_RUN_IS_TRUE = "not_run_is_true"
    AT_MOST_ONCE = "at_most_once"
    LEAVING = "leaving"
    PLANNED_STOP = "planned_stop"
    NEVER_REVERTS = "never_reverts"
    ONLY_ACCEPTED = "only_accepted_in_force"
    IN_FORCE_IN_TIME = "in_force_in_time"
    EVERY_CALL_IS_TOLD = "every_call_is_told"


@attrs.define(frozen=True)
class Violation:
    """A promise that the history breaks.

    Attributes:
        promise: Which one.
        detail: What was seen, for a person.
    """

    promise: Promise
    detail: str


def check(history: history_lib.History) -> list[Violation]:
    """Returns every violation of every promise."""
    return [
        *_measuring_budget(history),
        *_own_answer(history),
        *_not_run_is_true(history),
        *_at_most_once(history),
        *_leaving(history),
        *_told(history),
        *_never_reverts(history),
        *_only_accepted(history),
        *_in_force_in_time(history),
    ]


def _measuring_budget(history: history_lib.History) -> list[Violation]:
    found = []
    windows: dict[str, collections.deque[int]] = {}
    for probe in sorted(history.probes, key=lambda seen: seen.sent_us):
        window = windows.setdefault(probe.service, collections.deque())
        window.append(probe.sent_us)
        while window[0] <= probe.sent_us - SECOND_US:
            window.popleft()
        budget = history.probe_budgets_per_s.get(probe.service, 0.0)
        if len(window) > budget:
            detail = (
                f"{len(window)} probes of {probe.service} in the second up to"
                f" {probe.sent_us}; {budget} agreed"
            )
            found.append(Violation(Promise.MEASURING_BUDGET, detail))
    return found


def _own_answer(history: history_lib.History) -> list[Violation]:
    found = []
    for seen in history.calls.values():
        if seen.told is not effects.Outcome.COMPLETE:
            continue
        if seen.answer_of != seen.call:
            detail = f"call {seen.call} got the answer of {seen.answer_of}"
            found.append(Violation(Promise.OWN_ANSWER, detail))
        if not seen.whole:
            detail = f"call {seen.call} got a part as the whole answer"
            found.append(Violation(Promise.OWN_ANSWER, detail))
    return found


def _not_run_is_true(history: history_lib.History) -> list[Violation]:
    runs_of_call = collections.defaultdict(list)
    runs_of_key = collections.defaultdict(list)
    for run in history.runs:
        runs_of_call[run.call].append(run)
        if run.key:
            runs_of_key[run.key].append(run)
    found = []
    for seen in history.calls.values():
        if seen.told is not effects.Outcome.NOT_RUN:
            continue
        runs = list(runs_of_call[seen.call])
        runs += [
            run
            for run in runs_of_key.get(seen.key, [])
            if run.started_us < seen.told_us and run.call != seen.call
        ]
        if runs:
            detail = (
                f"call {seen.call} (key {seen.key!r}) was told not run at"
                f" {seen.told_us}; {runs[0].target} ran it at"
                f" {runs[0].started_us}"
            )
            found.append(Violation(Promise.NOT_RUN_IS_TRUE, detail))
    return found


def _at_most_once(history: history_lib.History) -> list[Violation]:
    runs: collections.Counter[str] = collections.Counter()
    for run in history.runs:
        if not history.calls[run.call].repeatable:
            runs[run.key or f"call {run.call}"] += 1
    return [
        Violation(Promise.AT_MOST_ONCE, f"{name} ran {count} times")
        for name, count in runs.items()
        if count > 1
    ]


def _leaving(history: history_lib.History) -> list[Violation]:
    found = []
    for send in history.sends:
        signs = [
            seen
            for seen in history.leaving
            if seen.target == send.target and _forbids(seen, send.sent_us)
        ]
        if not signs:
            continue
        detail = (
            f"{send.gate} sent call {send.call} to {send.target} at"
            f" {send.sent_us}; it showed that it leaves at {signs[0].shown_us}"
        )
        found.append(Violation(Promise.LEAVING, detail))
    return found


def _forbids(sign: history_lib.LeavingSeen, at_us: int) -> bool:
    if at_us <= sign.shown_us + LEAVING_GRACE_US:
        return False
    return sign.returned_us is None or at_us < sign.returned_us


def _told(history: history_lib.History) -> list[Violation]:
    found = []
    for seen in history.calls.values():
        if seen.cut_by_stop:
            detail = f"{seen.gate} stopped with call {seen.call} in flight"
            found.append(Violation(Promise.PLANNED_STOP, detail))
        elif seen.told is None and not (seen.gate_crashed or seen.left):
            detail = f"call {seen.call} at {seen.gate} was never answered"
            found.append(Violation(Promise.EVERY_CALL_IS_TOLD, detail))
    return found


def _never_reverts(history: history_lib.History) -> list[Violation]:
    found = []
    newest: dict[tuple[str, str], int] = {}
    for seen in history.revisions:
        place = (seen.gate, seen.key)
        if seen.revision < newest.get(place, 0):
            detail = (
                f"{seen.key} on {seen.gate} went from revision"
                f" {newest[place]} to {seen.revision}"
            )
            found.append(Violation(Promise.NEVER_REVERTS, detail))
        newest[place] = max(newest.get(place, 0), seen.revision)
    return found


def _only_accepted(history: history_lib.History) -> list[Violation]:
    accepted = {(seen.key, seen.revision) for seen in history.accepted}
    return [
        Violation(
            Promise.ONLY_ACCEPTED,
            f"{seen.gate} has revision {seen.revision} of {seen.key} in force,"
            " which the log never accepted",
        )
        for seen in history.revisions
        if (seen.key, seen.revision) not in accepted
    ]


def _in_force_in_time(history: history_lib.History) -> list[Violation]:
    at_us: dict[tuple[str, str], list[history_lib.RevisionSeen]]
    at_us = collections.defaultdict(list)
    for seen in history.revisions:
        at_us[seen.gate, seen.key].append(seen)
    found = []
    for record in history.accepted:
        limit_us = record.accepted_us + IN_FORCE_LIMIT_US
        for span in history.undisturbed:
            if span.from_us > record.accepted_us or span.until_us < limit_us:
                continue
            if any(
                seen.revision >= record.revision and seen.seen_us <= limit_us
                for seen in at_us[span.gate, record.key]
            ):
                continue
            detail = (
                f"{record.key} revision {record.revision} was not in force"
                f" on {span.gate} by {limit_us}"
            )
            found.append(Violation(Promise.IN_FORCE_IN_TIME, detail))
    return found
