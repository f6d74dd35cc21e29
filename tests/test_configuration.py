"""Applying, merging and publishing configuration records."""

import itertools
import random

import pytest

from fireflyspindle.core import configuration
from fireflyspindle.core import entries
from fireflyspindle.core import events
from fireflyspindle.core import publishing
from fireflyspindle.core import records

OLD_READER = 1


def record(name="dossier", expected_revision=0, record_id="", **changes):
    fields = {
        "record_id": record_id or f"{name}-{expected_revision}",
        "kind": "route",
        "name": name,
        "expected_revision": expected_revision,
        "schema_version": 1,
        "oldest_reader_version": 1,
        "author": "test",
        "payload": {"path_prefix": "/a", "service": "dossier"},
    }
    return records.Envelope(**{**fields, **changes})


def route_record(prefix: str, expected_revision: int, name="dossier") -> str:
    return records.encode(
        record(
            name,
            expected_revision,
            f"{prefix}-{name}-{expected_revision}",
            payload={"path_prefix": prefix, "service": name},
        )
    )


def service_record(version, expected_revision, address="10.0.0.1:80"):
    payloads = {
        1: {"targets": [{"address": address, "failure_domain": "a"}]},
        2: {"groups": [{"addresses": [address], "failure_domain": "b"}]},
    }
    return record(
        kind="service",
        expected_revision=expected_revision,
        record_id=f"{version}-{expected_revision}-{address}",
        schema_version=version,
        oldest_reader_version=version,
        payload=payloads[version],
    )


def apply_all(bodies, reader_version=records.READER_VERSION):
    config = configuration.Configuration(reader_version=reader_version)
    for offset, body in enumerate(bodies):
        is_text = isinstance(body, str)
        text = body if is_text else records.encode(body)
        configuration.fold(config, offset, text)
    return config


def active_failure_domain(config):
    return config.services["dossier"].targets[0].failure_domain


def test_concurrent_records_of_a_key_accept_only_the_first():
    config = configuration.Configuration()
    first = configuration.fold(config, 0, route_record("/a", 0))
    second = configuration.fold(config, 1, route_record("/b", 0))
    assert first == configuration.Applied("route/dossier", 1)
    assert second == configuration.Conflict("route/dossier", 0, 1)
    assert configuration.service_for_path(config, "/a/x") == "dossier"
    assert configuration.service_for_path(config, "/b/x") is None


def test_updated_route_replaces_its_prefix():
    config = configuration.Configuration()
    configuration.fold(config, 0, route_record("/a", 0))
    configuration.fold(config, 1, route_record("/b", 1))
    assert configuration.service_for_path(config, "/a") is None
    assert configuration.service_for_path(config, "/b") == "dossier"


def test_older_offset_is_ignored():
    config = configuration.Configuration(next_offset=5)
    configuration.fold(config, 5, route_record("/a", 0))
    assert configuration.fold(config, 3, route_record("/b", 6)) is None
    assert configuration.service_for_path(config, "/a") == "dossier"


def test_record_after_a_gap_is_not_applied():
    config = configuration.Configuration()
    missing = configuration.fold(config, 2, route_record("/a", 0))
    assert missing == configuration.Gap(0, 2)
    assert config.next_offset == 0
    assert not config.entries


@pytest.mark.parametrize(
    ("last", "active"),
    [
        pytest.param(record("x", 1, payload=None), "y", id="older removed"),
        pytest.param(record("y", 2, payload=None), "x", id="newer removed"),
        pytest.param(
            record("y", 2, payload={"path_prefix": "/b", "service": "y"}),
            "x",
            id="newer moved away",
        ),
    ],
)
def test_newest_route_of_a_shared_prefix_is_active(last, active):
    config = apply_all([route_record("/a", 0, "x"), route_record("/a", 0, "y")])
    assert configuration.service_for_path(config, "/a") == "y"
    configuration.fold(config, 2, records.encode(last))
    assert configuration.service_for_path(config, "/a") == active


def test_duplicate_record_changes_nothing():
    config = apply_all([record()])
    before = config.digest
    duplicate = configuration.fold(config, 1, records.encode(record()))
    assert duplicate == configuration.Duplicate("route/dossier")
    assert config.digest == before


@pytest.mark.parametrize(
    ("reader_version", "bodies", "active", "is_unreadable"),
    [
        pytest.param(
            2,
            [service_record(1, 0), service_record(2, 1)],
            "b",
            False,
            id="new host, new record",
        ),
        pytest.param(
            2, [service_record(1, 0)], "a", False, id="new host, old record"
        ),
        pytest.param(
            OLD_READER,
            [service_record(1, 0), service_record(2, 1)],
            "a",
            True,
            id="old host, new record",
        ),
        pytest.param(
            OLD_READER,
            [service_record(1, 0), service_record(2, 1), service_record(1, 2)],
            "a",
            False,
            id="old record restored",
        ),
        pytest.param(
            2,
            [
                service_record(1, 0),
                record(kind="service", expected_revision=1, payload={"bad": 1}),
            ],
            "a",
            True,
            id="payload unreadable by all versions",
        ),
    ],
)
def test_mixed_reader_versions(reader_version, bodies, active, is_unreadable):
    config = apply_all(bodies, reader_version)
    assert active_failure_domain(config) == active
    assert ("service/dossier" in config.read_errors) == is_unreadable
    assert config.digest == apply_all(bodies).digest


