"""The fold of configuration records."""

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
    forms = {
        1: {"targets": [{"address": address, "failure_domain": "a"}]},
        2: {"groups": [{"addresses": [address], "failure_domain": "b"}]},
    }
    return record(
        kind="service",
        expected_revision=expected_revision,
        record_id=f"{version}-{expected_revision}-{address}",
        schema_version=version,
        oldest_reader_version=version,
        payload=forms[version],
    )


def folded(bodies, reader_version=records.READER_VERSION):
    config = configuration.Configuration(reader_version=reader_version)
    for offset, body in enumerate(bodies):
        is_text = isinstance(body, str)
        text = body if is_text else records.encode(body)
        configuration.fold(config, offset, text)
    return config


def domain(config):
    return config.services["dossier"].targets[0].failure_domain


def test_racing_operators_get_one_winner():
    config = configuration.Configuration()
    first = configuration.fold(config, 0, route_record("/a", 0))
    second = configuration.fold(config, 1, route_record("/b", 0))
    assert first == configuration.Applied("route/dossier", 1)
    assert second == configuration.Conflict("route/dossier", 0, 1)
    assert configuration.route(config, "/a/x") == "dossier"
    assert configuration.route(config, "/b/x") is None


def test_changed_route_replaces_its_prefix():
    config = configuration.Configuration()
    configuration.fold(config, 0, route_record("/a", 0))
    configuration.fold(config, 1, route_record("/b", 1))
    assert configuration.route(config, "/a") is None
    assert configuration.route(config, "/b") == "dossier"


def test_older_offset_is_ignored():
    config = configuration.Configuration(next_offset=5)
    configuration.fold(config, 5, route_record("/a", 0))
    assert configuration.fold(config, 3, route_record("/b", 6)) is None
    assert configuration.route(config, "/a") == "dossier"


def test_record_after_a_gap_is_not_folded():
    config = configuration.Configuration()
    missing = configuration.fold(config, 2, route_record("/a", 0))
    assert missing == configuration.Gap(0, 2)
    assert config.next_offset == 0
    assert not config.entries


@pytest.mark.parametrize(
    ("last", "in_force"),
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
def test_routes_that_share_a_prefix(last, in_force):
    config = folded([route_record("/a", 0, "x"), route_record("/a", 0, "y")])
    assert configuration.route(config, "/a") == "y"
    configuration.fold(config, 2, records.encode(last))
    assert configuration.route(config, "/a") == in_force


def test_repeated_record_changes_nothing():
    config = folded([record()])
    before = config.digest
    again = configuration.fold(config, 1, records.encode(record()))
    assert again == configuration.Duplicate("route/dossier")
    assert config.digest == before


@pytest.mark.parametrize(
    ("reader_version", "bodies", "in_force", "reported"),
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
            id="payload that nobody reads",
        ),
    ],
)
def test_readers_side_by_side(reader_version, bodies, in_force, reported):
    config = folded(bodies, reader_version)
    assert domain(config) == in_force
    assert ("service/dossier" in config.unreadable) == reported
    assert config.digest == folded(bodies).digest


def test_rollback_of_the_software_finds_the_last_readable_record():
    bodies = [service_record(1, 0), service_record(2, 1), service_record(2, 2)]
    new_host = folded(bodies)
    rolled_back = configuration.Configuration(reader_version=OLD_READER)
    configuration.merge(rolled_back, new_host.entries.values(), 3)
    assert domain(rolled_back) == "a"
    assert "service/dossier" in rolled_back.unreadable


def test_newer_schema_that_old_readers_may_apply_is_read_leniently():
    payload = {"path_prefix": "/a", "service": "dossier", "added_later": 1}
    newer = record(schema_version=9, payload=payload)
    config = folded([newer])
    assert configuration.route(config, "/a") == "dossier"


def test_unknown_kind_is_kept_and_harmless():
    unknown = record(kind="holiday", payload={"day": 1})
    config = folded([unknown, record()])
    assert config.entries["holiday/dossier"].record == unknown
    assert "holiday/dossier" in config.unreadable
    assert configuration.route(config, "/a") == "dossier"


def test_merges_in_any_order_agree_and_revert_nothing():
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
        taken = configuration.fold(config, offset, records.encode(body))
        if isinstance(taken, configuration.Applied):
            revisions[name] = taken.revision
        states.append((list(config.entries.values()), offset + 1))
    for chosen in itertools.permutations([states[7], states[30], states[59]]):
        other = configuration.Configuration()
        for entries_then, covered in chosen:
            configuration.merge(other, entries_then, covered)
        assert other.entries == config.entries
        assert other.digest == config.digest
        assert other.routes.services == config.routes.services


def test_records_already_in_a_merged_state_are_passed_over():
    bodies = [route_record("/a", 0), route_record("/b", 1)]
    later = folded(bodies)
    config = configuration.Configuration()
    configuration.merge(config, later.entries.values(), 0)
    assert configuration.fold(config, 0, bodies[0]) is None
    assert configuration.fold(config, 1, bodies[1]) is None
    assert config.entries == later.entries
    assert configuration.route(config, "/b") == "dossier"


@pytest.mark.parametrize(
    ("bodies", "outcome", "waited_ms", "settled"),
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
def test_publisher_settles_by_reading_on(bodies, outcome, waited_ms, settled):
    attempt = publishing.Attempt(
        record(), events.AppendOutcome(outcome), 0, ended_us=0
    )
    found = publishing.settle(folded(bodies), attempt, waited_ms * 1000)
    assert found == settled


def test_fallbacks_stay_bounded():
    entry = None
    for revision in range(1, 20):
        newer = record(oldest_reader_version=revision + 5)
        entry = entries.replace(entry, revision, newer, OLD_READER)
    assert len(entry.fallbacks) <= entries.MAX_FALLBACKS


@pytest.mark.parametrize(
    ("record_at_hand", "lowest_reader", "named"),
    [
        (service_record(1, 0), OLD_READER, None),
        (service_record(2, 0), 2, None),
        (service_record(2, 0), OLD_READER, "supports up to 1"),
        (record(kind="service", schema_version=2), 2, "needs 2"),
        (record(payload=None, oldest_reader_version=9), OLD_READER, None),
    ],
)
def test_record_that_a_live_host_cannot_read_is_not_published(
    record_at_hand, lowest_reader, named
):
    why = publishing.reader_problem(record_at_hand, lowest_reader)
    assert (named in why) if named else why is None
