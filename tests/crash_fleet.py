"""Hosts that share records about crashes through a store, in virtual time."""

from fireflyspindle.core import effects
from fireflyspindle.core import events
import published_driver as published_host

FINGERPRINT = "f" * 32
TARGETS = 12


class CrashFleet:
    """Hosts of which each knows the same targets.

    Args:
        make_host: Makes a host from its keyword arguments.
        hosts: Number of hosts.
        rules: Published rules.
    """

    def __init__(self, make_host, hosts, rules=()):
        self.rules = list(rules)
        self.make_host = make_host
        self.hosts = [self._new_host(seed) for seed in range(hosts)]
        self.records = {}
        self.next_offset = 0
        self.error = ""
        self.crashed = set()
        self.last_call_id = 1_000
        self._known = {}

    def _new_host(self, seed):
        host = self.make_host(targets=TARGETS, seed=seed, rules=self.rules)
        # Without the number of hosts it would hardly send any call again.
        host.feed(events.HostsReported, 0, 1)
        host.advance(6_000_000)
        return host

    def start_host(self, age_us=0):
        """Starts a host, which reads all records of the store."""
        host = self._new_host(len(self.hosts))
        records = {
            key: events.CrashRecord(record.service, record.age_us + age_us)
            for key, record in self.records.items()
        }
        host.feed(events.CrashesRead, records, [], True, self.next_offset)
        self.hosts.append(host)
        return host

    def crash_under(self, host, fingerprint=FINGERPRINT, **fields):
        """Sends a call to a host whose target crashes under it."""
        self.last_call_id += 1
        call_id = self.last_call_id
        attempt = host.arrive_and_send(
            call_id, fingerprint=fingerprint, **fields
        )
        host.advance(40_000)
        self.crash(host, attempt)
        return attempt

    def crash(self, host, attempt):
        """Lets the target of an attempt crash."""
        self.crashed.add(attempt.incarnation)
        host.fail(
            attempt.call_id,
            attempt.attempt,
            events.FailureReason.DISCONNECTED,
            True,
        )
        self.end_probes(host)
        self.answer_other(host)
        for each in self.hosts:
            each.register(removed=[attempt.incarnation])

    def end_probes(self, host):
        """Ends all probes; targets that crashed refuse the connection."""
        for _ in range(5):
            for probe_id, probe in list(host.state.probes.items()):
                refused = probe.target in self.crashed
                report = None if refused else published_host.load()
                host.feed(events.ProbeEnded, probe_id, report, refused)

    def answer_other(self, host, fingerprint="0" * 32):
        """Runs a call that any target answers."""
        self.last_call_id += 1
        call_id = self.last_call_id
        host.call_arrives(call_id, fingerprint=fingerprint)
        self.end_probes(host)
        sent = [effect for effect in host.sent if effect.call_id == call_id]
        host.answer(call_id, sent[-1].attempt, report=published_host.load())
        host.finish(call_id)

    def share(self, duration_us=400_000):
        """Carries out appends and delivers the records to all hosts."""
        for _ in range(duration_us // 50_000):
            written = {}
            for host in self.hosts:
                host.advance(50_000)
                written |= self._appends(host)
            if not written:
                continue
            self.next_offset += len(written)
            kept = {k: r for k, r in written.items() if r is not None}
            removed = [key for key, record in written.items() if record is None]
            self.records |= kept
            for key in removed:
                self.records.pop(key, None)
            for host in self.hosts:
                host.feed(
                    events.CrashesRead, kept, removed, False, self.next_offset
                )

    def _appends(self, host):
        written = {}
        first = self._known.get(id(host), 0)
        while first < len(host.effects):
            effect = host.effects[first]
            first += 1
            self._known[id(host)] = first
            if isinstance(effect, effects.AppendCrashes):
                if not self.error:
                    written |= effect.records
                host.feed(events.CrashesAppended, effect.append_id, self.error)
        return written

    def answer_to(self, host, fingerprint=FINGERPRINT, **fields):
        """Sends a call; returns the host's own answer, None if it is sent."""
        self.last_call_id += 1
        host.arrive_and_send(
            self.last_call_id, fingerprint=fingerprint, **fields
        )
        return host.gate_answer(self.last_call_id)