def test_software_rollback_uses_the_last_readable_record():
    bodies = [service_record(1, 0), service_record(2, 1), service_record(2, 2)]
    new_host = apply_all(bodies)
    rolled_back = configuration.Configuration(reader_version=OLD_READER)
    configuration.merge(rolled_back, new_host.entries.values(), 3)
    assert active_failure_domain(rolled_back) == "a"
    assert "service/dossier" in rolled_back.read_errors


def test_compatible_newer_schema_ignores_unknown_fields():
    payload = {"path_prefix": "/a", "service": "dossier", "added_later": 1}
    newer = record(schema_version=9, payload=payload)
    config = apply_all([newer])
    assert configuration.service_for_path(config, "/a") == "dossier"


def test_unknown_kind_is_stored_without_effect():
    unknown = record(kind="holiday", payload={"day": 1})
    config = apply_all([unknown, record()])
    assert config.entries["holiday/dossier"].record == unknown
    assert "holiday/dossier" in config.read_errors
    assert configuration.service_for_path(config, "/a") == "dossier"


def test_merge_order_does_not_change_the_result():
    generator = random.Random(5)
    config = configuration.Configuration()
    states = []
    revisions = dict.fromkeys("abcd", 0)
    for offset in range(60):
        name = generator.choice("abcd")
        stale = generator.random() < 0.3
        expected = revisions[name] - (1 if stale and revisions[name] else 0)
        payload = {"path_prefix": f"/{name}{offset % 3}", "service": name}
        body = record(
            name,
            expected,
            f"id-{offset}",
            payload=payload if generator.random() < 0.8 else None,
        )
        applied = configuration.fold(config, offset, records.encode(body))
        if isinstance(applied, configuration.Applied):
            revisions[name] = applied.revision
        states.append((list(config.entries.values()), offset + 1))
    for chosen in itertools.permutations([states[7], states[30], states[59]]):
        other = configuration.Configuration()
        for merged_entries, covered in chosen:
            configuration.merge(other, merged_entries, covered)
        assert other.entries == config.entries
        assert other.digest == config.digest
        assert other.routes.services == config.routes.services


def test_records_already_in_a_merged_state_are_skipped():
    bodies = [route_record("/a", 0), route_record("/b", 1)]
    later = apply_all(bodies)
    config = configuration.Configuration()
    configuration.merge(config, later.entries.values(), 0)
    assert configuration.fold(config, 0, bodies[0]) is None
    assert configuration.fold(config, 1, bodies[1]) is None
    assert config.entries == later.entries
    assert configuration.service_for_path(config, "/b") == "dossier"


@pytest.mark.parametrize(
    ("bodies", "outcome", "elapsed_ms", "expected"),
    [
        ([record()], "done", 0, publishing.Accepted(0)),
        ([record()], "unknown", 0, publishing.Accepted(0)),
        (
            [record(record_id="rival"), record()],
            "unknown",
            0,
            publishing.Conflict(1, 1),
        ),
        ([], "unknown", 0, publishing.Pending()),
        ([], "unknown", 9_000, publishing.Unknown()),
        ([], "refused", 0, publishing.NotAppended()),
    ],
)
def test_publish_outcome_is_determined_from_the_log(
    bodies, outcome, elapsed_ms, expected
):
    attempt = publishing.Attempt(
        record(), events.AppendOutcome(outcome), 0, ended_us=0
    )
    found = publishing.resolve_outcome(
        apply_all(bodies), attempt, elapsed_ms * 1000
    )
    assert found == expected


def test_number_of_fallbacks_is_limited():
    entry = None
    for revision in range(1, 20):
        newer = record(oldest_reader_version=revision + 5)
        entry = entries.replace(entry, revision, newer, OLD_READER)
    assert len(entry.fallbacks) <= entries.MAX_FALLBACKS


@pytest.mark.parametrize(
    ("published", "lowest_reader_version", "expected_error"),
    [
        (service_record(1, 0), OLD_READER, None),
        (service_record(2, 0), 2, None),
        (service_record(2, 0), OLD_READER, "supports up to 1"),
        (record(kind="service", schema_version=2), 2, "needs 2"),
        (record(payload=None, oldest_reader_version=9), OLD_READER, None),
    ],
)
def test_record_that_a_live_host_cannot_read_is_not_published(
    published, lowest_reader_version, expected_error
):
    error = publishing.reader_version_error(published, lowest_reader_version)
    assert (expected_error in error) if expected_error else error is None
