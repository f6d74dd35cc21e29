"""Drives a gate host's reducer with events, without a clock or a network."""

from fireflyspindle.core import configuration
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import records
from fireflyspindle.core import reducer
from fireflyspindle.core import state as state_lib


class Host:
    """A gate host with one service "s" at /s; `advance` moves its clock."""

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
        """Feeds a configuration record."""
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
        new_effects = reducer.reduce(
            self.state, event_class(self.now_us, *args, **fields)
        )
        self._take(new_effects)
        return new_effects

    def _take(self, new_effects):
        self.effects.extend(new_effects)

    def advance(self, by_us):
        """Advances the clock, firing the timers that expire."""
        until_us = self.now_us + by_us
        while True:
            due_us = self.state.timers.next_at_us()
            if due_us is None or due_us > until_us:
                break
            self.now_us = max(self.now_us, due_us)
            self.feed(events.TimerFired)
        self.now_us = until_us

    def call_arrives(self, call_id, **fields):
        """Feeds the arrival of a call; returns its first send, or None."""
        if "deadline_ms" in fields:
            deadline_us = self.now_us + fields.pop("deadline_ms") * 1000
            fields["deadline_us"] = deadline_us
        new_effects = self.feed(events.CallArrived, call_id, "/s", **fields)
        for effect in new_effects:
            if isinstance(effect, effects.SendToTarget):
                return effect
        return None

    def answer(self, call_id, attempt, status=200, **fields):
        """Feeds the response headers of an attempt."""
        return self.feed(
            events.AttemptAnswered, call_id, attempt, status, **fields
        )

    def fail(self, call_id, attempt, reason, sent):
        """Feeds the failure of an attempt."""
        return self.feed(events.AttemptFailed, call_id, attempt, reason, sent)

    def finish(self, call_id):
        """Ends the forwarding of a call's response, if it is in progress."""
        call = self.state.calls.get(call_id)
        if call is None or call.phase is not state_lib.CallPhase.FORWARDING:
            return
        for number in list(call.attempts):
            self.feed(events.AttemptEnded, call_id, number)

    def effects_of(self, effect_class):
        """Returns all effects of a class so far."""
        return [e for e in self.effects if isinstance(e, effect_class)]

    @property
    def sent(self):
        """All sends to targets so far."""
        return self.effects_of(effects.SendToTarget)

    def outcome(self, call_id):
        """Returns the outcome that the caller of a call received, or None."""
        for effect in self.effects:
            match effect:
                case effects.ForwardAnswer(effect_call_id, _, outcome):
                    if effect_call_id == call_id:
                        return outcome
                case effects.AnswerCaller(effect_call_id, outcome):
                    if effect_call_id == call_id:
                        return outcome
        return None

    def target_index(self, address):
        """Returns the number of a target."""
        return self.addresses.index(address)
