"""Faults of the store in the soak, and of the paths of gate hosts to it."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
import contextlib
import random

import attrs

from fireflyspindle import testing
from fireflyspindle.bench import soak_callers
from fireflyspindle.bench import soak_checks
from fireflyspindle.bench import soak_gates
from fireflyspindle.bench import store_process
from fireflyspindle.platform import crash_records
from fireflyspindle.testing import store as store_lib
from fireflyspindle.testing import tcp_proxy

# Faults of a path that cuts its gate host off from the store.
PATH_FAULTS = (
    tcp_proxy.Fault.REFUSE,
    tcp_proxy.Fault.SILENCE,
    tcp_proxy.Fault.ONE_WAY,
    tcp_proxy.Fault.RESET,
    tcp_proxy.Fault.RESET_ANSWERS,
)
REFUSE_STATUSES = (429, 503)
TOPIC_STATUSES = (404, 500)
# Bounds of the random pause between two faults, and of their durations.
PAUSE_S = (0.5, 2.5)
CUT_S = (0.5, 5.0)
SLOW_S = (1.0, 4.0)
OUTAGE_S = (0.5, 3.0)
TOPIC_S = (2.0, 6.0)
# A topic still fails this long after an outage of the store, so that the
# limits hold again before it recovers.
TOPIC_AFTER_OUTAGE_S = soak_checks.FAULT_FREE_S + 3.0
# Delays of the data on a slow path and of the answers of a slow store. Those of
# `SlowPhase` lie on either side of 1.2 s, which was once the limit for a read.
PATH_DELAY_S = (0.05, 0.8)
STORE_DELAY_S = (0.3, 3.0)
PHASE_DELAYS_S = ((0.3, 1.1), (1.25, soak_checks.MAX_SLOW_DELAY_S))
READERS_SHARE = 0.3
CRASH_TOPIC_SHARE = 0.7
OUTAGE_SHARE = 0.5
WRITE_SHARE = 0.5
# Times from the start of a phase at which versions are written, and its end. By
# then the version written last is due, after 13 s at most in `SlowPhase`.
SLOW_PHASE_WRITES_S = (3.0, 7.0)
SLOW_PHASE_S = 15.0
CUT_PHASE_WRITES_S = (1.0, 4.0)
CUT_PHASE_S = 8.0
# Time for which a topic fails before the outage in `TopicPhase`.
TOPIC_PHASE_S = 3.0


@attrs.define(frozen=True)
class SlowPhase:
    """The store answers after a delay.

    Attributes:
        delay_s: The delay.
    """

    delay_s: float


@attrs.define(frozen=True)
class TopicPhase:
    """Reads of the crash topic fail before, in and after an outage of all.

    Attributes:
        status: Status of these reads.
    """

    status: int


@attrs.define(frozen=True)
class CutPhase:
    """Some gate hosts are cut off from the store.

    Attributes:
        fault: Fault of their paths.
    """

    fault: tcp_proxy.Fault


Phase = SlowPhase | TopicPhase | CutPhase


class StoreFaults:
    """Injects faults into the store and into the paths to it.

    Its choices are separate from those of other faults, so that seeds keep the
    other faults that they had.

    Args:
        store: The store.
        seed: Seed of all random choices.
        record: Records the description of a fault.
        write: Writes a version of the configuration, given the number of its
            further routes.

    Attributes:
        observation: State of the store for the checks.
        phase: What happens to the store alone after all other faults, which
            would otherwise suspend the limits most of the time; None for some
            seeds.
    """

    def __init__(
        self,
        store: testing.StandInStore | store_process.StoreProcess,
        seed: int,
        record: Callable[[str], None],
        write: Callable[[int], None],
    ) -> None:
        self.observation = soak_checks.StoreObservation()
        self._store = store
        self._server: testing.Server | None = None
        self._delay_s = 0.0
        self._topic_fails = False
        self._record = record
        self._write = write
        self._random = random.Random(f"store {seed}")
        self.phase: Phase | None = self._random.choice(
            [
                None,
                SlowPhase(
                    self._random.uniform(*self._random.choice(PHASE_DELAYS_S))
                ),
                TopicPhase(self._random.choice(TOPIC_STATUSES)),
                CutPhase(self._random.choice(PATH_FAULTS)),
            ]
        )
        self._gates: list[soak_gates.Gate] = []
        self._running_faults = 0
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> str:
        """Starts the store and returns the address that paths lead to."""
        match self._store:
            case store_process.StoreProcess():
                await self._store.start()
                address = self._store.address
            case _:
                self._server = testing.Server(self._store.application())
                address = await self._server.start()
        self._proxy = tcp_proxy.TcpProxy(address)
        return await self._proxy.start()

    async def run(self, gates: list[soak_gates.Gate]) -> None:
        """Injects faults until the task is cancelled."""
        self._gates = gates
        while True:
            await asyncio.sleep(self._random.uniform(*PAUSE_S))
            fault = self._random.choice(
                [
                    self._cut_paths,
                    self._cut_paths,
                    self._slow_paths,
                    self._slow_store,
                    self._fail_topic,
                    self._fail_topic,
                ]
            )
            self._tasks.append(asyncio.create_task(fault()))

    async def wait(self) -> None:
        """Waits until the faults have ended."""
        await asyncio.gather(*self._tasks)

    async def run_phase(self, kill: Callable[[], Awaitable[None]]) -> None:
        """Runs the phase.

        Args:
            kill: Kills a gate host, which then starts during the phase.
        """
        match self.phase:
            case SlowPhase(delay_s):
                with self.slow(delay_s):
                    await kill()
                    await self._write_at(SLOW_PHASE_WRITES_S, SLOW_PHASE_S)
            case TopicPhase(status):
                with self._failing_topic(crash_records.TOPIC, status):
                    await kill()
                    await asyncio.sleep(TOPIC_PHASE_S)
                    await self._run_outage(max(OUTAGE_S))
            case CutPhase(fault):
                with self._path_fault(self._choose_gates(), fault):
                    await kill()
                    await self._write_at(CUT_PHASE_WRITES_S, CUT_PHASE_S)
            case None:
                pass

    async def _write_at(self, times_s: tuple[float, ...], end_s: float) -> None:
        """Writes versions at times from now, and waits for the end."""
        start_s = _now_s()
        for at_s in times_s:
            await asyncio.sleep(start_s + at_s - _now_s())
            self._write_version()
        await asyncio.sleep(start_s + end_s - _now_s())

    def _write_version(self) -> None:
        self._write(self._random.choice(soak_callers.EXTRA_ROUTES))

    async def _run_outage(self, duration_s: float) -> None:
        """Lets the store refuse all requests, and a version be written then."""
        status = self._random.choice(REFUSE_STATUSES)
        self._record(f"outage of the store: status {status}")
        outage = asyncio.create_task(self.refuse(status, duration_s))
        await asyncio.sleep(duration_s / 2)
        self._write_version()
        await outage
        await asyncio.sleep(TOPIC_AFTER_OUTAGE_S)

    async def close(self) -> None:
        """Ends the faults and closes the store."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._proxy.close()
        if self._server is not None:
            await self._server.close()
        if isinstance(self._store, store_process.StoreProcess):
            await self._store.kill()

    async def harm(self, fault: tcp_proxy.Fault, duration_s: float) -> None:
        """Injects a fault into the connections of all gate hosts."""
        with self.fault():
            self._proxy.fault = fault
            await asyncio.sleep(duration_s)
            self._proxy.fault = tcp_proxy.Fault.NONE

    async def refuse(self, status: int, duration_s: float) -> None:
        """Lets the store refuse every request."""
        with self.fault():
            self._store.set(refuse_status=status)
            await asyncio.sleep(duration_s)
            self._store.set(refuse_status=None)

    @contextlib.contextmanager
    def slow(self, delay_s: float) -> Iterator[None]:
        """Delays the answers of the store."""
        self._record(f"answers of the store delayed by {delay_s:.2f} s")
        self._set_delay(delay_s)
        self.observation.slow_since_s = _now_s()
        self.observation.slow_delay_s = delay_s
        try:
            yield
        finally:
            self._set_delay(0.0)
            self.observation.slow_since_s = None
            self.observation.last_slow_s = _now_s()

    def _set_delay(self, delay_s: float) -> None:
        self._delay_s = delay_s
        self._store.set(delay_s=delay_s)

    @contextlib.contextmanager
    def fault(self) -> Iterator[None]:
        """Records a fault of the whole store; several may overlap."""
        self._running_faults += 1
        self.observation.last_fault_s = float("inf")
        try:
            yield
        finally:
            self._running_faults -= 1
            if not self._running_faults:
                self.observation.last_fault_s = _now_s()

    @contextlib.contextmanager
    def _path_fault(
        self, gates: list[soak_gates.Gate], fault: tcp_proxy.Fault
    ) -> Iterator[None]:
        names = " ".join(gate.name for gate in gates)
        self._record(f"path to the store: {fault.value} for {names}")
        for gate in gates:
            gate.store_proxy.fault = fault
            gate.observation.last_path_fault_s = float("inf")
        try:
            yield
        finally:
            for gate in gates:
                gate.store_proxy.fault = tcp_proxy.Fault.NONE
                gate.observation.last_path_fault_s = _now_s()

    def _choose_gates(self) -> list[soak_gates.Gate]:
        """Returns the readers or some gate hosts, without disturbed paths."""
        readers = self._gates[: soak_gates.READER_COUNT]
        count = self._random.randint(1, max(1, len(self._gates) - 1))
        chosen = self._random.sample(self._gates, count)
        only_readers = self._random.random() < READERS_SHARE
        if only_readers and len(readers) < len(self._gates):
            chosen = readers
        return [
            gate
            for gate in chosen
            if gate.store_proxy.fault is tcp_proxy.Fault.NONE
        ]

    async def _cut_paths(self) -> None:
        gates = self._choose_gates()
        fault = self._random.choice(PATH_FAULTS)
        status = self._random.choice(REFUSE_STATUSES)
        duration_s = self._random.uniform(*CUT_S)
        for gate in gates:
            gate.store_proxy.refuse_status = status
        if not gates:
            return
        has_write = self._random.random() < WRITE_SHARE
        with self._path_fault(gates, fault):
            await asyncio.sleep(duration_s / 2)
            if has_write:
                self._write_version()
            await asyncio.sleep(duration_s / 2)

    async def _slow_paths(self) -> None:
        gates = self._choose_gates()
        delay_s = self._random.uniform(*PATH_DELAY_S)
        duration_s = self._random.uniform(*CUT_S)
        for gate in gates:
            gate.store_proxy.delay_s = delay_s
        if not gates:
            return
        with self._path_fault(gates, tcp_proxy.Fault.DELAY):
            await asyncio.sleep(duration_s)

    async def _slow_store(self) -> None:
        delay_s = self._random.uniform(*STORE_DELAY_S)
        duration_s = self._random.uniform(*SLOW_S)
        if self._delay_s:
            return
        with self.slow(delay_s):
            await asyncio.sleep(duration_s)

    async def _fail_topic(self) -> None:
        """Lets reads of one topic fail, at times around an outage of all."""
        topic = self._random.choice(store_lib.READ_ONLY_TOPICS)
        if self._random.random() < CRASH_TOPIC_SHARE:
            topic = crash_records.TOPIC
        status = self._random.choice(TOPIC_STATUSES)
        duration_s = self._random.uniform(*TOPIC_S)
        outage_s = self._random.uniform(*OUTAGE_S)
        has_outage = self._random.random() < OUTAGE_SHARE
        if self._topic_fails:
            return
        with self._failing_topic(topic, status):
            await asyncio.sleep(duration_s)
            if has_outage:
                await self._run_outage(outage_s)

    @contextlib.contextmanager
    def _failing_topic(self, topic: str, status: int) -> Iterator[None]:
        """Lets reads of a topic fail.

        That excuses nothing unless the topic holds the configuration or the
        servers.
        """
        self._record(f"reads of {topic}: status {status}")
        is_needed = topic in store_lib.READ_ONLY_TOPICS
        with self.fault() if is_needed else contextlib.nullcontext():
            self._topic_fails = True
            self._store.set(topic_statuses={topic: status})
            try:
                yield
            finally:
                self._topic_fails = False
                self._store.set(topic_statuses={})


def _now_s() -> float:
    return asyncio.get_running_loop().time()
