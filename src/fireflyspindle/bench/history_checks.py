"""Checks of the invariants on an observed history."""

import collections
import enum

import attrs

from fireflyspindle.bench import history as history_lib
from fireflyspindle.core import effects

SECOND_US = 1_000_000
# After announcing its departure, a target may still receive requests for
# this long.
LEAVING_GRACE_US = 5 * SECOND_US
ACTIVATION_LIMIT_US = 8 * SECOND_US


class Invariant(enum.Enum):
    """An invariant that every history must satisfy."""

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
    """An invariant that the history violates.

    Attributes:
        invariant: The violated invariant.
        detail: Description of what was observed.
    """

    invariant: Invariant
    detail: str


def check(history: history_lib.History) -> list[Violation]:
    """Returns all violations of all invariants."""
    return [
        *_probe_budget(history),
        *_own_response(history),
        *_not_run_is_true(history),
        *_at_most_once(history),
        *_leaving(history),
        *_every_call_has_outcome(history),
        *_never_reverts(history),
        *_only_accepted_active(history),
        *_active_in_time(history),
    ]


def _probe_budget(history: history_lib.History) -> list[Violation]:
    violations = []
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
                f" {probe.sent_us} us; the budget is {budget}"
            )
            violations.append(Violation(Invariant.MEASURING_BUDGET, detail))
    return violations


def _own_response(history: history_lib.History) -> list[Violation]:
    violations = []
    for seen in history.calls.values():
        if seen.outcome is not effects.Outcome.COMPLETE:
            continue
        if seen.response_to != seen.call:
            detail = (
                f"call {seen.call} got the response to call {seen.response_to}"
            )
            violations.append(Violation(Invariant.OWN_ANSWER, detail))
        if not seen.response_complete:
            detail = (
                f"call {seen.call} got a truncated response that was reported"
                " as complete"
            )
            violations.append(Violation(Invariant.OWN_ANSWER, detail))
    return violations


def _not_run_is_true(history: history_lib.History) -> list[Violation]:
    executions_by_call = collections.defaultdict(list)
    executions_by_key = collections.defaultdict(list)
    for execution in history.executions:
        executions_by_call[execution.call].append(execution)
        if execution.key:
            executions_by_key[execution.key].append(execution)
    violations = []
    for seen in history.calls.values():
        if seen.outcome is not effects.Outcome.NOT_RUN:
            continue
        executions = list(executions_by_call[seen.call])
        executions += [
            execution
            for execution in executions_by_key.get(seen.key, [])
            if execution.started_us < seen.completed_us
            and execution.call != seen.call
        ]
        if executions:
            detail = (
                f"call {seen.call} (key {seen.key!r}) was reported as not run"
                f" at {seen.completed_us} us; {executions[0].target} ran it at"
                f" {executions[0].started_us} us"
            )
            violations.append(Violation(Invariant.NOT_RUN_IS_TRUE, detail))
    return violations


def _at_most_once(history: history_lib.History) -> list[Violation]:
    executions: collections.Counter[str] = collections.Counter()
    for execution in history.executions:
        if not history.calls[execution.call].repeatable:
            executions[execution.key or f"call {execution.call}"] += 1
    return [
        Violation(Invariant.AT_MOST_ONCE, f"{name} ran {count} times")
        for name, count in executions.items()
        if count > 1
    ]


def _leaving(history: history_lib.History) -> list[Violation]:
    violations = []
    for send in history.sends:
        departures = [
            seen
            for seen in history.leaving
            if seen.target == send.target and _forbids_sends(seen, send.sent_us)
        ]
        if not departures:
            continue
        detail = (
            f"{send.gate} sent call {send.call} to {send.target} at"
            f" {send.sent_us} us; it announced its departure at"
            f" {departures[0].announced_us} us"
        )
        violations.append(Violation(Invariant.LEAVING, detail))
    return violations


def _forbids_sends(
    departure: history_lib.ObservedDeparture, time_us: int
) -> bool:
    if time_us <= departure.announced_us + LEAVING_GRACE_US:
        return False
    return departure.returned_us is None or time_us < departure.returned_us


def _every_call_has_outcome(history: history_lib.History) -> list[Violation]:
    violations = []
    for seen in history.calls.values():
        if seen.aborted_by_shutdown:
            detail = f"{seen.gate} shut down with call {seen.call} in flight"
            violations.append(Violation(Invariant.PLANNED_STOP, detail))
        elif seen.outcome is None and not (
            seen.gate_crashed or seen.caller_disconnected
        ):
            detail = f"call {seen.call} on {seen.gate} was never answered"
            violations.append(Violation(Invariant.EVERY_CALL_IS_TOLD, detail))
    return violations


def _never_reverts(history: history_lib.History) -> list[Violation]:
    violations = []
    newest: dict[tuple[str, str], int] = {}
    for seen in history.revisions:
        host_key = (seen.gate, seen.key)
        if seen.revision < newest.get(host_key, 0):
            detail = (
                f"{seen.key} on {seen.gate} went from revision"
                f" {newest[host_key]} to {seen.revision}"
            )
            violations.append(Violation(Invariant.NEVER_REVERTS, detail))
        newest[host_key] = max(newest.get(host_key, 0), seen.revision)
    return violations


def _only_accepted_active(history: history_lib.History) -> list[Violation]:
    accepted = {(seen.key, seen.revision) for seen in history.accepted}
    return [
        Violation(
            Invariant.ONLY_ACCEPTED,
            f"{seen.gate} has revision {seen.revision} of {seen.key} active,"
            " which was never accepted",
        )
        for seen in history.revisions
        if (seen.key, seen.revision) not in accepted
    ]


def _active_in_time(history: history_lib.History) -> list[Violation]:
    activations: dict[tuple[str, str], list[history_lib.ObservedRevision]]
    activations = collections.defaultdict(list)
    for seen in history.revisions:
        activations[seen.gate, seen.key].append(seen)
    violations = []
    for record in history.accepted:
        limit_us = record.accepted_us + ACTIVATION_LIMIT_US
        for period in history.fault_free:
            if (
                period.from_us > record.accepted_us
                or period.until_us < limit_us
            ):
                continue
            if any(
                seen.revision >= record.revision and seen.seen_us <= limit_us
                for seen in activations[period.gate, record.key]
            ):
                continue
            detail = (
                f"{record.key} revision {record.revision} was not active"
                f" on {period.gate} by {limit_us} us"
            )
            violations.append(Violation(Invariant.IN_FORCE_IN_TIME, detail))
    return violations
