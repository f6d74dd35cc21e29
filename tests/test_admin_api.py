"""Publishing and reading records through the administration API."""

import json

import aiohttp
import attrs
import pytest
import pytest_asyncio

from fireflyspindle import administration
from fireflyspindle import settings as settings_lib
from fireflyspindle import testing

TEAMS = settings_lib.AdministrationSettings(
    teams=(
        settings_lib.TeamSettings(
            "platform", administration.digest("platform-token"), ("*",)
        ),
        settings_lib.TeamSettings(
            "bureau",
            administration.digest("bureau-token"),
            ("tenant/*", "route/dossier"),
        ),
    )
)


class Operator:
    """Sends requests as one team."""

    def __init__(self, session, base, token):
        self._session = session
        self._base = base
        self._headers = {"Authorization": f"Bearer {token}"}

    async def ask(self, method, path, content=None, **fields):
        """Returns the status and the JSON body of the response."""
        body_arguments = {"data": content} if isinstance(content, str) else {}
        if isinstance(content, dict):
            body_arguments = {"json": content}
        async with self._session.request(
            method,
            self._base + path,
            headers=self._headers,
            params=fields,
            **body_arguments,
        ) as response:
            return response.status, await response.json()


@pytest_asyncio.fixture
async def admin():
    """Runs a gate host; yields a factory of operators."""
    async with testing.StandInSystem() as system:
        plain = system.gate_settings("gate-1")
        gate = await system.add_gate(
            "gate-1", attrs.evolve(plain, administration=TEAMS)
        )
        async with aiohttp.ClientSession() as session:
            base = f"http://{gate.control_address}/admin"

            def operator(token="platform-token"):
                return Operator(session, base, token)

            operator.log = system.log
            yield operator


def tenant_change(name="a", expected_revision=0, **fields):
    return {
        "kind": "tenant",
        "name": name,
        "expected_revision": expected_revision,
        "payload": {"weight": 2},
        **fields,
    }


async def test_published_record_is_read_back(admin):
    status, accepted = await admin().ask(
        "POST", "/records", tenant_change(), wait_ms="5000"
    )
    assert status == 200
    assert accepted["in_force_everywhere"]
    status, record = await admin().ask("GET", "/records/tenant/a")
    assert status == 200
    assert record["revision"] == accepted["revision"]
    assert record["author"] == "platform"
    assert record["payload"] == {"weight": 2}
    _, in_force = await admin().ask(
        "GET", "/in-force", offset=str(accepted["offset"] + 1)
    )
    assert in_force["in_force_everywhere"] is False
    assert in_force["behind"] == {"gate-1": accepted["offset"] + 1}


async def test_second_change_of_the_same_revision_is_a_conflict(admin):
    await admin().ask("POST", "/records", tenant_change())
    status, refused = await admin().ask(
        "POST", "/records", tenant_change(payload={"weight": 5})
    )
    assert (status, refused["error"]) == (409, "conflict")
    assert "revision 1, not 0" in refused["detail"]


async def test_repeated_record_id_is_accepted_once(admin):
    change = tenant_change(record_id="change-7")
    first = await admin().ask("POST", "/records", change)
    second = await admin().ask("POST", "/records", change)
    assert first[0] == second[0] == 200
    assert first[1]["revision"] == second[1]["revision"]


async def test_append_with_lost_response_is_settled_by_reading_the_log(admin):
    admin.log.lose_answers = 1
    status, accepted = await admin().ask("POST", "/records", tenant_change())
    assert (status, accepted["revision"]) == (200, 1)
    assert admin.log.streams["configuration"].next_offset == 1


async def test_history_shows_accepted_and_conflicting_records(admin):
    await admin().ask("POST", "/records", tenant_change())
    body = json.dumps({**tenant_change(), "record_id": "late", "author": "raw"})
    competing = {
        **json.loads(body),
        "schema_version": 1,
        "oldest_reader_version": 1,
    }
    admin.log.append("configuration", json.dumps(competing))
    await admin().ask("POST", "/records", tenant_change(expected_revision=1))
    _, history = await admin().ask("GET", "/history", key="tenant/a")
    assert [entry["accepted"] for entry in history["records"]] == [
        True,
        False,
        True,
    ]
    _, history = await admin().ask("GET", "/history", conflicts="yes")
    assert [entry["record_id"] for entry in history["records"]] == ["late"]


@pytest.mark.parametrize(
    ("token", "content", "status", "error"),
    [
        ("wrong", tenant_change(), 401, "bad_token"),
        ("", tenant_change(), 401, "bad_token"),
        ("bureau-token", tenant_change(kind="class"), 403, "key_denied"),
        ("platform-token", "{torn", 400, "bad_record"),
        ("platform-token", tenant_change(kind="colour"), 400, "bad_record"),
        ("platform-token", tenant_change(colour=1), 400, "bad_record"),
        (
            "platform-token",
            tenant_change(expected_revision=-1),
            400,
            "bad_record",
        ),
        (
            "platform-token",
            tenant_change(payload={"weight": "x"}),
            400,
            "bad_record",
        ),
        ("platform-token", tenant_change(name=""), 400, "bad_record"),
    ],
)
async def test_invalid_change_is_refused_and_not_appended(
    admin, token, content, status, error
):
    actual_status, refused = await admin(token).ask("POST", "/records", content)
    assert (actual_status, refused["error"]) == (status, error)
    assert refused["detail"]
    assert "configuration" not in admin.log.streams or (
        admin.log.streams["configuration"].next_offset == 0
    )


async def test_team_may_write_its_own_keys(admin):
    status, _ = await admin("bureau-token").ask(
        "POST", "/records", tenant_change()
    )
    assert status == 200
    _, record = await admin().ask("GET", "/records/tenant/a")
    assert record["author"] == "bureau"


async def test_publish_fails_while_the_log_is_down_and_then_succeeds(admin):
    admin.log.down = True
    status, refused = await admin().ask("POST", "/records", tenant_change())
    assert status in (503, 504)
    assert refused["error"] in ("not_appended", "unknown")
    admin.log.down = False
    status, _ = await admin().ask("POST", "/records", tenant_change())
    assert status == 200
