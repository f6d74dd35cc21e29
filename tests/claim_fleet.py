"""Reducers of several gate hosts, and a log controlled by the test."""

import collections

import attrs

import driver
from fireflyspindle.core import effects
from fireflyspindle.core import events

WALL_START_MS = 1_000_000_000
NOT_RUN = effects.Outcome.NOT_RUN


@attrs.define(eq=False)
class ClientCall:
    """A call from its caller's view."""

    call_id: int
    key: str
    digest: str
    outcome: effects.Outcome | None = None
    status: int = 0
    lost: bool = False

    @property
    def request(self):
        """Identity of the request, the same for every copy."""
        return (self.key, self.digest)


@attrs.define(eq=False)
class Append:
    """An append requested by a gate host."""

    append_id: int
    body: str
    committed: bool = False
    offset: int = -1


class Gate(driver.Host):
    """A gate host whose appends, reads and sends the test completes."""

    def __init__(self, fleet, number, skew_ms=0, **settings):
        self.fleet = fleet
        self.appends = []
        self.reads = []
        self.running = {}
        self.skew_ms = skew_ms
        self.calls = {}
        super().__init__(targets=2, seed=number, **settings)

    def _take(self, batch):
        super()._take(batch)
        for effect in batch:
            self._record(effect)

    def _record(self, effect):
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
                call = self.calls[effect.call_id]
                self.fleet.on_answered(call, effect.outcome, status)

    def tick(self):
        """Fires the timers that are due."""
        self.now_us = self.fleet.now_us
        due_us = self.state.timers.next_at_us()
        if due_us is not None and due_us <= self.now_us:
            self.feed(events.TimerFired)

    def settle(self, append, outcome):
        """Feeds the result of an append; if in doubt, it may commit later."""
        offset = -1
        if outcome is events.AppendOutcome.DONE:
            offset = self.fleet.commit(append)
        self.appends.remove(append)
        if outcome is events.AppendOutcome.UNKNOWN and not append.committed:
            self.fleet.in_doubt_appends.append(append)
        self.feed(events.AppendEnded, append.append_id, outcome, offset)

    def read(self, limit=100, fail=False):
        """Completes the read in flight."""
        read = self.reads.pop(0)
        if fail:
            self.feed(events.LogReadFailed, "claims")
            return
        fleet = self.fleet
        first = max(read.from_offset, fleet.earliest)
        bodies = fleet.bodies[first : first + limit]
        entries = [
            events.LogEntry(first + index, body)
            for index, body in enumerate(bodies)
        ]
        self.feed(
            events.LogRead,
            "claims",
            entries,
            read.from_offset,
            fleet.earliest,
            len(fleet.bodies),
        )


class Fleet:
    """Gate hosts, the claims stream, and the calls and runs observed."""

    def __init__(self, gates=3):
        self.now_us = 1_000_000
        self.bodies = []
        self.committed_at_us = []
        self.earliest = 0
        self.in_doubt_appends = []
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
        """Wall-clock time without skew."""
        return WALL_START_MS + self.now_us // 1000

    def key(self, name, age_ms=0):
        """Returns a key issued `age_ms` ago."""
        return f"{self.wall_ms - age_ms}-{name}"

    def call(self, gate, key, digest="d", copies=None, deadline_ms=2000):
        """Sends a keyed call to a gate host."""
        self._calls += 1
        call = ClientCall(self._calls, key, digest)
        gate.calls[call.call_id] = call
        gate.now_us = self.now_us
        gate.call_arrives(
            call.call_id,
            repeatable=False,
            deadline_ms=deadline_ms,
            tenant="t",
            idempotency_key=key,
            key_issued_ms=int(key.partition("-")[0]),
            body_digest=digest,
            wall_ms=self.wall_ms + gate.skew_ms,
            other_copies=copies,
        )
        return call

    def commit(self, append):
        """Commits an append, once only; returns its offset."""
        if not append.committed:
            append.committed = True
            append.offset = self._append(append.body)
        return append.offset

    def commit_duplicate(self, append):
        """Commits another copy of an append; returns its offset."""
        append.committed = True
        return self._append(append.body)

    def _append(self, body):
        self.bodies.append(body)
        self.committed_at_us.append(self.now_us)
        return len(self.bodies) - 1

    def expire(self, keep_ms):
        """Drops the records that are older than the retention period."""
        oldest_us = self.now_us - keep_ms * 1000
        while (
            self.earliest < len(self.bodies)
            and self.committed_at_us[self.earliest] < oldest_us
        ):
            self.earliest += 1

    def advance(self, by_us, paused=()):
        """Advances time; paused gate hosts do not process timers."""
        self.now_us += by_us
        for gate in self.gates:
            if gate not in paused:
                gate.tick()

    def settle_all(self, rounds=30):
        """Completes every append and read, for a number of rounds."""
        for _ in range(rounds):
            for gate in self.gates:
                gate.now_us = self.now_us
                while gate.appends:
                    gate.settle(gate.appends[0], events.AppendOutcome.DONE)
                if gate.reads:
                    gate.read()
            self.advance(10_000)

    def answer(self, gate, call, status=201, **fields):
        """Answers a call in flight at a target."""
        effect = gate.running.pop(call.call_id)
        gate.now_us = self.now_us
        if fields.get("not_run"):
            self.sends[call.key] -= 1
            self.runs[call.request] -= 1
        gate.answer(call.call_id, effect.attempt, status, **fields)
        gate.finish(call.call_id)

    def on_send(self, call):
        """Records a send to a target; checks that the key is sent once."""
        self.sends[call.key] += 1
        self.runs[call.request] += 1
        assert call.outcome is None, f"{call} was sent after its answer"
        assert self.sends[call.key] == 1, f"{call.key} was sent twice"

    def on_answered(self, call, outcome, status):
        """Records an answer to a caller; checks it against the runs."""
        assert call.outcome is None, f"{call} was answered twice"
        call.outcome = outcome
        call.status = status
        if outcome is NOT_RUN:
            assert not self.runs[call.request], f"{call.key} was run"
        if outcome is effects.Outcome.COMPLETE:
            assert self.runs[call.request], f"{call.key} was not run"
