"""Ends of the store's process in the soak, and its starts."""

import asyncio
from collections.abc import Callable
import enum
import random

from fireflyspindle.bench import soak_gates
from fireflyspindle.bench import soak_store
from fireflyspindle.bench import store_process
from fireflyspindle.testing import store as store_lib

# Pause between two outages, or between the two of a series, and their length.
PAUSE_S = (1.0, 9.0)
SERIES_PAUSE_S = (0.1, 1.5)
DOWN_S = (0.5, 3.0)
SERIES_SHARE = 0.3
# Time from a version to the end of the process: not even the readers may have
# read it. After a version that the store loses, hosts get some more time.
VERSION_LEAD_S = (0.0, 0.4)
LOST_LEAD_S = (0.1, 0.6)
# Versions that are written while the process doesn't run.
MAX_QUEUED = 3
RETURNS: tuple[store_process.Return, ...] = (
    store_process.AsBefore(),
    store_process.HistoryDropped(),
    store_process.Renumbered(),
)
LOST_SHARE = 0.3
# Time for hosts to read a version before the last outage, and its length.
LAST_LEAD_S = 0.8
LAST_DOWN_S = 1.5


class Last(enum.Enum):
    """What the store has kept in the last outage of a run.

    The versions that are written in it end where the hosts' positions are, so
    that these show nothing, and no later version makes up for them.

    Attributes:
        LOST: It lost a version that hosts had read; one is written.
        RENUMBERED: Its numbers begin again at 0; as many versions are written
            as the hosts' positions need.
    """

    LOST = "lost"
    RENUMBERED = "renumbered"


class StoreRestarts:
    """Kills the process of the store and starts it again.

    Its choices are separate from those of other faults, which overlap with it.

    Args:
        store: The store.
        store_faults: The other faults of the store.
        seed: Seed of all random choices.
        record: Records the description of a fault.
        write: Writes a version of the configuration.
        write_lost: Writes one that the store doesn't keep.

    Attributes:
        last: What the store has kept in an outage after all other faults; None
            for seeds without one.
    """

    def __init__(
        self,
        store: store_process.StoreProcess,
        store_faults: soak_store.StoreFaults,
        seed: int,
        record: Callable[[str], None],
        write: Callable[[], None],
        write_lost: Callable[[], None],
    ) -> None:
        self._store = store
        self._store_faults = store_faults
        self._record = record
        self._write = write
        self._write_lost = write_lost
        self._random = random.Random(f"restarts {seed}")
        self._outage: asyncio.Task[None] | None = None
        self.last: Last | None = self._random.choice([None, *Last])

    async def run(
        self,
        gates: list[soak_gates.Gate],
    ) -> None:
        """Restarts the store at random times, until the task is cancelled.

        An outage that has begun goes on then; `wait` waits for its end.

        Args:
            gates: The gate hosts.
        """
        while True:
            await asyncio.sleep(self._random.uniform(*PAUSE_S))
            outage = self._run_outage(gates)
            self._outage = asyncio.create_task(outage)
            await asyncio.shield(self._outage)

    async def wait(self) -> None:
        """Waits until the store runs."""
        if self._outage is not None:
            await self._outage

    async def _run_outage(
        self,
        gates: list[soak_gates.Gate],
    ) -> None:
        is_lost = self._random.random() < LOST_SHARE
        (self._write_lost if is_lost else self._write)()
        lead_s = LOST_LEAD_S if is_lost else VERSION_LEAD_S
        await asyncio.sleep(self._random.uniform(*lead_s))
        await self._restart_randomly(gates)
        if self._random.random() < SERIES_SHARE:
            await asyncio.sleep(self._random.uniform(*SERIES_PAUSE_S))
            await self._restart_randomly(gates)

    async def run_last(
        self,
        gates: list[soak_gates.Gate],
    ) -> None:
        """Restarts the store after all other faults, if the seed has that."""
        match self.last:
            case None:
                return
            case Last.LOST:
                self._write_lost()
                how: store_process.Return = store_process.AsBefore()
                queued: int | None = 1
            case Last.RENUMBERED:
                self._write()
                how = store_process.Renumbered()
                queued = None
        await asyncio.sleep(LAST_LEAD_S)
        await self._restart(gates, how, queued, LAST_DOWN_S)

    async def _restart_randomly(self, gates: list[soak_gates.Gate]) -> None:
        how = self._random.choice(RETURNS)
        queued = self._random.randint(0, MAX_QUEUED)
        down_s = self._random.uniform(*DOWN_S)
        await self._restart(gates, how, queued, down_s)

    async def _restart(
        self,
        gates: list[soak_gates.Gate],
        how: store_process.Return,
        queued: int | None,
        down_s: float,
    ) -> None:
        """Restarts the store.

        Args:
            gates: The gate hosts.
            how: What the store has kept.
            queued: Number of versions that are written meanwhile; None for as
                many as a store that is numbered anew has lost.
            down_s: Time until it starts.
        """
        self._record(
            f"end of the store for {down_s:.2f} s: {how},"
            f" {'as many' if queued is None else queued} versions"
        )
        with self._store_faults.fault():
            try:
                await self._store.kill()
                for gate in gates:
                    gate.store_proxy.refuse_connections()
                if queued is None:
                    kept = store_process.KeptStore(self._store.path)
                    topic = kept.topics[store_lib.CONFIGURATION_TOPIC]
                    queued = topic.end_offset - len(topic.newest())
                for _ in range(queued):
                    self._write()
                await asyncio.sleep(down_s)
            finally:
                await self._store.start(how)
                for gate in gates:
                    await gate.store_proxy.accept_connections()
