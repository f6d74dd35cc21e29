"""The decision benchmark measures all events of a call."""

import pytest

from fireflyspindle.bench import decisions


@pytest.mark.parametrize("endpoints", [1, 300])
def test_all_event_types_are_measured(endpoints, monkeypatch):
    monkeypatch.setattr(decisions, "CALLS", 50)
    measured = decisions.measure(endpoints)
    assert set(measured) == {
        "CallArrived",
        "AttemptAnswered",
        "AttemptEnded",
    }
