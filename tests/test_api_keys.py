"""API keys on the wire: callers, targets, other gate hosts, logs."""

import asyncio
import contextlib
import io
import json
import types

import logbook
import pytest

from fireflyspindle import headers
from fireflyspindle.adapters import api_key_headers
from fireflyspindle.core import api_keys
from fireflyspindle.core import effects
from fireflyspindle.core.organisations import proof
from fireflyspindle.platform import header_profile
from fireflyspindle.testing import store as store_lib
import platform_driver
import platform_fleet
import wire

KEY = "kn-4711-secret"
OTHER_KEY = "kn-4712-secret"
# Limit for a withdrawn key, and time after an outage from which limits hold.
REVOKE_MS = 5_000
CONTACT_MS = 3_000
TENANT = header_profile.TENANT
BEARER = f"Authorization: Bearer {KEY}"
# Each is refused with 401, and leaves the connection open.
BAD_KEYS = {
    "missing": [],
    "unknown": ["Authorization: Bearer another"],
    "other scheme": [f"Authorization: Basic {KEY}"],
    "no scheme": [f"Authorization: {KEY}"],
    "empty header": ["Authorization:"],
    "empty key": ["Authorization: Bearer "],
    "two headers": [BEARER, BEARER],
    "two headers in other case": [BEARER, f"AUTHORIZATION: bearer {KEY}"],
    "two keys": [f"{BEARER}, Bearer {KEY}"],
    "space in the key": [f"{BEARER} x"],
    "prefix of a key": [f"Authorization: Bearer {KEY[:-1]}"],
    "16 KB": ["Authorization: Bearer " + "k" * 16_000],
    "non-ASCII": [f"{BEARER}é"],
    "digest in place of the key": [
        f"Authorization: Bearer {api_keys.digest(KEY)}"
    ],
    "digest of a relayed call": [
        f"{headers.RELAY_KEYED_SERVICE}: s",
        f"{headers.RELAY_KEY_DIGEST}: {api_keys.digest(KEY)}",
    ],
}


def document(version, *keys, tenants=True, name="acme"):
    """Returns a configuration whose route /read/ needs a key."""
    content = platform_driver.document(version)
    content["listeners"][0]["rules"][1]["public"] = True
    if tenants:
        content["tenants"] = [{"name": name, "api-keys": list(keys)}]
    return content


@contextlib.asynccontextmanager
async def keyed_platform(*behaviours, **fields):
    """Runs a gate host and servers with one organisation."""
    behaviours = behaviours or (platform_driver.server_behaviour(),)
    async with platform_driver.running(*behaviours) as platform:
        platform.store.write(
            store_lib.CONFIGURATION_TOPIC, "config", document(2, KEY, **fields)
        )
        await wire.until(lambda: platform.host.state.rule_table.version == 2)
        yield platform


def status_of(response):
    return int(response.first_line.split()[1])


async def test_bad_keys_get_401_on_an_open_connection():
    async with keyed_platform() as platform:
        caller = await platform.caller()
        for name, lines in BAD_KEYS.items():
            response = await caller.ask(
                platform_driver.request("/read/1", *lines)
            )
            assert response is not None, name
            assert status_of(response) == 401, name
            assert response.values("WWW-Authenticate") == [b"Bearer"], name
            assert b'"unknown_key"' in response.body, name
        good = await caller.ask(platform_driver.request("/read/1", BEARER))
        assert status_of(good) == 200
        assert len(platform.requests) == 1


@pytest.mark.parametrize(
    "lines",
    [
        [],
        [f"{TENANT}: forged"],
        [f"{TENANT}: forged", f"{TENANT}: forged"],
        [f"{TENANT.lower()}: forged", f"{TENANT.upper()}: forged"],
        [f"Connection: {TENANT}, authorization"],
    ],
)
async def test_target_gets_the_name_and_not_the_key(lines):
    async with keyed_platform() as platform:
        request = platform_driver.request("/read/1", BEARER, *lines)
        assert status_of(await platform.send_request(request)) == 200
        (received,) = platform.requests
        assert received.values(TENANT) == [b"acme"]
        assert KEY.encode() not in received.head


