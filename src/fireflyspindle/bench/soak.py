"""A randomized soak: real gate processes under faults from outside them.

The store and the servers are stand-ins in this process; gate hosts are
processes of their own. Callers keep using open connections. The checks see
only what callers and servers saw.
"""

import asyncio
from collections.abc import Iterator
import contextlib
import pathlib
import random
import signal
import tempfile

import attrs

from fireflyspindle import testing
from fireflyspindle.bench import soak_callers
from fireflyspindle.bench import soak_gates
from fireflyspindle.bench import soak_promises
from fireflyspindle.testing import platform_documents
from fireflyspindle.testing import platform_server
from fireflyspindle.testing import store as store_lib
from fireflyspindle.testing import tcp_proxy

# Time after the last fault at which calls have to be served again.
RECOVERY_S = 5.0
# Share of the calls that have to be served then.
RECOVERED_SHARE = 0.9
# Bounds of the users.
DRAIN_S = 2.0
GRACE_S = 6.0
START_S = 10.0
FAULT_SPACING_S = 0.7
# What a proxy may do to the connections through it.
HARMS = [harm for harm in tcp_proxy.Harm if harm is not tcp_proxy.Harm.NONE]


@attrs.define(eq=False)
class Server:
    """One server behind its proxy.

    Attributes:
        stand_in: The server.
        web_server: Serves it.
        proxy: Stands before it.
        address: Address of the proxy.
        born_ms: Time of its start, as it registers it.
        harmed_s: Time of the loop at which its proxy last did harm.
    """

    stand_in: platform_server.StandInServer
    web_server: testing.Server
    proxy: tcp_proxy.TcpProxy
    address: str
    born_ms: int
    harmed_s: float = -1e9


@attrs.define
class Report:
    """What a soak found."""

    seed: int
    calls: int = 0
    served: int = 0
    faults: list[str] = attrs.field(factory=list)
    violations: list[str] = attrs.field(factory=list)


