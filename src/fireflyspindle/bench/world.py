"""Several gate hosts, the log, targets and callers in virtual time.

It carries out the effects of real reducers with small fakes, and writes down
what an observer would see.
"""

import functools
import json
import random

import attrs

from fireflyspindle.bench import fake_log
from fireflyspindle.bench import fake_target
from fireflyspindle.bench import history as history_lib
from fireflyspindle.bench import virtual
from fireflyspindle.bench import world_attempts
from fireflyspindle.bench import world_hosts
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
BALANCER_LAG_US = 1_000_000
KEEP_US = 40_000_000
WALL_START_MS = 1_700_000_000_000
CLOCK_SKEW_MS = 500


class World:
    """The fakes, and the observer who writes the history.

    Attributes:
        timeline: Virtual time.
        random: Source of the world's randomness.
        history: What was seen so far.
        log: The log service.
        targets: Targets by address.
        hosts: Gate hosts in force, by place.
        parted: Places that can't reach the other places.
        disturbing: Whether answers of targets are disturbed.
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
        self.hosts: list[world_hosts.Host] = []
        self.parted: frozenset[int] = frozenset()
        self.disturbing = False
        self._attempts = world_attempts.Attempts(self)
        self._by_name: dict[str, world_hosts.Host] = {}
        self._started = 0
        self._shown: tuple[list[events.ListedHost], list[events.ListedHost]] = (
            [],
            [],
        )
        self._accepted: dict[str, int] = {}
        self._revisions: dict[tuple[str, str], int] = {}

    def start(self) -> None:
        """Publishes the first records and starts every gate host."""
        self.publish("service", SERVICE, self.service_payload(), 0)
        self.publish(
            "route", SERVICE, {"path_prefix": PATH, "service": SERVICE}, 0
        )
        policy = records.Policy(probes_per_s=PROBES_PER_S)
        self.publish("policy", SERVICE, attrs.asdict(policy), 0)
        self.history.probe_budgets_per_s[SERVICE] = PROBES_PER_S
        for place in range(GATES):
            self.hosts.append(self._new_host(place))
        self._list_hosts()

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
        """Notes an accepted record, by a rule of the observer's own."""
        raw = json.loads(body)
        if stream != configuration.STREAM or "expected_revision" not in raw:
            return
        key = f"{raw['kind']}/{raw['name']}"
        if raw["expected_revision"] != self._accepted.get(key, 0):
            return
        self._accepted[key] = offset + 1
        self.history.accepted.append(
            history_lib.AcceptedSeen(key, offset + 1, self.timeline.now_us)
        )

    # Gate hosts.

    def _new_host(self, place: int) -> world_hosts.Host:
        self._started += 1
        name = f"gate-{place}.{self._started}"
        gate = virtual.VirtualGate(
            self.timeline,
            state_lib.CoreSettings(
                host_id=name,
                incarnation=self._started,
                control_address=name,
                log_keep_s=KEEP_US // 1_000_000,
            ),
            self.random.getrandbits(32),
            lambda _gate, effect: self._carry_out(host, effect),
        )
        host = world_hosts.Host(
            name,
            place,
            gate,
            disturbed_us=self.timeline.now_us,
            skew_ms=self.random.randrange(-CLOCK_SKEW_MS, CLOCK_SKEW_MS),
        )
        self._by_name[name] = host
        gate.start()
        return host

    def wall_ms(self) -> int:
        """Returns the wall-clock time of an exact clock."""
        return WALL_START_MS + self.timeline.now_us // 1000

    def feed(self, host: world_hosts.Host, make: virtual.EventMaker) -> None:
        """Feeds an event to a gate host and looks at its records."""
        self.history.events += 1
        host.gate.feed(make)

    def crash(self, place: int) -> None:
        """Kills a gate host; another takes its place."""
        host = self.hosts[place]
        host.gate.stopped = True
        for call in host.open_calls:
            self.history.calls[call].gate_crashed = True
        for sent in host.sent.values():
            if sent.work is not None:
                sent.target.cancel(sent.work)
        self._replace(host)

    def stop(self, place: int) -> None:
        """Begins the planned stop of a gate host."""
        host = self.hosts[place]
        self.feed(host, events.StopRequested)
        self.timeline.after(BALANCER_LAG_US, lambda: self._unlist(host))

    def _unlist(self, host: world_hosts.Host) -> None:
        host.listed = False

    def _on_exit(self, host: world_hosts.Host) -> None:
        host.gate.stopped = True
        for call in host.open_calls:
            self.history.calls[call].cut_by_stop = True
        self._replace(host)

    def _replace(self, host: world_hosts.Host) -> None:
        self.end_span(host)
        if self.hosts[host.place] is host:
            self.hosts[host.place] = self._new_host(host.place)

    def disturb(self, host: world_hosts.Host) -> None:
        """Notes that a gate host is held up from this time on."""
        self.end_span(host)
        host.disturbed_us = -1

    def settle(self, host: world_hosts.Host) -> None:
        """Notes that a gate host is no longer held up."""
        host.disturbed_us = self.timeline.now_us

    def end_span(self, host: world_hosts.Host) -> None:
        """Writes down how long a gate host ran undisturbed."""
        if host.disturbed_us < 0:
            return
        self.history.undisturbed.append(
            history_lib.Undisturbed(
                host.name, host.disturbed_us, self.timeline.now_us
            )
        )

    def observe_revisions(self) -> None:
        """Writes down the revisions that each gate host has in force."""
        for host in self.hosts:
            for key, entry in host.gate.state.configuration.entries.items():
                if self._revisions.get((host.name, key)) == entry.revision:
                    continue
                self._revisions[host.name, key] = entry.revision
                self.history.revisions.append(
                    history_lib.RevisionSeen(
                        host.name, key, entry.revision, self.timeline.now_us
                    )
                )

    def _list_hosts(self) -> None:
        """Notes who is there; the host list shows it after its lag."""
        listed = [
            events.ListedHost(host.name, host.name, not host.listed)
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
            HOST_LIST_LAG_US, lambda: self._show_hosts(listed, targets)
        )
        self.timeline.after(HOST_LIST_PERIOD_US, self._list_hosts)

    def _show_hosts(
        self,
        gate_hosts: list[events.ListedHost],
        targets: list[events.ListedHost],
    ) -> None:
        self._shown = (gate_hosts, targets)

    def _read_host_list(self, host: world_hosts.Host, delay_us: int) -> None:
        def answer() -> None:
            gate_hosts, targets = self._shown
            self.feed(
                host,
                lambda now_us: events.HostListRead(now_us, gate_hosts, targets),
            )

        self.timeline.after(delay_us + HOST_LIST_READ_US, answer)

    # Effects.

    def _carry_out(  # noqa: C901 - one arm for each effect
        self, host: world_hosts.Host, effect: effects.Effect
    ) -> None:
        match effect:
            case effects.SendToTarget():
                self._attempts.send(host, effect)
            case effects.CancelAttempt(call, attempt):
                self._attempts.cancel(host, call, attempt)
            case effects.ForwardAnswer():
                self._attempts.forward(host, effect)
            case effects.AnswerCaller(call_id=call, outcome=outcome):
                self.tell(host, call, outcome, answer_of=call)
            case effects.ReadLog():
                self.log.on_read(host.gate, host.name, effect)
            case effects.AppendRecord():
                self.log.on_append(host.gate, host.name, effect)
            case effects.ProbeTarget():
                self._probe(host, effect)
            case effects.ReadHostList(delay_us):
                self._read_host_list(host, delay_us)
            case effects.TellPeer(address, body):
                self._tell_peer(host, address, body)
            case effects.Exit():
                self._on_exit(host)
            case _:
                pass

    def tell(
        self,
        host: world_hosts.Host,
        call: int,
        outcome: effects.Outcome,
        answer_of: int | None,
    ) -> None:
        """Notes what a caller was told."""
        seen = self.history.calls.get(call)
        if seen is None or seen.told is not None or seen.left:
            return
        host.open_calls.discard(call)
        seen.told = outcome
        seen.told_us = self.timeline.now_us
        seen.answer_of = answer_of
        self.on_told(seen)

    def on_told(self, seen: history_lib.CallSeen) -> None:
        """Lets a caller act on its answer; overridden by the load."""

    def _probe(
        self, host: world_hosts.Host, effect: effects.ProbeTarget
    ) -> None:
        """Sends a probe a little later, as a busy shell would."""
        delay_us = self.random.randrange(MAX_PROBE_DELAY_US)
        self.timeline.after(delay_us, lambda: self._send_probe(host, effect))

    def _send_probe(
        self, host: world_hosts.Host, effect: effects.ProbeTarget
    ) -> None:
        if host.gate.paused:
            retry = functools.partial(self._send_probe, host, effect)
            self.timeline.after(MAX_PROBE_DELAY_US, retry)
            return
        target = self.targets[effect.target]
        report = None
        if self.timeline.now_us <= effect.not_after_us:
            self.history.probes.append(
                history_lib.ProbeSeen(SERVICE, host.name, self.timeline.now_us)
            )
            if not target.shut:
                report = events.LoadReport(target.in_flight, target.leaving)
        self.timeline.after(
            2 * world_attempts.ONE_WAY_US,
            lambda: self.feed(
                host,
                lambda now_us: events.ProbeEnded(
                    now_us, effect.probe_id, report
                ),
            ),
        )

    def _tell_peer(
        self, host: world_hosts.Host, address: str, body: str
    ) -> None:
        peer = self._by_name.get(address)
        if peer is None or peer.gate.stopped:
            return
        if (host.place in self.parted) != (peer.place in self.parted):
            return
        copies = self.random.choice((1, 1, 1, 1, 1, 1, 1, 1, 2, 0))
        for _ in range(copies):
            delay_us = self.random.randrange(
                world_attempts.ONE_WAY_US, 10 * world_attempts.ONE_WAY_US
            )
            self.timeline.after(
                delay_us,
                lambda: self.feed(
                    peer,
                    lambda now_us: events.PeerMessageReceived(now_us, body),
                ),
            )
