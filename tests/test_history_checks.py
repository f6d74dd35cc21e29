"""Each check reports exactly the histories that violate its invariant."""

import attrs
import pytest

from fireflyspindle.bench import history
from fireflyspindle.bench import history_checks
from fireflyspindle.core import effects

SECOND_US = 1_000_000


def call(number=1, **changes):
    observed_call = history.ObservedCall(
        number,
        "gate-1",
        0,
        repeatable=False,
        outcome=effects.Outcome.COMPLETE,
        completed_us=SECOND_US,
        response_to=number,
    )
    return attrs.evolve(observed_call, **changes)


def execution(number=1, key="", started_us=100):
    return history.ObservedExecution(number, key, "t1", started_us)


def make_history(*calls, **parts):
    observed = history.History(calls={call.call: call for call in calls})
    for name, value in parts.items():
        setattr(observed, name, value)
    return observed


def probes(*times_us):
    return [
        history.ObservedProbe("offer", "gate-1", at_us) for at_us in times_us
    ]


def revisions(*numbers):
    return [
        history.ObservedRevision("gate-1", "tenant/a", number, number)
        for number in numbers
    ]


def accepted(*numbers):
    return [
        history.ObservedAcceptance("tenant/a", number, 0) for number in numbers
    ]


def send_after_departure(sent_us, returned_us=None):
    return {
        "leaving": [history.ObservedDeparture("t1", 0, returned_us)],
        "sends": [history.ObservedSend(1, "gate-1", "t1", sent_us)],
    }


NOT_RUN = effects.Outcome.NOT_RUN
NO_OUTCOME = {"outcome": None, "response_to": None}
FAULT_FREE = [history.FaultFreePeriod("gate-1", 0, 60 * SECOND_US)]


@pytest.mark.parametrize(
    ("invariant", "observed"),
    [
        (
            "measuring_budget",
            make_history(
                probes=probes(0, 5, 10), probe_budgets_per_s={"offer": 2.0}
            ),
        ),
        ("own_answer", make_history(call(response_to=2))),
        ("own_answer", make_history(call(response_complete=False))),
        (
            "not_run_is_true",
            make_history(call(outcome=NOT_RUN), executions=[execution()]),
        ),
        (
            "not_run_is_true",
            make_history(
                call(1, key="k", repeatable=False),
                call(2, key="k", outcome=NOT_RUN),
                executions=[execution(1, "k")],
            ),
        ),
        (
            "at_most_once",
            make_history(call(), executions=[execution(), execution()]),
        ),
        (
            "at_most_once",
            make_history(
                call(1, key="k"),
                call(2, key="k"),
                executions=[execution(1, "k"), execution(2, "k")],
            ),
        ),
        (
            "leaving",
            make_history(call(), **send_after_departure(6 * SECOND_US)),
        ),
        (
            "planned_stop",
            make_history(call(aborted_by_shutdown=True, **NO_OUTCOME)),
        ),
        ("every_call_is_told", make_history(call(**NO_OUTCOME))),
        (
            "never_reverts",
            make_history(accepted=accepted(2, 3), revisions=revisions(3, 2)),
        ),
        (
            "only_accepted_in_force",
            make_history(accepted=accepted(2), revisions=revisions(2, 3)),
        ),
        (
            "in_force_in_time",
            make_history(
                accepted=accepted(2, 3),
                fault_free=FAULT_FREE,
                revisions=revisions(2),
            ),
        ),
    ],
)
def test_violation_is_reported(invariant, observed):
    violations = history_checks.check(observed)
    assert [violation.invariant.value for violation in violations] == [
        invariant
    ]


@pytest.mark.parametrize(
    "observed",
    [
        make_history(call(), executions=[execution()]),
        make_history(
            call(repeatable=True), executions=[execution(), execution()]
        ),
        make_history(
            call(gate_crashed=True, **NO_OUTCOME), executions=[execution()]
        ),
        make_history(call(caller_disconnected=True, **NO_OUTCOME)),
        make_history(
            probes=probes(0, 5, SECOND_US + 5),
            probe_budgets_per_s={"offer": 2.0},
        ),
        make_history(call(), **send_after_departure(4 * SECOND_US)),
        make_history(
            call(), **send_after_departure(9 * SECOND_US, 8 * SECOND_US)
        ),
        make_history(
            call(1, key="k", outcome=NOT_RUN, completed_us=50),
            call(2, key="k"),
            executions=[execution(2, "k", started_us=100)],
        ),
        make_history(
            accepted=accepted(2, 3),
            fault_free=FAULT_FREE,
            revisions=revisions(2, 3),
        ),
        make_history(
            accepted=accepted(3),
            fault_free=[history.FaultFreePeriod("gate-1", 5, 60 * SECOND_US)],
        ),
    ],
)
def test_valid_history_has_no_violations(observed):
    assert history_checks.check(observed) == []
