"""A small deployment for the cases of the second review.

The gate hosts are the project's own program, started as the deploy file says,
one process each. The store, the servers and the clients are small stand-ins in
the process of the case. Every machine has a loopback address of its own; the
ports are the same on all of them.
"""

import asyncio
import base64
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

from aiohttp import web

ROOT = pathlib.Path(__file__).resolve().parents[2]
PREFIX = "X-Fireflyspindle-"
ZONES = ("zone-a", "zone-b", "zone-c")
HOST = "example.example"
# Bounds of the small deployments of the users' pages.
BOUNDS = {
    "seed-lag-s": 3,
    "addr-reuse-s": 2,
    "contact-ms": 3000,
    "ack-ms": 4000,
    "catch-up-s": 4,
    "drain-ms": 2000,
    "grace-s": 6,
    "loss-slack-ms": 200,
    "config-apply-ms": 2000,
    "rollback-slack-ms": 250,
    "max-skew-ms": 5000,
    "retry-budget-ratio": 0.2,
    "budget-window-s": 10,
    "retry-slack": 58,
    "recovery-s": 15,
    "probes-per-s": 60,
}
CONTRACTS = (
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "health",
    "platform",
)
STORE_LATENCY_S = 0.004


def now() -> float:
    """Returns the time on the clock that all stand-ins share."""
    return time.monotonic()


def free_ports(count: int) -> list[int]:
    """Returns ports that are free on every loopback address."""
    sockets, ports = [], []
    while len(ports) < count:
        # Below the ports that the system gives to outgoing connections.
        port = random.randint(12_000, 30_000)
        sock = socket.socket()
        try:
            sock.bind(("0.0.0.0", port))
        except OSError:
            sock.close()
            continue
        sockets.append(sock)
        ports.append(port)
    for sock in sockets:
        sock.close()
    return ports


class Record:
    """What was sent, answered and run, in the order in which it was seen."""

    def __init__(self, path: pathlib.Path) -> None:
        self.started = now()
        self._file = path.open("w", encoding="utf-8")

    def write(self, text: str, at: float | None = None) -> None:
        """Writes one line with its time in seconds."""
        at = now() if at is None else at
        self._file.write(f"{at - self.started:9.4f} {text}\n")

    def close(self) -> None:
        """Completes the file."""
        self._file.close()


