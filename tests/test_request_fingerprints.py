"""Copies of a request have the same fingerprint; other requests have others."""

import re

from fireflyspindle.adapters import gate_server
import platform_driver

PATH = platform_driver.IDEMPOTENT + "1"


async def fingerprints(monkeypatch, *lines, path=PATH + "?page=2", **fields):
    """Returns the fingerprints that a gate host computes for a request."""
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


async def test_copies_with_other_ids_share_their_fingerprints(monkeypatch):
    first = await fingerprints(monkeypatch)
    assert all(re.fullmatch("[0-9a-f]{32}", each) for each in first)
    assert await fingerprints(monkeypatch, name="q2") == first
    assert await fingerprints(monkeypatch, "User-Agent: other") == first


async def test_copies_with_another_query_share_one_fingerprint(monkeypatch):
    first = await fingerprints(monkeypatch)
    other = await fingerprints(monkeypatch, path=PATH + "?page=3")
    without = await fingerprints(monkeypatch, path=PATH)
    assert first[0] != other[0]
    assert first[1:] == other[1:] == without


async def test_other_requests_have_other_fingerprints(monkeypatch):
    found = [
        await fingerprints(monkeypatch),
        await fingerprints(monkeypatch, path=PATH + "0"),
        await fingerprints(monkeypatch, method="DELETE"),
        await fingerprints(monkeypatch, method="POST", body=b"a"),
        await fingerprints(monkeypatch, method="POST", body=b"b"),
        await fingerprints(monkeypatch, "Authorization: Bearer k"),
    ]
    every = [each for group in found for each in group]
    assert len(set(every)) == len(every)


def test_fingerprints_of_another_host_are_checked():
    module = gate_server.request_fingerprints
    for stated in (("a" * 32,), ("a" * 32, "0" * 32)):
        assert module.parse(module.encode(stated)) == stated
    for text in ("", "a" * 31, "g" * 32, ",".join(["a" * 32] * 3)):
        assert module.parse(text) == ()
