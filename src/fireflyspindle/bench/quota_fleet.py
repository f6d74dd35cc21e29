"""Gate hosts that share quotas, in virtual time: the reducers of a fleet."""

import collections
from collections.abc import Iterable
import functools
import json
import random

import attrs

from fireflyspindle.bench import virtual
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import published
from fireflyspindle.core import records
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import store_state
from fireflyspindle.core.quotas import messages

TOLERANCE = store_state.QuotaTolerance(
    window_ms=5_000, overage=0.1, slack_requests=20.0
)
READERS = 3
# One-way time of a message between hosts, from failure domain to domain.
DELAY_US = (200, 1_500)
# Time-out of a request for permits; see `adapters.quota_permits`.
TIMEOUT_US = 100_000
# Head of a request and of a response, as aiohttp writes them, in bytes;
# measured on loopback.
HEAD_BYTES = 107 + 159
WORK_US = 20_000
# Time in which the hosts read the configuration and count each other.
START_US = 6_000_000
LIMITS = published.CallerLimits(16_384, 1_000_000, 3_000, 15_000)
TARGETS = 4
# Slots of a target: so many that no call waits for one.
SLOTS = 1_000


def organisation(
    name: str, requests_per_s: float, burst_requests: float = 0.0
) -> published.Organisation:
    """Returns an organisation with a quota and one API key."""
    return published.Organisation(
        name=name,
        key_digests=frozenset({f"digest-{name}"}),
        requests_per_s=requests_per_s,
        burst_requests=burst_requests,
    )


def document(
    version: int, organisations: Iterable[published.Organisation]
) -> published.Document:
    """Returns a configuration with one service and these organisations."""
    rule = published.Rule(
        name="r",
        host="h.example",
        path_prefix="/s/",
        parts=(published.Part("s", 1),),
        repeatable=True,
        timeout_ms=2_000,
        latency_objective_ms=1_000,
        max_attempts=2,
        priority=0,
    )
    return published.Document(
        version=version,
        rules=(rule,),
        services=(published.ServiceSettings("s", "/health", 10_000),),
        limits=LIMITS,
        organisations=tuple(organisations),
    )


@attrs.define
class Tally:
    """What the callers of one organisation saw.

    Attributes:
        runs_us: Times at which requests were sent to a target.
        errors: Refusals by error.
        wait_us: Sum of the times from arrival to sending.
    """

    runs_us: list[int] = attrs.field(factory=list)
    errors: collections.Counter[str] = attrs.field(factory=collections.Counter)
    wait_us: int = 0

    @property
    def refused_share(self) -> float:
        """Refused requests as a share of all."""
        refused = sum(self.errors.values())
        return refused / max(1, refused + len(self.runs_us))