class Store:
    """The platform's store: keyed topics, linearizable, with long polls."""

    def __init__(self) -> None:
        self.topics: dict[str, list[tuple[bytes, bytes | None]]] = {}
        self._waiters: dict[str, set[asyncio.Future[None]]] = {}
        self.calls = 0

    def application(self) -> web.Application:
        """Returns the application that serves the store."""
        app = web.Application(client_max_size=4 * 1024 * 1024)
        app.add_routes(
            [
                web.get("/log-read", self._read),
                web.get("/log-newest", self._newest),
                web.post("/log-append", self._append),
            ]
        )
        return app

    def write(self, topic: str, key: str, value: object) -> float:
        """Writes a record, None drops the key; returns when it did."""
        data = None if value is None else json.dumps(value).encode()
        return self.write_raw(topic, key.encode(), data)

    def write_raw(self, topic: str, key: bytes, data: bytes | None) -> float:
        """Writes a record of bytes; returns when it did."""
        self.topics.setdefault(topic, []).append((key, data))
        for waiter in self._waiters.pop(topic, set()):
            if not waiter.done():
                waiter.set_result(None)
        return now()

    async def _read(self, request: web.Request) -> web.Response:
        self.calls += 1
        await asyncio.sleep(STORE_LATENCY_S)
        topic = request.query["topic"]
        records = self.topics.setdefault(topic, [])
        start = int(request.query["start-key"])
        wait_s = min(30.0, int(request.query.get("wait-ms", "0")) / 1000)
        if start >= len(records) and wait_s:
            waiter = asyncio.get_running_loop().create_future()
            self._waiters.setdefault(topic, set()).add(waiter)
            try:
                await asyncio.wait_for(waiter, wait_s)
            except TimeoutError:
                pass
        body = [len(records).to_bytes(8), (0).to_bytes(8)]
        for key, value in records[start:]:
            content = bytes([len(key)]) + key + (value or b"")
            body.append(len(content).to_bytes(4) + content)
        return web.Response(body=b"".join(body))

    async def _newest(self, request: web.Request) -> web.Response:
        self.calls += 1
        await asyncio.sleep(STORE_LATENCY_S)
        records = self.topics.setdefault(request.query["topic"], [])
        after = request.query.get("after", "").encode()
        newest: dict[bytes, tuple[int, bytes]] = {}
        for offset, (key, value) in enumerate(records):
            newest.pop(key, None)
            if value is not None:
                newest[key] = (offset, value)
        items = sorted(item for item in newest.items() if item[0] > after)
        page = items[:500]
        return web.json_response(
            {
                "items": [
                    {
                        "key": key.decode("utf-8", "replace"),
                        "value": base64.b64encode(value).decode(),
                        "offset": offset,
                    }
                    for key, (offset, value) in page
                ],
                "has-more": len(items) > len(page),
                "end-offset": len(records),
            }
        )

    async def _append(self, request: web.Request) -> web.Response:
        self.calls += 1
        await asyncio.sleep(STORE_LATENCY_S)
        topic = request.query["topic"]
        if topic in ("keyed.op", "keyed.servers"):
            return web.Response(status=403)
        data = await request.read()
        first = len(self.topics.setdefault(topic, []))
        while data:
            size = int.from_bytes(data[:4])
            content, data = data[4 : 4 + size], data[4 + size :]
            end = 1 + content[0]
            self.write_raw(topic, content[1:end], content[end:] or None)
        end_offset = len(self.topics[topic])
        return web.json_response({"offset": first, "end-offset": end_offset})


class Server:
    """One server: slots, a short queue, and a list of what it received."""

    def __init__(
        self, record: Record, name: str, zone: str, slots: int, work_s: float
    ) -> None:
        self.id = f"i-{name}"
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.address = ""
        self.state = "ready"
        # Whether its answers tell its load; those of some services do not.
        self.tells_load = True
        self.arrivals: list[tuple[float, str]] = []
        self.runs: list[tuple[float, str]] = []
        self.probes = 0
        self._record = record
        self._running = 0
        self._waiting = 0
        self._semaphore = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, address: str) -> None:
        """Listens on a loopback address."""
        host, _, port = address.rpartition(":")
        self.address = address
        self._server = await asyncio.start_server(
            self._serve, host, int(port), limit=1 << 20
        )

    def stop(self) -> None:
        """Ends at once, with every connection."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    def entry(self, service: str) -> dict[str, object]:
        """Returns its entry in the store."""
        self.sequence += 1
        return {
            "address": self.address,
            "info": {
                "service": service,
                "version": "v1",
                "zone": self.zone,
                "capacity": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": self.sequence,
                "cold-left-ms": 0,
            },
            "born": self.born,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
            await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        method, path, fields, _body = await read_request(reader)
        request_id = fields.get(f"{PREFIX}Request-Id".lower(), "")
        if path == "/health":
            self.probes += 1
            ready = self.state == "ready"
            self._answer(writer, 200 if ready else 503, "", b"", [])
            return self.state == "ready"
        at = now()
        self.arrivals.append((at, request_id))
        self._record.write(f"{self.id} gets {method} {path} {request_id}", at)
        wanted = fields.get(f"{PREFIX}Target-Instance".lower(), self.id)
        if wanted != self.id:
            not_run = [f"{PREFIX}Not-Executed: 1"]
            self._answer(writer, 421, request_id, b"", not_run)
            return True
        if self._waiting >= 2 * self.slots:
            not_run = [f"{PREFIX}Not-Executed: 1"]
            self._answer(writer, 503, request_id, b"", not_run)
            return True
        self._waiting += 1
        async with self._semaphore:
            self._waiting -= 1
            self._running += 1
            try:
                self.runs.append((now(), request_id))
                self._record.write(f"{self.id} runs {request_id}")
                await asyncio.sleep(self.work_s)
            finally:
                self._running -= 1
        body = f"{self.id} {request_id}".encode()
        signature = [f"{PREFIX}Server-Signature: {self.id}.{request_id}"]
        self._answer(writer, 200, request_id, body, signature)
        await writer.drain()
        return self.state == "ready"

    def _answer(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        request_id: str,
        body: bytes,
        lines: list[str],
    ) -> None:
        head = [
            f"HTTP/1.1 {status} Answer",
            f"Content-Length: {len(body)}",
            f"{PREFIX}Instance-Id: {self.id}",
            *lines,
        ]
        if self.state != "ready":
            # The page says so of an endpoint that is leaving.
            head.append("Connection: close")
        if self.tells_load:
            load = f"{self._running},{self._waiting},{self.slots},100"
            head.append(f"{PREFIX}Server-Load: {load}")
        if request_id:
            head.append(f"{PREFIX}Request-Id: {request_id}")
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)


async def read_request(
    reader: asyncio.StreamReader,
) -> tuple[str, str, dict[str, str], bytes]:
    """Reads a request: method, path, header fields in lower case, body."""
    first, fields = await read_head(reader)
    method, path, _ = first.split(" ", 2)
    return method, path, fields, await read_body(reader, fields)


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    """Reads a head: its first line and its fields."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.lower(): value.strip() for name, _, value in pairs}


