"""Several gate hosts' reducers and a log whose every step a test chooses."""

import collections

import attrs

import driver
from fireflyspindle.core import effects
from fireflyspindle.core import events

WALL_START_MS = 1_000_000_000
NOT_RUN = effects.Outcome.NOT_RUN


@attrs.define(eq=False)
class Seen:
    """A call as its caller sees it."""

    call_id: int
    key: str
    digest: str
    told: effects.Outcome | None = None
    status: int = 0
    lost: bool = False

    @property
    def request(self):
        """What was asked for, the same for every copy."""
        return (self.key, self.digest)


@attrs.define(eq=False)
class Append:
    """An append that a gate host asked for."""

    append_id: int
    body: str
    landed: bool = False
    offset: int = -1


class Gate(driver.Host):
    """A gate host whose appends, reads and sends wait for the test."""

    def __init__(self, fleet, number, skew_ms=0, **settings):
        self.fleet = fleet
        self.appends = []
        self.reads = []
        self.running = {}
        self.skew_ms = skew_ms
        self.calls = {}
        super().__init__(targets=2, seed=number, **settings)

    def _take(self, taken):
        super()._take(taken)
        for effect in taken:
            self._note(effect)

    def _note(self, effect):
        match effect:
            case effects.AppendRecord(append_id, "claims", body):
                self.appends.append(Append(append_id, body))
            case effects.ReadLog("claims"):
                self.reads.append(effect)
            case effects.SendToTarget():
                self.running[effect.call_id] = effect
                self.fleet.on_send(self.calls[effect.call_id])
            case effects.AnswerCaller() | effects.ForwardAnswer():
                status = getattr(effect, "status", 0)
                seen = self.calls[effect.call_id]
                self.fleet.on_told(seen, effect.outcome, status)

    def tick(self):
        """Fires the timers that are due."""
        self.now_us = self.fleet.now_us
        due_us = self.state.timers.next_at_us()
        if due_us is not None and due_us <= self.now_us:
            self.feed(events.TimerFired)

    def settle(self, append, outcome):
        """Feeds the end of an append, which stays to land later."""
        offset = -1
        if outcome is events.AppendOutcome.DONE:
            offset = self.fleet.land(append)
        self.appends.remove(append)
        if outcome is events.AppendOutcome.UNKNOWN and not append.landed:
            self.fleet.late.append(append)
        self.feed(events.AppendSettled, append.append_id, outcome, offset)

    def read(self, limit=100, fail=False):
        """Ends the read in flight."""
        asked = self.reads.pop(0)
        if fail:
            self.feed(events.LogReadFailed, "claims")
            return
        fleet = self.fleet
        first = max(asked.from_offset, fleet.earliest)
        bodies = fleet.bodies[first : first + limit]
        entries = [
            events.LogEntry(first + index, body)
            for index, body in enumerate(bodies)
        ]
        self.feed(
            events.LogRead,
            "claims",
            entries,
            asked.from_offset,
            fleet.earliest,
            len(fleet.bodies),
        )


class Fleet:
    """Gate hosts, the claims stream, and what callers and targets saw."""

    def __init__(self, gates=3):
        self.now_us = 1_000_000
        self.bodies = []
        self.landed_us = []
        self.earliest = 0
        self.late = []
        self.sends = collections.Counter()
        self.runs = collections.Counter()
        self._calls = 0
        self._gates = 0
        self.gates = [self.new_gate() for _ in range(gates)]

    def new_gate(self, skew_ms=0, **settings):
        """Starts another gate host."""
        self._gates += 1
        gate = Gate(self, self._gates, skew_ms, **settings)
        gate.now_us = self.now_us
        return gate

    @property
    def wall_ms(self):
        """The true time."""
        return WALL_START_MS + self.now_us // 1000

    def key(self, name, age_ms=0):
        """Returns a key issued `age_ms` ago."""
        return f"{self.wall_ms - age_ms}-{name}"

    def call(self, gate, key, digest="d", copies=None, deadline_ms=2000):
        """Sends a keyed call to a gate host."""
        self._calls += 1
        seen = Seen(self._calls, key, digest)
        gate.calls[seen.call_id] = seen
        gate.now_us = self.now_us
        gate.arrive(
            seen.call_id,
            repeatable=False,
            deadline_ms=deadline_ms,
            tenant="t",
            idempotency_key=key,
            key_issued_ms=int(key.partition("-")[0]),
            body_digest=digest,
            wall_ms=self.wall_ms + gate.skew_ms,
            other_copies=copies,
        )
        return seen

    def land(self, append):
        """Puts a record into the log; returns its offset."""
        if not append.landed:
            append.landed = True
            append.offset = self._append(append.body)
        return append.offset

    def land_again(self, append):
        """Puts a copy of a record into the log."""
        append.landed = True
        return self._append(append.body)

    def _append(self, body):
        self.bodies.append(body)
        self.landed_us.append(self.now_us)
        return len(self.bodies) - 1

    def expire(self, keep_ms):
        """Drops the records that are older than the time of keeping."""
        oldest_us = self.now_us - keep_ms * 1000
        while (
            self.earliest < len(self.bodies)
            and self.landed_us[self.earliest] < oldest_us
        ):
            self.earliest += 1

    def advance(self, by_us, paused=()):
        """Moves time on; paused gate hosts do not notice."""
        self.now_us += by_us
        for gate in self.gates:
            if gate not in paused:
                gate.tick()

    def settle_all(self, rounds=30):
        """Lets the log work well until nothing more comes of it."""
        for _ in range(rounds):
            for gate in self.gates:
                gate.now_us = self.now_us
                while gate.appends:
                    gate.settle(gate.appends[0], events.AppendOutcome.DONE)
                if gate.reads:
                    gate.read()
            self.advance(10_000)

    def answer(self, gate, seen, status=201, **fields):
        """Answers a call that runs at a target."""
        effect = gate.running.pop(seen.call_id)
        gate.now_us = self.now_us
        if fields.get("not_run"):
            self.sends[seen.key] -= 1
            self.runs[seen.request] -= 1
        gate.answer(seen.call_id, effect.attempt, status, **fields)
        gate.finish(seen.call_id)

    def on_send(self, seen):
        """Notes that a call was sent to a target."""
        self.sends[seen.key] += 1
        self.runs[seen.request] += 1
        assert seen.told is None, f"{seen} was sent after its answer"
        assert self.sends[seen.key] == 1, f"{seen.key} was sent twice"

    def on_told(self, seen, outcome, status):
        """Notes what a caller was told."""
        assert seen.told is None, f"{seen} was told twice"
        seen.told = outcome
        seen.status = status
        if outcome is NOT_RUN:
            assert not self.runs[seen.request], f"{seen.key} was run"
        if outcome is effects.Outcome.COMPLETE:
            assert self.runs[seen.request], f"{seen.key} was not run"
