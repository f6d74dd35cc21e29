"""Hosts that read the platform's store and follow readers, in virtual time.

The reducers, `StoreSync`, `Feed` and `FeedClient` are the real ones. The store,
the connections between hosts and the clock are stand-ins.
"""

import asyncio
import base64
import collections
import json
import random
import types
from unittest import mock

import attrs

import configuration_network as network
import configuration_store
from fireflyspindle.adapters import store_feed
from fireflyspindle.adapters import store_feed_client
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import reducer
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import store_reads
from fireflyspindle.core import store_state
from fireflyspindle.core import suspects
from fireflyspindle.platform import crash_records
from fireflyspindle.platform import store_client
from fireflyspindle.platform import store_decoder
from fireflyspindle.platform import store_sync
from fireflyspindle.testing import platform_documents

# Time without a fault after which a host is in touch (`contact-ms`), and time
# limit for a host in touch to apply a version (`config-apply-ms`).
CONTACT_US = 3_000_000
APPLY_LIMIT_US = 2_000_000
# Longest time for which an entry that was removed in an outage is kept
# (`reregistration-grace-ms`).
GRACE_US = 2_000_000
CHECK_INTERVAL_S = 0.02
# Time after the return of the store at which writes that waited for it arrive.
DEFERRED_WRITE_US = 10_000
# Growth of the delay on a link that gets more than it carries, in s per s.
QUEUE_GROWTH = 0.3
# Size of a document that readers omit; its text does not compress.
LARGE_BYTES = 9_000
CONFIGURATION_TOPIC = store_sync.TOPIC_BY_SOURCE[
    store_state.Source.CONFIGURATION
]
TARGETS_TOPIC = store_sync.TOPIC_BY_SOURCE[store_state.Source.TARGETS]
CRASHES_TOPIC = store_sync.TOPIC_BY_SOURCE[store_state.Source.CRASHES]
_STORE_EFFECTS = (
    effects.ReadStore,
    effects.CancelStoreRead,
    effects.FollowReader,
    effects.StopFollowing,
)


def fingerprint_of(key: str) -> str:
    """Returns the fingerprint of the request that a record is about."""
    return crash_records.decode_key(key).ok_value.fingerprint


