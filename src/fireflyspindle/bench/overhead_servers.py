"""Server processes of the overhead benchmark, on loopback."""

import asyncio
import time
from typing import cast

import aiohttp
from aiohttp import web
import attrs

from fireflyspindle import garbage_collection
from fireflyspindle import gate as gate_lib
from fireflyspindle import settings as settings_lib
from fireflyspindle import testing

ENDPOINTS = 16
SLOTS = 64
RESPONSE_BODY = b'{"dossier": "' + b"x" * 1000 + b'"}'
RESPONSE = (
    b"HTTP/1.1 200 OK\r\n"
    b"Content-Type: application/json\r\n"
    b"Content-Length: %d\r\n"
    b"Fireflyspindle-In-Flight: 0\r\n"
    b"Date: Thu, 01 Jan 2026 00:00:00 GMT\r\n"
    b"\r\n" % len(RESPONSE_BODY)
) + RESPONSE_BODY


@attrs.define(frozen=True)
class Ports:
    """Ports of the roles, relative to the base port."""

    base: int

    @property
    def targets(self) -> range:
        """Ports of the target endpoints."""
        return range(self.base + 20, self.base + 20 + ENDPOINTS)

    @property
    def target(self) -> int:
        """Port of the endpoint used by the direct and pass-through paths."""
        return self.targets[0]

    @property
    def pass_through(self) -> int:
        """Port of the pass-through proxy."""
        return self.base + 1

    @property
    def gate(self) -> int:
        """Port on which the gate accepts calls."""
        return self.base + 2

    @property
    def log(self) -> int:
        """Port of the stand-in log and host list."""
        return self.base + 3

    @property
    def control(self) -> int:
        """Port of the gate's control address."""
        return self.base + 4

    def cpu(self, port: int) -> int:
        """Port that serves the CPU time of the server at `port`."""
        return port + 10


class _Target(asyncio.Protocol):
    """Sends the same response to every request head."""

    def __init__(self) -> None:
        self._received = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self._received += data
        count = self._received.count(b"\r\n\r\n")
        if count and self._received.endswith(b"\r\n\r\n"):
            self._received = b""
            self._transport.write(RESPONSE * count)


async def run_target(base_port: int) -> None:
    """Runs the target endpoints and a log with their configuration."""
    ports = Ports(base_port)
    log = testing.StandInLog()
    targets = [
        {"address": f"127.0.0.1:{port}", "slots": SLOTS}
        for port in ports.targets
    ]
    testing.publish(log, "service", "dossier", {"targets": targets})
    route = {"path_prefix": "/dossier", "service": "dossier"}
    testing.publish(log, "route", "dossier", route)
    await testing.Server(log.application()).start(f"127.0.0.1:{ports.log}")
    loop = asyncio.get_running_loop()
    for port in ports.targets:
        await loop.create_server(_Target, "127.0.0.1", port)
    await asyncio.Event().wait()


async def run_pass_through(base_port: int) -> None:
    """Runs a minimal streaming proxy written with aiohttp."""
    ports = Ports(base_port)
    async with aiohttp.ClientSession(auto_decompress=False) as session:

        async def handle(request: web.Request) -> web.StreamResponse:
            async with session.request(
                request.method,
                f"http://127.0.0.1:{ports.target}{request.path_qs}",
                headers=request.headers,
                data=request.content if request.body_exists else None,
                allow_redirects=False,
            ) as upstream:
                response = web.StreamResponse(
                    status=upstream.status, headers=upstream.headers
                )
                await response.prepare(request)
                async for chunk in upstream.content.iter_any():
                    await response.write(chunk)
                await response.write_eof()
                return response

        app = web.Application()
        app.add_routes([web.route("*", "/{path:.*}", handle)])
        server = testing.Server(app)
        await server.start(f"127.0.0.1:{ports.pass_through}")
        await _serve_cpu(ports.cpu(ports.pass_through))
        await asyncio.Event().wait()


async def run_gate(base_port: int) -> None:
    """Runs a gate host."""
    ports = Ports(base_port)
    log_address = f"127.0.0.1:{ports.log}"
    gate = gate_lib.Gate(
        settings_lib.Settings(
            gate=settings_lib.GateSettings(
                host_id="bench-gate",
                failure_domain="a",
                callers_address=f"127.0.0.1:{ports.gate}",
                control_address=f"127.0.0.1:{ports.control}",
            ),
            platform=settings_lib.PlatformSettings(log_address, log_address),
        )
    )
    await gate.start()
    await _serve_cpu(ports.cpu(ports.gate))
    garbage_collection.freeze_existing_objects()
    await gate.wait_closed()


async def _serve_cpu(port: int) -> None:
    async def handle(_request: web.Request) -> web.Response:
        return web.json_response({"cpu_us": time.process_time_ns() / 1000})

    app = web.Application()
    app.add_routes([web.get("/cpu", handle)])
    await testing.Server(app).start(f"127.0.0.1:{port}")