async def read_body(
    reader: asyncio.StreamReader, fields: dict[str, str]
) -> bytes:
    """Reads the body that a head declares."""
    if "transfer-encoding" not in fields:
        return await reader.readexactly(int(fields.get("content-length", "0")))
    body = b""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readuntil(b"\r\n")
    return body


class Gate:
    """A gate host: a process of the project's own program."""

    def __init__(
        self, system: "System", name: str, zone: str, address: str
    ) -> None:
        self.name = name
        self.zone = zone
        self.ip = address
        self.system = system
        self.process: asyncio.subprocess.Process | None = None
        self.first_start = True
        # Times at which it was harmed by the case.
        self.harmed: list[float] = []
        # Address at which it reaches the store.
        self.store_address = system.store_address

    @property
    def front(self) -> str:
        """Its address for clients."""
        return f"{self.ip}:{self.system.front_port}"

    @property
    def control(self) -> str:
        """Its address for the other gate hosts."""
        return f"{self.ip}:{self.system.control_port}"

    async def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        path = self.system.directory / f"{self.name}.toml"
        path.write_text(self.system.settings(self), encoding="utf-8")
        self.first_start = False
        log = (self.system.directory / f"{self.name}.log").open("ab")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["FIREFLYSPINDLE_BOOT"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "fireflyspindle.platform",
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.system.record.write(f"{self.name} is started")

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        self.harmed.append(now())
        self.system.record.write(f"{self.name} gets {number.name}")
        self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Whether it answers the platform's check with 200."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, self.system.ready_port), 1.0
            )
        except (OSError, TimeoutError):
            return False
        try:
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: gate\r\n\r\n")
            first, _ = await asyncio.wait_for(read_head(reader), 1.0)
            return first.split(" ")[1] == "200"
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.transport.abort()