class QuotaFleet:
    """Hosts, the first of them readers, with links that can be cut.

    Args:
        hosts: Number of hosts.
        organisations: Organisations of the configuration.
        seed: Seed of all random choices.
        believed_hosts: Number of hosts that the hosts count; None for the
            correct one.

    Attributes:
        timeline: Virtual time.
        gates: Reducers by index.
        cut_requests: Pairs of host and reader whose requests are lost.
        cut_replies: Pairs of host and reader whose replies are lost.
        older_readers: Readers of a build without permits.
        tallies: Results by organisation.
        messages: Requests for permits sent.
        bytes: Bytes of these requests and their replies.
    """

    def __init__(
        self,
        hosts: int,
        organisations: Iterable[published.Organisation],
        seed: int,
        believed_hosts: int | None = None,
        *,
        first_start: bool = True,
    ) -> None:
        self.timeline = virtual.Timeline()
        self.random = random.Random(seed)
        self.cut_requests: set[tuple[int, int]] = set()
        self.cut_replies: set[tuple[int, int]] = set()
        self.older_readers: set[int] = set()
        self.tallies: dict[str, Tally] = collections.defaultdict(Tally)
        self.messages = 0
        self.bytes = 0
        self._hosts = hosts
        self._believed_hosts = believed_hosts or hosts
        self._document = document(1, organisations)
        self._last_call_id = 0
        self._arrivals: dict[int, tuple[str, int]] = {}
        self._replies: dict[
            int, tuple[virtual.VirtualGate, int, messages.RequestQuotaPermits]
        ] = {}
        self._last_request_id = 0
        self.gates = [
            self._new_gate(index, first_start=first_start)
            for index in range(hosts)
        ]
        for index in range(hosts):
            self._start(index)
        self.timeline.run(START_US)

    @property
    def readers(self) -> range:
        """Indices of the readers."""
        return range(min(READERS, self._hosts))

    def restart(self, index: int) -> None:
        """Replaces a host by a new one, which knows nothing of before."""
        self.gates[index].stopped = True
        self.gates[index] = self._new_gate(index, first_start=False)
        self._start(index)

    def configure(
        self, version: int, organisations: Iterable[published.Organisation]
    ) -> None:
        """Publishes a configuration, in force on every host at once."""
        self._document = document(version, organisations)
        for gate in self.gates:
            self._configure(gate)

    def offer(
        self, name: str, per_s: float, hosts: list[int], seconds: float
    ) -> None:
        """Schedules requests at random times to random hosts, from now on."""
        at_us = 0.0
        while True:
            at_us += self.random.expovariate(per_s / 1e6)
            if at_us >= seconds * 1e6:
                return
            host = self.random.choice(hosts)
            self.timeline.after(
                int(at_us), functools.partial(self.arrive, name, host)
            )

    def run(self, seconds: float) -> None:
        """Runs for a time."""
        self.timeline.run(self.timeline.now_us + int(seconds * 1e6))

    def arrive(self, name: str, host: int) -> None:
        """Sends one request of an organisation to a host."""
        self._last_call_id += 1
        call_id = self._last_call_id
        gate = self.gates[host]
        if gate.stopped:
            return
        self._arrivals[call_id] = (name, self.timeline.now_us)
        gate.feed(
            lambda now_us: events.CallArrived(
                now_us,
                call_id,
                "/s/x",
                tenant=name,
                host="h.example",
                request_id=str(call_id),
                key_digest=f"digest-{name}",
            )
        )

    def worst_excess(
        self, tested: published.Organisation, since_us: int = 0
    ) -> float:
        """Returns the most requests in a window, less the bound."""
        window_us = TOLERANCE.window_ms * 1000
        quota = tested.requests_per_s * window_us / 1e6 + tested.burst_requests
        bound = (1 + TOLERANCE.overage) * quota + TOLERANCE.slack_requests
        times_us = sorted(
            at_us
            for at_us in self.tallies[tested.name].runs_us
            if at_us >= since_us
        )
        first, most = 0, 0
        for last, at_us in enumerate(times_us):
            while times_us[first] <= at_us - window_us:
                first += 1
            most = max(most, last + 1 - first)
        return most - bound

    def _new_gate(
        self, index: int, *, first_start: bool
    ) -> virtual.VirtualGate:
        others = [reader for reader in self.readers if reader != index]
        settings = state_lib.CoreSettings(
            host_id=f"gate-{index}",
            failure_domain=f"d-{index % READERS}",
            store=store_state.StoreSettings(
                apply_limit_ms=virtual.UNREAD_LIMIT_MS,
                first_start=first_start,
                control_address=_address(index),
                is_reader=index in self.readers,
                other_reader_addresses=tuple(map(_address, others)),
                quota_tolerance=TOLERANCE,
            ),
        )
        return virtual.VirtualGate(
            self.timeline,
            settings,
            self.random.getrandbits(32),
            functools.partial(self._execute, index),
        )

    def _start(self, index: int) -> None:
        gate = self.gates[index]
        gate.start()
        self._configure(gate)
        entries = [_entry(number) for number in range(TARGETS)]
        gate.feed(
            lambda now_us: events.TargetsRead(now_us, entries, [], True, 1)
        )
        gate.feed(
            lambda now_us: events.HostsReported(
                now_us, gate.state.following.stream_number, self._believed_hosts
            )
        )

    def _configure(self, gate: virtual.VirtualGate) -> None:
        published_document = self._document
        for each in published_document.organisations:
            gate.state.configuration.tenants[each.name] = records.Tenant()
        gate.feed(
            lambda now_us: events.ConfigurationRead(
                now_us, published_document, published_document.version
            )
        )

    def _execute(
        self, index: int, gate: virtual.VirtualGate, effect: effects.Effect
    ) -> None:
        match effect:
            case effects.ProbeTarget(probe_id):
                self._later(gate, 1_000, _probe_ended(probe_id))
            case effects.SendToTarget(call_id, attempt):
                self._on_sent(gate, call_id, attempt)
            case effects.AnswerCaller(call_id, error=error):
                if call_id in self._arrivals:
                    name, _ = self._arrivals.pop(call_id)
                    self.tallies[name].errors[error] += 1
            case messages.RequestQuotaPermits():
                self._request(index, gate, effect)
            case messages.AnswerQuotaRequest(request_id, grant):
                self._answer(index, request_id, grant)
            case _:
                pass

    def _later(
        self,
        gate: virtual.VirtualGate,
        delay_us: int,
        make_event: virtual.EventFactory,
    ) -> None:
        self.timeline.after(delay_us, functools.partial(gate.feed, make_event))

    def _on_sent(
        self, gate: virtual.VirtualGate, call_id: int, attempt: int
    ) -> None:
        if call_id in self._arrivals:
            # Retries and hedges belong to a request that counts already.
            name, arrived_us = self._arrivals.pop(call_id)
            self.tallies[name].runs_us.append(self.timeline.now_us)
            self.tallies[name].wait_us += self.timeline.now_us - arrived_us
        self._later(
            gate,
            WORK_US,
            lambda now_us: events.AttemptAnswered(
                now_us, call_id, attempt, 200
            ),
        )
        self._later(
            gate,
            WORK_US,
            lambda now_us: events.AttemptEnded(now_us, call_id, attempt),
        )

    def _request(
        self,
        index: int,
        gate: virtual.VirtualGate,
        effect: messages.RequestQuotaPermits,
    ) -> None:
        reader = _index(effect.reader)
        self.messages += 1
        content = {"version": 1, "wanted": effect.wanted, "ahead": effect.ahead}
        self.bytes += HEAD_BYTES + len(json.dumps(content))
        failed = messages.QuotaRequestFailed(
            0, effect.reader, effect.request_id, "time-out"
        )
        failed.unsupported = reader in self.older_readers
        delay_us = TIMEOUT_US
        if self.gates[reader].stopped or failed.unsupported:
            delay_us = 2 * DELAY_US[0]
        self._later(
            gate, delay_us, lambda now_us: attrs.evolve(failed, now_us=now_us)
        )
        if delay_us < TIMEOUT_US or (index, reader) in self.cut_requests:
            return
        self._last_request_id += 1
        request_id = self._last_request_id
        self._replies[request_id] = (gate, index, effect)
        self._later(
            self.gates[reader],
            self.random.randint(*DELAY_US),
            lambda now_us: messages.QuotaPermitsRequested(
                now_us, request_id, effect.wanted, effect.ahead
            ),
        )

    def _answer(
        self, reader: int, request_id: int, grant: messages.Grant | None
    ) -> None:
        gate, index, effect = self._replies.pop(request_id)
        if grant is None or (index, reader) in self.cut_replies:
            return
        self.bytes += len(json.dumps(attrs.asdict(grant)))
        self._later(
            gate,
            self.random.randint(*DELAY_US),
            lambda now_us: messages.QuotaPermitsReceived(
                now_us, effect.reader, effect.request_id, grant
            ),
        )


def _address(index: int) -> str:
    return f"10.0.{index // 250}.{index % 250}:900"


def _index(address: str) -> int:
    parts = address.partition(":")[0].split(".")
    return int(parts[2]) * 250 + int(parts[3])


def _entry(number: int) -> events.TargetRegistration:
    return events.TargetRegistration(
        target_id=f"i-{number}",
        service="s",
        address=f"10.9.0.{number}:80",
        failure_domain=f"d-{number % READERS}",
        slots=SLOTS,
        draining=False,
        warmup_left_ms=0,
        started_ms=1_000,
        sequence=1,
    )


def _probe_ended(probe_id: int) -> virtual.EventFactory:
    report = events.LoadReport(in_flight=0, slots=SLOTS, slowdown=1.0)
    return lambda now_us: events.ProbeEnded(now_us, probe_id, report)
