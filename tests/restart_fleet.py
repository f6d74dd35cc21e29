"""Gate host processes around a store that is killed and starts again."""

import asyncio
import collections
import functools
import itertools
import json

import attrs

from fireflyspindle import testing
from fireflyspindle.bench import soak_callers
from fireflyspindle.bench import soak_checks
from fireflyspindle.bench import soak_gates
from fireflyspindle.bench import soak_servers
from fireflyspindle.bench import store_process
from fireflyspindle.testing import platform_documents
from fireflyspindle.testing import store as store_lib

HOSTS = 6
ZONES = ("a", "b", "c")
OLD_SERVICE = platform_documents.SERVICE
NEW_SERVICE = "t"
SERVERS_PER_SERVICE = 2
# Most versions of a configuration. Each has a route of its own, and moves two
# routes, which all versions have, from the old service to the new one.
VERSIONS = 12
# Time after which a version has to be in force: from its acknowledgement, and
# from the return of the store.
APPLY_LIMIT_S = soak_checks.APPLY_LIMIT_S
RETURN_LIMIT_S = soak_checks.FAULT_FREE_S
MARGIN_S = 0.3
# Further time after which a server that left runs no request (`drain-ms`).
DRAIN_LIMIT_S = 2.0
PROBE_INTERVAL_S = 0.15
PROBE_TIMEOUT_S = 2.0
START_TIMEOUT_S = 30.0
# Kinds of probes: a route that a version adds, and the two that it moves, one
# of which may run once only.
ADDED = "version"
MOVED = "moved"
MOVED_ONCE = "moved-once"
KINDS = (ADDED, MOVED, MOVED_ONCE)


@attrs.define
class Probe:
    """A request for a route that a version adds or moves.

    Attributes:
        request_id: Id of the request.
        host: Name of the gate host that it was sent to.
        version: The version.
        kind: One of `KINDS`.
        sent_s: Time at which it was sent.
        ended_s: Time of the response or the time-out.
        status: Status; 0 without a response in time.
    """

    request_id: str
    host: str
    version: int
    kind: str
    sent_s: float
    ended_s: float = float("inf")
    status: int = 0


def document(version, extra_routes=0):
    """Returns a version, which has the routes of all before it."""
    routes = soak_callers.further_routes(extra_routes)
    services = {}
    for other in range(1, VERSIONS + 1):
        for kind in (MOVED, MOVED_ONCE):
            name = f"{kind}-{other}"
            is_once = kind == MOVED_ONCE
            route_kind = "non_idempotent" if is_once else "idempotent"
            routes[name] = (f"/{name}/", route_kind)
            if other <= version:
                services[name] = NEW_SERVICE
        if other <= version:
            routes[f"{ADDED}-{other}"] = (f"/{ADDED}-{other}/", "idempotent")
    return platform_documents.configuration_document(
        version, soak_callers.HOST, routes, soak_callers.DEADLINE_MS, services
    )