class System:
    """A running deployment; used as an asynchronous context manager."""

    def __init__(self, case: pathlib.Path, gates: int = 4) -> None:
        self.record = Record(case / "record.txt")
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self.store = Store()
        self.servers: dict[str, Server] = {}
        (
            self.front_port,
            self.ready_port,
            self.control_port,
            self.relay_port,
            self.store_port,
            self.server_port,
        ) = free_ports(6)
        self.gates = [
            Gate(
                self,
                f"edge-{ZONES[number % 3]}-{1 + number // 3}",
                ZONES[number % 3],
                f"127.10.{1 + number % 3}.{11 + number}",
            )
            for number in range(gates)
        ]
        self.bounds = dict(BOUNDS)
        self.contracts = list(CONTRACTS)
        self.version = 0
        self._server_numbers = itertools.count(1)
        self._runner: web.AppRunner | None = None
        self._ids = itertools.count(1)
        self._salt = f"{random.getrandbits(32):08x}"

    @property
    def seeds(self) -> list[str]:
        """Control addresses of the first three machines."""
        return [gate.control for gate in self.gates[:3]]

    @property
    def store_address(self) -> str:
        """Address of the store."""
        return f"127.10.200.7:{self.store_port}"

    def settings(self, gate: Gate) -> str:
        """Returns a settings file as the users' platform writes it."""
        lines = [
            "[self]",
            f'node-name = "{gate.name}"',
            'role = "gate"',
            'machine-class = "edge"',
            'serves = ["edge","control_plane"]',
            f'ip-address = "{gate.ip}"',
            f'zone = "{gate.zone}"',
            'region = "region-1"',
            "in-loss-budget = false",
            f"bootstrap = {str(gate.first_start).lower()}",
            "[self.limits]",
            "cpu-share = 0.86",
            "cpu-cores = 1",
            "memory-mb = 300",
            "max-fds = 4100",
            "link-mbps = 1000.0",
            "disk-mb = 0",
            "[network]",
            f"internal-ports = [{self.relay_port},{self.relay_port}]",
            f"seed-nodes = {json.dumps(self.seeds)}",
            "[network.listen-addrs]",
            f'front = "{gate.front}"',
            f'ready-addr = "{gate.ip}:{self.ready_port}"',
            f'control-addr = "{gate.control}"',
            "[network.zones]",
            *(f'{zone} = "region-1"' for zone in ZONES),
            "[platform]",
            'discovery = "platform"',
            'entry-mode = "vip"',
            "heartbeat-ms = 1500",
            "[platform.platform]",
            f'address = "{gate.store_address}"',
            'form = "log"',
            "writes-per-s = 400",
            "reads-per-s = 2000",
            "parts = 16",
            "append-ms = 3.0",
            "part-mb-per-s = 20.0",
            "read-mb-per-s = 80.0",
            "max-record-bytes = 262144",
            "max-call-bytes = 2097152",
            "keep_s = 300",
            "part-mb = 200",
            "ttl-min-ms = 1000",
            "[terms]",
            f"contracts = {json.dumps(self.contracts)}",
            "[terms.fault-tolerance]",
            "machines = 2",
            "zones = 0",
            "regions = 0",
            "[terms.contract-params]",
            *(
                f"{name} = {json.dumps(value)}"
                for name, value in self.bounds.items()
            ),
        ]
        return "\n".join(lines) + "\n"

    async def __aenter__(self) -> "System":
        """Starts the store."""
        self._runner = web.AppRunner(self.store.application(), access_log=None)
        await self._runner.setup()
        host, _, port = self.store_address.rpartition(":")
        await web.TCPSite(self._runner, host, int(port)).start()
        return self

    async def __aexit__(self, *_: object) -> None:
        """Ends every process that was started."""
        for gate in self.gates:
            process = gate.process
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        for server in self.servers.values():
            server.stop()
        if self._runner is not None:
            await self._runner.cleanup()
        self.record.close()
        shutil.rmtree(self.directory, ignore_errors=True)

    async def add_server(
        self,
        service: str,
        zone: str,
        slots: int = 6,
        work_s: float = 0.02,
        step_ms: int = 0,
        tells_load: bool = True,
    ) -> Server:
        """Starts a server, which registers in the store.

        Its machine's clock is ahead by `step_ms` at its start.
        """
        number = next(self._server_numbers)
        server = Server(
            self.record, f"{self._salt}{number:02x}", zone, slots, work_s
        )
        server.born += step_ms
        server.tells_load = tells_load
        await server.start(f"127.10.64.{number}:{self.server_port}")
        self.servers[server.id] = server
        self.register(server, service)
        return server

    def register(self, server: Server, service: str) -> float:
        """Writes the entry of a server; returns when the store had it."""
        at = self.store.write("keyed.servers", server.id, server.entry(service))
        self.record.write(f"the store has {server.id} as {server.state}", at)
        return at

    def remove(self, server: Server) -> float:
        """Removes the entry of a server that leaves without `draining`.

        Returns:
            When the store had removed it.
        """
        server.state = "leaving"
        at = self.store.write("keyed.servers", server.id, None)
        self.record.write(f"the store removes {server.id}", at)
        return at

    def configure(
        self,
        routes: dict[str, tuple[str, str]],
        timeout_ms: int = 1000,
        services: tuple[str, ...] = (),
    ) -> float:
        """Writes a configuration of routes: prefix to service and kind."""
        self.version += 2
        names = sorted(
            {service for service, _ in routes.values()} | {*services}
        )
        document = {
            "version": f"{self.version:08x}",
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 67108864,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": 15000,
            },
            "listeners": [
                {
                    "host": HOST,
                    "rules": [
                        {
                            "name": f"r-{prefix.strip('/')}",
                            "route-kind": kind,
                            "target-latency-ms": 300,
                            "priority": 1,
                            "match": {"path-prefix": prefix},
                            "action": {
                                "service": service,
                                "timeout-ms": timeout_ms,
                                "max-attempts": 2,
                            },
                        }
                        for prefix, (service, kind) in routes.items()
                    ],
                }
            ],
            "clusters": [
                {
                    "name": name,
                    "health-path": "/health",
                    "max-conns": 220,
                    "protocol": "h1",
                    "tls": False,
                }
                for name in names
            ],
        }
        at = self.store.write("keyed.op", "config", document)
        self.record.write(f"the store has configuration {self.version}", at)
        return at

    async def start_gates(self, timeout_s: float = 20.0) -> None:
        """Starts all gate hosts and waits until each says that it is ready."""
        for gate in self.gates:
            await gate.start()
        async with asyncio.timeout(timeout_s):
            for gate in self.gates:
                while not await gate.is_ready():
                    await asyncio.sleep(0.05)

    def new_id(self) -> str:
        """Returns an id for one attempt of a client."""
        return f"{self._salt}{next(self._ids):08x}"


