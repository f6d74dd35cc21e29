"""Bad use is told on standard error, with exit status 2 and no traceback."""

import sys

import pytest

from fireflyspindle import cli


@pytest.mark.parametrize(
    ("words", "status", "told"),
    [
        (["gate"], 2, "--settings"),
        (["gate", "--settings", "none.toml"], 2, "none.toml: can't be read"),
        (["publish", "--file", "none.toml"], 2, "none.toml: can't be read"),
        (["show", "--gate", "nonsense"], 2, "--gate is 'nonsense'"),
        (["show", "--gate", "127.0.0.1:1"], 1, "can't be asked"),
        (["stand-in", "log", "--address", "x:y"], 2, "--address is 'x:y'"),
        (["stand-in", "target", "--slots", "0"], 2, "--slots"),
        (["demo", "--seconds", "0"], 2, "--seconds is 0; give 1 to 600"),
        (["bench", "history", "--seeds", "0"], 2, "--seeds is 0"),
        (["nonsense"], 2, "invalid choice"),
    ],
)
def test_bad_use_is_told(monkeypatch, capsys, words, status, told):
    monkeypatch.setattr(sys, "argv", ["fireflyspindle", *words])
    with pytest.raises(SystemExit) as ended:
        cli.main()
    assert ended.value.code == status
    error = capsys.readouterr().err
    assert told in error
    assert "Traceback" not in error
