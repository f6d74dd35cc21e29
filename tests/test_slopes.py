"""Fitted lines and the sizes of states."""

import pytest

from fireflyspindle.bench import slopes


def test_line_is_fitted_and_its_spread_told():
    values = {1: 5.0, 2: 7.0, 3: 9.0, 4: 15.0}
    line = slopes.fit(
        slopes.Series("x", "us", "host", (1, 2, 3, 4), values.__getitem__)
    )
    assert line.values == (5.0, 7.0, 9.0, 15.0)
    assert line.slope == pytest.approx(3.2)
    assert line.at(0) == pytest.approx(1.0)
    assert line.spread == pytest.approx(1.6)


def test_held_bytes_counts_shared_parts_once():
    part = ["x" * 1_000]
    assert slopes.held_bytes([part]) > 1_000
    assert slopes.held_bytes([part, part]) < 2 * slopes.held_bytes([part])


@pytest.mark.parametrize(
    "name", ["state", "snapshot", "peer traffic of changes"]
)
def test_state_and_messages_grow_with_their_size(name):
    found = [series for series in slopes.SERIES if series.name == name]
    assert found
    for series in found:
        assert series.measure(8) < series.measure(40)
