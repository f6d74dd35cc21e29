"""A log service in virtual time, with faults."""

from collections.abc import Callable
import random

import attrs

from fireflyspindle.bench import virtual
from fireflyspindle.core import effects
from fireflyspindle.core import events

REQUEST_US = 3_000
FAILURE_US = 100_000
LONG_POLL_US = 1_000_000
READ_LIMIT_RECORDS = 200


@attrs.define
class Stream:
    """One stream, with the time at which each record was appended."""

    earliest_offset: int = 0
    bodies: list[str] = attrs.field(factory=list)
    appended_us: list[int] = attrs.field(factory=list)

    @property
    def next_offset(self) -> int:
        """Offset that the next record will get."""
        return self.earliest_offset + len(self.bodies)


class FakeLog:
    """Streams of records, read and appended by gate hosts.

    Attributes:
        streams: Streams by name.
        down_for: Names of the gate hosts that can't reach the log.
        extra_delay_us: Added to each request.
        losing_answers: Whether answers to appends are lost.
        appends: Number of appends that took effect.
        reads: Number of reads asked for.
    """

    def __init__(
        self,
        timeline: virtual.Timeline,
        generator: random.Random,
        on_append: Callable[[str, int, str], None],
    ) -> None:
        self.streams: dict[str, Stream] = {}
        self.down_for: set[str] = set()
        self.extra_delay_us = 0
        self.losing_answers = False
        self.appends = 0
        self.reads = 0
        self._timeline = timeline
        self._random = generator
        self._on_append = on_append
        self._waiting: dict[str, list[Callable[[], None]]] = {}

    def stream(self, name: str) -> Stream:
        """Returns a stream, which is empty at first."""
        return self.streams.setdefault(name, Stream())

    def append(self, name: str, body: str) -> int:
        """Appends a record at once; returns its offset."""
        stream = self.stream(name)
        stream.bodies.append(body)
        stream.appended_us.append(self._timeline.now_us)
        self.appends += 1
        offset = stream.next_offset - 1
        self._on_append(name, offset, body)
        for action in self._waiting.pop(name, []):
            self._timeline.after(0, action)
        return offset

    def expire(self, keep_us: int) -> None:
        """Drops the records that were appended longer ago than `keep_us`."""
        oldest_us = self._timeline.now_us - keep_us
        for stream in self.streams.values():
            kept = sum(at_us >= oldest_us for at_us in stream.appended_us)
            dropped = len(stream.bodies) - kept
            del stream.bodies[:dropped]
            del stream.appended_us[:dropped]
            stream.earliest_offset += dropped

    def on_append(
        self, gate: virtual.VirtualGate, name: str, asked: effects.AppendRecord
    ) -> None:
        """Carries out an append of a gate host."""
        lost = self.losing_answers and self._random.random() < 0.5
        takes_effect = not lost or self._random.random() < 0.5

        def arrive() -> None:
            if name in self.down_for:
                settle(events.AppendOutcome.REFUSED, -1, FAILURE_US)
                return
            offset = -1
            if takes_effect:
                offset = self.append(asked.stream, asked.body)
            if lost:
                settle(events.AppendOutcome.UNKNOWN, -1, FAILURE_US)
                return
            settle(events.AppendOutcome.DONE, offset, self._request_us())

        def settle(
            outcome: events.AppendOutcome, offset: int, delay_us: int
        ) -> None:
            self._timeline.after(
                delay_us,
                lambda: gate.feed(
                    lambda now_us: events.AppendSettled(
                        now_us, asked.append_id, outcome, offset
                    )
                ),
            )

        self._timeline.after(self._request_us(), arrive)

    def on_read(
        self, gate: virtual.VirtualGate, name: str, asked: effects.ReadLog
    ) -> None:
        """Carries out a read of a gate host."""
        self.reads += 1

        def arrive() -> None:
            if name in self.down_for:
                self._timeline.after(FAILURE_US, fail)
                return
            ready = self.stream(asked.stream).next_offset > asked.from_offset
            if ready or not asked.wait:
                answer()
                return
            waiting = self._waiting.setdefault(asked.stream, [])
            waiting.append(answer)
            self._timeline.after(LONG_POLL_US, answer)

        def fail() -> None:
            gate.feed(lambda now_us: events.LogReadFailed(now_us, asked.stream))

        answered = False

        def answer() -> None:
            nonlocal answered
            if answered:
                return
            answered = True
            if name in self.down_for:
                self._timeline.after(FAILURE_US, fail)
                return
            self._deliver(gate, asked)

        delay_us = asked.delay_us + self._request_us()
        self._timeline.after(delay_us, arrive)

    def _deliver(
        self, gate: virtual.VirtualGate, asked: effects.ReadLog
    ) -> None:
        stream = self.stream(asked.stream)
        first = max(asked.from_offset, stream.earliest_offset)
        start = first - stream.earliest_offset
        bodies = stream.bodies[start : start + READ_LIMIT_RECORDS]
        entries = [
            events.LogEntry(first + index, body)
            for index, body in enumerate(bodies)
        ]
        earliest_offset = stream.earliest_offset
        next_offset = stream.next_offset
        self._timeline.after(
            self._request_us(),
            lambda: gate.feed(
                lambda now_us: events.LogRead(
                    now_us=now_us,
                    stream=asked.stream,
                    entries=entries,
                    from_offset=asked.from_offset,
                    earliest_offset=earliest_offset,
                    next_offset=next_offset,
                )
            ),
        )

    def _request_us(self) -> int:
        jitter_us = self._random.randrange(REQUEST_US)
        return REQUEST_US + jitter_us + self.extra_delay_us
