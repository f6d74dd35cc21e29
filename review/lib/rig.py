"""Stand-ins for a script case: store, endpoints, clients, and real gate hosts.

Only the standard library is used. Everything listens on 127.0.0.1. The gate
hosts are processes, started with the command of deploy/system.toml.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
P = "X-Fireflyspindle-"


def free_port() -> int:
    """Returns a free port below those that the system gives out itself."""
    while True:
        port = random.SystemRandom().randrange(20_000, 32_000)
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


def reset(writer) -> None:
    """Resets a connection."""
    sock = writer.get_extra_info("socket")
    try:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    except (AttributeError, OSError):
        pass  # It is closed already.
    writer.transport.abort()


class Record:
    """Writes record.txt."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


# ---- HTTP ------------------------------------------------------------------


async def read_head(reader):
    """Returns the lines of a head, or None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data[:-4].split(b"\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(b":")
        fields.setdefault(name.strip().lower().decode("latin-1"), []).append(
            value.strip().decode("latin-1")
        )
    return lines[0], fields


async def read_body(reader, fields):
    if "chunked" in ",".join(fields.get("transfer-encoding", [])):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size:
                body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                return body
    length = int(fields.get("content-length", ["0"])[0])
    return await reader.readexactly(length) if length else b""


# ---- store -----------------------------------------------------------------


class Store:
    """The platform's store: keyed topics with one partition each."""

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Event()
        self.address = ""

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def write(self, topic, key, value):
        if value is not None and not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.topics.setdefault(topic, []).append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                status, answer, kind = await self._answer(head[0], body)
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: %s\r\n"
                    b"Content-Length: %d\r\n\r\n"
                    % (status, kind, len(answer))
                    + answer
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, line, body):
        target = line.split(b" ")[1].decode()
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        name = query.get("topic", "")
        js = b"application/json"
        if url.path == "/log-read":
            start = int(query["start-key"])
            if start >= len(self.topics.get(name, [])):
                changed, end = self.changed, time.monotonic()
                end += int(query.get("wait-ms", "0")) / 1000
                while start >= len(self.topics.get(name, [])):
                    left = end - time.monotonic()
                    if left <= 0:
                        break
                    try:
                        await asyncio.wait_for(changed.wait(), left)
                    except TimeoutError:
                        break
                    changed = self.changed
            records = self.topics.get(name, [])
            out = len(records).to_bytes(8) + (0).to_bytes(8)
            for key, value in records[start:]:
                content = bytes([len(key)]) + key.encode() + (value or b"")
                out += len(content).to_bytes(4) + content
            return 200, out, b"application/octet-stream"
        records = self.topics.get(name, [])
        if url.path == "/log-newest":
            newest = {}
            for offset, (key, value) in enumerate(records):
                newest.pop(key, None)
                if value is not None:
                    newest[key] = (offset, value)
            items = [
                {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "offset": offset,
                }
                for key, (offset, value) in sorted(newest.items())
                if key > query.get("after", "")
            ]
            page = {
                "items": items[:500],
                "has-more": len(items) > 500,
                "end-offset": len(records),
            }
            return 200, json.dumps(page).encode(), js
        if url.path == "/log-append":
            if name in ("keyed.op", "keyed.servers"):
                return 403, b"{}", js
            first = len(records)
            while body:
                size = int.from_bytes(body[:4])
                content, body = body[4 : 4 + size], body[4 + size :]
                end = 1 + content[0]
                self.write(name, content[1:end].decode(), content[end:] or None)
            end = len(self.topics.get(name, []))
            answer = {"offset": first, "end-offset": end}
            return 200, json.dumps(answer).encode(), js
        return 404, b"{}", js

    def register(self, endpoint, state="ready", sequence=1):
        self.write(
            "keyed.servers",
            endpoint.id,
            {
                "address": endpoint.address,
                "info": {
                    "service": endpoint.service,
                    "version": "v1",
                    "zone": "a",
                    "capacity": endpoint.slots,
                },
                "status": {
                    "state": state,
                    "sequence": sequence,
                    "cold-left-ms": 0,
                },
                "born": endpoint.born,
            },
        )


