"""Simulated log service in virtual time, with fault injection."""

from collections.abc import Callable
import random

import attrs

from fireflyspindle.bench import virtual
from fireflyspindle.core import effects
from fireflyspindle.core import events

REQUEST_US = 3_000
FAILURE_DELAY_US = 100_000
LONG_POLL_US = 1_000_000
READ_LIMIT_RECORDS = 200


@attrs.define
class Stream:
    """One stream of records and their append times."""

    earliest_offset: int = 0
    bodies: list[str] = attrs.field(factory=list)
    appended_us: list[int] = attrs.field(factory=list)

    @property
    def next_offset(self) -> int:
        """Offset of the next record to be appended."""
        return self.earliest_offset + len(self.bodies)


class FakeLog:
    """Log service that serves reads and appends of gate hosts.

    Attributes:
        streams: Streams by name.
        unreachable_for: Names of the gate hosts that cannot reach the log.
        unreadable_streams: Names of the streams whose reads fail.
        extra_delay_us: Latency added to each request, in microseconds.
        losing_responses: Whether responses to appends may be lost.
        appends: Number of appends that took effect.
        reads: Number of reads requested.
    """

    def __init__(
        self,
        timeline: virtual.Timeline,
        generator: random.Random,
        on_append: Callable[[str, int, str], None],
    ) -> None:
        self.streams: dict[str, Stream] = {}
        self.unreachable_for: set[str] = set()
        self.unreadable_streams: set[str] = set()
        self.extra_delay_us = 0
        self.losing_responses = False
        self.appends = 0
        self.reads = 0
        self._timeline = timeline
        self._random = generator
        self._on_append = on_append
        self._long_polls: dict[str, list[Callable[[], None]]] = {}

    def stream(self, name: str) -> Stream:
        """Returns a stream; creates it empty if it does not exist."""
        return self.streams.setdefault(name, Stream())

    def append(self, name: str, body: str) -> int:
        """Appends a record immediately; returns its offset."""
        stream = self.stream(name)
        stream.bodies.append(body)
        stream.appended_us.append(self._timeline.now_us)
        self.appends += 1
        offset = stream.next_offset - 1
        self._on_append(name, offset, body)
        for action in self._long_polls.pop(name, []):
            self._timeline.after(0, action)
        return offset

    def expire(self, retention_us: int) -> None:
        """Drops records older than `retention_us`."""
        cutoff_us = self._timeline.now_us - retention_us
        for stream in self.streams.values():
            retained = sum(at_us >= cutoff_us for at_us in stream.appended_us)
            dropped = len(stream.bodies) - retained
            del stream.bodies[:dropped]
            del stream.appended_us[:dropped]
            stream.earliest_offset += dropped

    def on_append(
        self,
        gate: virtual.VirtualGate,
        name: str,
        request: effects.AppendRecord,
    ) -> None:
        """Executes an append of a gate host."""
        response_lost = self.losing_responses and self._random.random() < 0.5
        applied = not response_lost or self._random.random() < 0.5

        def arrive() -> None:
            if name in self.unreachable_for:
                respond(events.AppendOutcome.REFUSED, -1, FAILURE_DELAY_US)
                return
            offset = -1
            if applied:
                offset = self.append(request.stream, request.body)
            if response_lost:
                respond(events.AppendOutcome.UNKNOWN, -1, FAILURE_DELAY_US)
                return
            respond(events.AppendOutcome.DONE, offset, self._request_us())

        def respond(
            outcome: events.AppendOutcome, offset: int, delay_us: int
        ) -> None:
            self._timeline.after(
                delay_us,
                lambda: gate.feed(
                    lambda now_us: events.AppendEnded(
                        now_us, request.append_id, outcome, offset
                    )
                ),
            )

        self._timeline.after(self._request_us(), arrive)

    def on_read(
        self, gate: virtual.VirtualGate, name: str, request: effects.ReadLog
    ) -> None:
        """Executes a read of a gate host; long-polls if it asks to wait."""
        self.reads += 1

        def arrive() -> None:
            unreadable = request.stream in self.unreadable_streams
            if unreadable or name in self.unreachable_for:
                self._timeline.after(FAILURE_DELAY_US, fail)
                return
            has_records = (
                self.stream(request.stream).next_offset > request.from_offset
            )
            if has_records or not request.wait:
                respond()
                return
            long_polls = self._long_polls.setdefault(request.stream, [])
            long_polls.append(respond)
            self._timeline.after(LONG_POLL_US, respond)

        def fail() -> None:
            gate.feed(
                lambda now_us: events.LogReadFailed(now_us, request.stream)
            )

        responded = False

        def respond() -> None:
            nonlocal responded
            if responded:
                return
            responded = True
            if name in self.unreachable_for:
                self._timeline.after(FAILURE_DELAY_US, fail)
                return
            self._deliver(gate, request)

        delay_us = request.delay_us + self._request_us()
        self._timeline.after(delay_us, arrive)

    def _deliver(
        self, gate: virtual.VirtualGate, request: effects.ReadLog
    ) -> None:
        stream = self.stream(request.stream)
        first = max(request.from_offset, stream.earliest_offset)
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
                    stream=request.stream,
                    entries=entries,
                    from_offset=request.from_offset,
                    earliest_offset=earliest_offset,
                    next_offset=next_offset,
                )
            ),
        )

    def _request_us(self) -> int:
        jitter_us = self._random.randrange(REQUEST_US)
        return REQUEST_US + jitter_us + self.extra_delay_us
