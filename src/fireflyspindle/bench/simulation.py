"""Simulation of gate hosts, log, targets and callers in virtual time.

It executes the effects of the gate hosts' reducers against simulated services
and records the observable history.
"""

import functools
import json
import random

import attrs

from fireflyspindle.bench import fake_log
from fireflyspindle.bench import fake_target
from fireflyspindle.bench import history as history_lib
from fireflyspindle.bench import simulated_attempts
from fireflyspindle.bench import simulated_hosts
from fireflyspindle.bench import virtual
from fireflyspindle.core import configuration
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import records
from fireflyspindle.core import state as state_lib
from fireflyspindle.testing import records as record_bodies

SERVICE = "offer"
PATH = "/offer"
GATES = 4
TARGETS = 5
HOST_LIST_LAG_US = 2_000_000
HOST_LIST_PERIOD_US = 100_000
HOST_LIST_READ_US = 2_000
MAX_PROBE_DELAY_US = 50_000
PROBES_PER_S = 3.0
LOAD_BALANCER_LAG_US = 1_000_000
LOG_RETENTION_US = 40_000_000
WALL_START_MS = 1_700_000_000_000
CLOCK_SKEW_MS = 500


class Simulation:
    """The simulated system and the recorder of its history.

    Attributes:
        timeline: Virtual time.
        random: Random generator of the simulation.
        history: Observations so far.
        log: The log service.
        targets: Targets by address.
        hosts: Current gate hosts, by index.
        partitioned: Indexes of hosts partitioned from all other hosts.
        response_faults: Whether responses of targets are subject to faults.
    """

    def __init__(self, seed: int) -> None:
        self.timeline = virtual.Timeline()
        self.random = random.Random(seed)
        self.history = history_lib.History()
        self.log = fake_log.FakeLog(self.timeline, self.random, self._on_append)
        self.targets = {
            f"10.0.1.{index}:80": fake_target.FakeTarget(
                f"10.0.1.{index}:80", self.timeline, self.random
            )
            for index in range(TARGETS)
        }
        self.hosts: list[simulated_hosts.Host] = []
        self.partitioned: frozenset[int] = frozenset()
        self.response_faults = False
        self._attempts = simulated_attempts.Attempts(self)
        self._hosts_by_name: dict[str, simulated_hosts.Host] = {}
        self._started = 0
        self._listed_hosts: tuple[
            list[events.ListedHost], list[events.ListedHost]
        ] = ([], [])
        self._accepted_revisions: dict[str, int] = {}
        self._recorded_revisions: dict[tuple[str, str], int] = {}

    def start(self) -> None:
        """Publishes the initial records and starts every gate host."""
        self.publish("service", SERVICE, self.service_payload(), 0)
        self.publish(
            "route", SERVICE, {"path_prefix": PATH, "service": SERVICE}, 0
        )
        policy = records.Policy(probes_per_s=PROBES_PER_S)
        self.publish("policy", SERVICE, attrs.asdict(policy), 0)
        self.history.probe_budgets_per_s[SERVICE] = PROBES_PER_S
        for index in range(GATES):
            self.hosts.append(self._new_host(index))
        self._sample_hosts()

    def service_payload(self) -> dict:
        """Returns the payload of the service record."""
        return {"targets": [{"address": address} for address in self.targets]}

    def publish(
        self, kind: str, name: str, payload: dict, expected_revision: int
    ) -> int:
        """Appends a record to the log; returns its offset."""
        body = record_bodies.body(
            kind,
            name,
            payload,
            record_id=f"r{self.random.getrandbits(64):016x}",
            author="operator",
            expected_revision=expected_revision,
        )
        return self.log.append(configuration.STREAM, body)

    def _on_append(self, stream: str, offset: int, body: str) -> None:
        """Adds a record to the history if the configuration rules accept it.

        Decides this without the code of the gate hosts, so that a fault in
        that code is not masked.
        """
        raw = json.loads(body)
        if stream != configuration.STREAM or "expected_revision" not in raw:
            return
        key = f"{raw['kind']}/{raw['name']}"
        if raw["expected_revision"] != self._accepted_revisions.get(key, 0):
            return
        self._accepted_revisions[key] = offset + 1
        self.history.accepted.append(
            history_lib.ObservedAcceptance(
                key, offset + 1, self.timeline.now_us
            )
        )

    # Gate hosts.

    def _new_host(self, index: int) -> simulated_hosts.Host:
        self._started += 1
        name = f"gate-{index}.{self._started}"
        gate = virtual.VirtualGate(
            self.timeline,
            state_lib.CoreSettings(
                host_id=name,
                incarnation=self._started,
                control_address=name,
                log_keep_s=LOG_RETENTION_US // 1_000_000,
            ),
            self.random.getrandbits(32),
            lambda _gate, effect: self._execute(host, effect),
        )
        host = simulated_hosts.Host(
            name,
            index,
            gate,
            fault_free_since_us=self.timeline.now_us,
            skew_ms=self.random.randrange(-CLOCK_SKEW_MS, CLOCK_SKEW_MS),
        )
        self._hosts_by_name[name] = host
        gate.start()
        return host

    def wall_ms(self) -> int:
        """Returns the wall-clock time without skew, in milliseconds."""
        return WALL_START_MS + self.timeline.now_us // 1000

    def feed(
        self, host: simulated_hosts.Host, make_event: virtual.EventFactory
    ) -> None:
        """Counts an event and feeds it to a gate host."""
        self.history.events += 1
        host.gate.feed(make_event)

    def crash(self, index: int) -> None:
        """Kills a gate host and replaces it."""
        host = self.hosts[index]
        host.gate.stopped = True
        for call in host.pending_calls:
            self.history.calls[call].gate_crashed = True
        for attempt in host.attempts.values():
            if attempt.request is not None:
                attempt.target.cancel(attempt.request)
        self._replace(host)

    def stop(self, index: int) -> None:
        """Starts the graceful shutdown of a gate host."""
        host = self.hosts[index]
        self.feed(host, events.StopRequested)
        self.timeline.after(
            LOAD_BALANCER_LAG_US, lambda: self._remove_from_load_balancer(host)
        )

    def _remove_from_load_balancer(self, host: simulated_hosts.Host) -> None:
        host.in_load_balancer = False

    def _on_exit(self, host: simulated_hosts.Host) -> None:
        host.gate.stopped = True
        for call in host.pending_calls:
            self.history.calls[call].aborted_by_shutdown = True
        self._replace(host)

    def _replace(self, host: simulated_hosts.Host) -> None:
        self.record_fault_free_period(host)
        if self.hosts[host.index] is host:
            self.hosts[host.index] = self._new_host(host.index)

    def mark_fault_start(self, host: simulated_hosts.Host) -> None:
        """Marks the start of a fault that affects a gate host."""
        self.record_fault_free_period(host)
        host.fault_free_since_us = -1

    def mark_fault_end(self, host: simulated_hosts.Host) -> None:
        """Marks the end of a fault that affects a gate host."""
        host.fault_free_since_us = self.timeline.now_us

    def record_fault_free_period(self, host: simulated_hosts.Host) -> None:
        """Records the fault-free period of a gate host that ends now."""
        if host.fault_free_since_us < 0:
            return
        self.history.fault_free.append(
            history_lib.FaultFreePeriod(
                host.name, host.fault_free_since_us, self.timeline.now_us
            )
        )

    def observe_revisions(self) -> None:
        """Records newly activated revisions of each gate host."""
        for host in self.hosts:
            for key, entry in host.gate.state.configuration.entries.items():
                if (
                    self._recorded_revisions.get((host.name, key))
                    == entry.revision
                ):
                    continue
                self._recorded_revisions[host.name, key] = entry.revision
                self.history.revisions.append(
                    history_lib.ObservedRevision(
                        host.name, key, entry.revision, self.timeline.now_us
                    )
                )

    def _sample_hosts(self) -> None:
        """Samples the hosts; the host list returns them after its lag."""
        listed = [
            events.ListedHost(host.name, host.name, not host.in_load_balancer)
            for host in self.hosts
        ]
        targets = [
            events.ListedHost(
                f"{target.address}#{target.incarnation}",
                target.address,
                target.leaving,
            )
            for target in self.targets.values()
        ]
        self.timeline.after(
            HOST_LIST_LAG_US, lambda: self._update_host_list(listed, targets)
        )
        self.timeline.after(HOST_LIST_PERIOD_US, self._sample_hosts)

    def _update_host_list(
        self,
        gate_hosts: list[events.ListedHost],
        targets: list[events.ListedHost],
    ) -> None:
        self._listed_hosts = (gate_hosts, targets)

    def _read_host_list(
        self, host: simulated_hosts.Host, delay_us: int
    ) -> None:
        def respond() -> None:
            gate_hosts, targets = self._listed_hosts
            self.feed(
                host,
                lambda now_us: events.HostListRead(now_us, gate_hosts, targets),
            )

        self.timeline.after(delay_us + HOST_LIST_READ_US, respond)

    # Effects.

    def _execute(  # noqa: C901 - one arm for each effect
        self, host: simulated_hosts.Host, effect: effects.Effect
    ) -> None:
        match effect:
            case effects.SendToTarget():
                self._attempts.send(host, effect)
            case effects.CancelAttempt(call, attempt):
                self._attempts.cancel(host, call, attempt)
            case effects.ForwardAnswer():
                self._attempts.forward(host, effect)
            case effects.AnswerCaller(call_id=call, outcome=outcome):
                self.record_outcome(host, call, outcome, response_to=call)
            case effects.ReadLog():
                self.log.on_read(host.gate, host.name, effect)
            case effects.AppendRecord():
                self.log.on_append(host.gate, host.name, effect)
            case effects.ProbeTarget():
                self._probe(host, effect)
            case effects.ReadHostList(delay_us):
                self._read_host_list(host, delay_us)
            case effects.SendToPeer(address, body):
                self._send_to_peer(host, address, body)
            case effects.Exit():
                self._on_exit(host)
            case _:
                pass

    def record_outcome(
        self,
        host: simulated_hosts.Host,
        call: int,
        outcome: effects.Outcome,
        response_to: int | None,
    ) -> None:
        """Records the outcome that a caller received."""
        observed = self.history.calls.get(call)
        if (
            observed is None
            or observed.outcome is not None
            or observed.caller_disconnected
        ):
            return
        host.pending_calls.discard(call)
        observed.outcome = outcome
        observed.completed_us = self.timeline.now_us
        observed.response_to = response_to
        self.on_outcome(observed)

    def on_outcome(self, observed: history_lib.ObservedCall) -> None:
        """Called with each outcome; subclasses override it to retry."""

    def _probe(
        self, host: simulated_hosts.Host, effect: effects.ProbeTarget
    ) -> None:
        """Sends a probe after a random delay, as under CPU load."""
        delay_us = self.random.randrange(MAX_PROBE_DELAY_US)
        self.timeline.after(delay_us, lambda: self._send_probe(host, effect))

    def _send_probe(
        self, host: simulated_hosts.Host, effect: effects.ProbeTarget
    ) -> None:
        if host.gate.paused:
            retry = functools.partial(self._send_probe, host, effect)
            self.timeline.after(MAX_PROBE_DELAY_US, retry)
            return
        target = self.targets[effect.target]
        report = None
        if self.timeline.now_us <= effect.not_after_us:
            self.history.probes.append(
                history_lib.ObservedProbe(
                    SERVICE, host.name, self.timeline.now_us
                )
            )
            if not target.refusing_connections:
                report = events.LoadReport(target.in_flight, target.leaving)
        self.timeline.after(
            2 * simulated_attempts.ONE_WAY_US,
            lambda: self.feed(
                host,
                lambda now_us: events.ProbeEnded(
                    now_us, effect.probe_id, report
                ),
            ),
        )

    def _send_to_peer(
        self, host: simulated_hosts.Host, address: str, body: str
    ) -> None:
        peer = self._hosts_by_name.get(address)
        if peer is None or peer.gate.stopped:
            return
        if (host.index in self.partitioned) != (peer.index in self.partitioned):
            return
        copies = self.random.choice((1, 1, 1, 1, 1, 1, 1, 1, 2, 0))
        for _ in range(copies):
            delay_us = self.random.randrange(
                simulated_attempts.ONE_WAY_US,
                10 * simulated_attempts.ONE_WAY_US,
            )
            self.timeline.after(
                delay_us,
                lambda: self.feed(
                    peer,
                    lambda now_us: events.PeerMessageReceived(now_us, body),
                ),
            )
