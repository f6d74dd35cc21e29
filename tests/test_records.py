"""Decoding and validation of configuration records."""

import json

import pytest

from fireflyspindle.core import records


def envelope(**changes) -> dict:
    fields = {
        "record_id": "1",
        "kind": "route",
        "name": "dossier",
        "expected_revision": 0,
        "schema_version": 1,
        "oldest_reader_version": 1,
        "author": "test",
        "payload": {"path_prefix": "/a", "service": "dossier"},
    }
    return {**fields, **changes}


@pytest.mark.parametrize(
    ("body", "expected_error"),
    [
        ('{"record_id": "1", "ki', "JSON"),
        ("[" * 100_000, "nested"),
        ("[]", "object"),
        ("null", "object"),
        (json.dumps(envelope(expected_revision=-1)), "-1"),
        (json.dumps(envelope(expected_revision="1")), "'1'"),
        (json.dumps(envelope(expected_revision=True)), "True"),
        (json.dumps(envelope(name="")), "name"),
        (json.dumps(envelope(name="a\nb")), "printable"),
        (json.dumps(envelope(kind="\ud800")), "printable"),
        (json.dumps(envelope(added=1)), "added"),
        (json.dumps(envelope(payload={"x": "y" * 300_000})), "bytes"),
    ],
)
def test_invalid_envelope_is_an_error_with_the_cause(body, expected_error):
    decoded = records.decode(body)
    assert decoded.is_err()
    assert expected_error in decoded.unwrap_err()


@pytest.mark.parametrize(
    ("kind", "payload", "expected_error"),
    [
        ("route", {"path_prefix": "a", "service": "s"}, "'a'"),
        ("route", {"path_prefix": "/a/", "service": "s"}, "'/a/'"),
        ("route", {"path_prefix": "/a"}, "service"),
        ("route", {"path_prefix": "/a", "service": "s", "z": 1}, "z"),
        ("service", {"targets": [{"address": "host:80"}]}, "host:80"),
        ("service", {"targets": [{"address": "10.0.0.1:99999"}]}, "99999"),
        ("service", {"targets": [{"address": "10.0.0.1:1"}] * 2}, "twice"),
        (
            "service",
            {"targets": [{"address": "10.0.0.1:1", "slots": 0}]},
            "slots = 0",
        ),
        ("tenant", {"weight": 0}, "weight = 0"),
        ("policy", {"retry_share": float("nan")}, "finite"),
        ("policy", {"retry_share": 2}, "retry_share = 2"),
        ("policy", {"default_deadline_ms": "5"}, "'5'"),
        ("policy", [], "object"),
        ("holiday", {}, "holiday"),
    ],
)
def test_invalid_payload_is_an_error_with_the_value(
    kind, payload, expected_error
):
    record = records.Envelope(**envelope(kind=kind, payload=payload))
    decoded = records.read_payload(record)
    assert decoded.is_err()
    assert expected_error in decoded.unwrap_err()


def test_duplicate_address_across_groups_is_an_error():
    group = {"addresses": ["10.0.0.1:80"]}
    record = records.Envelope(
        **envelope(
            kind="service", schema_version=2, payload={"groups": [group, group]}
        )
    )
    assert "twice" in records.read_payload(record).unwrap_err()


def test_envelope_round_trip():
    record = records.Envelope(**envelope())
    assert records.decode(records.encode(record)).unwrap() == record