class Fleet:
    """Gate hosts, the store, and what callers and servers saw.

    Attributes:
        newest: Newest version that was given to the store.
        acknowledged_s: Time at which the store acknowledged each version.
        outages: Start and end of each time without a store.
        probes: Every request that was sent.
        left_s: Time at which the store acknowledged that a server left.
        harmed: Start and end of each fault of a host, by its name.
        extra_routes: Number of further routes of each version.
    """

    def __init__(self, directory, other_build=None):
        self.directory = directory
        self.other_build = other_build
        self.store = store_process.StoreProcess(directory)
        self.newest = 0
        self.acknowledged_s = {}
        self.outages = []
        self.probes = []
        self.gates = []
        self.servers = []
        self.left_s = {}
        self.harmed = collections.defaultdict(list)
        self.extra_routes = 0
        self._numbers = itertools.count(1)
        self._tasks = []

    @property
    def now_s(self):
        """Time of the event loop."""
        return asyncio.get_running_loop().time()

    async def start(self):
        """Starts all processes, and waits until each host serves a version."""
        await self.store.start()
        await self.write()
        for service in (OLD_SERVICE, NEW_SERVICE):
            for _ in range(SERVERS_PER_SERVICE):
                await self.add_server(service)
        self.gates = await soak_gates.make_gates(
            self.directory,
            HOSTS,
            self.store.address,
            self.other_build,
            zones=ZONES,
            has_store_proxies=False,
        )
        await asyncio.gather(*(self.start_gate(gate) for gate in self.gates))
        async with asyncio.timeout(START_TIMEOUT_S):
            for gate, kind in itertools.product(self.gates, KINDS):
                while (await self.send(gate, 1, kind)).status != 200:
                    await asyncio.sleep(PROBE_INTERVAL_S)
        self.probes.clear()
        self._tasks = [
            asyncio.create_task(self._probe_often(gate)) for gate in self.gates
        ]

    async def start_gate(self, gate):
        """Starts a host, from the other build if there is one."""
        if self.other_build is not None:
            gate.observation.starts |= 1
        await gate.start()

    async def add_server(self, service):
        """Starts a server and writes its entry."""
        server = await soak_servers.start_server(len(self.servers), service)
        server.stand_in.service_time_s = 0.002
        self.servers.append(server)
        server.register(self.store, "ready")
        return server

    def register_again(self):
        """Writes the entry of each server once more, as it is."""
        for server in self.servers:
            if server not in self.left_s:
                server.register(self.store, "ready")

    async def replace_servers(self):
        """Removes the servers of the new service and adds others."""
        old = [
            server for server in self.servers if server.service == NEW_SERVICE
        ]
        for server in old:
            self.left_s[server] = float("inf")
            acknowledged = self.store.write(
                store_lib.TARGETS_TOPIC, server.stand_in.server_id, None
            )
            acknowledged.add_done_callback(
                functools.partial(self._on_left, server)
            )
        for _ in old:
            await self.add_server(NEW_SERVICE)

    def _on_left(self, server, future):
        if not future.cancelled():
            self.left_s[server] = future.result()

    def write(self):
        """Writes the next version; returns its acknowledgement."""
        self.newest += 1
        version = self.newest
        acknowledged = self.store.write(
            store_lib.CONFIGURATION_TOPIC,
            "config",
            document(version, self.extra_routes),
        )
        acknowledged.add_done_callback(
            lambda future: self._on_acknowledged(version, future)
        )
        return acknowledged

    def _on_acknowledged(self, version, future):
        if not future.cancelled():
            self.acknowledged_s[version] = future.result()

    def write_unacknowledged(self):
        """Writes a version that hosts read, but that the store loses."""
        self.newest += 1
        self.store.write_unkept(
            store_lib.CONFIGURATION_TOPIC,
            "config",
            document(self.newest, self.extra_routes),
        )

    async def kill_store(self):
        """Ends the store's process."""
        await self.store.kill()
        self.outages.append((self.store.killed_s, float("inf")))

    async def start_store(self, how):
        """Starts the store's process again."""
        await self.store.start(how)
        self.outages[-1] = self.store.killed_s, self.store.returned_s

    async def send(self, gate, version, kind):
        """Sends a request for a route that a version adds or moves."""
        request_id = f"r{next(self._numbers)}"
        probe = Probe(request_id, gate.name, version, kind, self.now_s)
        self.probes.append(probe)
        method = "POST" if kind == MOVED_ONCE else "GET"
        head = soak_callers.request(
            method, f"/{kind}-{version}/{request_id}", request_id
        )
        connection = None
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                connection = await testing.connect(gate.observation.address)
                response = await connection.ask(head)
            if response is not None:
                probe.status = int(response.first_line.split()[1])
        except (TimeoutError, OSError):
            pass
        finally:
            if connection is not None:
                connection.close()
        probe.ended_s = self.now_s
        return probe

    async def _probe_often(self, gate):
        """Asks a host for the newest versions until cancelled."""
        for kind in itertools.cycle((MOVED_ONCE, MOVED)):
            await asyncio.sleep(PROBE_INTERVAL_S)
            due = max(
                (v for v in self.acknowledged_s if self.due_s(v) < self.now_s),
                default=1,
            )
            versions = {self.newest, due}
            await asyncio.gather(
                *(
                    self.send(gate, version, each)
                    for version in versions
                    for each in (ADDED, kind)
                )
            )

    def due_s(self, version, host=""):
        """Returns when a host that is not harmed has to serve a version.

        Args:
            version: The version.
            host: Name of the host, whose faults then count.
        """
        return min(
            (
                self._due_s(at_s, host)
                for other, at_s in self.acknowledged_s.items()
                if other >= version
            ),
            default=float("inf"),
        )

    def _due_s(self, acknowledged_s, host=""):
        due_s = acknowledged_s + APPLY_LIMIT_S
        for start_s, end_s in sorted(self.outages + self.harmed[host]):
            if start_s < due_s and end_s > acknowledged_s:
                due_s = max(due_s, end_s + RETURN_LIMIT_S)
        return due_s + MARGIN_S

    async def end(self):
        """Ends all processes."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for gate in self.gates:
            if gate.process is not None and gate.process.returncode is None:
                gate.process.kill()
        for gate in self.gates:
            await gate.wait()
            await gate.control_proxy.close()
            await gate.store_proxy.close()
        for server in self.servers:
            await server.proxy.close()
            await server.web_server.close()
        await self.store.kill()

    def service_of_runs(self):
        """Returns the services that ran each request, by its id."""
        services = collections.defaultdict(set)
        for server in self.servers:
            for request_id in server.stand_in.runs:
                services[request_id].add(server.service)
        return services

    def is_due(self, probe):
        """Returns whether its host had to serve the version of a probe."""
        is_harmed = any(
            start_s <= probe.sent_s <= end_s + RETURN_LIMIT_S
            for start_s, end_s in self.harmed[probe.host]
        )
        due_s = self.due_s(probe.version, probe.host)
        return probe.sent_s > due_s and not is_harmed

    def late_hosts(self):
        """Returns the due probes that show that a host lacked a version.

        A 503 of a host that has served the version before has other causes.
        """
        served = set()
        late = []
        for probe in sorted(self.probes, key=lambda probe: probe.ended_s):
            if probe.kind != ADDED:
                continue
            if probe.status == 200:
                served.add((probe.host, probe.version))
            elif self.is_due(probe) and (
                probe.status == 404
                or (probe.status and (probe.host, probe.version) not in served)
            ):
                late.append(probe)
        return late

    def unserved(self):
        """Returns hosts that served none of several due probes in a row."""
        failures = collections.Counter()
        found = set()
        for probe in sorted(self.probes, key=lambda probe: probe.ended_s):
            if probe.kind != ADDED or not self.is_due(probe):
                continue
            if probe.ended_s == float("inf"):
                continue
            failures[probe.host] += 1
            if probe.status == 200:
                failures[probe.host] = 0
            if failures[probe.host] >= soak_checks.UNSERVED_PROBES:
                found.add(probe.host)
        return sorted(found)

    def old_runs(self, *, in_outage=False):
        """Returns the requests for moved routes that the old service ran.

        Args:
            in_outage: Whether to return those sent after the limit from the
                acknowledgement, but before that from the store's return.
        """
        services = self.service_of_runs()
        found = []
        for probe in self.probes:
            if probe.kind == ADDED:
                continue
            if OLD_SERVICE not in services[probe.request_id]:
                continue
            is_late = self.is_due(probe)
            was_accepted = any(
                other >= probe.version
                and at_s + APPLY_LIMIT_S + MARGIN_S < probe.sent_s
                for other, at_s in self.acknowledged_s.items()
            )
            if is_late if not in_outage else was_accepted and not is_late:
                found.append(probe)
        return found

    def runs_by_left_servers(self):
        """Returns the requests that servers ran too long after they left."""
        left = {}
        for server, at_s in self.left_s.items():
            limit_s = self._due_s(at_s) + DRAIN_LIMIT_S
            left |= dict.fromkeys(server.stand_in.runs, limit_s)
        return [
            probe
            for probe in self.probes
            if probe.sent_s > left.get(probe.request_id, float("inf"))
        ]

    def unserved_moves(self):
        """Returns hosts that served no due request for a moved route."""
        seen = collections.defaultdict(set)
        for probe in self.probes:
            is_due = probe.sent_s > self.due_s(probe.version) + DRAIN_LIMIT_S
            if probe.kind != ADDED and is_due and probe.ended_s < float("inf"):
                seen[probe.host].add(probe.status)
        return sorted(host for host in seen if 200 not in seen[host])

    def reverted(self):
        """Returns probes of a host that show an older version than before."""
        services = self.service_of_runs()
        shown_s = {}
        for probe in self.probes:
            key = probe.host, probe.version
            if probe.kind == ADDED:
                is_new = probe.status == 200
            else:
                is_new = services[probe.request_id] == {NEW_SERVICE}
            if is_new:
                at_s = min(probe.ended_s, shown_s.get(key, float("inf")))
                shown_s[key] = at_s
        return [
            probe
            for probe in self.probes
            if probe.sent_s
            > shown_s.get((probe.host, probe.version), float("inf"))
            and (
                probe.status == 404
                if probe.kind == ADDED
                else OLD_SERVICE in services[probe.request_id]
            )
        ]

    def log_lines(self):
        """Returns the lines of the hosts' logs since the first outage."""
        lines = []
        for gate in self.gates:
            for text in gate.log.read_text().splitlines():
                try:
                    lines.append((gate.name, json.loads(text)))
                except ValueError:
                    lines.append((gate.name, {"message": text}))
        return lines


def describe(probes, origin_s):
    """Returns hosts, statuses and times of probes as text."""
    by_host = collections.Counter(probe.host for probe in probes)
    shown = [
        f"{probe.host} {probe.kind}-{probe.version} at"
        f" {probe.sent_s - origin_s:+.2f}: {probe.status}"
        for probe in probes[:3] + probes[-3:]
    ]
    return f"{len(probes)} requests, by host {dict(by_host)}; {shown}"