def config(version, routes, services):
    """Routes: (name, prefix, kind, service, timeout_ms, objective_ms)."""
    return {
        "version": f"{version:08x}",
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 67108864,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "listeners": [
            {
                "host": "h.example",
                "rules": [
                    {
                        "name": name,
                        "route-kind": kind,
                        "target-latency-ms": objective,
                        "priority": 1,
                        "match": {"path-prefix": prefix},
                        "action": {
                            "service": service,
                            "timeout-ms": timeout,
                            "max-attempts": 2,
                        },
                    }
                    for name, prefix, kind, service, timeout, objective in routes
                ],
            }
        ],
        "clusters": [
            {
                "name": name,
                "health-path": "/health",
                "max-conns": 260,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
    }


# ---- endpoints -------------------------------------------------------------


class Endpoint:
    """An endpoint; `behave(endpoint, request, writer)` may replace a run."""

    def __init__(self, id, service, record, slots=4, work_s=0.05, behave=None):
        self.id, self.service, self.record = id, service, record
        self.slots, self.work_s, self.behave = slots, work_s, behave
        self.born = int(time.time() * 1000)
        self.running = 0
        self.runs = []  # (request id, method, target, body)
        self.writers = set()
        self.address = ""
        self.server = None
        self.healthy = True

    async def start(self, port=0):
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, limit=1 << 20
        )
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def crash(self):
        """The process is gone: connections are reset, the port is closed."""
        self.server.close()
        for writer in list(self.writers):
            reset(writer)

    def load(self):
        return f"{P}Server-Load: {self.running},0,{self.slots},100\r\n"

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                line, fields = head
                method, target, _ = line.decode("latin-1").split(" ", 2)
                if target == "/health":
                    status = 200 if self.healthy else 503
                    writer.write(
                        (
                            f"HTTP/1.1 {status} X\r\n{P}Instance-Id: {self.id}"
                            f"\r\n{self.load()}Content-Length: 0\r\n\r\n"
                        ).encode()
                    )
                    continue
                rid = fields.get(P.lower() + "request-id", [""])[0]
                wanted = fields.get(P.lower() + "target-instance", [self.id])[0]
                body = await read_body(reader, fields)
                request = {
                    "id": rid,
                    "method": method,
                    "target": target,
                    "fields": fields,
                    "body": body,
                }
                if wanted != self.id:
                    self.reply(writer, request, 421, not_run=True)
                    continue
                if self.running >= self.slots:
                    self.reply(writer, request, 503, not_run=True)
                    continue
                self.running += 1
                try:
                    self.runs.append((rid, method, target, body))
                    self.record(f"endpoint {self.id} runs {rid} {method}")
                    if self.behave is not None:
                        if await self.behave(self, request, writer) == "close":
                            return
                        continue
                    await asyncio.sleep(self.work_s)
                finally:
                    self.running -= 1
                self.reply(writer, request, 200)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def reply(self, writer, request, status, *, not_run=False, extra=""):
        body = b"" if not_run else f"{self.id} {request['id']}".encode()
        lines = f"HTTP/1.1 {status} X\r\n{P}Request-Id: {request['id']}\r\n"
        if not_run:
            lines += f"{P}Not-Executed: 1\r\n{P}Instance-Id: {self.id}\r\n"
        else:
            lines += f"{P}Server-Signature: {self.id}.{request['id']}\r\n"
        lines += self.load() + extra
        lines += f"Content-Length: {len(body)}\r\n\r\n"
        writer.write(lines.encode() + body)
        self.record(f"endpoint {self.id} answers {request['id']} {status}")


# ---- gate hosts ------------------------------------------------------------


class Gate:
    """A gate host process on 127.0.0.1, as the deploy file starts it."""

    def __init__(self, name, store, record, seeds=None, zone="a", control=None):
        self.name, self.store, self.record = name, store, record
        self.front, self.ready = free_port(), free_port()
        self.control = control or free_port()
        self.internal = free_port()
        self.seeds = seeds or [f"127.0.0.1:{self.control}"]
        self.zone = zone
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.process = None

    def settings(self):
        return f"""
[self]
node-name = "{self.name}"
role = "gate"
machine-class = "edge"
serves = ["edge", "control_plane"]
ip-address = "127.0.0.1"
zone = "{self.zone}"
region = "r"
in-loss-budget = false
bootstrap = true
[self.limits]
cpu-share = 0.86
cpu-cores = 1
memory-mb = 300
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[network]
internal-ports = [{self.internal}, {self.internal}]
seed-nodes = {json.dumps(self.seeds)}
[network.listen-addrs]
front = "127.0.0.1:{self.front}"
ready-addr = "127.0.0.1:{self.ready}"
control-addr = "127.0.0.1:{self.control}"
[network.zones]
a = "r"
[platform]
discovery = "platform"
entry-mode = "vip"
heartbeat-ms = 1500
[platform.platform]
address = "{self.store.address}"
form = "log"
writes-per-s = 400
reads-per-s = 2000
parts = 16
append-ms = 3.0
part-mb-per-s = 20.0
read-mb-per-s = 80.0
max-record-bytes = 262144
max-call-bytes = 2097152
keep_s = 300
part-mb = 200
ttl-min-ms = 1000
[terms]
contracts = ["base", "drain", "config", "cost", "retry", "recover", "health", "platform"]
[terms.fault-tolerance]
machines = 2
zones = 0
regions = 0
[terms.contract-params]
seed-lag-s = 3
addr-reuse-s = 2
contact-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 6
loss-slack-ms = 200
config-apply-ms = 2000
rollback-slack-ms = 250
max-skew-ms = 5000
retry-budget-ratio = 0.2
budget-window-s = 10
retry-slack = 62
recovery-s = 15
probes-per-s = 60
"""

    async def start(self):
        path = pathlib.Path(self.folder, "settings.toml")
        path.write_text(self.settings(), encoding="utf-8")
        deploy = tomllib.loads(
            (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
        )
        run = deploy["roles"]["gate"]["run"].split()
        run[0] = sys.executable if run[0] == "python3" else run[0]
        env = {
            "PATH": os.environ["PATH"],
            "HOME": self.folder,
            "LANG": "C.UTF-8",
            "PYTHONPATH": globals().get("ROOT_DEPS")
            or str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "FIREFLYSPINDLE_BOOT": str(path),
        }
        self.log = open(pathlib.Path(self.folder, "log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *run, cwd=ROOT, env=env, stdout=self.log, stderr=self.log
        )
        self.record(f"gate {self.name} started, pid {self.process.pid}")

    async def wait_ready(self, limit_s=20):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self.ready
                )
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                head = await asyncio.wait_for(read_head(reader), 1)
                writer.close()
                if head and b" 200 " in head[0] + b" ":
                    return True
            except (OSError, TimeoutError):
                pass
            if self.process.returncode is not None:
                return False
            await asyncio.sleep(0.05)
        return False

    def signal(self, number):
        self.record(f"gate {self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def stop(self):
        if self.process is None or self.process.returncode is not None:
            return
        self.process.send_signal(signal.SIGCONT)
        self.process.terminate()
        try:
            await asyncio.wait_for(self.process.wait(), 7)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()

    def log_text(self):
        return pathlib.Path(self.folder, "log").read_text(errors="replace")


# ---- clients ---------------------------------------------------------------


def request_bytes(rid, method, target, body=b"", deadline_ms=2000, extra=""):
    lines = (
        f"{method} {target} HTTP/1.1\r\nHost: h.example\r\n"
        f"{P}Request-Id: {rid}\r\n{P}Deadline-Ms: {deadline_ms}\r\n{extra}"
    )
    if body or method in ("POST", "PUT"):
        lines += f"Content-Length: {len(body)}\r\n"
    return lines.encode("latin-1") + b"\r\n" + body


async def read_answer(reader):
    """Returns (status, fields, body, complete); None if there is no answer."""
    while True:
        head = await read_head(reader)
        if head is None:
            return None
        status = int(head[0].split(b" ")[1])
        if status == 100:
            continue
        try:
            body = await read_body(reader, head[1])
        except (asyncio.IncompleteReadError, ConnectionError, ValueError) as e:
            return status, head[1], getattr(e, "partial", b""), False
        return status, head[1], body, True


async def call(gate, rid, method, target, body=b"", deadline_ms=2000, extra=""):
    """Sends one request on a new connection; returns its answer or a word."""
    gate.record(f"client sends {rid} {method} {target}")
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", gate.front)
    except OSError as error:
        gate.record(f"client {rid}: no connection ({error})")
        return "no connection"
    try:
        writer.write(
            request_bytes(rid, method, target, body, deadline_ms, extra)
        )
        answer = await asyncio.wait_for(
            read_answer(reader), deadline_ms / 1000 + 3
        )
    except TimeoutError:
        gate.record(f"client {rid}: no answer 3 s after its deadline")
        return "silence"
    except OSError as error:
        answer = None
        gate.record(f"client {rid}: {error!r}")
    finally:
        writer.close()
    shown = "closed" if answer is None else f"{answer[0]} {answer[2][:80]!r}"
    gate.record(f"client {rid} gets {shown}")
    return answer if answer is not None else "closed"
