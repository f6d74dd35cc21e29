"""Each check finds the history that breaks its promise, and no other."""

import attrs
import pytest

from fireflyspindle.bench import history
from fireflyspindle.bench import history_checks
from fireflyspindle.core import effects

SECOND_US = 1_000_000


def call(number=1, **changes):
    seen = history.CallSeen(
        number,
        "gate-1",
        0,
        repeatable=False,
        told=effects.Outcome.COMPLETE,
        told_us=SECOND_US,
        answer_of=number,
    )
    return attrs.evolve(seen, **changes)


def run(number=1, key="", started_us=100):
    return history.RunSeen(number, key, "t1", started_us)


def sound_history(*calls, **parts):
    seen = history.History(calls={each.call: each for each in calls})
    for name, value in parts.items():
        setattr(seen, name, value)
    return seen


def probes(*times_us):
    return [history.ProbeSeen("offer", "gate-1", at_us) for at_us in times_us]


def revisions(*numbers):
    return [
        history.RevisionSeen("gate-1", "tenant/a", number, number)
        for number in numbers
    ]


def accepted(*numbers):
    return [history.AcceptedSeen("tenant/a", number, 0) for number in numbers]


def leaving_send(sent_us, returned_us=None):
    return {
        "leaving": [history.LeavingSeen("t1", 0, returned_us)],
        "sends": [history.SendSeen(1, "gate-1", "t1", sent_us)],
    }


NOT_RUN = effects.Outcome.NOT_RUN
UNTOLD = {"told": None, "answer_of": None}
AWAKE = [history.Undisturbed("gate-1", 0, 60 * SECOND_US)]


@pytest.mark.parametrize(
    ("promise", "seen"),
    [
        (
            "measuring_budget",
            sound_history(
                probes=probes(0, 5, 10), probe_budgets_per_s={"offer": 2.0}
            ),
        ),
        ("own_answer", sound_history(call(answer_of=2))),
        ("own_answer", sound_history(call(whole=False))),
        ("not_run_is_true", sound_history(call(told=NOT_RUN), runs=[run()])),
        (
            "not_run_is_true",
            sound_history(
                call(1, key="k", repeatable=False),
                call(2, key="k", told=NOT_RUN),
                runs=[run(1, "k")],
            ),
        ),
        ("at_most_once", sound_history(call(), runs=[run(), run()])),
        (
            "at_most_once",
            sound_history(
                call(1, key="k"),
                call(2, key="k"),
                runs=[run(1, "k"), run(2, "k")],
            ),
        ),
        ("leaving", sound_history(call(), **leaving_send(6 * SECOND_US))),
        ("planned_stop", sound_history(call(cut_by_stop=True, **UNTOLD))),
        ("every_call_is_told", sound_history(call(**UNTOLD))),
        (
            "never_reverts",
            sound_history(accepted=accepted(2, 3), revisions=revisions(3, 2)),
        ),
        (
            "only_accepted_in_force",
            sound_history(accepted=accepted(2), revisions=revisions(2, 3)),
        ),
        (
            "in_force_in_time",
            sound_history(
                accepted=accepted(2, 3),
                undisturbed=AWAKE,
                revisions=revisions(2),
            ),
        ),
    ],
)
def test_broken_promise_is_found(promise, seen):
    found = history_checks.check(seen)
    assert [violation.promise.value for violation in found] == [promise]


@pytest.mark.parametrize(
    "seen",
    [
        sound_history(call(), runs=[run()]),
        sound_history(call(repeatable=True), runs=[run(), run()]),
        sound_history(call(gate_crashed=True, **UNTOLD), runs=[run()]),
        sound_history(call(left=True, **UNTOLD)),
        sound_history(
            probes=probes(0, 5, SECOND_US + 5),
            probe_budgets_per_s={"offer": 2.0},
        ),
        sound_history(call(), **leaving_send(4 * SECOND_US)),
        sound_history(call(), **leaving_send(9 * SECOND_US, 8 * SECOND_US)),
        sound_history(
            call(1, key="k", told=NOT_RUN, told_us=50),
            call(2, key="k"),
            runs=[run(2, "k", started_us=100)],
        ),
        sound_history(
            accepted=accepted(2, 3),
            undisturbed=AWAKE,
            revisions=revisions(2, 3),
        ),
        sound_history(
            accepted=accepted(3),
            undisturbed=[history.Undisturbed("gate-1", 5, 60 * SECOND_US)],
        ),
    ],
)
def test_sound_history_passes(seen):
    assert history_checks.check(seen) == []