class Host:
    """One gate host, which may be killed and started again."""

    def __init__(self, fleet: "Fleet", number: int):
        self.fleet = fleet
        self.number = number
        self.alive = False
        self.starts = 0
        self.running = asyncio.Event()
        self.metrics = types.SimpleNamespace(event_counts=collections.Counter())
        self.connections: list[network.Connection] = []
        self.served: list[network.Connection] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def version(self) -> int:
        """Version in force, 0 if there is none."""
        return self.state.rule_table.version or 0

    @property
    def targets(self) -> set[str]:
        """Ids of the targets that get calls."""
        return {
            target_id
            for target_id, registered in self.state.registered_targets.items()
            if not registered.leaving
        }

    @property
    def refused(self) -> set[str]:
        """Fingerprints of the requests that are refused."""
        return {
            fingerprint
            for fingerprint in self.state.crashes.suspects
            if suspects.is_refused(self.state, fingerprint)
        }

    def now_us(self) -> int:
        """Returns the monotonic time."""
        return self.fleet.now_us

    def spawn(self, work) -> asyncio.Task[None]:
        """Starts a task that ends when the process is killed."""
        task = self.fleet.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def start(self) -> None:
        """Starts the process."""
        self.alive = True
        self.running.set()
        address = self.fleet.address(self.number)
        settings = store_state.StoreSettings(
            min_read_interval_ms=1_400,
            control_address=address,
            is_reader=self.number < network.READERS,
            other_reader_addresses=tuple(
                self.fleet.address(reader)
                for reader in range(network.READERS)
                if reader != self.number
            ),
        )
        domain = self.fleet.plan.domains[self.number]
        self.starts += 1
        seed = self.fleet.random.randrange(1 << 30)
        self.state = state_lib.new(
            state_lib.CoreSettings(
                host_id=str(self.number), failure_domain=domain, store=settings
            ),
            seed,
        )
        store = network.StoreClient(self.fleet, self)
        client = network.FeedClient(network.Session(self.fleet, self))
        with (
            mock.patch.object(store_client, "StoreClient", lambda _: store),
            mock.patch.object(
                store_feed_client, "FeedClient", lambda *_: client
            ),
        ):
            self.sync = store_sync.StoreSync(self, "", domain, address)
        self._execute(reducer.start(self.state, self.now_us()))

    def kill(self) -> None:
        """Ends the process and every stream from and to it."""
        self.alive = False
        self.running.clear()
        for task in list(self._tasks):
            task.cancel()
        if self._timer is not None:
            self._timer.cancel()
        for connection in self.served:
            connection.close()
        self.served.clear()

    def submit(self, event: events.Event) -> None:
        """Feeds an event to the reducer and carries out the effects."""
        if not self.alive:
            return
        self.fleet.trace.append((self.now_us(), self.number, event))
        self._execute(reducer.reduce(self.state, event))

    def serve(self, connection: network.Connection, query: dict) -> None:
        """Serves a stream of this host's feed."""
        self.served = [each for each in self.served if not each.closed]
        self.served.append(connection)
        request = types.SimpleNamespace(
            query=query,
            connection=connection,
            transport=types.SimpleNamespace(
                is_closing=lambda: connection.closed
            ),
        )
        (handler,) = [
            route.handler
            for route in self.sync.feed.routes()
            if route.path == store_feed.PATH
        ]

        async def respond() -> None:
            await self.running.wait()
            await handler(request)

        self.spawn(respond())

    def _execute(self, emitted: list[effects.Effect]) -> None:
        for effect in emitted:
            if isinstance(effect, effects.SetTimer):
                if self._timer is not None:
                    self._timer.cancel()
                at_s = effect.at_us / 1e6
                self._timer = self.fleet.loop.call_at(
                    at_s, lambda: self.spawn(self._fire())
                )
                continue
            self.fleet.trace.append((self.now_us(), self.number, effect))
            if isinstance(effect, _STORE_EFFECTS):
                self.sync.execute_effect(effect)

    async def _fire(self) -> None:
        await self.running.wait()
        self.submit(events.TimerFired(self.now_us()))


@attrs.define(frozen=True)
class Late:
    """A host in touch that lacked a version in time.

    Attributes:
        at_us: Time at which it was seen.
        host: Number of the host.
        held: Version in force.
        due: Version that had to be in force.
        acknowledged_us: Time at which the store acknowledged that one.
    """

    at_us: int
    host: int
    held: int
    due: int
    acknowledged_us: int


@attrs.define(frozen=True)
class FalseClaim:
    """A host that took an older version for the newest one.

    Attributes:
        at_us: Time at which it was seen.
        host: Number of the host.
        held: Version in force.
        newest: Newest version that was older than the limit for changes, so
            that a request for one of its routes was refused for good.
        acknowledged_us: Time at which the store acknowledged that one.
        complete_until_us: Time up to which the host claimed to know all.
    """

    at_us: int
    host: int
    held: int
    newest: int
    acknowledged_us: int
    complete_until_us: int


@attrs.define(frozen=True)
class Wrong:
    """A host in touch that used the wrong targets, or refused wrong requests.

    Attributes:
        at_us: Time at which it was seen.
        host: Number of the host.
        key: Id of the target, or fingerprint of the request.
        expected: Whether the target had to be used, or the request refused.
        since_us: Time of the record from which that follows.
    """

    at_us: int
    host: int
    key: str
    expected: bool
    since_us: int


@attrs.define(frozen=True)
class AcceptedAgain:
    """A host that no longer refuses a request, without a withdrawal.

    Attributes:
        at_us: Time at which it was seen.
        host: Number of the host.
        fingerprint: Fingerprint of the request.
    """

    at_us: int
    host: int
    fingerprint: str


