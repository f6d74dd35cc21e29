"""Simulated fleet of gate hosts that replicate a configuration."""

from collections.abc import Callable
import random

import attrs

from fireflyspindle.bench import fake_log
from fireflyspindle.bench import virtual
from fireflyspindle.core import configuration
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import records
from fireflyspindle.core import state as state_lib
from fireflyspindle.testing import records as record_bodies

SECOND_US = 1_000_000
MIN_ONE_WAY_US = 300
MAX_ONE_WAY_US = 1_000
SEED_PEERS = 3
REQUEST_HEADER_BYTES = 130
RESPONSE_BYTES = 130


@attrs.define(eq=False)
class Host:
    """One gate host of the fleet.

    Attributes:
        address: Control address, also used as the name of the host.
        gate: Its reducer.
        sent_bytes: Bytes of messages and responses sent to peers.
        received_bytes: Bytes of messages and responses received from peers.
        messages: Number of messages sent to peers.
        log_codes: Codes of the log messages written.
    """

    address: str
    gate: virtual.VirtualGate
    sent_bytes: int = 0
    received_bytes: int = 0
    messages: int = 0
    log_codes: list[str] = attrs.field(factory=list)

    @property
    def configuration(self) -> configuration.Configuration:
        """The configuration of the host."""
        return self.gate.state.configuration


class Fleet:
    """Gate hosts, the log service and the network between them.

    Attributes:
        timeline: Virtual time.
        random: Random generator of the network.
        log: The log service.
        hosts: Running hosts by address.
        partitioned: Addresses partitioned from all other addresses.
        loss_rate: Fraction of the messages between peers that are lost.
        on_event: Called after each peer message delivered to a host.
    """

    def __init__(
        self,
        seed: int,
        log_keep_s: int = 3_600,
        on_event: Callable[[Host], None] = lambda _host: None,
    ) -> None:
        self.timeline = virtual.Timeline()
        self.random = random.Random(seed)
        self.log = fake_log.FakeLog(
            self.timeline, self.random, lambda *_appended: None
        )
        self.hosts: dict[str, Host] = {}
        self.partitioned: frozenset[str] = frozenset()
        self.loss_rate = 0.0
        self.on_event = on_event
        self._log_keep_s = log_keep_s
        self._started = 0

    def publish(
        self,
        kind: str,
        name: str,
        payload: dict | None,
        expected_revision: int = 0,
    ) -> int:
        """Appends a record to the log immediately; returns its revision."""
        body = record_bodies.body(
            kind,
            name,
            payload,
            record_id=f"{self.random.getrandbits(64):016x}",
            expected_revision=expected_revision,
        )
        return self.log.append(configuration.STREAM, body) + 1

    def start_host(
        self,
        reader_version: int = records.READER_VERSION,
        host_id: str = "",
        incarnation: int = 1,
    ) -> Host:
        """Starts a host with up to `SEED_PEERS` running hosts as seed peers."""
        self._started += 1
        number = self._started
        address = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
        running = sorted(self.hosts)
        seeds = self.random.sample(running, min(SEED_PEERS, len(running)))
        settings = state_lib.CoreSettings(
            host_id=host_id or f"gate-{number}",
            incarnation=incarnation,
            control_address=f"{address}:81",
            peer_addresses=tuple(seeds),
            reader_version=reader_version,
            log_keep_s=self._log_keep_s,
        )
        gate = virtual.VirtualGate(
            self.timeline,
            settings,
            self.random.getrandbits(32),
            lambda _gate, effect: self._execute(host, effect),
        )
        host = Host(settings.control_address, gate)
        self.hosts[host.address] = host
        gate.start()
        return host

    def kill_host(self, host: Host) -> None:
        """Kills a host; its peers are not notified."""
        host.gate.stopped = True
        del self.hosts[host.address]

    def run(self, seconds: float) -> None:
        """Advances virtual time."""
        self.timeline.run(self.timeline.now_us + int(seconds * SECOND_US))

    def run_until(
        self, condition: Callable[[], bool], limit_s: float = 60.0
    ) -> float | None:
        """Advances virtual time until a condition holds.

        Returns:
            The elapsed seconds, or None if the limit was reached.
        """
        started_us = self.timeline.now_us
        limit_us = started_us + int(limit_s * SECOND_US)
        while self.timeline.now_us < limit_us:
            if condition():
                return (self.timeline.now_us - started_us) / SECOND_US
            self.run(0.01)
        return None

    def is_active(self, revision: int) -> bool:
        """Whether every host has applied the record of a revision."""
        return all(
            host.configuration.next_offset >= revision
            for host in self.hosts.values()
        )

    def deliver(self, host: Host, body: str) -> None:
        """Delivers a message to a host immediately."""
        host.gate.feed(lambda now_us: events.PeerMessageReceived(now_us, body))
        self.on_event(host)

    def _execute(self, host: Host, effect: effects.Effect) -> None:
        match effect:
            case effects.ReadLog():
                self.log.on_read(host.gate, host.address, effect)
            case effects.AppendRecord():
                self.log.on_append(host.gate, host.address, effect)
            case effects.SendToPeer(address, body):
                self._send_to_peer(host, address, body)
            case effects.WriteLogLine(_, code, _):
                host.log_codes.append(code)

    def _send_to_peer(self, host: Host, address: str, body: str) -> None:
        size = len(body) + REQUEST_HEADER_BYTES
        host.messages += 1
        host.sent_bytes += size
        peer = self.hosts.get(address)
        separated = (host.address in self.partitioned) != (
            address in self.partitioned
        )
        dropped = self.random.random() < self.loss_rate
        if peer is None or separated or dropped:
            return
        host.received_bytes += RESPONSE_BYTES
        peer.received_bytes += size
        peer.sent_bytes += RESPONSE_BYTES
        delay_us = self.random.randrange(MIN_ONE_WAY_US, MAX_ONE_WAY_US)
        self.timeline.after(delay_us, lambda: self.deliver(peer, body))


def service_payload(targets: int, number: int) -> dict:
    """Returns the payload of a service record with `targets` targets.

    Args:
        targets: Number of targets.
        number: Number of the service; part of the target addresses.
    """
    return {
        "targets": [
            {
                "address": f"10.{100 + number}.{index >> 8}.{index & 255}:8080",
                "failure_domain": f"domain-{index % 5}",
                "slots": 4,
                "connection_limit": 260,
            }
            for index in range(targets)
        ]
    }
