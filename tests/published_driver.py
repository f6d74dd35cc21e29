"""Drives the reducer of a gate host that reads the platform's store."""

import attrs

import driver
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import published
from fireflyspindle.core import reducer
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import store_state

DOMAIN = "west-a"
OTHER_DOMAIN = "west-b"
SLOW = 7.0
LIMITS = published.CallerLimits(16_384, 1_000_000, 3_000, 15_000)


def rule(name="r", service="s", prefix="/s/", **fields):
    """Returns a rule of the host h.example."""
    return published.Rule(
        **{
            "name": name,
            "host": "h.example",
            "path_prefix": prefix,
            "parts": (published.Part(service, 1),),
            "repeatable": True,
            "timeout_ms": 800,
            "latency_objective_ms": 300,
            "max_attempts": 2,
            "priority": 0,
            **fields,
        }
    )


def document(version=1, rules=(), services=("s",)):
    """Returns a configuration; by default /s/ is routed to service s."""
    return published.Document(
        version=version,
        rules=tuple(rules) or (rule(),),
        services=tuple(
            published.ServiceSettings(name, "/health", 260) for name in services
        ),
        limits=LIMITS,
    )


def entry(number, **fields):
    """Returns the entry of target `number` of service s."""
    return events.TargetRegistration(
        **{
            "target_id": f"i-{number}",
            "service": "s",
            "address": f"10.0.0.{number}:80",
            "failure_domain": DOMAIN,
            "slots": 4,
            "draining": False,
            "warmup_left_ms": 0,
            "started_ms": 1_000,
            "sequence": 1,
            **fields,
        }
    )


def load(in_flight=0, slowdown=1.0, slots=4):
    """Returns a load report of a target."""
    return events.LoadReport(
        in_flight=in_flight, slots=slots, slowdown=slowdown
    )


def slow_loads(count=6, in_flight=0, slowdown=SLOW):
    """Returns the same load report for every target, by address."""
    return {
        f"10.0.0.{n}:80": load(in_flight=in_flight, slowdown=slowdown)
        for n in range(count)
    }


def answer_probes(host, loads, duration_us):
    """Answers each probe 6 ms after it is sent, for a period of time."""
    end_us = host.now_us + duration_us
    while host.now_us < end_us:
        host.advance(6_000)
        host.answer_probes(loads)


class PublishedHost(driver.Host):
    """A gate host with a configuration and registered targets.

    Attributes:
        reads_go_on: Whether the store is read while time passes, as by a host
            that did not stand still, although the test feeds no reads.
    """

    reads_go_on = True

    def __init__(self, targets=4, seed=0, rules=(), drain=None, **store):
        self.settings = store_state.StoreSettings(
            **{
                "probes_per_s": 600.0,
                "resend_share": 0.2,
                "resend_slack": 62.0,
                **store,
            }
        )
        core_settings = state_lib.CoreSettings(
            host_id="gate-1",
            failure_domain=DOMAIN,
            store=self.settings,
            **(drain or {}),
        )
        self.state = state_lib.new(core_settings, seed)
        self.now_us = 1_000_000
        self.effects = []
        self.next_offset = 0
        self._take(reducer.start(self.state, self.now_us))
        self.configure(document(rules=rules))
        self.register(*(entry(number) for number in range(targets)))

    def configure(self, new_document, **fields):
        """Feeds a configuration, or only other records if it is None."""
        self.next_offset += 1
        return self.feed(
            events.ConfigurationRead, new_document, self.next_offset, **fields
        )

    def evacuate(self, *domains, ended=(), **fields):
        """Feeds records by which evacuations start and end."""
        return self.configure(
            None,
            evacuated=frozenset(domains),
            evacuations_ended=frozenset(ended),
            **fields,
        )

    def register(self, *entries, removed=(), is_snapshot=False):
        """Feeds entries that were written and ids that were removed."""
        self.next_offset += 1
        return self.feed(
            events.TargetsRead,
            list(entries),
            list(removed),
            is_snapshot,
            self.next_offset,
        )

    def call_arrives(self, call_id, path="/s/x", **fields):
        """Feeds a call; returns its effects."""
        if "deadline_ms" in fields:
            deadline_us = self.now_us + fields.pop("deadline_ms") * 1000
            fields["deadline_us"] = deadline_us
        fields = {"host": "h.example", "request_id": f"q{call_id}", **fields}
        if self.reads_go_on:
            self._read_without_changes()
        return self.feed(events.CallArrived, call_id, path, **fields)

    def _read_without_changes(self):
        """Makes what is known recent, unless reads are known to fail.

        Otherwise calls are held if the test feeds no reads for some seconds.
        """
        reads = self.state.store_reads[store_state.Source.CONFIGURATION]
        if reads.complete_until_us is None or reads.failures:
            return
        limit_us = self.settings.apply_limit_ms * 1000
        if self.now_us - reads.complete_until_us > limit_us:
            reads.complete_until_us = self.now_us

    def answer_probes(self, loads=None, slowdown=1.0):
        """Answers every probe in flight.

        Args:
            loads: Report by address; None for a probe that times out.
            slowdown: Slowdown of the targets that are not in `loads`.
        """
        for probe_id, probe in list(self.state.probes.items()):
            target = self.state.services[probe.service].targets[probe.target]
            report = events.LoadReport(in_flight=0, slots=4, slowdown=slowdown)
            if loads and target.spec.address in loads:
                report = loads[target.spec.address]
            self.feed(events.ProbeEnded, probe_id, report)

    def arrive_and_send(self, call_id, **fields):
        """Feeds a call and answers its probes; returns its latest attempt."""
        self.call_arrives(call_id, **fields)
        while self.state.probes:
            self.answer_probes()
        attempts = [e for e in self.sent if e.call_id == call_id]
        return attempts[-1] if attempts else None

    def fail_probes(self):
        """Lets every probe in flight end without an answer."""
        for probe_id in list(self.state.probes):
            self.feed(events.ProbeEnded, probe_id, None)

    def fail_attempts(self, reason, sent=False):
        """Lets every attempt in flight fail."""
        for call in list(self.state.calls.values()):
            for number in list(call.attempts):
                self.fail(call.call_id, number, reason, sent)

    def lose_targets(self, calls=6, reason=None):
        """Runs calls while no target can be reached.

        Args:
            calls: Number of calls.
            reason: How attempts fail; None if they get no answer.
        """
        first_id = 10_000 + len(self.effects)
        for call_id in range(first_id, first_id + calls):
            self.call_arrives(call_id)
            for _ in range(12):
                self.advance(10_000)
                if reason is not None:
                    self.fail_attempts(reason)
            self.fail_probes()

    def service(self, name="s"):
        """Returns the state of a service."""
        return self.state.services[name]

    def gate_answer(self, call_id):
        """Returns the gate host's own answer to a call, or None."""
        for effect in self.effects_of(effects.AnswerCaller):
            if effect.call_id == call_id:
                return effect
        return None


def with_fields(original, **fields):
    """Returns a copy of an entry or document with changed fields."""
    return attrs.evolve(original, **fields)