class Fleet:
    """Hosts and a store that a plan harms.

    Attributes:
        late: Versions that were not in force in time, once for each host.
        false_claims: Hosts that would have refused requests for routes that
            are there, at each look.
        reverted: Hosts that went back to an older version, with both versions.
        wrong_targets: Targets that were used or not used by mistake, once for
            each host.
        wrong_refusals: The same of requests that crash targets.
        accepted_again: Requests that a host refused and then accepted, though
            no evidence was withdrawn.
        trace: Time, host and what was fed to it or what it asked for.
        store_run: Number of starts of the store.
        store_calls: Time, host and path of each request to the store.
        lines_sent: Time, reader, follower and size of each line of a feed.
    """

    def __init__(self, plan: network.Plan, seed: int):
        self.plan = plan
        self.random = random.Random(seed)
        self.topics = collections.defaultdict(configuration_store.Topic)
        self.store_run = 1
        self.store_calls: list[tuple[int, int, str]] = []
        self.lines_sent: list[tuple[int, int, int, int]] = []
        self.versions = 0
        self.wrong_targets: list[Wrong] = []
        self.wrong_refusals: list[Wrong] = []
        self.accepted_again: list[AcceptedAgain] = []
        self.acknowledged_us: dict[int, int] = {}
        self.late: list[Late] = []
        self.false_claims: list[FalseClaim] = []
        self.reverted: list[tuple[int, int, int]] = []
        self.trace: list[tuple[int, int, object]] = []
        self._held: dict[tuple[int, int], int] = {}
        self._refused: dict[tuple[int, int], set[str]] = {}
        # Time and value of the latest acknowledged record of each key.
        self._latest: dict[tuple[str, str], tuple[int, bytes | None]] = {}
        self._withdrawn: set[str] = set()
        # Keys of the evidence that was written, acknowledged or not.
        self._crashes: dict[str, set[str]] = collections.defaultdict(set)
        self._changes = collections.defaultdict(list)
        self._reported: set[tuple[int, int]] = set()

    @property
    def now_us(self) -> int:
        """Virtual time."""
        return round(self.loop.time() * 1e6)

    def address(self, number: int) -> str:
        """Returns the control address of a host."""
        return f"10.0.0.{number}:1"

    def run(self) -> "Fleet":
        """Runs the plan."""
        with (
            mock.patch.object(
                store_feed.web, "StreamResponse", network.Response
            ),
            asyncio.Runner(loop_factory=network.Loop) as runner,
        ):
            runner.run(self._run())
        return self

    def store_fault(self, host: int) -> str | None:
        """Returns how reads by a host fail now, or None."""
        if self._restart() is not None and not self.path_fault(host):
            return "reset"
        return self.path_fault(host) or self._active_how("store", host)

    def _restart(self) -> network.Fault | None:
        """Returns the restart of the store that is in progress, or None."""
        for fault in self.plan.faults:
            if fault.kind == "restart":
                if fault.start_us <= self.now_us < fault.end_us:
                    return fault
        return None

    def line_delay_s(self, reader: int) -> float:
        """Returns by how much the lines of a reader are delayed now."""
        return sum(
            min(
                fault.delay_us / 1e6,
                (self.now_us - fault.start_us) / 1e6 * QUEUE_GROWTH,
            )
            for fault in self.plan.faults
            if fault.kind == "delay"
            and reader in fault.hosts
            and fault.start_us <= self.now_us < fault.end_us
        )

    def path_fault(self, host: int) -> str | None:
        """Returns how the path of a host to the store fails, or None."""
        return self._active_how("path", host)

    def link_fault(self, host: int, reader: int) -> str | None:
        """Returns how the link between a host and a reader fails, or None."""
        how = self._active_how("link", host, reader)
        if how is None and host < network.READERS:
            how = self._active_how("link", reader, host)
        return how

    def _active_how(self, kind, host, reader=None):
        for fault in self.plan.faults:
            if fault.kind != kind or host not in fault.hosts:
                continue
            if reader is not None and reader not in fault.readers:
                continue
            if fault.start_us <= self.now_us < fault.end_us:
                return fault.how
        return None

    async def _run(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.changed = asyncio.Event()
        self._write(large=False)
        self.hosts = [Host(self, n) for n in range(self.plan.hosts)]
        for host in self.hosts:
            host.start()
        self._schedule()
        while self.now_us < self.plan.end_us:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for host in self.hosts:
                if host.alive:
                    self._check(host)
        for host in self.hosts:
            host.kill()

    def _schedule(self) -> None:
        """Schedules the faults and the writes."""
        for fault in self.plan.faults:
            self.loop.call_at(fault.start_us / 1e6, self._begin, fault)
            self.loop.call_at(fault.end_us / 1e6, self._end, fault)
        for at_us, large in self.plan.writes:
            self.loop.call_at(at_us / 1e6, self._write, large)
        for append in self.plan.appends:
            self.loop.call_at(append.at_us / 1e6, self._append_other, append)
        for fault in self.plan.faults:
            if fault.unacknowledged_us:
                at_us = fault.start_us - fault.unacknowledged_us
                self.loop.call_at(at_us / 1e6, self._write, False, False)

    def _deferred_s(self) -> float | None:
        """Returns when the store takes writes again; None if it does now.

        It takes one at a time, so none behind one that it never acknowledges.
        """
        for fault in self.plan.faults:
            start_us = fault.start_us - fault.unacknowledged_us
            is_total = len(fault.hosts) == self.plan.hosts
            if fault.kind == "restart" or (fault.kind == "store" and is_total):
                if start_us <= self.now_us < fault.end_us:
                    return (fault.end_us + DEFERRED_WRITE_US) / 1e6
        return None

    def _write(self, large: bool, acknowledged: bool = True) -> None:
        """Writes a new version; without the store, once it is back."""
        deferred_s = self._deferred_s()
        if acknowledged and deferred_s is not None:
            self.loop.call_at(deferred_s, self._write, large)
            return
        self.versions += 1
        version = self.versions
        name = "r"
        if large:
            noise = random.Random(version).randbytes(LARGE_BYTES)
            name = base64.b64encode(noise).decode()
        document = platform_documents.configuration_document(
            version, "h.example", {name: ("/s/", "idempotent")}
        )
        value = json.dumps(document).encode()
        self.topics[CONFIGURATION_TOPIC].append(
            store_decoder.CONFIGURATION_KEY, value, acknowledged
        )
        self.topics[TARGETS_TOPIC].append("i-0", None, acknowledged)
        self._wake()
        if acknowledged:
            self.acknowledged_us[version] = self.now_us

    def _append_other(self, append: network.Append) -> None:
        """Writes a record; without the store, once it is back."""
        deferred_s = self._deferred_s()
        if append.acknowledged and deferred_s is not None:
            self.loop.call_at(deferred_s, self._append_other, append)
            return
        topic = self.topics[append.topic]
        topic.append(append.key, append.value, append.acknowledged)
        self._wake()
        if append.topic == CRASHES_TOPIC:
            fingerprint = fingerprint_of(append.key)
            if append.value is None:
                self._withdrawn.add(fingerprint)
                self._crashes[fingerprint].discard(append.key)
            else:
                self._crashes[fingerprint].add(append.key)
        if append.acknowledged:
            key = append.topic, append.key
            _, previous = self._latest.get(key, (0, None))
            if (previous is None) != (append.value is None):
                self._latest[key] = self.now_us, append.value

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def _begin(self, fault: network.Fault) -> None:
        if fault.kind == "restart":
            self.store_run += 1
        self._wake()
        for number in fault.hosts:
            host = self.hosts[number]
            match fault.kind:
                case "down":
                    host.kill()
                case "freeze":
                    host.running.clear()
                case "reset":
                    for connection in host.connections:
                        connection.close()
                case "stall":
                    for connection in host.connections:
                        connection.stalled = True

    def _end(self, fault: network.Fault) -> None:
        if fault.kind == "restart":
            for topic in self.topics.values():
                topic.restart(fault.records)
        for number in fault.hosts:
            host = self.hosts[number]
            if fault.kind == "down" and not host.alive:
                host.start()
            if fault.kind == "freeze" and host.alive:
                host.running.set()

    def in_touch(self, host: int, for_us: int = CONTACT_US) -> bool:
        """Whether nothing has disturbed a host for a time."""
        since_us = self.now_us - for_us
        return since_us >= 1_000_000 and not any(
            fault.start_us <= self.now_us
            and fault.end_us > since_us
            and fault.disturbs(host)
            for fault in self.plan.faults
        )

    def _check(self, host: Host) -> None:
        key = host.number, host.starts
        previous = self._held.get(key, 0)
        self._held[key] = host.version
        if host.version > previous:
            self._changes[host.number].append((self.now_us, host.version))
        if host.version < previous:
            self.reverted.append((host.number, previous, host.version))
        before_us = self.now_us - APPLY_LIMIT_US
        due = max(
            (
                version
                for version, at_us in self.acknowledged_us.items()
                if at_us <= before_us
            ),
            default=0,
        )
        if host.version < due and host.running.is_set():
            self._check_claim(host, due)
        self._check_refusals(host)
        if not self.in_touch(host.number):
            return
        self._check_records(host)
        if host.version < due and (host.number, due) not in self._reported:
            self._reported.add((host.number, due))
            self.late.append(
                Late(
                    self.now_us,
                    host.number,
                    host.version,
                    due,
                    self.acknowledged_us[due],
                )
            )

    def _check_refusals(self, host: Host) -> None:
        """Notes requests that are accepted without a withdrawal."""
        key = host.number, host.starts
        accepted = self._refused.get(key, set()) - host.refused
        self._refused[key] = host.refused
        for fingerprint in accepted - self._withdrawn:
            self.accepted_again.append(
                AcceptedAgain(self.now_us, host.number, fingerprint)
            )

    def _check_records(self, host: Host) -> None:
        """Notes wrong targets and wrong refusals of a host in touch."""
        crashes = collections.defaultdict(list)
        for (topic, key), (at_us, value) in self._latest.items():
            if topic == CRASHES_TOPIC:
                crashes[fingerprint_of(key)].append((at_us, value))
            if topic == TARGETS_TOPIC:
                is_used = key in host.targets
                self._check_record(
                    self.wrong_targets, host, key, at_us, bool(value), is_used
                )
        for fingerprint, records in crashes.items():
            at_us = max(at_us for at_us, _ in records)
            count = sum(value is not None for _, value in records)
            is_refused = fingerprint in host.refused
            written = len(self._crashes[fingerprint])
            if count < suspects.MIN_CRASHES <= written:
                # Hosts may have read evidence that was not acknowledged.
                continue
            self._check_record(
                self.wrong_refusals,
                host,
                fingerprint,
                at_us,
                count >= suspects.MIN_CRASHES,
                is_refused,
            )

    def _check_record(self, wrong, host, key, at_us, expected, actual) -> None:
        if expected == actual:
            return
        if self.now_us < at_us + APPLY_LIMIT_US:
            return
        if not expected and not self.in_touch(
            host.number, CONTACT_US + GRACE_US
        ):
            return
        if any(
            (e.host, e.key, e.since_us) == (host.number, key, at_us)
            for e in wrong
        ):
            return
        wrong.append(Wrong(self.now_us, host.number, key, expected, at_us))

    def _check_claim(self, host: Host, due: int) -> None:
        """Notes a late host that takes itself for up to date."""
        source = store_state.Source.CONFIGURATION
        complete_us = host.state.store_reads[source].complete_until_us
        if not host.version or complete_us is None:
            return
        host.state.now_us = self.now_us
        if store_reads.is_up_to_date(host.state, source):
            self.false_claims.append(
                FalseClaim(
                    self.now_us,
                    host.number,
                    host.version,
                    due,
                    self.acknowledged_us[due],
                    complete_us,
                )
            )

    def applied_us(self, host: int, version: int) -> int:
        """Returns when a host was first seen with a version or a newer one."""
        return next(
            at_us for at_us, held in self._changes[host] if held >= version
        )

    def lines(self, host: int, from_us: int, until_us: int) -> list[str]:
        """Returns what a host was told and asked for, as text."""
        return [
            f"{at_us / 1e6:9.3f} {entry!r:.230}"
            for at_us, number, entry in self.trace
            if number == host and from_us <= at_us <= until_us
        ]
