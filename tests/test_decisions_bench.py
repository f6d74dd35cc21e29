"""The bench of decisions sends its calls, at any size."""

import pytest

from fireflyspindle.bench import decisions


@pytest.mark.parametrize("endpoints", [1, 300])
def test_every_kind_of_event_is_measured(endpoints, monkeypatch):
    monkeypatch.setattr(decisions, "CALLS", 50)
    measured = decisions.measure(endpoints)
    assert set(measured) == {
        "CallArrived",
        "AttemptAnswered",
        "AttemptEnded",
    }
