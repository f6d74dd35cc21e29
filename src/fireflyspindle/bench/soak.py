"""A randomized soak test of gate processes under injected faults.

The store and the servers are stand-ins in this process; each gate host is a
separate process. Callers reuse open connections. The checks use only what
callers and servers observe.
"""

import asyncio
from collections.abc import Iterator
import contextlib
import pathlib
import random
import signal
import tempfile

import attrs

from fireflyspindle.bench import soak_callers
from fireflyspindle.bench import soak_checks
from fireflyspindle.bench import soak_feeds
from fireflyspindle.bench import soak_gates
from fireflyspindle.bench import soak_restarts
from fireflyspindle.bench import soak_servers
from fireflyspindle.bench import soak_store
from fireflyspindle.bench import store_process
from fireflyspindle.testing import store as store_lib
from fireflyspindle.testing import tcp_proxy

# Time after the last fault within which calls must be served again.
RECOVERY_S = 5.0
# Minimum share of calls served after recovery.
MIN_SERVED_SHARE = 0.9
# Limit on draining a server (`drain-ms`).
DRAIN_LIMIT_S = 2.0
# Some 24 processes start at once, at times beside other load.
START_TIMEOUT_S = 30.0
FAULT_SPACING_S = 0.7
# Bounds of the pause between planned stops of gate hosts with a short grace.
SHORT_STOP_PAUSE_S = (2.0, 6.0)
# Limits that servers state, in requests per second, and for how long.
SERVER_LIMITS_PER_S = (0.5, 2.0, 5.0, 20.0)
SERVER_LIMIT_S = 6.0
PROXY_FAULTS = [
    fault
    for fault in tcp_proxy.Fault
    if fault not in (tcp_proxy.Fault.NONE, tcp_proxy.Fault.REFUSE)
]


@attrs.define
class Report:
    """Results of a soak run."""

    seed: int
    calls: int = 0
    served: int = 0
    faults: list[str] = attrs.field(factory=list)
    violations: list[str] = attrs.field(factory=list)


