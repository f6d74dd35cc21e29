"""Parsing and validation of settings."""

import pytest
import result

from fireflyspindle import settings

VALID_SETTINGS = """
[gate]
host_id = "gate-1"
failure_domain = "rotterdam-a"
callers_address = "10.0.0.7:8080"
control_address = "[::1]:8081"
[platform]
log_address = "10.0.9.1:7001"
host_list_address = "10.0.9.2:7002"
[[administration.teams]]
name = "crew"
token_sha256 = "{digest}"
may_write = ["service/dossier", "tenant/*"]
""".replace("{digest}", "a" * 64)


def test_valid_settings_are_parsed():
    loaded = settings.parse(VALID_SETTINGS).unwrap()
    assert loaded.gate.control_address == "[::1]:8081"
    assert loaded.administration.teams[0].may_write == (
        "service/dossier",
        "tenant/*",
    )
    assert loaded.logging.level == "INFO"


@pytest.mark.parametrize(
    ("original", "replacement", "error"),
    [
        ('"gate-1"', '""', "gate.host_id: found ''"),
        ('"gate-1"', "7", "gate.host_id: found 7; give a string"),
        ("10.0.0.7:8080", "gate.example:80", "gate.callers_address: found"),
        ("10.0.0.7:8080", "10.0.0.7:99999", "gate.callers_address: found"),
        ("[platform]", "[platform]\ncolour = 1", "platform.colour: unknown"),
        ("[platform]", "[plat]", "platform: missing; give a table"),
        ("tenant/*", "tenant/**", "administration.teams[0].may_write: found"),
        ("a" * 64, "secret", "administration.teams[0].token_sha256: found 6"),
        ("[gate]", "[gate", "not TOML"),
        (
            "[platform]",
            "[platform]\nlog_keep_s = 300",
            "claims.key_validity_ms: found",
        ),
        (
            "[platform]",
            "[limits]\ndrain_limit_ms = true\n[platform]",
            "limits.drain_limit_ms: found True; give a whole number",
        ),
    ],
)
def test_invalid_key_is_reported(original, replacement, error):
    errors = settings.parse(
        VALID_SETTINGS.replace(original, replacement)
    ).unwrap_err()
    assert any(each.startswith(error) for each in errors), errors


def test_all_errors_are_reported_together():
    text = VALID_SETTINGS.replace("gate-1", "").replace(
        "log_address", "log_adress"
    )
    errors = settings.parse(text).unwrap_err()
    assert {each.split(":")[0] for each in errors} == {
        "gate.host_id",
        "platform.log_adress",
        "platform.log_address",
    }


def test_missing_file_is_an_error(tmp_path):
    loaded = settings.load(tmp_path / "none.toml")
    assert isinstance(loaded, result.Err)
