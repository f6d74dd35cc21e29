"""Copies of a request have the same fingerprint; other requests have others."""

import re

from fireflyspindle.adapters import gate_server
import platform_driver

PATH = platform_driver.IDEMPOTENT + "1"


async def fingerprint(monkeypatch, *lines, path=PATH + "?page=2", **fields):
    """Returns the fingerprint that a gate host computes for a request."""
    seen = []
    compute = gate_server.request_fingerprints.compute

    def record(*arguments):
        seen.append(compute(*arguments))
        return seen[-1]

    monkeypatch.setattr(gate_server.request_fingerprints, "compute", record)
    async with platform_driver.running(
        platform_driver.server_behaviour()
    ) as platform:
        await platform.send_request(
            platform_driver.request(path, *lines, **fields)
        )
    monkeypatch.undo()
    (found,) = seen
    return found


async def test_copies_with_other_ids_share_a_fingerprint(monkeypatch):
    first = await fingerprint(monkeypatch)
    assert re.fullmatch("[0-9a-f]{32}", first)
    assert await fingerprint(monkeypatch, name="q2") == first
    assert await fingerprint(monkeypatch, "User-Agent: other") == first


async def test_other_requests_have_other_fingerprints(monkeypatch):
    found = [
        await fingerprint(monkeypatch),
        await fingerprint(monkeypatch, path=PATH),
        await fingerprint(monkeypatch, path=PATH + "?page=3"),
        await fingerprint(monkeypatch, path=PATH + "0"),
        await fingerprint(monkeypatch, method="DELETE"),
        await fingerprint(monkeypatch, method="POST", body=b"a"),
        await fingerprint(monkeypatch, method="POST", body=b"b"),
        await fingerprint(monkeypatch, "Authorization: Bearer k"),
    ]
    assert len(set(found)) == len(found)


def test_fingerprint_of_another_host_is_checked():
    module = gate_server.request_fingerprints
    assert module.parse("a0" * 16) == "a0" * 16
    for text in ("", "a" * 31, "g" * 32, "a" * 33):
        assert module.parse(text) == ""
