"""Tests the decoding of settings, entries, configurations and headers."""

import json
import math

import multidict
import pytest

from fireflyspindle.adapters import store_records
from fireflyspindle.core import api_keys
from fireflyspindle.core import json_documents
from fireflyspindle.core import published
from fireflyspindle.core import store_state
from fireflyspindle.platform import configuration_document
from fireflyspindle.platform import crash_records
from fireflyspindle.platform import header_profile
from fireflyspindle.platform import settings as settings_lib
from fireflyspindle.platform import store_decoder
from fireflyspindle.platform import target_registrations

HUGE = 10**400

SETTINGS = {
    "self": {"node-name": "edge-1", "zone": "west-a", "unknown": 1},
    "network": {
        "listen-addrs": {
            "front": "10.1.0.15:8641",
            "ready-addr": "10.1.0.15:8640",
        }
    },
    "platform": {"platform": {"address": "10.200.1.7:8642"}},
    "terms": {
        "contract-params": {
            "drain-ms": 2500,
            "grace-s": 6,
            "retry-slack": 62,
            "probes-per-s": 42,
        }
    },
}

ENTRY = {
    "address": "10.128.0.9:8080",
    "info": {
        "service": "tiba26a",
        "version": "v1",
        "zone": "west-a",
        "capacity": 4,
    },
    "status": {"state": "ready", "sequence": 4, "cold-left-ms": 1200},
    "born": 1_790_000_000_000,
}

DOCUMENT = {
    "version": "0000001c",
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 67108864,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    },
    "base-version": "0000001a",
    "listeners": [
        {
            "host": "Jepu9.Example",
            "rules": [
                {
                    "name": "r-1",
                    "route-kind": "non_idempotent",
                    "target-latency-ms": 400,
                    "priority": 1,
                    "match": {"path-prefix": "/puka111/"},
                    "action": {
                        "service": "wuno96b",
                        "timeout-ms": 1000,
                        "max-attempts": 2,
                    },
                },
                {
                    "name": "r-2",
                    "route-kind": "idempotent",
                    "target-latency-ms": 300,
                    "priority": 2,
                    "match": {"path-prefix": "/leny950/"},
                    "action": {
                        "traffic-split": [
                            {"service": "huvo11a", "weight": 90},
                            {"service": "lovo22d", "weight": 10},
                        ],
                        "timeout-ms": 800,
                        "max-attempts": 3,
                    },
                },
            ],
        }
    ],
    "clusters": [
        {
            "name": "huvo11a",
            "health-path": "/health",
            "max-conns": 260,
            "protocol": "h1",
            "tls": False,
        }
    ],
}


def without(document, *path):
    """Returns a deep copy without one member."""
    copy = json.loads(json.dumps(document))
    parent = copy
    for name in path[:-1]:
        parent = parent[name]
    del parent[path[-1]]
    return copy


def with_member(document, value, *path):
    """Returns a deep copy with another value at a path."""
    copy = json.loads(json.dumps(document))
    parent = copy
    for name in path[:-1]:
        parent = parent[name]
    parent[path[-1]] = value
    return copy


def test_settings_are_parsed_and_unknown_keys_ignored():
    settings = settings_lib.parse(SETTINGS).unwrap()
    assert settings.host_id == "edge-1"
    assert settings.failure_domain == "west-a"
    assert settings.callers_address == "10.1.0.15:8641"
    assert settings.readiness_address == "10.1.0.15:8640"
    assert settings.store_address == "10.200.1.7:8642"
    assert settings.bounds.drain_ms == 2500
    assert settings.bounds.probes_per_s == 42


@pytest.mark.parametrize(
    ("broken", "expected_error"),
    [
        (without(SETTINGS, "self", "zone"), "self.zone"),
        (without(SETTINGS, "network"), "network.listen-addrs.front"),
        (with_member(SETTINGS, 7, "self", "node-name"), "found 7"),
        (
            with_member(
                SETTINGS, "soon", "terms", "contract-params", "grace-s"
            ),
            "grace-s: found 'soon'",
        ),
        (
            with_member(SETTINGS, -1, "terms", "contract-params", "drain-ms"),
            "give 0 or more",
        ),
    ],
)
def test_error_of_invalid_settings_names_the_key(broken, expected_error):
    assert expected_error in "; ".join(settings_lib.parse(broken).unwrap_err())


