"""Targets of a replayed load, in virtual time."""

import collections
from collections.abc import Callable
import random

import attrs

from fireflyspindle.bench import virtual
from fireflyspindle.core import events

# Time from sending a probe to its response.
PROBE_US = 6_000
# Processing time of a slow target, as a multiple of the usual one, and the
# interval at which the slow targets are drawn again.
SLOWDOWN = 7.0
REDRAW_INTERVAL_US = 500_000
# Standard deviation of the processing time as a share of its mean.
WORK_DEVIATION = 0.3

OnDone = Callable[[events.LoadReport], None]


@attrs.define
class Target:
    """A target with slots and a bounded queue.

    Attributes:
        targets: The targets that it belongs to.
        slots: Requests that it runs concurrently.
        queue: Requests that it queues beyond these.
        hangs_when_full: Whether it ignores further requests; otherwise it
            resets their connections.
        slowdown: Processing time as a multiple of the usual one.
        running: Requests that it runs.
        waiting: Requests that it has queued.
    """

    targets: "Targets"
    slots: int
    queue: int
    hangs_when_full: bool
    slowdown: float = 1.0
    running: int = 0
    waiting: collections.deque[OnDone] = attrs.field(factory=collections.deque)

    def report(self) -> events.LoadReport:
        """Returns what it states about its load."""
        return events.LoadReport(
            in_flight=self.running + len(self.waiting),
            slots=self.slots,
            slowdown=self.slowdown,
        )

    def take(self, on_done: OnDone, on_reset: Callable[[], None]) -> None:
        """Runs, queues, resets or ignores a request."""
        if self.running < self.slots:
            self._run(on_done)
        elif len(self.waiting) < self.queue:
            self.waiting.append(on_done)
        else:
            self.targets.ignored += 1
            if not self.hangs_when_full:
                on_reset()

    def _run(self, on_done: OnDone) -> None:
        self.running += 1
        work_us = self.targets.draw_work_us() * self.slowdown

        def done() -> None:
            self.running -= 1
            on_done(self.report())
            if self.waiting and self.running < self.slots:
                self._run(self.waiting.popleft())

        self.targets.timeline.after(int(work_us), done)


@attrs.define
class Targets:
    """All targets of a replay.

    Attributes:
        timeline: Virtual time.
        seed: Seed of the slow targets and of processing times.
        work_us: Mean processing time at the usual speed.
        by_address: Targets by address.
        ignored: Requests that full targets have reset or ignored.
    """

    timeline: virtual.Timeline
    seed: int
    work_us: int
    by_address: dict[str, Target] = attrs.field(factory=dict)
    ignored: int = 0
    _slow_targets: random.Random = attrs.field(init=False)
    _work: random.Random = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._slow_targets = random.Random(self.seed)
        self._work = random.Random(self.seed + 1)

    def add(
        self, address: str, slots: int, queue: int, *, hangs_when_full: bool
    ) -> None:
        """Adds a target."""
        self.by_address[address] = Target(self, slots, queue, hangs_when_full)

    def draw_work_us(self) -> float:
        """Returns the processing time of a request at the usual speed."""
        drawn = self._work.gauss(1.0, WORK_DEVIATION)
        return self.work_us * max(0.2, drawn)

    def redraw_forever(self, slow_share: float) -> None:
        """Draws the slow targets, now and at each interval."""
        for target in self.by_address.values():
            slow = self._slow_targets.random() < slow_share
            target.slowdown = SLOWDOWN if slow else 1.0
        self.timeline.after(
            REDRAW_INTERVAL_US, lambda: self.redraw_forever(slow_share)
        )
