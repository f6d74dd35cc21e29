"""Discrete-event simulation of reducers in virtual time."""

from collections.abc import Callable
import heapq
import itertools

import attrs

from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import reducer
from fireflyspindle.core import state as state_lib

# Limit for changes of hosts that read the configuration at their start only:
# longer than any run, so that they don't hold calls as hosts that stood still.
UNREAD_LIMIT_MS = 3_600_000
EventFactory = Callable[[int], events.Event]


@attrs.define
class Timeline:
    """Event queue in virtual time; simultaneous actions run in FIFO order.

    Attributes:
        now_us: Current virtual time.
    """

    now_us: int = 0
    _heap: list[tuple[int, int, Callable[[], None]]] = attrs.field(factory=list)
    _sequence: itertools.count = attrs.field(factory=itertools.count)

    def after(self, delay_us: int, action: Callable[[], None]) -> None:
        """Schedules an action after a delay."""
        at_us = self.now_us + max(0, delay_us)
        heapq.heappush(self._heap, (at_us, next(self._sequence), action))

    def run(self, until_us: int) -> None:
        """Runs all actions due until a time and advances to it."""
        while self._heap and self._heap[0][0] <= until_us:
            at_us, _, action = heapq.heappop(self._heap)
            self.now_us = at_us
            action()
        self.now_us = max(self.now_us, until_us)


class VirtualGate:
    """Reducer of a gate host, run on a timeline.

    Attributes:
        state: State of the reducer.
        paused: Whether the host is paused; its events are deferred.
        stopped: Whether the host has exited; its events are dropped.
    """

    def __init__(
        self,
        timeline: Timeline,
        settings: state_lib.CoreSettings,
        seed: int,
        execute: Callable[["VirtualGate", effects.Effect], None],
    ) -> None:
        self.state = state_lib.new(settings, seed)
        self.paused = False
        self.stopped = False
        self._timeline = timeline
        self._execute = execute
        self._deferred: list[EventFactory] = []
        self._timer_generation = 0

    def start(self) -> None:
        """Executes the initial effects of the reducer."""
        self._execute_all(reducer.start(self.state, self._timeline.now_us))

    def feed(self, make_event: EventFactory) -> None:
        """Reduces the event that `make_event` builds for the current time."""
        if self.stopped:
            return
        if self.paused:
            self._deferred.append(make_event)
            return
        event = make_event(self._timeline.now_us)
        self._execute_all(reducer.reduce(self.state, event))

    def resume(self) -> None:
        """Ends a pause and feeds the deferred events."""
        self.paused = False
        deferred = self._deferred
        self._deferred = []
        for make_event in deferred:
            self.feed(make_event)

    def _execute_all(self, emitted: list[effects.Effect]) -> None:
        for effect in emitted:
            match effect:
                case effects.SetTimer(at_us):
                    self._set_timer(at_us)
                case _:
                    self._execute(self, effect)

    def _set_timer(self, at_us: int) -> None:
        self._timer_generation += 1
        generation = self._timer_generation

        def fire() -> None:
            if generation == self._timer_generation:
                self.feed(events.TimerFired)

        self._timeline.after(at_us - self._timeline.now_us, fire)
