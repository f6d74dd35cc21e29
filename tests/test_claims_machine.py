"""At most once under any interleaving of the log, callers and hosts."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

import claim_fleet
from fireflyspindle.core import effects
from fireflyspindle.core import events

GATES = 3
KEYS = 3
LOG_KEEP_MS = 370_000
OUTCOMES = [
    events.AppendOutcome.DONE,
    events.AppendOutcome.UNKNOWN,
    events.AppendOutcome.REFUSED,
]

gates = strategies.integers(0, GATES - 1)
picks = strategies.integers(0, 100)


class ClaimMachine(stateful.RuleBasedStateMachine):
    """Callers are truthful: a copy says so unless it is the only one.

    `claim_fleet.Fleet` checks every send and every answer.
    """

    def __init__(self):
        super().__init__()
        self.fleet = claim_fleet.Fleet(GATES)
        self.paused = set()
        self.keys = {}
        self.copies = {}
        self.fleet.settle_all(rounds=1)

    def gate(self, number):
        """Returns a gate host unless it is paused."""
        gate = self.fleet.gates[number]
        return None if number in self.paused else gate

    @stateful.rule(number=gates, name=strategies.integers(0, KEYS - 1))
    def copy_arrives(self, number, name):
        """A caller sends a request or a copy of it."""
        gate = self.gate(number)
        if gate is None:
            return
        key = self.keys.setdefault(name, self.fleet.key(f"k{name}"))
        earlier = self.copies.setdefault(key, [])
        parallel = name > 0
        retried = any(
            seen.told is not effects.Outcome.NOT_RUN for seen in earlier
        )
        if not parallel and any(
            seen.told is None and not seen.lost for seen in earlier
        ):
            return
        copies = True if parallel or retried else None
        earlier.append(
            self.fleet.call(gate, key, copies=copies, deadline_ms=1000)
        )

    @stateful.rule(name=strategies.integers(0, KEYS - 1))
    def caller_takes_a_new_key(self, name):
        """The next copy is a new request."""
        self.keys.pop(name, None)

    @stateful.rule(
        number=gates, outcome=strategies.sampled_from(OUTCOMES), lands=picks
    )
    def append_settles(self, number, outcome, lands):
        """An append ends for its gate host."""
        gate = self.gate(number)
        if gate is None or not gate.appends:
            return
        append = gate.appends[0]
        if outcome is events.AppendOutcome.UNKNOWN and lands % 2:
            self.fleet.land(append)
        if outcome is events.AppendOutcome.REFUSED and append.landed:
            outcome = events.AppendOutcome.UNKNOWN
        gate.settle(append, outcome)

    @stateful.rule(number=gates)
    def append_lands_before_its_answer(self, number):
        """An append takes effect."""
        appends = self.fleet.gates[number].appends
        if appends:
            self.fleet.land(appends[0])

    @stateful.rule(pick=picks, again=picks)
    def late_append_lands(self, pick, again):
        """An append of unknown outcome takes effect, or does so twice."""
        late = self.fleet.late
        if not late:
            return
        append = late[pick % len(late)]
        if again % 3:
            late.remove(append)
        self.fleet.land_again(append)

    @stateful.rule(number=gates, limit=strategies.integers(0, 3))
    def read_ends(self, number, limit):
        """A read ends."""
        gate = self.gate(number)
        if gate is None or not gate.reads:
            return
        gate.now_us = self.fleet.now_us
        gate.read(limit=limit or 100, fail=limit == 1)

    @stateful.rule(by_ms=strategies.sampled_from([5, 60, 300, 1500, 70_000]))
    def time_passes(self, by_ms):
        """Time passes for all hosts that are not paused."""
        paused = [self.fleet.gates[number] for number in self.paused]
        self.fleet.advance(by_ms * 1000, paused)

    @stateful.rule(number=gates)
    def host_is_paused_or_wakes(self, number):
        """A host freezes, or goes on."""
        if number in self.paused:
            self.paused.remove(number)
            self.fleet.gates[number].now_us = self.fleet.now_us
        else:
            self.paused.add(number)

    @stateful.rule(number=gates, skew_ms=strategies.integers(-2500, 2500))
    def host_is_replaced(self, number, skew_ms):
        """A host dies with all it knows; another starts."""
        for seen in self.fleet.gates[number].calls.values():
            seen.lost = seen.told is None
        self.fleet.late += self.fleet.gates[number].appends
        self.fleet.gates[number] = self.fleet.new_gate(skew_ms)
        self.paused.discard(number)

    @stateful.rule(number=gates, status=strategies.sampled_from([0, 200, 503]))
    def target_answers(self, number, status):
        """A target answers, declines or breaks off."""
        gate = self.gate(number)
        if gate is None or not gate.running:
            return
        call_id = next(iter(gate.running))
        seen = gate.calls[call_id]
        if status:
            self.fleet.answer(gate, seen, status, not_run=status == 503)
            return
        attempt = gate.running.pop(call_id).attempt
        gate.now_us = self.fleet.now_us
        reason = events.FailureReason.DISCONNECTED
        gate.fail(call_id, attempt, reason, sent=True)

    @stateful.rule(number=gates, pick=picks)
    def caller_leaves(self, number, pick):
        """A caller closes its connection."""
        gate = self.gate(number)
        waiting = [s for s in gate.calls.values() if not s.told] if gate else []
        if not waiting:
            return
        seen = waiting[pick % len(waiting)]
        seen.lost = True
        gate.now_us = self.fleet.now_us
        gate.feed(events.CallerLeft, seen.call_id)

    @stateful.rule()
    def log_expires(self):
        """The log drops what is older than its time of keeping."""
        self.fleet.expire(LOG_KEEP_MS)

    def teardown(self):
        """Every claim settles once the log works and all hosts run."""
        for number in list(self.paused):
            self.host_is_paused_or_wakes(number)
        self.fleet.advance(0)
        self.fleet.settle_all(rounds=60)
        self.fleet.advance(2_000_000)
        self.fleet.settle_all(rounds=60)
        for gate in self.fleet.gates:
            claims = gate.state.claims
            assert not claims.queue and not claims.notes
            assert not claims.waiters
            for seen in gate.calls.values():
                assert seen.told or seen.lost


TestClaims = ClaimMachine.TestCase
TestClaims.settings = hypothesis.settings(
    max_examples=150,
    stateful_step_count=60,
    derandomize=True,
    deadline=None,
    database=None,
)
