"""Virtual time for benches and history tests: real reducers, no clock."""

from collections.abc import Callable
import heapq
import itertools

import attrs

from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import reducer
from fireflyspindle.core import state as state_lib

EventMaker = Callable[[int], events.Event]


@attrs.define
class Timeline:
    """Actions by virtual time; ties run in the order they were added.

    Attributes:
        now_us: Virtual time.
    """

    now_us: int = 0
    _heap: list[tuple[int, int, Callable[[], None]]] = attrs.field(factory=list)
    _order: itertools.count = attrs.field(factory=itertools.count)

    def after(self, delay_us: int, action: Callable[[], None]) -> None:
        """Runs an action after a delay."""
        at_us = self.now_us + max(0, delay_us)
        heapq.heappush(self._heap, (at_us, next(self._order), action))

    def run(self, until_us: int) -> None:
        """Runs every action that is due up to a time."""
        while self._heap and self._heap[0][0] <= until_us:
            at_us, _, action = heapq.heappop(self._heap)
            self.now_us = at_us
            action()
        self.now_us = max(self.now_us, until_us)


class VirtualGate:
    """A gate host's reducer on a timeline.

    Attributes:
        state: State of the reducer.
        paused: Whether the host is frozen; its events wait until it wakes.
        stopped: Whether the host is gone; its events are dropped.
    """

    def __init__(
        self,
        timeline: Timeline,
        settings: state_lib.CoreSettings,
        seed: int,
        carry_out: Callable[["VirtualGate", effects.Effect], None],
    ) -> None:
        self.state = state_lib.new(settings, seed)
        self.paused = False
        self.stopped = False
        self._timeline = timeline
        self._carry_out = carry_out
        self._held: list[EventMaker] = []
        self._timer_number = 0

    def start(self) -> None:
        """Carries out the effects with which a gate host begins."""
        self._carry_out_all(reducer.start(self.state, self._timeline.now_us))

    def feed(self, make: EventMaker) -> None:
        """Feeds the event that `make` builds for the present time."""
        if self.stopped:
            return
        if self.paused:
            self._held.append(make)
            return
        event = make(self._timeline.now_us)
        self._carry_out_all(reducer.reduce(self.state, event))

    def wake(self) -> None:
        """Ends a pause and feeds what waited for it."""
        self.paused = False
        held = self._held
        self._held = []
        for make in held:
            self.feed(make)

    def _carry_out_all(self, asked: list[effects.Effect]) -> None:
        for effect in asked:
            match effect:
                case effects.SetTimer(at_us):
                    self._set_timer(at_us)
                case _:
                    self._carry_out(self, effect)

    def _set_timer(self, at_us: int) -> None:
        self._timer_number += 1
        number = self._timer_number

        def fire() -> None:
            if number == self._timer_number:
                self.feed(events.TimerFired)

        self._timeline.after(at_us - self._timeline.now_us, fire)
