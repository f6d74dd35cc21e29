"""Targets that write an earlier refusal once more on a kept connection."""

import asyncio

import pytest

from fireflyspindle import headers
from fireflyspindle.platform import header_profile
import platform_driver
import wire

REFUSED = "503 Service Unavailable"
NOT_RUN = f"{header_profile.NOT_EXECUTED}: 1"
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
OWN_REFUSAL = (
    f"HTTP/1.1 {REFUSED}\r\n{headers.NOT_RUN}: yes\r\nContent-Length: 0\r\n\r\n"
).encode()


def refusal(request, name):
    """Returns a refusal that echoes an id, or none."""
    written = platform_driver.answer(request, b"", NOT_RUN, status=REFUSED)
    request_id = b"".join(request.values(header_profile.REQUEST_ID))
    line = f"{header_profile.REQUEST_ID}: ".encode()
    replacement = line + name + b"\r\n" if name else b""
    return written.replace(line + request_id + b"\r\n", replacement)


def refusing_again(name, runs, number):
    """Returns a server that writes a refusal before its first answer to q2."""

    async def handle(request, writer):
        if request.values(header_profile.REQUEST_ID) == [b"q2"]:
            runs.append(request)
            if len(runs) == 1:
                writer.write(refusal(request, name))
                await writer.drain()
                await asyncio.sleep(0.02)
        writer.write(platform_driver.answer(request))

    return platform_driver.server_behaviour(handle, f"i-{number}")


@pytest.mark.parametrize("name", [b"q1", b""], ids=["earlier id", "no id"])
@pytest.mark.parametrize("path", ["/offer/", "/read/"])
async def test_refusal_of_an_earlier_request_is_not_taken_for_this_one(
    name, path
):
    # The caller was told "not run, try again", or the request ran at a second
    # target, while the first one ran it.
    method = "POST" if path == platform_driver.STRICT else "GET"
    runs = []
    async with platform_driver.running(
        *(refusing_again(name, runs, number) for number in range(2))
    ) as platform:
        for request_id in ("q1", "q2"):
            response = await platform.send_request(
                platform_driver.request(path, method=method, name=request_id)
            )
        await asyncio.sleep(0.1)
    status = int(response.first_line.split()[1])
    if method == "POST":
        assert status in (200, 502)
        assert len(runs) == 1
    else:
        assert status == 200


async def test_refusal_that_is_written_again_when_idle_harms_no_request():
    writers = []

    async def handle(request, writer):
        if not writers:
            writers.append((request, writer))
            writer.write(
                platform_driver.answer(request, b"", NOT_RUN, status=REFUSED)
            )
        else:
            writer.write(platform_driver.answer(request))

    async with platform_driver.running(
        platform_driver.server_behaviour(handle)
    ) as platform:
        first = await platform.send_request(
            platform_driver.request(platform_driver.STRICT, method="POST")
        )
        [(refused, writer)] = writers
        writer.write(refusal(refused, b"q1"))
        second = await platform.send_request(
            platform_driver.request(
                platform_driver.STRICT, method="POST", name="q2"
            )
        )
    assert int(first.first_line.split()[1]) == 503
    assert int(second.first_line.split()[1]) == 200


async def test_refusal_without_an_id_ends_its_connection():
    # The project's own interface trusts answers without an id.
    async def respond(request, writer):
        if b"refused" in request.first_line:
            writer.write(OWN_REFUSAL)
            await wire.until(lambda: asked)
            writer.write(OWN_REFUSAL)
        else:
            writer.write(OK)

    asked = []
    async with wire.running(respond) as running:
        first = await running.ask(wire.request("POST", "/dossier/refused"))
        asked.append(True)
        second = await running.ask(wire.request("POST", "/dossier/second"))
    assert first.values(headers.OUTCOME) == [b"not-run"]
    assert second.body == b"ok"
