"""A server that turns requests away and asks for a pause gets it."""

import asyncio

import pytest

from fireflyspindle.platform import header_profile
import platform_driver

PAUSE_S = 2.0
# From half a second after the answer, at most this many requests may reach the
# server until the pause ends.
GRACE_S = 0.5
MAX_REQUESTS = 2
INTERVAL_S = 0.05
PAUSE_LINES = (
    f"Retry-After: {PAUSE_S:g}",
    f"{header_profile.NOT_EXECUTED}: 1",
)


class PausingServer:
    """Turns the requests of callers away, and counts what reaches it."""

    def __init__(self, how):
        self.how = how
        self.pauses_s = []
        self.arrivals_s = []
        self._answer_health = platform_driver.server_behaviour()

    async def behave(self, request, writer):
        """Answers a probe, or turns a request away."""
        now_s = asyncio.get_running_loop().time()
        self.arrivals_s.append(now_s)
        if request.first_line.startswith(b"GET /health "):
            await self._answer_health(request, writer)
            return
        self.pauses_s.append(now_s)
        body = b"busy" * 4
        declined = platform_driver.answer(
            request, body, *PAUSE_LINES, status="503 Service Unavailable"
        )
        match self.how:
            case "whole":
                writer.write(declined)
            case "cut":
                writer.write(declined[: -len(body)])
                await writer.drain()
                writer.close()
            case "reset":
                writer.write(declined[:-1])
                await writer.drain()
                await asyncio.sleep(0.005)
                platform_driver.reset_on_close(writer)
                writer.close()
            case "garbled":
                chunked = declined.replace(
                    b"Content-Length: %d" % len(body),
                    b"Transfer-Encoding: chunked",
                )
                writer.write(chunked)
                await writer.drain()
        await asyncio.sleep(0)

    def requests_in_pause(self):
        """Returns the requests in the first pause, without its start."""
        asked_s = self.pauses_s[0]
        return [
            at_s
            for at_s in self.arrivals_s
            if asked_s + GRACE_S < at_s < asked_s + PAUSE_S
        ]


@pytest.mark.parametrize("how", ["whole", "cut", "reset", "garbled"])
@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_server_that_asks_for_a_pause_gets_it(how, method):
    server = PausingServer(how)
    path = platform_driver.IDEMPOTENT
    if method == "POST":
        path = platform_driver.STRICT
    async with platform_driver.running(server.behave) as platform:
        end_s = asyncio.get_running_loop().time() + PAUSE_S + 0.2
        number = 0
        while asyncio.get_running_loop().time() < end_s:
            number += 1
            request = platform_driver.request(
                f"{path}{number}", method=method, name=f"q{number}"
            )
            response = await platform.send_request(request)
            assert b" 50" in response.first_line
            await asyncio.sleep(INTERVAL_S)
    assert len(server.requests_in_pause()) <= MAX_REQUESTS


async def test_probe_with_an_incomplete_answer_tells_what_its_head_states():
    async def behave(request, writer):
        answered = platform_driver.answer(
            request, b"busy", *PAUSE_LINES, status="503 Service Unavailable"
        )
        writer.write(answered[:-1])
        await writer.drain()
        writer.close()

    async with platform_driver.running(behave) as platform:
        host = platform.host
        await platform.send_request(platform_driver.request())
        target = host.state.services["s"].targets["i-0"]
        assert target.paused_until_us > host.now_us()
        assert platform.requests == []
