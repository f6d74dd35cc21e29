"""Line fits and state sizes of the scaling benchmark."""

import pytest

from fireflyspindle.bench import slopes


def test_fit_returns_line_and_spread():
    values = {1: 5.0, 2: 7.0, 3: 9.0, 4: 15.0}
    line = slopes.fit(
        slopes.Series("x", "us", "host", (1, 2, 3, 4), values.__getitem__)
    )
    assert line.values == (5.0, 7.0, 9.0, 15.0)
    assert line.slope == pytest.approx(3.2)
    assert line.at(0) == pytest.approx(1.0)
    assert line.spread == pytest.approx(1.6)


def test_reachable_bytes_counts_shared_objects_once():
    part = ["x" * 1_000]
    assert slopes.reachable_bytes([part]) > 1_000
    assert slopes.reachable_bytes([part, part]) < 2 * slopes.reachable_bytes(
        [part]
    )


@pytest.mark.parametrize(
    "name", ["state", "snapshot", "peer traffic of changes"]
)
def test_state_and_traffic_grow_with_size(name):
    found = [series for series in slopes.SERIES if series.name == name]
    assert found
    for series in found:
        assert series.measure(8) < series.measure(40)
