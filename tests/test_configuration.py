"""The fold of configuration records."""

from fireflyspindle.core import configuration
from fireflyspindle.core import records


def route_record(prefix: str, expected_revision: int) -> str:
    return records.encode(
        records.Envelope(
            record_id=f"{prefix}-{expected_revision}",
            kind="route",
            name="dossier",
            expected_revision=expected_revision,
            schema_version=1,
            oldest_reader_version=1,
            author="test",
            payload={"path_prefix": prefix, "service": "dossier"},
        )
    )


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
    config = configuration.Configuration()
    configuration.fold(config, 5, route_record("/a", 0))
    assert configuration.fold(config, 3, route_record("/b", 6)) is None
    assert configuration.route(config, "/a") == "dossier"
