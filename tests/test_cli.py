"""Errors go to standard error, with status 2 for bad use and no traceback."""

import sys

import pytest

from fireflyspindle import cli


@pytest.mark.parametrize(
    ("args", "status", "message"),
    [
        (["gate"], 2, "--settings"),
        (["gate", "--settings", "none.toml"], 2, "none.toml: can't be read"),
        (["publish", "--file", "none.toml"], 2, "none.toml: can't be read"),
        (["show", "--gate", "nonsense"], 2, "--gate is 'nonsense'"),
        (
            ["show", "--gate", "127.0.0.1:1"],
            1,
            "request to gate host 127.0.0.1:1 failed",
        ),
        (["stand-in", "log", "--address", "x:y"], 2, "--address is 'x:y'"),
        (["stand-in", "target", "--slots", "0"], 2, "--slots"),
        (["demo", "--seconds", "0"], 2, "--seconds is 0; give 1 to 600"),
        (["bench", "history", "--seeds", "0"], 2, "--seeds is 0"),
        (["nonsense"], 2, "invalid choice"),
    ],
)
def test_error_is_reported(monkeypatch, capsys, args, status, message):
    monkeypatch.setattr(sys, "argv", ["fireflyspindle", *args])
    with pytest.raises(SystemExit) as exit_info:
        cli.main()
    assert exit_info.value.code == status
    error = capsys.readouterr().err
    assert message in error
    assert "Traceback" not in error
