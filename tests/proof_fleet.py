"""Gate hosts that prove their configuration to each other, in virtual time.

The reducers are the real ones. The store, the links and the clock are stand-ins
that keep a message of a cut link, or to a suspended host, and deliver it late.
"""

import collections
import heapq
import itertools
import random

from fireflyspindle.core import api_keys
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import published
from fireflyspindle.core import reducer
from fireflyspindle.core import refusals
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import store_state
from fireflyspindle.core.organisations import authorisation
from fireflyspindle.core.organisations import proof
import published_driver as published_host

TICK_US = 10_000
LINK_US = 2_000
READERS = 3
READ_TIMEOUT_US = 1_200_000
ASK_TIMEOUT_US = 400_000
CONFIGURATION = store_state.Source.CONFIGURATION.value
ORGANISATION = "acme"
REVOCATION_MS = 5_000


def document(version, *keys):
    """Returns a configuration with one organisation."""
    return published.Document(
        version=version,
        rules=(published_host.rule(),),
        services=(published.ServiceSettings("s", "/health", 260),),
        limits=published_host.LIMITS,
        organisations=(
            published.Organisation(
                ORGANISATION, frozenset(map(api_keys.digest, keys))
            ),
        ),
    )


class Host:
    """One gate host."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.number = number
        self.frozen = False
        self.cut_from_store = False
        self.old_build = False
        self.reads = {}
        self.latest = {}
        self.followers = {}
        self.waiting = []
        addresses = [f"10.0.0.{n}:1" for n in range(READERS)]
        self.address = f"10.0.0.{number}:1"
        settings = store_state.StoreSettings(
            min_read_interval_ms=1_400,
            control_address=self.address,
            is_reader=number < READERS,
            other_reader_addresses=tuple(
                address for address in addresses if address != self.address
            ),
            revocation_limit_ms=REVOCATION_MS,
        )
        self.state = state_lib.new(
            state_lib.CoreSettings(host_id=str(number), store=settings),
            fleet.random.randrange(1 << 30),
        )

    def start(self):
        """Starts the reducer."""
        self.execute(reducer.start(self.state, self.fleet.now_us))

    def feed(self, event_class, *args, **fields):
        """Feeds an event, once the host runs."""
        if self.frozen:
            self.waiting.append((event_class, args, fields))
            return
        event = event_class(self.fleet.now_us, *args, **fields)
        self.execute(reducer.reduce(self.state, event))

    def resume(self):
        """Ends a suspension; messages are handled before timers."""
        self.frozen = False
        waiting, self.waiting = self.waiting, []
        for event_class, args, fields in waiting:
            self.feed(event_class, *args, **fields)
            self.fleet.check()

    def tick(self):
        """Fires the timers that are due."""
        due_us = self.state.timers.next_at_us()
        if not self.frozen and due_us is not None:
            if due_us <= self.fleet.now_us:
                self.feed(events.TimerFired)

    def execute(self, emitted):
        """Carries out the effects on the store and on readers."""
        for effect in emitted:
            match effect:
                case effects.ReadStore(source):
                    self.reads[source] = object()
                    self.fleet.read(self, effect, self.reads[source])
                case effects.CancelStoreRead(source):
                    self.reads.pop(source, None)
                case effects.FollowReader():
                    self.fleet.follow(self, effect)
                case effects.StopFollowing():
                    self.fleet.unfollow(self)
                case effects.AskConfigurationProof(reader):
                    self.fleet.ask(self, reader)

    def may_serve(self, key):
        """Whether a request that arrives now would be served."""
        event = events.CallArrived(
            self.fleet.now_us, 1, "/s/x", key_digest=api_keys.digest(key)
        )
        if self.frozen or self.state.rule_table.version is None:
            return False
        self.state.now_us = self.fleet.now_us
        found = authorisation.authorise(
            self.state, event, published_host.rule()
        )
        return not isinstance(found, refusals.Refusal)

    @property
    def proof_age_us(self):
        """Age of the proof now."""
        return proof.age_us(self.state, self.fleet.now_us)


class Fleet:
    """Hosts, of which the first three are readers, and a store."""

    def __init__(self, hosts, store_us=400_000, seed=0):
        self.now_us = 1_000_000
        self.check = lambda: None
        self.random = random.Random(seed)
        self.store_us = store_us
        self.documents = [document(1, "old", "kept")]
        self.cut_links = set()
        self.asks = collections.Counter()
        self.store_reads = collections.Counter()
        self._order = itertools.count()
        self._due = []
        self.hosts = [Host(self, number) for number in range(hosts)]
        for host in self.hosts:
            host.start()

    def later(self, delay_us, action):
        """Runs an action after a time."""
        entry = (self.now_us + delay_us, next(self._order), action)
        heapq.heappush(self._due, entry)

    def run(self, duration_us, each=lambda: None):
        """Advances time, calling `each` at every tick."""
        self.check = each
        end_us = self.now_us + duration_us
        while self.now_us < end_us:
            self.now_us += TICK_US
            while self._due and self._due[0][0] <= self.now_us:
                heapq.heappop(self._due)[2]()
            for host in self.hosts:
                host.tick()
            each()

    def write(self, new_document):
        """Writes a configuration, which the store acknowledges now."""
        self.documents.append(new_document)

    def read(self, host, effect, token):
        """Reads the store for a host."""
        self.later(
            effect.delay_us, lambda: self._send_read(host, effect, token)
        )

    def _send_read(self, host, effect, token):
        if host.reads.get(effect.source) is not token:
            return
        self.store_reads[host.number] += effect.source == CONFIGURATION
        wait_us = effect.wait_ms * 1000
        if host.cut_from_store:
            self.later(
                wait_us + READ_TIMEOUT_US,
                lambda: self._end_read(host, effect, token, None),
            )
            return
        # The store does not wake a read that waits: one that is answered late
        # holds what there was when it was sent.
        known = len(self.documents) if effect.source == CONFIGURATION else 0
        if known > (effect.from_offset or 0) or effect.from_offset is None:
            wait_us = 0
        self.later(
            wait_us + self.store_us,
            lambda: self._end_read(host, effect, token, known),
        )

    def _end_read(self, host, effect, token, known):
        if host.reads.get(effect.source) is not token:
            return
        del host.reads[effect.source]
        if known is None:
            host.feed(events.StoreReadFailed, effect.source, "no response")
            return
        self._deliver(host, effect.source, known, None)
        self._relay(host, effect.source, known, self.now_us)

    def _deliver(self, host, source, known, relayed):
        if source == store_state.Source.TARGETS.value:
            host.feed(events.TargetsRead, [], [], False, 0, relayed)
        elif source == store_state.Source.CRASHES.value:
            host.feed(events.CrashesRead, {}, [], False, 0, relayed)
        else:
            newest = self.documents[known - 1] if known else None
            host.feed(events.ConfigurationRead, newest, known, relayed)

    def _relay(self, host, source, known, ended_us):
        """Sends a line to each follower, once the host runs."""
        host.latest[source] = known, ended_us
        for number, follow in list(host.followers.items()):
            self._send_line(host, self.hosts[number], follow, source)

    def _send_line(self, reader, follower, follow, source):
        known, ended_us = reader.latest[source]
        age_us = self.now_us - ended_us

        def arrive():
            if reader.followers.get(follower.number) is not follow:
                return
            if (reader.number, follower.number) in self.cut_links:
                self.later(TICK_US, arrive)
                return
            relayed = events.RelayedRead(follow.stream, age_us)
            self._deliver(follower, source, known, relayed)
            if follow.relays and not follower.frozen:
                self._relay(follower, source, known, ended_us)

        self.later(LINK_US, arrive)

    def unfollow(self, host):
        """Ends the stream of a host."""
        for reader in self.hosts[:READERS]:
            reader.followers.pop(host.number, None)

    def follow(self, host, effect):
        """Starts a stream to a host."""
        self.unfollow(host)
        reader = self._host(effect.address)
        reader.followers[host.number] = effect
        for source in reader.latest:
            self._send_line(reader, host, effect, source)

    def _host(self, address):
        return next(host for host in self.hosts if host.address == address)

    def ask(self, host, address):
        """Asks a reader for its proof."""
        reader = self._host(address)
        self.asks[host.number, reader.number] += 1
        sent_us = self.now_us
        answered = []

        def answer(*fields, **named):
            late = bool(answered)
            if late and not fields:
                return
            answered.append(True)
            host.feed(
                events.ConfigurationProofAnswered,
                sent_us,
                *fields,
                late=late,
                **named,
            )

        def reach():
            cut = (reader.number, host.number) in self.cut_links
            if reader.frozen or cut:
                self.later(TICK_US, reach)
            elif reader.old_build:
                self.later(LINK_US, lambda: answer(unsupported=True))
            else:
                version = reader.state.rule_table.version
                age_us = reader.proof_age_us
                self.later(LINK_US, lambda: answer(version, age_us))

        self.later(LINK_US, reach)
        # A suspended host finds the answer first when it resumes.
        self.later(ASK_TIMEOUT_US, lambda: host.frozen or answer())
        self.later(20_000_000, answer)
