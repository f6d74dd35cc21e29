"""Requests from a caller through a gate host to a target."""

import aiohttp
import pytest

from fireflyspindle import headers


@pytest.mark.parametrize("method", ["GET", "POST", "PUT", "DELETE"])
async def test_request_is_answered_by_the_target(system, method):
    async with (
        aiohttp.ClientSession() as session,
        session.request(
            method, f"{system.url}/dossier/7?page=2", data=b"body"
        ) as response,
    ):
        received = await response.json()
    assert response.status == 200
    assert response.headers[headers.OUTCOME] == "complete"
    assert received["method"] == method
    assert received["path"] == "/dossier/7?page=2"
    assert received["body"] == "body"
    assert list(system.target.journal.values()) == [1]


async def test_unrouted_path_is_not_run(system):
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"{system.url}/nowhere") as response,
    ):
        assert response.status == 404
        assert response.headers[headers.OUTCOME] == "not-run"
    assert not system.target.journal


async def test_bad_header_is_refused(system):
    async with (
        aiohttp.ClientSession() as session,
        session.get(
            f"{system.url}/dossier", headers={headers.DEADLINE_MS: "soon"}
        ) as response,
    ):
        assert response.status == 400
        assert "soon" in (await response.json())["detail"]
    assert not system.target.journal