class Client:
    """Sends requests to one gate host over a kept connection."""

    def __init__(self, system: System, gate: Gate) -> None:
        self.system = system
        self.gate = gate
        # By id: time of sending, method, status or None, time of the answer.
        self.sent: dict[str, tuple[float, str]] = {}
        self.answers: dict[str, tuple[float, int | None]] = {}
        self._streams: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None

    async def ask(
        self, method: str, path: str, deadline_ms: int = 1000
    ) -> int | None:
        """Sends one request; returns the status, None without an answer."""
        request_id = self.system.new_id()
        record = self.system.record
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(
                        self.gate.ip, self.system.front_port
                    )
                reader, writer = self._streams
                at = now()
                self.sent[request_id] = (at, method)
                record.write(
                    f"client sends {method} {path} {request_id} to"
                    f" {self.gate.name}",
                    at,
                )
                writer.write(
                    f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
                    f"{PREFIX}Request-Id: {request_id}\r\n"
                    f"{PREFIX}Deadline-Ms: {deadline_ms}\r\n"
                    "Content-Length: 0\r\n\r\n".encode()
                )
                first, fields = await read_head(reader)
                await read_body(reader, fields)
            status = int(first.split(" ")[1])
            if "close" in fields.get("connection", "").lower():
                self.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            status = None
            self.close()
        self.answers[request_id] = (now(), status)
        record.write(f"client gets {status} for {request_id}")
        return status

    def close(self) -> None:
        """Closes the connection."""
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None