async def test_name_in_a_trailer_does_not_reach_the_target():
    async with keyed_platform() as platform:
        head = platform_driver.request(
            "/read/1", BEARER, "Transfer-Encoding: chunked", method="PUT"
        )
        trailer = f"{TENANT}: forged\r\n{BEARER}\r\n".encode()
        body = b"2\r\nhi\r\n0\r\n" + trailer + b"\r\n"
        assert status_of(await platform.send_request(head + body)) == 200
        (received,) = platform.requests
        assert received.values(TENANT) == [b"acme"]
        assert b"forged" not in received.head + received.body
        assert KEY.encode() not in received.head + received.body


async def test_retry_states_the_name_and_not_the_key():
    async def decline(request, writer):
        writer.write(
            platform_driver.answer(
                request,
                b"",
                f"{header_profile.NOT_EXECUTED}: 1",
                status="503 Service Unavailable",
            )
        )

    behaviours = [
        platform_driver.server_behaviour(decline, "i-0"),
        platform_driver.server_behaviour(decline, "i-1"),
    ]
    async with keyed_platform(*behaviours) as platform:
        await platform.send_request(platform_driver.request("/read/1", BEARER))
        assert len(platform.requests) == 2
        for received in platform.requests:
            assert received.values(TENANT) == [b"acme"]
            assert KEY.encode() not in received.head


async def test_public_route_gets_neither_name_nor_key():
    async with keyed_platform() as platform:
        for lines in (
            [],
            [BEARER, f"{TENANT}: forged"],
            [BEARER, BEARER],
            [f"{BEARER}, more"],
            [f"Authorization: Basic {KEY}"],
        ):
            request = platform_driver.request("/offer/1", *lines)
            assert status_of(await platform.send_request(request)) == 200
        for received in platform.requests:
            assert received.values(TENANT) == []
            assert KEY.encode() not in received.head


async def test_without_organisations_authorization_is_forwarded():
    async with keyed_platform(tenants=False) as platform:
        lines = [BEARER, "authorization: Basic x"]
        request = platform_driver.request("/read/1", *lines)
        assert status_of(await platform.send_request(request)) == 200
        (received,) = platform.requests
        assert received.values("Authorization") == [
            f"Bearer {KEY}".encode(),
            b"Basic x",
        ]


async def test_name_can_t_add_lines_to_the_request():
    async with keyed_platform(name="a b%\r\nX-Bad: é") as platform:
        request = platform_driver.request("/read/1", BEARER)
        assert status_of(await platform.send_request(request)) == 200
        (received,) = platform.requests
        assert received.values(TENANT) == [b"a b%25%0D%0AX-Bad: %C3%A9"]


async def test_host_suspended_while_it_connects_does_not_send(monkeypatch):
    # Guards against the time between the last check and the first byte.
    async with keyed_platform() as platform:
        client = platform.host.data_path.client
        connect, now_us = client.connect, client.now_us
        opened = []

        async def connect_slowly(target):
            connection = await connect(target)
            if not opened:
                client.now_us = lambda: now_us() + 2_000_000
            opened.append(target)
            return connection

        monkeypatch.setattr(client, "connect", connect_slowly)
        monkeypatch.setattr(client, "take_idle", lambda *_: None)
        monkeypatch.setattr(
            proof,
            "valid_until_us",
            lambda state: state.now_us + 1_000_000,
        )
        request = platform_driver.request("/read/1", BEARER)
        response = await platform.send_request(request)
        assert opened
        assert status_of(response) == 503
        assert not platform.requests


async def test_key_appears_in_no_line_and_no_metric():
    text = io.StringIO()
    handler = logbook.StreamHandler(text, level="DEBUG", bubble=False)
    handler.format_string = "{record.message} {record.extra} {record.kwargs}"
    with handler.applicationbound():
        async with keyed_platform() as platform:
            for lines in ([BEARER], [BEARER, BEARER], [f"{BEARER} x"]):
                request = platform_driver.request("/read/1", *lines)
                await platform.send_request(request)
            rendered, _ = platform.host.metrics.render()
    assert b'tenant="acme"' in rendered
    for shown in (text.getvalue(), rendered.decode()):
        assert KEY not in shown
        assert api_keys.digest(KEY) not in shown


def relayed_event(text):
    """Returns the event of a relayed request as a helper reads it."""
    fields = dict(line.split(": ", 1) for line in text.splitlines())
    event = types.SimpleNamespace(key_digest="own", relay_keyed=False)
    message = types.SimpleNamespace(headers=fields)
    api_key_headers.read_relayed(event, message)
    return event


