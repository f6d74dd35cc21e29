"""Drives one gate host's reducer by events, with no clock and no network."""

from fireflyspindle.core import configuration
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import records
from fireflyspindle.core import reducer
from fireflyspindle.core import state as state_lib


class Host:
    """A gate host with one service "s" at /s; time moves by `at_us`."""

    def __init__(self, targets=4, seed=0, **settings):
        core_settings = state_lib.CoreSettings(host_id="gate-1", **settings)
        self.state = state_lib.new(core_settings, seed)
        self.now_us = 1_000_000
        self.effects = []
        self._offset = 0
        self.addresses = [f"10.0.0.{n}:80" for n in range(targets)]
        self._take(reducer.start(self.state, self.now_us))
        self.publish(
            "service",
            "s",
            {
                "targets": [
                    {"address": address, "connection_limit": 65_000}
                    for address in self.addresses
                ]
            },
        )
        self.publish("route", "s", {"path_prefix": "/s", "service": "s"})

    def publish(self, kind, name, payload):
        """Puts a record in force."""
        entry = self.state.configuration.entries.get(f"{kind}/{name}")
        body = records.encode(
            records.Envelope(
                record_id=f"r{self._offset}",
                kind=kind,
                name=name,
                expected_revision=entry.revision if entry else 0,
                schema_version=1,
                oldest_reader_version=1,
                author="test",
                payload=payload,
            )
        )
        self._offset += 1
        self.feed(
            events.LogRead,
            configuration.STREAM,
            [events.LogEntry(self._offset - 1, body)],
            self._offset - 1,
            0,
            self._offset,
        )

    def feed(self, event_class, *args, **fields):
        """Feeds an event; returns its effects."""
        taken = reducer.reduce(
            self.state, event_class(self.now_us, *args, **fields)
        )
        self._take(taken)
        return taken

    def _take(self, taken):
        self.effects.extend(taken)

    def advance(self, by_us):
        """Moves time on, firing the timers that come due on the way."""
        until_us = self.now_us + by_us
        while True:
            due_us = self.state.timers.next_at_us()
            if due_us is None or due_us > until_us:
                break
            self.now_us = max(self.now_us, due_us)
            self.feed(events.TimerFired)
        self.now_us = until_us

    def arrive(self, call_id, **fields):
        """Returns the first sending of the call, or None."""
        if "deadline_ms" in fields:
            deadline_us = self.now_us + fields.pop("deadline_ms") * 1000
            fields["deadline_us"] = deadline_us
        taken = self.feed(events.CallArrived, call_id, "/s", **fields)
        for effect in taken:
            if isinstance(effect, effects.SendToTarget):
                return effect
        return None

    def answer(self, call_id, attempt, status=200, **fields):
        """Feeds the headers of an answer."""
        return self.feed(
            events.AttemptAnswered, call_id, attempt, status, **fields
        )

    def fail(self, call_id, attempt, reason, sent):
        """Feeds the failure of an attempt."""
        return self.feed(events.AttemptFailed, call_id, attempt, reason, sent)

    def finish(self, call_id):
        """Ends the forwarded answer of a call, if it has one."""
        call = self.state.calls.get(call_id)
        if call is None or call.phase is not state_lib.CallPhase.FORWARDING:
            return
        for number in list(call.attempts):
            self.feed(events.AttemptEnded, call_id, number)

    def of(self, effect_class):
        """Returns every effect of a class so far."""
        return [e for e in self.effects if isinstance(e, effect_class)]

    @property
    def sent(self):
        """Every sending to a target so far."""
        return self.of(effects.SendToTarget)

    def outcome(self, call_id):
        """What the caller of a call was told."""
        for effect in self.effects:
            match effect:
                case effects.ForwardAnswer(found, _, outcome):
                    if found == call_id:
                        return outcome
                case effects.AnswerCaller(found, outcome):
                    if found == call_id:
                        return outcome
        return None

    def index_of(self, address):
        """Returns the number of a target."""
        return self.addresses.index(address)