class Soak:
    """One soak run.

    Args:
        seed: Seed of all random choices.
        seconds: Time during which faults are injected.
        hosts: Number of gate hosts.
        servers: Number of servers.
        other_build: Sources of another build of this project; gate hosts then
            start from either by turns.
    """

    def __init__(
        self,
        seed: int,
        seconds: float,
        hosts: int,
        servers: int,
        other_build: pathlib.Path | None = None,
    ) -> None:
        self.report = Report(seed)
        self._random = random.Random(seed)
        self._size_random = random.Random(seed)
        self._limit_random = random.Random(seed)
        self._stop_random = random.Random(seed)
        self._seconds = seconds
        self._host_count = hosts
        self._server_count = servers
        self._other_build = other_build
        self._directory = tempfile.TemporaryDirectory()
        self._store = store_process.StoreProcess(
            pathlib.Path(self._directory.name)
        )
        self._gates: list[soak_gates.Gate] = []
        self._servers: list[soak_servers.Server] = []
        self._all_servers: list[soak_servers.Server] = []
        self._version = 1
        self._last_pause_s = -1e9
        self._fault_tasks: list[asyncio.Task[None]] = []
        self._planned_stops: list[soak_checks.Span] = []
        self._fault_spans: list[soak_checks.Span] = []
        self._store_faults = soak_store.StoreFaults(
            self._store, seed, self._record_fault, self._write_next_version
        )
        self._restarts = soak_restarts.StoreRestarts(
            self._store,
            self._store_faults,
            seed,
            self._record_fault,
            lambda: self._write_next_version(0),
            self._write_lost_version,
        )
        self._full_links = soak_feeds.FullLinks(seed, self._record_fault)
        self._configuration_check = soak_checks.ConfigurationCheck(
            self._store_faults.observation
        )

    async def run(self) -> Report:
        """Runs the soak and returns its report."""
        with self._directory as directory:
            try:
                await self._start(pathlib.Path(directory))
                await self._run_faults()
            finally:
                await self._stop()
            if self.report.violations:
                self._save_logs()
        return self.report

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()

    async def _start(self, directory: pathlib.Path) -> None:
        store_address = await self._store_faults.start()
        self._configure(self._size_random.choice(soak_callers.EXTRA_ROUTES))
        other_server = await soak_servers.start_server(
            len(self._all_servers), soak_callers.OTHER_SERVICE
        )
        other_server.register(self._store, "ready")
        self._all_servers.append(other_server)
        for _ in range(self._server_count):
            await self._add_server()
        self._gates = await soak_gates.make_gates(
            directory, self._host_count, store_address, self._other_build
        )
        await asyncio.gather(*(gate.start() for gate in self._gates))
        self.callers = soak_callers.Callers(
            [gate.observation.address for gate in self._gates],
            random.Random(self._random.random()),
        )
        await self.callers.wait_served(START_TIMEOUT_S)

    def _write_next_version(self, extra_routes: int) -> None:
        self._version += 1
        self._configure(extra_routes)

    def _configure(self, extra_routes: int) -> None:
        version = self._version
        document = soak_callers.document(version, extra_routes)
        self._configuration_check.on_submitted(version)
        acknowledged = self._store.write(
            store_lib.CONFIGURATION_TOPIC, "config", document
        )
        acknowledged.add_done_callback(
            lambda _: self._configuration_check.on_written(version)
        )

    def _write_lost_version(self) -> None:
        """Writes a version that the store neither acknowledges nor keeps."""
        self._version += 1
        self._configuration_check.on_submitted(self._version)
        self._store.write_unkept(
            store_lib.CONFIGURATION_TOPIC,
            "config",
            soak_callers.document(self._version),
        )

    async def _add_server(self) -> None:
        server = await soak_servers.start_server(len(self._all_servers))
        self._servers.append(server)
        self._all_servers.append(server)
        server.register(self._store, "ready")

    async def _run_faults(self) -> None:
        caller_task = asyncio.create_task(self.callers.run())
        background_tasks = [
            asyncio.create_task(self._limit_servers()),
            asyncio.create_task(self._store_faults.run(self._gates)),
            asyncio.create_task(self._stop_with_short_grace()),
            asyncio.create_task(self._full_links.run(self._gates)),
            asyncio.create_task(self._restarts.run(self._gates)),
        ]
        poll_tasks = [
            asyncio.create_task(
                self._configuration_check.poll(gate.observation)
            )
            for gate in self._gates
        ]
        starvation = soak_gates.record_starvation(
            self._gates, self._record_fault
        )
        poll_tasks.append(asyncio.create_task(starvation))
        end_s = self._now_s() + self._seconds
        while self._now_s() < end_s:
            await self._inject_fault()
            pause_s = FAULT_SPACING_S * self._random.random() * 2
            await asyncio.sleep(pause_s)
        for task in background_tasks:
            task.cancel()
        await asyncio.gather(*background_tasks, return_exceptions=True)
        await asyncio.gather(*self._fault_tasks)
        await self._store_faults.wait()
        await self._restarts.wait()
        if self._configuration_check.is_unacknowledged:
            # The store has lost the newest one; the checks need another.
            self._write_next_version(0)
        await self._store_faults.run_phase(self._kill)
        await self._restarts.run_last(self._gates)
        await asyncio.sleep(RECOVERY_S)
        before = self.callers.counts()
        await asyncio.sleep(RECOVERY_S)
        after = self.callers.counts()
        self.callers.stop()
        await caller_task
        for task in poll_tasks:
            task.cancel()
        await asyncio.gather(*poll_tasks, return_exceptions=True)
        self._check(before, after)

    def _record_fault(self, description: str) -> None:
        self.report.faults.append(f"{self._now_s():.2f} {description}")

    async def _inject_fault(self) -> None:
        faults = [
            self._kill,
            self._stop_planned,
            self._pause,
            self._harm_server,
            self._harm_store,
            self._refuse_store,
            self._forget,
            self._change,
            self._replace,
            self._fail_server,
            self._harm_feed,
        ]
        chosen = self._random.choice(faults)
        self._record_fault(chosen.__name__[1:])
        self._fault_tasks.append(asyncio.create_task(chosen()))

    @contextlib.contextmanager
    def _recorded_fault(self, address: str = "") -> Iterator[None]:
        """Records the duration of a fault that may interrupt requests.

        Args:
            address: Address of the gate host; empty if the fault is not
                limited to one gate host.
        """
        start_s = self._now_s()
        observations = [
            gate.observation
            for gate in self._gates
            if gate.observation.address == address
        ]
        for observation in observations:
            observation.last_fault_s = float("inf")
        try:
            yield
        finally:
            end_s = self._now_s()
            for observation in observations:
                observation.last_fault_s = end_s
            self._fault_spans.append(soak_checks.Span(address, start_s, end_s))

    async def _kill(self) -> None:
        gate = self._random.choice(self._gates)
        with self._recorded_fault(gate.observation.address):
            gate.send_signal(signal.SIGCONT)
            gate.send_signal(signal.SIGKILL)
            await gate.wait()
            await gate.start()

    async def _stop_with_short_grace(self) -> None:
        """Stops gate hosts while some requests have no time left to end."""
        gates = [
            gate
            for gate in self._gates
            if gate.grace_s == soak_gates.SHORT_GRACE_S
        ]
        while gates:
            pause_s = self._stop_random.uniform(*SHORT_STOP_PAUSE_S)
            await asyncio.sleep(pause_s)
            gate = self._stop_random.choice(gates)
            self._record_fault(f"stop of {gate.name}")
            address = gate.observation.address
            self._fault_tasks += [
                asyncio.create_task(self._stop_gate(gate)),
                asyncio.create_task(self.callers.send_long_requests(address)),
            ]

    async def _stop_planned(self) -> None:
        await self._stop_gate(self._random.choice(self._gates))

    async def _stop_gate(self, gate: soak_gates.Gate) -> None:
        start_s = self._now_s()
        gate.observation.last_stop_s = float("inf")
        gate.send_signal(signal.SIGHUP)
        gate.send_signal(signal.SIGTERM)
        address = gate.observation.address
        try:
            async with asyncio.timeout(gate.grace_s):
                await gate.wait()
        except TimeoutError:
            self._record_fault(f"SIGKILL of {gate.name} after {gate.grace_s} s")
            with self._recorded_fault(address):
                gate.send_signal(signal.SIGKILL)
                await gate.wait()
        stop = soak_checks.Span(address, start_s, self._now_s(), gate.grace_s)
        self._planned_stops.append(stop)
        await gate.start()
        gate.observation.last_fault_s = self._now_s()
        gate.observation.last_stop_s = self._now_s()

    async def _pause(self) -> None:
        gate = self._random.choice(self._gates)
        self._last_pause_s = float("inf")
        with self._recorded_fault(gate.observation.address):
            gate.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self._random.uniform(0.2, 3.0))
            gate.send_signal(signal.SIGCONT)
        self._last_pause_s = self._now_s()

    async def _harm_feed(self) -> None:
        """Injects a fault where a gate host relays store records to others.

        The limits must hold during this fault too, so it is not recorded as a
        fault that suspends them.
        """
        proxy = self._random.choice(self._gates).control_proxy
        proxy.fault = self._random.choice(PROXY_FAULTS)
        await asyncio.sleep(self._random.uniform(0.5, 3.0))
        proxy.fault = tcp_proxy.Fault.NONE

    async def _harm_server(self) -> None:
        server = self._random.choice(self._servers)
        server.last_fault_s = float("inf")
        with self._recorded_fault():
            server.proxy.fault = self._random.choice(PROXY_FAULTS)
            await asyncio.sleep(self._random.uniform(0.5, 3.0))
            server.proxy.fault = tcp_proxy.Fault.NONE
        server.last_fault_s = self._now_s()

    async def _harm_store(self) -> None:
        fault = self._random.choice(PROXY_FAULTS)
        duration_s = self._random.uniform(*soak_store.OUTAGE_S)
        await self._store_faults.harm(fault, duration_s)

    async def _refuse_store(self) -> None:
        status = self._random.choice(soak_store.REFUSE_STATUSES)
        duration_s = self._random.uniform(*soak_store.OUTAGE_S)
        await self._store_faults.refuse(status, duration_s)

    async def _forget(self) -> None:
        self._store.forget(store_lib.TARGETS_TOPIC)
        self._store.forget(store_lib.CONFIGURATION_TOPIC)

    async def _change(self) -> None:
        self._version += self._random.randint(1, 3)
        self._configure(self._size_random.choice(soak_callers.EXTRA_ROUTES))

    async def _fail_server(self) -> None:
        server = self._random.choice(self._servers).stand_in
        server.failing = True
        await asyncio.sleep(self._random.uniform(0.5, 2.0))
        server.failing = False

    async def _limit_servers(self) -> None:
        """Lets one server after the other state a limit on its requests."""
        while True:
            server = self._limit_random.choice(self._servers)
            limit_per_s = self._limit_random.choice(SERVER_LIMITS_PER_S)
            start_s = self._now_s()
            starts = [gate.observation.starts for gate in self._gates]
            server.stand_in.limit_per_s = limit_per_s
            try:
                await asyncio.sleep(SERVER_LIMIT_S)
            finally:
                server.stand_in.limit_per_s = None
            restarted = starts != [
                gate.observation.starts for gate in self._gates
            ]
            last_fault_s = max(self._last_pause_s, server.last_fault_s)
            if restarted or last_fault_s >= start_s:
                continue
            self.report.violations += server.check_limit(
                limit_per_s, start_s, self._now_s()
            )

    async def _replace(self) -> None:
        """Replaces a server: drains it, or removes it without notice."""
        server = self._servers.pop(self._random.randrange(len(self._servers)))
        await self._add_server()
        if self._random.random() < 0.5:
            server.register(self._store, "draining")
        else:
            server.remove(self._store)
        start_s = self._now_s()
        await asyncio.sleep(DRAIN_LIMIT_S + soak_checks.MARGIN_S)
        limit_s = self._now_s()
        await asyncio.sleep(DRAIN_LIMIT_S)
        last_fault_s = max(
            self._store_faults.observation.last_disturbed_s,
            self._last_pause_s,
            server.last_fault_s,
        )
        undisturbed = last_fault_s < start_s - RECOVERY_S
        late = server.arrivals_after(
            limit_s,
            lambda request_id: self._reached_store(
                request_id, start_s - RECOVERY_S
            ),
        )
        if undisturbed and late:
            self.report.violations.append(
                f"leaving: {server.stand_in.server_id} received a request"
                f" {late[0] - start_s:.2f} s after it left"
            )

    def _reached_store(self, request_id: str, since_s: float) -> bool:
        """Returns whether the gate host of a request reached the store."""
        if request_id in self.callers.results:
            address = self.callers.results[request_id].address
        else:
            addresses = self._configuration_check.probe_addresses
            address = addresses.get(request_id, "")
        return all(
            gate.observation.last_path_fault_s < since_s
            for gate in self._gates
            if gate.observation.address == address
        )

    def _check(self, before: tuple[int, int], after: tuple[int, int]) -> None:
        report = self.report
        report.calls, report.served = after
        sent, served = after[0] - before[0], after[1] - before[1]
        if served < MIN_SERVED_SHARE * sent:
            report.violations.append(
                f"recovery: {served} of {sent} calls were served after the"
                " last fault"
            )
        report.violations += self.callers.violations
        runs = soak_servers.count_runs(self._all_servers)
        report.violations += self.callers.check_runs(runs)
        report.violations += self._configuration_check.violations
        if self._configuration_check.is_unacknowledged:
            report.violations.append("store: the newest version is not kept")
        report.violations += self._configuration_check.check_moved(
            soak_servers.services_of_runs(self._all_servers)
        )
        report.violations += soak_checks.find_requests_cut_by_stops(
            self.callers.results,
            soak_servers.count_arrivals(self._all_servers),
            self._planned_stops,
            self._fault_spans,
        )
        report.violations += soak_checks.find_own_answers_in_stops(
            self.callers.results,
            soak_servers.latest_work(self._all_servers),
            self._planned_stops,
            self._fault_spans,
        )
        report.violations += soak_checks.find_requests_without_answer(
            self.callers.results, self._fault_spans
        )

    def _save_logs(self) -> None:
        for gate in self._gates:
            name = f"soak-{self.report.seed}-{gate.name}.log"
            pathlib.Path(name).write_bytes(gate.log.read_bytes())

    async def _stop(self) -> None:
        for task in self._fault_tasks:
            task.cancel()
        await asyncio.gather(*self._fault_tasks, return_exceptions=True)
        for gate in self._gates:
            gate.send_signal(signal.SIGCONT)
            gate.send_signal(signal.SIGKILL)
        await asyncio.gather(*(gate.wait() for gate in self._gates))
        # Afterwards, since the system may give a port to a server of another
        # run, which would receive what a gate host still sends.
        for gate in self._gates:
            await gate.control_proxy.close()
            await gate.store_proxy.close()
        for server in self._all_servers:
            await server.proxy.close()
            with contextlib.suppress(RuntimeError):
                await server.web_server.close()
        await self._store_faults.close()