def test_relayed_request_names_the_digest_and_no_real_service_to_old_builds():
    digest = api_keys.digest(KEY)
    key = effects.KeyHandling("acme", digest)
    text = api_key_headers.relay_lines("s /é", key)
    event = relayed_event(text)
    assert (event.relay_service, event.key_digest) == ("s /é", digest)
    assert event.relay_keyed
    # An older build reads this header only; see test_relays for its refusal.
    assert f"{headers.RELAY_SERVICE}: %00\r\n" in text
    plain = relayed_event(api_key_headers.relay_lines("s", None))
    assert (plain.relay_service, plain.relay_keyed) == ("s", False)
    assert plain.key_digest == "own"


def test_older_build_refuses_a_service_that_can_t_exist(make_published_host):
    host = make_published_host()
    host.call_arrives(1, relayed=True, relay_service="\0")
    answer = host.gate_answer(1)
    assert (answer.status, answer.error) == (421, "route_differs")
    assert answer.not_carried


def test_malformed_digest_of_a_relayed_request_counts_as_none():
    for digest in ("", "x" * 32, api_keys.digest(KEY).upper(), "0" * 33):
        event = relayed_event(
            f"{headers.RELAY_KEYED_SERVICE}: s\r\n"
            f"{headers.RELAY_KEY_DIGEST}: {digest}"
        )
        assert event.key_digest == ""


async def test_helper_sets_the_name_on_a_relayed_request():
    async with platform_fleet.running(hosts=4, servers=1) as fleet:
        content = document(2, KEY)
        fleet.store.write(store_lib.CONFIGURATION_TOPIC, "config", content)
        await wire.until(
            lambda: all(h.state.rule_table.version == 2 for h in fleet.hosts)
        )
        origin = fleet.hosts[3]
        fleet.cut_off(origin, "refuse")
        statuses = []
        for number in range(12):
            request = platform_driver.request(
                "/read/1", BEARER, name=f"q{number}"
            )
            statuses.append(status_of(await fleet.send(origin, request)))
        assert statuses[-1] == 200, statuses
        assert origin.metrics.event_counts["relay"]
        for received in fleet.servers[0].requests:
            if received.first_line.startswith(b"GET /read/"):
                assert received.values(TENANT) == [b"acme"]
                assert KEY.encode() not in received.head
                assert not received.values(headers.RELAY_KEY_DIGEST)


async def test_follower_proves_its_configuration_over_http():
    async with platform_fleet.running(
        hosts=4, servers=1, strict_revoke=True, revoke_ms=5_000
    ) as fleet:
        content = document(2, KEY)
        fleet.store.write(store_lib.CONFIGURATION_TOPIC, "config", content)
        follower = fleet.hosts[3]
        await wire.until(
            lambda: follower.state.organisations.proof.proven_us is not None
        )
        await wire.until(lambda: follower.state.rule_table.version == 2)
        request = platform_driver.request("/read/1", BEARER)
        assert status_of(await fleet.send(follower, request)) == 200


# Guards against proofs by reads that can't see the record: its offset is one
# that the hosts have read before the outage, with another record.
@pytest.mark.parametrize("offset", ["new", "given again"])
async def test_withdrawn_key_is_refused_after_an_outage_of_the_store(offset):
    async with platform_fleet.running(
        hosts=4, servers=1, strict_revoke=True, revoke_ms=REVOKE_MS
    ) as fleet:
        content = document(2, KEY)
        fleet.store.write(store_lib.CONFIGURATION_TOPIC, "config", content)
        await wire.until(
            lambda: all(h.state.rule_table.version == 2 for h in fleet.hosts)
        )
        fleet.store.refuse_status = 503
        await asyncio.sleep(1.0)
        records = fleet.store.topics[store_lib.CONFIGURATION_TOPIC].records
        if offset == "given again":
            records.pop()
        withdrawn = json.dumps(document(3, OTHER_KEY)).encode()
        records.append(("config", withdrawn))
        fleet.store.refuse_status = None
        statuses = [200]
        request = platform_driver.request("/read/1", BEARER)
        async with asyncio.timeout((REVOKE_MS + CONTACT_MS) / 1000):
            while 200 in statuses:
                await asyncio.sleep(0.5)
                statuses = [
                    status_of(await fleet.send(host, request))
                    for host in fleet.hosts
                ]


def test_profile_of_the_own_interface_reads_no_keys():
    assert not headers.DEFAULT_PROFILE.reads_api_keys
    message = types.SimpleNamespace(headers={"Authorization": BEARER})
    digest = api_key_headers.key_digest(message, headers.DEFAULT_PROFILE)
    assert digest == ""
