"""Ends of the store's process in the soak, and its starts."""

import asyncio
from collections.abc import Callable
import random

from fireflyspindle.bench import soak_gates
from fireflyspindle.bench import soak_store
from fireflyspindle.bench import store_process

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


class StoreRestarts:
    """Kills the process of the store and starts it again.

    Its choices are separate from those of other faults, which overlap with it.

    Args:
        store: The store.
        store_faults: The other faults of the store.
        seed: Seed of all random choices.
        record: Records the description of a fault.
    """

    def __init__(
        self,
        store: store_process.StoreProcess,
        store_faults: soak_store.StoreFaults,
        seed: int,
        record: Callable[[str], None],
    ) -> None:
        self._store = store
        self._store_faults = store_faults
        self._record = record
        self._random = random.Random(f"restarts {seed}")

    async def run(
        self,
        gates: list[soak_gates.Gate],
        write: Callable[[], None],
        write_lost: Callable[[], None],
    ) -> None:
        """Restarts the store at random times, until the task is cancelled.

        The store runs when this ends.

        Args:
            gates: The gate hosts.
            write: Writes a version of the configuration.
            write_lost: Writes one that the store doesn't keep.
        """
        while True:
            await asyncio.sleep(self._random.uniform(*PAUSE_S))
            is_lost = self._random.random() < LOST_SHARE
            (write_lost if is_lost else write)()
            lead_s = LOST_LEAD_S if is_lost else VERSION_LEAD_S
            await asyncio.sleep(self._random.uniform(*lead_s))
            await self._restart(gates, write)
            if self._random.random() < SERIES_SHARE:
                await asyncio.sleep(self._random.uniform(*SERIES_PAUSE_S))
                await self._restart(gates, write)

    async def _restart(
        self, gates: list[soak_gates.Gate], write: Callable[[], None]
    ) -> None:
        how = self._random.choice(RETURNS)
        queued = self._random.randint(0, MAX_QUEUED)
        down_s = self._random.uniform(*DOWN_S)
        self._record(
            f"end of the store for {down_s:.2f} s: {how}, {queued} versions"
        )
        with self._store_faults.fault():
            try:
                await self._store.kill()
                for gate in gates:
                    gate.store_proxy.refuse_connections()
                for _ in range(queued):
                    write()
                await asyncio.sleep(down_s)
            finally:
                await self._store.start(how)
                for gate in gates:
                    await gate.store_proxy.accept_connections()