def test_settings_that_are_not_toml_are_refused(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text("[self")
    assert "not TOML" in settings_lib.load(path).unwrap_err()[0]
    assert "can't be read" in settings_lib.load(tmp_path).unwrap_err()[0]


def test_entry_is_decoded():
    entry = target_registrations.decode(
        "i-1", json.dumps(ENTRY).encode()
    ).unwrap()
    assert entry.target_id == "i-1"
    assert entry.service == "tiba26a"
    assert entry.address == "10.128.0.9:8080"
    assert entry.failure_domain == "west-a"
    assert (entry.slots, entry.draining) == (4, False)
    assert (entry.warmup_left_ms, entry.sequence) == (1200, 4)
    assert entry.started_ms == 1_790_000_000_000


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff\x00",
        b"[]",
        b"null",
        b"{" * 5000,
        json.dumps(without(ENTRY, "address")).encode(),
        json.dumps(without(ENTRY, "status", "state")).encode(),
        json.dumps(without(ENTRY, "info", "capacity")).encode(),
        json.dumps(with_member(ENTRY, "lost", "status", "state")).encode(),
        json.dumps(with_member(ENTRY, "7", "status", "sequence")).encode(),
        json.dumps(with_member(ENTRY, True, "info", "capacity")).encode(),
        json.dumps(with_member(ENTRY, 0, "info", "capacity")).encode(),
        json.dumps(with_member(ENTRY, 1.5, "born")).encode(),
        json.dumps(with_member(ENTRY, "nowhere", "address")).encode(),
        json.dumps(with_member(ENTRY, 7, "info", "service")).encode(),
    ],
)
def test_malformed_entry_is_an_error(value):
    assert target_registrations.decode("i-1", value).is_err()


def at_stack_depth(frames, action):
    """Runs an action with further frames on the stack."""
    return action() if not frames else at_stack_depth(frames - 1, action)


@pytest.mark.parametrize("levels", [20, 100, 500, 900])
def test_all_hosts_agree_on_a_nested_entry(levels):
    # The depth at which the parser gives up depends on the caller's stack: a
    # reader could use an entry that its followers could not decode.
    text = json.dumps(with_member(ENTRY, [], "further"))
    nested = text.replace("[]", "[" * levels + "]" * levels).encode()
    decoded = [
        at_stack_depth(
            frames, lambda: target_registrations.decode("i-1", nested)
        ).is_ok()
        for frames in (0, 600)
    ]
    assert decoded == [levels < json_documents.MAX_NESTING] * 2


@pytest.mark.parametrize("key", [f"f/{HUGE}/i-1", "f/1", "f/x/i-1"])
def test_malformed_key_of_a_crash_is_an_error(key):
    assert crash_records.decode_key(key).is_err()


@pytest.mark.parametrize(
    "value",
    [b"", b"[]", b"{}", b'{"service":"s","at-ms":%d}' % HUGE],
)
def test_malformed_record_of_a_crash_is_an_error(value):
    assert crash_records.decode_value(value, 1_790_000_000_000).is_err()


def test_configuration_is_decoded():
    document = configuration_document.decode(
        json.dumps(DOCUMENT).encode()
    ).unwrap()
    assert document.version == 0x1C
    first, second = document.rules
    assert (first.host, first.path_prefix) == ("jepu9.example", "/puka111/")
    assert (first.repeatable, second.repeatable) == (False, True)
    assert (first.timeout_ms, first.latency_objective_ms) == (1000, 400)
    assert second.max_attempts == 3
    assert second.parts == (
        published.Part("huvo11a", 90),
        published.Part("lovo22d", 10),
    )
    assert document.services == (
        published.ServiceSettings("huvo11a", "/health", 260),
    )
    assert document.limits == published.CallerLimits(
        16384, 67108864, 3000, 15000
    )


@pytest.mark.parametrize(
    ("kind", "repeatable"),
    [("upload", False), ("download", True), ("of-a-later-page", False)],
)
def test_kind_of_route_that_is_not_known_makes_no_configuration_unreadable(
    kind, repeatable
):
    document = with_member(
        DOCUMENT, kind, "listeners", 0, "rules", 0, "route-kind"
    )
    value = json.dumps(document).encode()
    decoded = configuration_document.decode(value).unwrap()
    assert decoded.rules[0].repeatable is repeatable
    unknown = [kind] if kind == "of-a-later-page" else []
    assert configuration_document.unknown_route_kinds(value) == unknown


def test_organisations_are_decoded_without_their_keys():
    document = with_member(
        DOCUMENT,
        [
            {
                "name": "huka270",
                "api-keys": ["x42q"],
                "priority": 1,
                "rate-per-s": 167,
                "burst": 20,
                "later": {},
            },
            {"name": "free", "api-keys": []},
        ],
        "tenants",
    )
    document = with_member(document, True, "listeners", 0, "rules", 0, "public")
    decoded = configuration_document.decode(json.dumps(document).encode())
    limited, unlimited = decoded.unwrap().organisations
    assert limited == published.Organisation(
        "huka270", frozenset({api_keys.digest("x42q")}), 1, 167.0, 20.0
    )
    assert unlimited == published.Organisation("free", frozenset())
    assert [rule.public for rule in decoded.unwrap().rules] == [True, False]
    assert "x42q" not in repr(decoded)


def test_limits_of_cold_targets_are_decoded():
    document = with_member(DOCUMENT, 8.6, "clusters", 0, "cold-per-s")
    document = with_member(document, 3, "clusters", 0, "cold-start-s")
    decoded = configuration_document.decode(json.dumps(document).encode())
    (service,) = decoded.unwrap().services
    assert service.cold_requests_per_s == 8.6
    assert service.cold_start_ms == 3_000


