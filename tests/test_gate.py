"""The path from a caller to a target and back."""

import aiohttp
import pytest

from fireflyspindle import headers


@pytest.mark.parametrize("method", ["GET", "POST", "PUT", "DELETE"])
async def test_request_is_answered_by_the_target(system, method):
    async with (
        aiohttp.ClientSession() as session,
        session.request(
            method, f"{system.url}/dossier/7?page=2", data=b"body"
        ) as answer,
    ):
        seen = await answer.json()
    assert answer.status == 200
    assert answer.headers[headers.OUTCOME] == "complete"
    assert seen["method"] == method
    assert seen["path"] == "/dossier/7?page=2"
    assert seen["body"] == "body"
    assert list(system.target.journal.values()) == [1]


async def test_unrouted_path_is_not_run(system):
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"{system.url}/nowhere") as answer,
    ):
        assert answer.status == 404
        assert answer.headers[headers.OUTCOME] == "not-run"
    assert not system.target.journal


async def test_bad_header_is_refused(system):
    async with (
        aiohttp.ClientSession() as session,
        session.get(
            f"{system.url}/dossier", headers={headers.DEADLINE_MS: "soon"}
        ) as answer,
    ):
        assert answer.status == 400
        assert "soon" in (await answer.json())["detail"]
    assert not system.target.journal
