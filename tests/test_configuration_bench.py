"""Benchmark of configuration propagation."""

import json

import pytest

from fireflyspindle.bench import configuration

SMALL = {"gates": 4, "services": 2, "endpoints": 4, "changes": 2, "seeds": 1}


def test_every_change_becomes_active_in_time(capsys):
    assert configuration.configuration(**SMALL, routes=20, json=True) == 0
    figures = json.loads(capsys.readouterr().out)
    for name in (
        "in_force_log_well_s",
        "in_force_log_down_for_third_s",
        "in_force_one_host_reads_log_s",
        "known_in_force_everywhere_s",
    ):
        assert figures[name]["max"] <= 8
    assert figures["new_host_whole_s"] is not None
    assert figures["all_restarted_whole_s"] is not None
    assert figures["peer_bytes_per_host_per_s_max"] <= 6_000


@pytest.mark.parametrize(
    "invalid", [{"gates": 1}, {"services": 9}, {"changes": 0}, {"seeds": 0}]
)
def test_sizes_out_of_bounds_are_rejected(capsys, invalid):
    assert configuration.configuration(**{**SMALL, **invalid}) == 2
    assert "bench configuration" in capsys.readouterr().err