def read_configuration(*records):
    """Returns the event for a read of configuration records."""
    batch = store_records.Batch(
        [
            store_records.Record(key, value, offset)
            for offset, (key, value) in enumerate(records)
        ],
        next_offset=len(records),
        is_snapshot=False,
    )
    source = store_state.Source.CONFIGURATION
    return store_decoder.Decoder().decode_outcome(0, source, batch, None)


def test_requests_to_evacuate_are_decoded_in_their_order():
    read = read_configuration(
        ("evacuate/west-a", b"{}"),
        ("evacuate/west-b", b"{}"),
        ("evacuate/west-a", None),
    )
    assert read.evacuated == {"west-b"}
    assert read.evacuations_ended == {"west-a"}
    assert read.newest_is_decodable is None


@pytest.mark.parametrize("newest_is_decodable", [True, False])
def test_read_tells_whether_the_newest_configuration_is_decodable(
    newest_is_decodable,
):
    values = [b"{", json.dumps(DOCUMENT).encode()]
    if not newest_is_decodable:
        values.reverse()
    read = read_configuration(*(("config", value) for value in values))
    assert read.document.version == 0x1C
    assert read.newest_is_decodable is newest_is_decodable


@pytest.mark.parametrize(
    "broken",
    [
        without(DOCUMENT, "version"),
        without(DOCUMENT, "limits", "max-body-bytes"),
        with_member(DOCUMENT, "soon", "version"),
        with_member(DOCUMENT, 3, "listeners", 0, "rules", 0, "route-kind"),
        without(DOCUMENT, "listeners", 0, "rules", 0, "route-kind"),
        with_member(DOCUMENT, "yes", "listeners", 0, "rules", 0, "public"),
        with_member(DOCUMENT, -1, "clusters", 0, "cold-per-s"),
        with_member(DOCUMENT, [{"name": "o"}], "tenants"),
        with_member(DOCUMENT, [{"name": "", "api-keys": []}], "tenants"),
        with_member(DOCUMENT, [{"name": "o", "api-keys": "k"}], "tenants"),
        with_member(
            DOCUMENT,
            [{"name": "o", "api-keys": ["k"], "rate-per-s": "5"}],
            "tenants",
        ),
        without(DOCUMENT, "listeners", 0, "rules", 0, "action", "service"),
        with_member(DOCUMENT, 3, "clusters"),
        # These don't fit into a float.
        with_member(DOCUMENT, HUGE, "clusters", 0, "cold-per-s"),
        with_member(DOCUMENT, math.inf, "clusters", 0, "max-conns"),
        with_member(DOCUMENT, 1e306, "clusters", 0, "cold-start-s"),
        [],
    ],
)
def test_malformed_configuration_is_an_error(broken):
    assert configuration_document.decode(json.dumps(broken).encode()).is_err()


@pytest.mark.parametrize(
    ("text", "in_flight", "slots", "slowdown"),
    [
        ("3,2,8", 5, 8, None),
        ("3,2,8,700", 5, 8, 7.0),
        ("0, 0, 4, 100", 0, 4, 1.0),
        ("3,2", None, None, None),
        ("a,b,c", None, None, None),
        ("-1,0,4", None, None, None),
        ("", None, None, None),
        ("99999999999,0,4", None, None, None),
    ],
)
def test_load_report_of_a_server_is_parsed(text, in_flight, slots, slowdown):
    report = header_profile.parse_load_report(
        multidict.CIMultiDict({header_profile.SERVER_LOAD: text})
    )
    assert (report.in_flight, report.slots, report.slowdown) == (
        in_flight,
        slots,
        slowdown,
    )


@pytest.mark.parametrize(
    ("ports", "address"),
    [([7620, 7635], "10.1.0.15:7620"), (None, "")],
)
def test_first_internal_port_takes_relayed_calls(ports, address):
    network = dict(SETTINGS["network"])
    if ports is not None:
        network["internal-ports"] = ports
    settings = settings_lib.parse({**SETTINGS, "network": network})
    assert settings.unwrap().relay_address == address


@pytest.mark.parametrize(
    ("limits", "link_mbps"),
    [({}, 5.0), ({"link-mbps": 1_000}, 1_000.0), ({"link-mbps": 2.5}, 2.5)],
)
def test_rate_of_the_link_is_read(limits, link_mbps):
    raw = {**SETTINGS, "self": {**SETTINGS["self"], "limits": limits}}
    assert settings_lib.parse(raw).unwrap().link_mbps == link_mbps


@pytest.mark.parametrize("rate", [0, -1, "fast", True])
def test_invalid_rate_of_the_link_is_an_error(rate):
    limits = {"link-mbps": rate}
    raw = {**SETTINGS, "self": {**SETTINGS["self"], "limits": limits}}
    (error,) = settings_lib.parse(raw).unwrap_err()
    assert "self.limits.link-mbps" in error


@pytest.mark.parametrize("ports", [[], "7620", ["a"], [0, 5], [70_000]])
def test_invalid_internal_ports_are_an_error(ports):
    network = {**SETTINGS["network"], "internal-ports": ports}
    (error,) = settings_lib.parse({**SETTINGS, "network": network}).unwrap_err()
    assert "network.internal-ports" in error
