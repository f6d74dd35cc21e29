"""Simulated target in virtual time, with slots and a FIFO queue."""

import collections
from collections.abc import Callable
import random

import attrs

from fireflyspindle.bench import virtual


@attrs.define(eq=False)
class Request:
    """One request at a target.

    Attributes:
        on_start: Called when the target starts to run it.
        on_done: Called when it has finished.
        started: Whether the target started to run it.
        cancelled: Whether its connection was closed.
    """

    on_start: Callable[[], None]
    on_done: Callable[[], None]
    started: bool = False
    cancelled: bool = False


@attrs.define
class FakeTarget:
    """Runs requests in a fixed number of slots, in FIFO order.

    Attributes:
        address: Address of the target.
        slots: Maximum number of concurrent requests.
        mean_service_us: Mean of the exponential service time.
        slowdown: Factor on service times.
        failing: Whether it rejects every request immediately.
        leaving: Whether its responses announce that it is leaving.
        refusing_connections: Whether it refuses connections.
        incarnation: Incarnation number, incremented on each restart.
    """

    address: str
    timeline: virtual.Timeline
    random: random.Random
    slots: int = 4
    mean_service_us: int = 5_000
    slowdown: float = 1.0
    failing: bool = False
    leaving: bool = False
    refusing_connections: bool = False
    incarnation: int = 1
    _running: int = 0
    _queue: collections.deque[Request] = attrs.field(factory=collections.deque)

    @property
    def in_flight(self) -> int:
        """Number of requests running or queued."""
        return self._running + len(self._queue)

    def enqueue(self, request: Request) -> None:
        """Queues a request and starts it if a slot is free."""
        self._queue.append(request)
        self._start_queued()

    def cancel(self, request: Request) -> None:
        """Cancels a request; dequeues it if it has not started."""
        request.cancelled = True
        if request in self._queue:
            self._queue.remove(request)

    def _start_queued(self) -> None:
        while self._queue and self._running < self.slots:
            request = self._queue.popleft()
            request.started = True
            self._running += 1
            request.on_start()
            rate = 1 / (self.mean_service_us * self.slowdown)
            service_us = int(self.random.expovariate(rate))
            self.timeline.after(service_us, self._on_finished(request))

    def _on_finished(self, request: Request) -> Callable[[], None]:
        def finish() -> None:
            self._running -= 1
            request.on_done()
            self._start_queued()

        return finish