class Soak:
    """One run.

    Args:
        seed: Seed of everything that is drawn.
        seconds: Time during which faults come.
        hosts: Number of gate hosts.
        servers: Number of servers.
    """

    def __init__(
        self, seed: int, seconds: float, hosts: int, servers: int
    ) -> None:
        self.report = Report(seed)
        self._random = random.Random(seed)
        self._seconds = seconds
        self._hosts = hosts
        self._servers_wanted = servers
        self._store = testing.StandInStore()
        self._gates: list[soak_gates.Gate] = []
        self._servers: list[Server] = []
        self._all_servers: list[Server] = []
        self._version = 1
        self._store_fault_s = -1e9
        self._pause_s = -1e9
        self._tasks: list[asyncio.Task[None]] = []
        self._stops: list[soak_promises.Span] = []
        self._faults: list[soak_promises.Span] = []
        self._configurations = soak_promises.Configurations(
            lambda: self._store_fault_s
        )

    async def run(self) -> Report:
        """Runs the soak and returns what it found."""
        with tempfile.TemporaryDirectory() as folder:
            try:
                await self._start(pathlib.Path(folder))
                await self._play()
            finally:
                await self._stop()
            if self.report.violations:
                self._keep_logs()
        return self.report

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()

    async def _start(self, folder: pathlib.Path) -> None:
        self._store_server = testing.Server(self._store.application())
        self._store_proxy = tcp_proxy.TcpProxy(await self._store_server.start())
        store_address = await self._store_proxy.start()
        self._configure()
        for _ in range(self._servers_wanted):
            await self._add_server()
        self._gates = await soak_gates.make(folder, self._hosts, store_address)
        await asyncio.gather(*(gate.start() for gate in self._gates))
        self.callers = soak_callers.Callers(
            [gate.watched.address for gate in self._gates],
            random.Random(self._random.random()),
        )
        await self.callers.wait_served(START_S)

    def _configure(self) -> None:
        document = soak_callers.document(self._version)
        self._store.write(store_lib.CONFIGURATION_TOPIC, "config", document)
        self._configurations.wrote(self._version)

    async def _add_server(self) -> None:
        number = len(self._all_servers)
        stand_in = platform_server.StandInServer(f"i-{number}")
        web_server = testing.Server(stand_in.application())
        proxy = tcp_proxy.TcpProxy(await web_server.start())
        address = await proxy.start()
        server = Server(stand_in, web_server, proxy, address, 1_000 + number)
        self._servers.append(server)
        self._all_servers.append(server)
        self._register(server, "ready")

    def _register(self, server: Server, state: str) -> None:
        entry = platform_documents.entry(server.address, state, server.born_ms)
        key = server.stand_in.server_id
        self._store.write(store_lib.TARGETS_TOPIC, key, entry)

    async def _play(self) -> None:
        calling = asyncio.create_task(self.callers.run())
        watching = [
            asyncio.create_task(self._configurations.watch(gate.watched))
            for gate in self._gates
        ]
        end_s = self._now_s() + self._seconds
        while self._now_s() < end_s:
            await self._fault()
            pause_s = FAULT_SPACING_S * self._random.random() * 2
            await asyncio.sleep(pause_s)
        await asyncio.gather(*self._tasks)
        await asyncio.sleep(RECOVERY_S)
        before = self.callers.count()
        await asyncio.sleep(RECOVERY_S)
        after = self.callers.count()
        self.callers.stop()
        await calling
        for each in watching:
            each.cancel()
        await asyncio.gather(*watching, return_exceptions=True)
        self._check(before, after)

    async def _fault(self) -> None:
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
        at_s = self._now_s()
        self.report.faults.append(f"{at_s:.2f} {chosen.__name__[1:]}")
        self._tasks.append(asyncio.create_task(chosen()))

    @contextlib.contextmanager
    def _disturbed(self, address: str = "") -> Iterator[None]:
        """Notes the time of a fault that may cut requests."""
        began_s = self._now_s()
        gates = [g.watched for g in self._gates if g.watched.address == address]
        for gate in gates:
            gate.disturbed_s = float("inf")
        try:
            yield
        finally:
            end_s = self._now_s()
            for gate in gates:
                gate.disturbed_s = end_s
            self._faults.append(soak_promises.Span(address, began_s, end_s))

    async def _kill(self) -> None:
        gate = self._random.choice(self._gates)
        with self._disturbed(gate.watched.address):
            gate.send(signal.SIGCONT)
            gate.send(signal.SIGKILL)
            await gate.wait()
            await gate.start()

    async def _stop_planned(self) -> None:
        gate = self._random.choice(self._gates)
        began_s = self._now_s()
        gate.send(signal.SIGHUP)
        gate.send(signal.SIGTERM)
        address = gate.watched.address
        try:
            async with asyncio.timeout(GRACE_S):
                await gate.wait()
        except TimeoutError:
            with self._disturbed(address):
                gate.send(signal.SIGKILL)
                await gate.wait()
        stop = soak_promises.Span(address, began_s, self._now_s())
        self._stops.append(stop)
        await gate.start()
        gate.watched.disturbed_s = self._now_s()

    async def _pause(self) -> None:
        gate = self._random.choice(self._gates)
        self._pause_s = float("inf")
        with self._disturbed(gate.watched.address):
            gate.send(signal.SIGSTOP)
            await asyncio.sleep(self._random.uniform(0.2, 3.0))
            gate.send(signal.SIGCONT)
        self._pause_s = self._now_s()

    async def _harm_feed(self) -> None:
        """Harms what a gate host passes on; the bounds hold all the same."""
        feed = self._random.choice(self._gates).feed
        feed.harm = self._random.choice(HARMS)
        await asyncio.sleep(self._random.uniform(0.5, 3.0))
        feed.harm = tcp_proxy.Harm.NONE

    async def _harm_server(self) -> None:
        server = self._random.choice(self._servers)
        server.harmed_s = float("inf")
        with self._disturbed():
            server.proxy.harm = self._random.choice(HARMS)
            await asyncio.sleep(self._random.uniform(0.5, 3.0))
            server.proxy.harm = tcp_proxy.Harm.NONE
        server.harmed_s = self._now_s()

    async def _harm_store(self) -> None:
        self._store_proxy.harm = self._random.choice(HARMS)
        await self._store_outage()
        self._store_proxy.harm = tcp_proxy.Harm.NONE

    async def _refuse_store(self) -> None:
        self._store.refuse_status = self._random.choice([429, 503])
        await self._store_outage()
        self._store.refuse_status = None

    async def _store_outage(self) -> None:
        self._store_fault_s = float("inf")
        await asyncio.sleep(self._random.uniform(0.5, 3.0))
        self._store_fault_s = self._now_s()

    async def _forget(self) -> None:
        self._store.forget(store_lib.TARGETS_TOPIC)
        self._store.forget(store_lib.CONFIGURATION_TOPIC)

    async def _change(self) -> None:
        self._version += self._random.randint(1, 3)
        self._configure()

    async def _fail_server(self) -> None:
        server = self._random.choice(self._servers).stand_in
        server.failing = True
        await asyncio.sleep(self._random.uniform(0.5, 2.0))
        server.failing = False

    async def _replace(self) -> None:
        """Replaces a server that leaves, or leaves without a word."""
        server = self._servers.pop(self._random.randrange(len(self._servers)))
        await self._add_server()
        if self._random.random() < 0.5:
            self._register(server, "draining")
        else:
            key = server.stand_in.server_id
            self._store.write(store_lib.TARGETS_TOPIC, key, None)
        began_s = self._now_s()
        await asyncio.sleep(DRAIN_S + soak_promises.LAG_S)
        bound_s = self._now_s()
        await asyncio.sleep(DRAIN_S)
        last_fault_s = max(self._store_fault_s, self._pause_s, server.harmed_s)
        calm = last_fault_s < began_s - RECOVERY_S
        late = [at_s for at_s in server.stand_in.reached_s if at_s > bound_s]
        if calm and late:
            self.report.violations.append(
                f"leaving: {server.stand_in.server_id} was reached"
                f" {late[0] - began_s:.2f} s after it left"
            )

    def _check(self, before: tuple[int, int], after: tuple[int, int]) -> None:
        report = self.report
        report.calls, report.served = after
        asked, served = after[0] - before[0], after[1] - before[1]
        if served < RECOVERED_SHARE * asked:
            report.violations.append(
                f"recovery: {served} of {asked} calls were served after the"
                " last fault"
            )
        report.violations += self.callers.violations
        runs: dict[str, int] = {}
        for server in self._all_servers:
            for request_id, count in server.stand_in.runs.items():
                runs[request_id] = runs.get(request_id, 0) + count
        report.violations += self.callers.check_runs(runs)
        report.violations += self._configurations.violations
        report.violations += soak_promises.cut_at_stops(
            self.callers.told, runs, self._stops, self._faults
        )

    def _keep_logs(self) -> None:
        for gate in self._gates:
            name = f"soak-{self.report.seed}-{gate.name}.log"
            pathlib.Path(name).write_bytes(gate.log.read_bytes())

    async def _stop(self) -> None:
        for gate in self._gates:
            gate.send(signal.SIGCONT)
            gate.send(signal.SIGKILL)
            await gate.wait()
            await gate.feed.close()
        for server in self._all_servers:
            await server.proxy.close()
            with contextlib.suppress(RuntimeError):
                await server.web_server.close()
        await self._store_proxy.close()
        await self._store_server.close()
