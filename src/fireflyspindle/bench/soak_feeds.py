"""Full links between the gate hosts of a soak."""

import asyncio
from collections.abc import Callable
import random

from fireflyspindle.bench import soak_gates

# Pause between two times in which links are full, and their length.
PAUSE_S = (1.0, 4.0)
FULL_S = (2.0, 8.0)
# Growth of the queues, in seconds a second, and their longest time. A new
# connection still succeeds at first.
GROWTH = 0.3
LONGEST_QUEUE_S = (1.0, 4.0)
STEP_S = 0.1


class FullLinks:
    """Lets what gate hosts relay wait in queues that grow.

    The limits must hold meanwhile, so this suspends no check.

    Args:
        seed: Seed of all random choices.
        record_fault: Called with a description of each fault.
    """

    def __init__(self, seed: int, record_fault: Callable[[str], None]) -> None:
        self._random = random.Random(seed)
        self._record_fault = record_fault

    async def run(self, gates: list[soak_gates.Gate]) -> None:
        """Fills links at random times, until the task is cancelled."""
        readers = gates[: soak_gates.READER_COUNT]
        while True:
            await asyncio.sleep(self._random.uniform(*PAUSE_S))
            count = self._random.randint(1, len(readers))
            chosen = self._random.sample(readers, count)
            names = ", ".join(gate.name for gate in chosen)
            self._record_fault(f"full links of {names}")
            try:
                await self._fill(chosen)
            finally:
                for gate in chosen:
                    gate.control_proxy.queue_s = 0.0

    async def _fill(self, gates: list[soak_gates.Gate]) -> None:
        longest_s = self._random.uniform(*LONGEST_QUEUE_S)
        steps = int(self._random.uniform(*FULL_S) / STEP_S)
        for step in range(steps):
            for gate in gates:
                queue_s = min(longest_s, step * STEP_S * GROWTH)
                gate.control_proxy.queue_s = queue_s
            await asyncio.sleep(STEP_S)
