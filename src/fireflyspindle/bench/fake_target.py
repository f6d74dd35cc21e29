"""A target in virtual time: slots, a queue, and a door that may be shut."""

import collections
from collections.abc import Callable
import random

import attrs

from fireflyspindle.bench import virtual


@attrs.define(eq=False)
class Work:
    """One request at a target.

    Attributes:
        on_start: Called when the target begins to run it.
        on_done: Called when it has run.
        started: Whether it began to run.
        cancelled: Whether its connection was closed.
    """

    on_start: Callable[[], None]
    on_done: Callable[[], None]
    started: bool = False
    cancelled: bool = False


@attrs.define
class FakeTarget:
    """Runs requests in slots, first come first served.

    Attributes:
        address: Address of the target.
        slots: Requests that it runs at once.
        mean_service_us: Mean of the exponential service time.
        slowdown: Factor on service times.
        failing: Whether it fails every request at once.
        leaving: Whether it says on answers that it is leaving.
        shut: Whether it refuses connections.
        incarnation: Number of times that it started.
    """

    address: str
    timeline: virtual.Timeline
    random: random.Random
    slots: int = 4
    mean_service_us: int = 5_000
    slowdown: float = 1.0
    failing: bool = False
    leaving: bool = False
    shut: bool = False
    incarnation: int = 1
    _running: int = 0
    _queue: collections.deque[Work] = attrs.field(factory=collections.deque)

    @property
    def in_flight(self) -> int:
        """Requests that it runs or queues."""
        return self._running + len(self._queue)

    def take(self, work: Work) -> None:
        """Takes a request."""
        self._queue.append(work)
        self._fill()

    def cancel(self, work: Work) -> None:
        """Drops a request that has not begun to run."""
        work.cancelled = True
        if work in self._queue:
            self._queue.remove(work)

    def _fill(self) -> None:
        while self._queue and self._running < self.slots:
            work = self._queue.popleft()
            work.started = True
            self._running += 1
            work.on_start()
            rate = 1 / (self.mean_service_us * self.slowdown)
            service_us = int(self.random.expovariate(rate))
            self.timeline.after(service_us, self._finisher(work))

    def _finisher(self, work: Work) -> Callable[[], None]:
        def finish() -> None:
            self._running -= 1
            work.on_done()
            self._fill()

        return finish
