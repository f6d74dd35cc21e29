"""Tests that the examples run and their settings and records are valid."""

import pathlib
import runpy

import pytest

from fireflyspindle import settings
from fireflyspindle.commands import records as commands

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


@pytest.mark.parametrize("organisation", ["zeevaart", "taller"])
def test_settings_and_records_are_valid(organisation):
    assert settings.load(EXAMPLES / organisation / "gate.toml").is_ok()
    assert commands.validate(file=EXAMPLES / organisation / "records.toml") == 0


def test_reducer_example_sends_to_a_target(capsys):
    runpy.run_path(str(EXAMPLES / "reducer.py"), run_name="__main__")
    assert "SendToTarget(call_id=1, attempt=1" in capsys.readouterr().out


def test_library_example_prints_its_outcome(capsys):
    runpy.run_path(str(EXAMPLES / "library.py"), run_name="__main__")
    assert capsys.readouterr().out.startswith("complete\n")
