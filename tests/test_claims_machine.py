"""At-most-once execution under random interleavings of events."""

import random

import hypothesis
from hypothesis import strategies

import claim_fleet
from fireflyspindle.core import effects
from fireflyspindle.core import events

GATES = 2
KEYS = 2
LOG_KEEP_MS = 370_000
OUTCOMES = [
    events.AppendOutcome.DONE,
    events.AppendOutcome.UNKNOWN,
    events.AppendOutcome.REFUSED,
]
STEPS = 200
TIME_STEPS_MS = [5, 60, 300, 1500, 70_000]


class ClaimMachine:
    """Random events of callers, gate hosts, targets and the log.

    A caller states that there are no other copies only when that is true.
    `claim_fleet.Fleet` checks every send and every answer.
    """

    def __init__(self):
        self.fleet = claim_fleet.Fleet(GATES)
        self.paused = set()
        self.keys = {}
        self.copies = {}
        self.fleet.settle_all(rounds=1)

    def gate(self, number):
        """Returns a gate host unless it is paused."""
        gate = self.fleet.gates[number]
        return None if number in self.paused else gate

    def send_copy(self, number, name):
        """Sends a request or a copy of it."""
        gate = self.gate(number)
        if gate is None:
            return
        key = self.keys.setdefault(name, self.fleet.key(f"k{name}"))
        earlier = self.copies.setdefault(key, [])
        parallel = name > 0
        retried = any(
            call.outcome is not effects.Outcome.NOT_RUN for call in earlier
        )
        if not parallel and any(
            call.outcome is None and not call.lost for call in earlier
        ):
            return
        copies = None if parallel or retried else False
        earlier.append(
            self.fleet.call(gate, key, copies=copies, deadline_ms=1000)
        )

    def use_new_key(self, name):
        """Gives the next request a new key."""
        key = self.keys.get(name)
        if len(self.copies.get(key, [])) > 2:
            del self.keys[name]

    def settle_append(self, number, outcome, choice):
        """Reports the result of an append to its gate host."""
        gate = self.gate(number)
        if gate is None or not gate.appends:
            return
        append = gate.appends[0]
        if outcome is events.AppendOutcome.UNKNOWN and choice % 2:
            self.fleet.commit(append)
        if outcome is events.AppendOutcome.REFUSED and append.committed:
            outcome = events.AppendOutcome.UNKNOWN
        gate.settle(append, outcome)

    def complete_log_requests(self, number):
        """Completes all appends and reads of a gate host."""
        gate = self.gate(number)
        if gate is None:
            return
        gate.now_us = self.fleet.now_us
        while gate.appends:
            gate.settle(gate.appends[0], events.AppendOutcome.DONE)
        for _ in range(2):
            if gate.reads:
                gate.read()
            self.advance_time(60)

    def commit_append(self, number):
        """Commits an append before its result is reported."""
        appends = self.fleet.gates[number].appends
        if appends:
            self.fleet.commit(appends[0])

    def commit_in_doubt_append(self, pick, again):
        """Commits an append of unknown outcome, possibly twice."""
        in_doubt_appends = self.fleet.in_doubt_appends
        if not in_doubt_appends:
            return
        append = in_doubt_appends[pick % len(in_doubt_appends)]
        if again % 3:
            in_doubt_appends.remove(append)
        self.fleet.commit_duplicate(append)

    def complete_read(self, number, limit):
        """Completes a read, or fails it."""
        gate = self.gate(number)
        if gate is None or not gate.reads:
            return
        gate.now_us = self.fleet.now_us
        gate.read(limit=limit or 100, fail=limit == 1)

    def advance_time(self, by_ms):
        """Advances time for all hosts that are not paused."""
        paused = [self.fleet.gates[number] for number in self.paused]
        self.fleet.advance(by_ms * 1000, paused)

    def toggle_pause(self, number):
        """Pauses or resumes a host."""
        if number in self.paused:
            self.paused.remove(number)
            self.fleet.gates[number].now_us = self.fleet.now_us
        else:
            self.paused.add(number)

    def resume_hosts(self):
        """Resumes every host."""
        for number in list(self.paused):
            self.toggle_pause(number)

    def replace_host(self, number, skew_ms):
        """Replaces a crashed host, whose state is lost."""
        for call in self.fleet.gates[number].calls.values():
            call.lost = call.outcome is None
        self.fleet.in_doubt_appends += self.fleet.gates[number].appends
        self.fleet.gates[number] = self.fleet.new_gate(skew_ms)
        self.paused.discard(number)

    def answer_from_target(self, number, status):
        """Answers, declines or disconnects a request at a target."""
        gate = self.gate(number)
        if gate is None or not gate.running:
            return
        call_id = next(iter(gate.running))
        call = gate.calls[call_id]
        if status:
            self.fleet.answer(gate, call, status, not_run=status == 503)
            return
        attempt = gate.running.pop(call_id).attempt
        gate.now_us = self.fleet.now_us
        reason = events.FailureReason.DISCONNECTED
        gate.fail(call_id, attempt, reason, sent=True)

    def disconnect_caller(self, number, pick):
        """Closes a caller's connection."""
        gate = self.gate(number)
        waiting = (
            [s for s in gate.calls.values() if not s.outcome] if gate else []
        )
        if not waiting:
            return
        call = waiting[pick % len(waiting)]
        call.lost = True
        gate.now_us = self.fleet.now_us
        gate.feed(events.CallerDisconnected, call.call_id)

    def expire_log(self):
        """Drops the records past the log's retention."""
        self.fleet.expire(LOG_KEEP_MS)

    def check_settled(self):
        """Checks that all claims settle once no fault is left."""
        self.resume_hosts()
        self.fleet.advance(0)
        self.fleet.settle_all(rounds=60)
        self.fleet.advance(2_000_000)
        self.fleet.settle_all(rounds=60)
        for gate in self.fleet.gates:
            claims = gate.state.claims
            assert not claims.queue and not claims.outcome_updates
            assert not claims.waiters
            for call in gate.calls.values():
                assert call.outcome or call.lost


def take_step(machine, rng):
    """Takes one random step, weighted towards steps that make progress."""
    number = rng.randrange(GATES)
    name = rng.randrange(KEYS)
    pick = rng.randrange(100)
    steps = {
        lambda: machine.send_copy(number, name): 8,
        lambda: machine.use_new_key(name): 4,
        lambda: machine.settle_append(number, rng.choice(OUTCOMES), pick): 6,
        lambda: machine.complete_log_requests(number): 5,
        lambda: machine.commit_append(number): 2,
        lambda: machine.commit_in_doubt_append(pick, pick // 3): 2,
        lambda: machine.complete_read(number, rng.randrange(4)): 8,
        lambda: machine.advance_time(rng.choice(TIME_STEPS_MS)): 4,
        lambda: machine.toggle_pause(number): 1,
        machine.resume_hosts: 3,
        lambda: machine.replace_host(number, rng.randrange(-2500, 2500)): 1,
        lambda: machine.answer_from_target(
            number, rng.choice([0, 200, 503])
        ): 4,
        lambda: machine.disconnect_caller(number, pick): 1,
        machine.expire_log: 1,
    }
    rng.choices(list(steps), list(steps.values()))[0]()


@hypothesis.settings(
    max_examples=200, derandomize=True, deadline=None, database=None
)
@hypothesis.given(seed=strategies.integers(0, 2**32))
def test_no_key_is_sent_twice_and_every_answer_is_true(seed):
    machine = ClaimMachine()
    rng = random.Random(seed)
    for _ in range(STEPS):
        take_step(machine, rng)
    machine.check_settled()
