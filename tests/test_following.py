"""Hosts that follow a reader of the platform's store."""

import random

import pytest

from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import following
from fireflyspindle.core import readiness
from fireflyspindle.core import reducer
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import store_state
import published_driver as published_host

READERS = ("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1")
READ_WAIT_US = 800_000
# Time limit for a change to reach every host.
CHANGE_LIMIT_US = 2_000_000
# Time after an outage of the store from which that limit holds again, and time
# after which a read without a response fails.
RECOVERY_LIMIT_US = 3_000_000
READ_TIMEOUT_US = 1_200_000
# Time limit for a crash of a target to be known to every host.
CONTACT_US = 3_000_000
SOURCES = len(store_state.Source)


class FollowingHost(published_host.PublishedHost):
    """A gate host that has just started."""

    reads_go_on = False

    def __init__(self, seed=0, **store_settings):
        self.settings = store_state.StoreSettings(
            **{
                "other_reader_addresses": READERS,
                "probes_per_s": 600.0,
                **store_settings,
            }
        )
        self.state = state_lib.new(
            state_lib.CoreSettings(
                host_id="gate-1",
                failure_domain=published_host.DOMAIN,
                store=self.settings,
            ),
            seed,
        )
        self.now_us = 1_000_000
        self.effects = []
        self.next_offset = 0
        self._take(reducer.start(self.state, self.now_us))

    @property
    def stream(self):
        """Number of the latest stream."""
        return self.state.following.stream_number

    @property
    def address(self):
        """Address of the followed reader."""
        return self.state.following.address

    def own_reads(self):
        """Reads of the store by this host."""
        return self.effects_of(effects.ReadStore)

    def lines(self, code):
        """Texts of the log lines with a code."""
        return [
            line.detail
            for line in self.effects_of(effects.WriteLogLine)
            if line.code == code
        ]

    def relay_reads(
        self,
        stream=None,
        age_us=0,
        configured=None,
        entries=(),
        crashes=True,
    ):
        """Feeds one relayed read of each source.

        Args:
            stream: Number of the stream; the latest by default.
            age_us: Time since the reads ended.
            configured: Configuration that was read, if any.
            entries: Entries of targets that were read.
            crashes: Whether the reader relays crashes; older ones don't.
        """
        relayed = events.RelayedRead(stream or self.stream, age_us)
        if configured is not None or entries:
            self.next_offset += 1
        self.feed(
            events.ConfigurationRead,
            configured,
            self.next_offset,
            relayed=relayed,
        )
        self.feed(
            events.TargetsRead,
            list(entries),
            [],
            False,
            self.next_offset,
            relayed=relayed,
        )
        if not crashes:
            return
        self.feed(
            events.CrashesRead,
            {},
            [],
            False,
            self.next_offset,
            relayed=relayed,
        )

    def relay_empty_reads_for(self, duration_us):
        """Advances time while the reader relays empty reads."""
        end_us = self.now_us + duration_us
        while self.now_us < end_us:
            self.relay_reads()
            self.advance(min(READ_WAIT_US, end_us - self.now_us))

    def fail_reads_for(self, duration_us, retried_source):
        """Advances time while reads of this host and of its reader fail.

        The sources take turns to be retried while the others are suspended. At
        the end it is the turn of `retried_source`.
        """
        end_us = self.now_us + duration_us
        retried = self.state.store_reads[retried_source]
        sources = sorted(
            store_state.Source, key=lambda source: source is retried_source
        )
        while self.now_us < end_us or not retried.pending:
            assert self.now_us < end_us + 2 * SOURCES * RECOVERY_LIMIT_US
            relayed = events.RelayedRead(self.stream, 0)
            for source in sources:
                reads = self.state.store_reads[source]
                self.feed(events.StoreReadFailed, source.value, "503", relayed)
                if reads.pending and self.now_us >= reads.scheduled_us:
                    self.feed(events.StoreReadFailed, source.value, "503")
            self.advance(100_000)

    def read_store_while_the_reader_fails(
        self, duration_us, removed=(), failing=None
    ):
        """Advances time while the reader of each new stream reports failures.

        Args:
            duration_us: How long.
            removed: Targets whose entries were removed; one read tells it.
            failing: Source that this host can't read either, if any.
        """
        end_us = self.now_us + duration_us
        reported_stream = None
        unread_removals = list(removed)
        while self.now_us < end_us:
            if self.address is not None and self.stream != reported_stream:
                reported_stream = self.stream
                relayed = events.RelayedRead(self.stream, 0)
                for source in store_state.Source:
                    self.feed(
                        events.StoreReadFailed, source.value, "503", relayed
                    )
            for source, reads in self.state.store_reads.items():
                if source is failing:
                    latency_us = READ_TIMEOUT_US
                else:
                    latency_us = reads.wait_ms * 1000
                if not reads.pending or (
                    self.now_us < reads.scheduled_us + latency_us
                ):
                    continue
                self._end_own_read(source, unread_removals, source is failing)
            self.advance(50_000)

    def _end_own_read(self, source, unread_removals, fails):
        if fails:
            self.feed(events.StoreReadFailed, source.value, "no response")
            return
        match source:
            case store_state.Source.CONFIGURATION:
                self.feed(events.ConfigurationRead, None, self.next_offset)
            case store_state.Source.TARGETS:
                self.feed(
                    events.TargetsRead,
                    [],
                    list(unread_removals),
                    False,
                    self.next_offset,
                )
                unread_removals.clear()
            case store_state.Source.CRASHES:
                self.feed(events.CrashesRead, {}, [], False, self.next_offset)

    def omit_records(self, source, next_offset):
        """Feeds a relayed read whose records the reader left out."""
        relayed = events.RelayedRead(self.stream, 0, from_offset=next_offset)
        match source:
            case store_state.Source.CONFIGURATION:
                self.feed(
                    events.ConfigurationRead, None, next_offset, relayed=relayed
                )
            case store_state.Source.TARGETS:
                self.feed(
                    events.TargetsRead,
                    [],
                    [],
                    False,
                    next_offset,
                    relayed=relayed,
                )
            case store_state.Source.CRASHES:
                self.feed(
                    events.CrashesRead,
                    {},
                    [],
                    False,
                    next_offset,
                    relayed=relayed,
                )

    def lose_reader(self, reason="reset"):
        """Ends the stream."""
        return self.feed(events.ReaderDisconnected, self.stream, reason)

    def connect_reader(self, failure_domain):
        """Feeds the answer of the reader to the new stream."""
        return self.feed(events.ReaderConnected, self.stream, failure_domain)


def test_follower_does_not_read_the_store():
    host = FollowingHost()
    host.relay_reads(
        configured=published_host.document(), entries=[published_host.entry(0)]
    )
    host.relay_empty_reads_for(30_000_000)
    assert host.own_reads() == []
    assert len(host.effects_of(effects.FollowReader)) == 1
    assert host.state.rule_table.version == 1
    assert list(host.state.registered_targets) == ["i-0"]


# The clocks of two hosts drift apart, and with them the transit times of lines.
def test_long_stream_is_replaced_by_a_new_one_of_the_same_reader():
    host = FollowingHost()
    host.relay_reads(configured=published_host.document())
    address = host.address
    host.relay_empty_reads_for(following.STREAM_LIFETIME_US + READ_WAIT_US)
    followed = host.effects_of(effects.FollowReader)
    assert [effect.address for effect in followed] == [address, address]
    assert followed[1].from_offsets["configuration"] == host.next_offset
    assert host.own_reads() == []


def test_primary_reader_reads_all_sources_and_follows_no_host():
    host = FollowingHost(is_reader=True)
    assert [read.source for read in host.own_reads()] == [
        source.value for source in store_state.Source
    ]
    assert host.effects_of(effects.FollowReader) == []
    host.configure(published_host.document())
    host.advance(0)
    last_read = host.own_reads()[-1]
    assert last_read.wait_ms == 800
    assert last_read.delay_us <= 250_000


def test_sole_reader_long_polls_like_any_reader():
    host = FollowingHost(is_reader=True, other_reader_addresses=())
    host.configure(published_host.document())
    assert host.own_reads()[-1].wait_ms == 800


@pytest.mark.parametrize("seed", range(5))
def test_host_reads_the_store_within_the_limit_when_its_reader_is_silent(seed):
    host = FollowingHost(seed)
    host.relay_reads(configured=published_host.document())
    host.advance(CHANGE_LIMIT_US - 400_000)
    assert {read.source for read in host.own_reads()} == {
        "configuration",
        "targets",
    }
    host.advance(CONTACT_US - CHANGE_LIMIT_US)
    assert {read.source for read in host.own_reads()} == {
        source.value for source in store_state.Source
    }
    assert all(read.delay_us == 0 for read in host.own_reads())


def test_silent_reader_is_replaced_before_the_store_is_read():
    host = FollowingHost()
    host.relay_reads()
    first = host.address
    host.advance(READ_WAIT_US + 500_000)
    assert host.address != first
    host.relay_reads()
    host.advance(READ_WAIT_US)
    assert host.own_reads() == []


def test_pause_of_a_reader_after_a_change_does_not_count_as_silence():
    host = FollowingHost()
    host.relay_reads()
    first = host.stream
    host.advance(READ_WAIT_US + 250_000 + 100_000)
    assert host.stream == first


def test_lost_reader_is_replaced_at_once():
    host = FollowingHost()
    host.relay_reads()
    followed_addresses = {host.address}
    host.lose_reader()
    followed_addresses.add(host.address)
    host.lose_reader()
    followed_addresses.add(host.address)
    assert followed_addresses == set(READERS)
    host.lose_reader()
    assert host.address is None
    host.advance(510_000)
    assert host.address in READERS


def test_host_without_store_and_readers_retries_twice_per_second():
    host = FollowingHost()
    for _ in range(400):
        if host.address is not None:
            host.lose_reader()
        host.advance(50_000)
        for source, reads in host.state.store_reads.items():
            if reads.pending and host.now_us >= reads.scheduled_us:
                host.feed(events.StoreReadFailed, source.value, "refused")
    # 2 s with an attempt every 0.05 s, 18 s with one every 0.5 s.
    assert len(host.effects_of(effects.FollowReader)) <= 45 + 2 * 36


def test_unreachable_reader_is_logged_once_and_retried_twice_per_second():
    host = second_reader(other_reader_addresses=READERS[:1])
    host.advance(2_100_000)
    host.relay_reads()
    host.connect_reader(published_host.DOMAIN)
    previous_count = len(host.effects_of(effects.FollowReader))
    for _ in range(100):
        if host.address is not None:
            host.lose_reader()
        host.advance(50_000)
    assert len(host.effects_of(effects.FollowReader)) - previous_count <= 11
    codes = [line.code for line in host.effects_of(effects.WriteLogLine)]
    assert codes.count("reader_lost") == 1


def test_starting_host_retries_a_reader_without_delay():
    host = FollowingHost(other_reader_addresses=READERS[:1])
    host.lose_reader()
    host.advance(60_000)
    assert host.address in READERS


def test_events_of_a_previous_stream_are_ignored():
    host = FollowingHost()
    previous_stream = host.stream
    host.lose_reader()
    host.relay_reads(
        stream=previous_stream, configured=published_host.document()
    )
    assert host.state.rule_table.version is None


def test_reader_in_the_same_failure_domain_is_preferred():
    host = FollowingHost()
    first = host.address
    host.connect_reader(published_host.OTHER_DOMAIN)
    second = host.address
    assert second != first
    host.connect_reader(published_host.DOMAIN)
    assert host.address == second


def test_host_stops_switching_when_no_reader_is_in_its_failure_domain():
    host = FollowingHost()
    for _ in READERS:
        host.connect_reader(published_host.OTHER_DOMAIN)
    streams = len(host.effects_of(effects.FollowReader))
    assert streams == len(READERS)
    host.relay_empty_reads_for(5_000_000)
    assert len(host.effects_of(effects.FollowReader)) == streams


@pytest.mark.parametrize(
    ("first_start", "reader_timeout_us"), [(False, 150_000), (True, 2_000_000)]
)
def test_starting_host_reads_the_store_when_no_reader_is_reachable(
    first_start, reader_timeout_us
):
    host = FollowingHost(first_start=first_start)
    while host.now_us < 1_000_000 + reader_timeout_us - 50_000:
        if host.address is not None:
            host.lose_reader()
        host.advance(50_000)
    assert host.own_reads() == []
    host.advance(50_000)
    assert len(host.own_reads()) == SOURCES


def test_own_read_is_cancelled_when_a_reader_relays_reads():
    host = FollowingHost()
    host.advance(1_600_000)
    assert len(host.own_reads()) == SOURCES
    host.relay_reads()
    assert {
        stop.source for stop in host.effects_of(effects.CancelStoreRead)
    } == {source.value for source in store_state.Source}


def test_late_own_read_does_not_undo_newer_reads():
    host = FollowingHost()
    host.relay_reads(entries=[published_host.entry(0)])
    host.next_offset = 7
    host.relay_reads(entries=[published_host.entry(1)])
    host.feed(events.TargetsRead, [], ["i-0", "i-1"], False, 3)
    assert set(host.state.registered_targets) == {"i-0", "i-1"}


def test_own_reads_are_rare_while_the_store_fails_for_the_reader_too():
    host = FollowingHost()
    host.relay_reads(configured=published_host.document())
    for _ in range(200):
        relayed = events.RelayedRead(host.stream, 0)
        for source in store_state.Source:
            host.feed(events.StoreReadFailed, source.value, "503", relayed)
        read_count = len(host.own_reads())
        host.advance(100_000)
        if len(host.own_reads()) > read_count:
            for read in host.own_reads()[read_count:]:
                host.feed(events.StoreReadFailed, read.source, "503")
    assert len(host.own_reads()) <= SOURCES + 2 * 20_000_000 / 4_500_000
    host.relay_reads()
    assert not any(reads.failures for reads in host.state.store_reads.values())


def test_reader_whose_reads_fail_follows_another_until_they_succeed():
    host = FollowingHost(is_reader=True)
    host.configure(published_host.document())
    for _ in range(2):
        host.feed(events.StoreReadFailed, "targets", "refused")
    assert host.address in READERS
    host.relay_reads(configured=published_host.document(version=2))
    assert host.state.rule_table.version == 2
    assert host.state.store_reads[store_state.Source.TARGETS].failures
    host.register(published_host.entry(0))
    assert host.address is None
    assert host.effects_of(effects.StopFollowing)


def test_new_list_of_readers_is_applied():
    host = FollowingHost()
    host.relay_reads()
    host.feed(events.ReadersChanged, False, ("10.0.0.9:1",))
    assert host.address == "10.0.0.9:1"
    host.feed(events.ReadersChanged, True, ("10.0.0.8:1",))
    assert host.address is None
    assert len(host.own_reads()) == SOURCES


def test_outage_reported_by_a_reader_keeps_expired_targets_for_a_while():
    host = FollowingHost(reregistration_grace_ms=2_000)
    host.relay_reads(
        configured=published_host.document(), entries=[published_host.entry(0)]
    )
    relayed = events.RelayedRead(host.stream, 0)
    host.feed(events.StoreReadFailed, "targets", "503", relayed)
    host.now_us += 4_500_000
    host.feed(events.TargetsRead, [], ["i-0"], False, 9, relayed=relayed)
    assert list(host.state.registered_targets) == ["i-0"]
    host.advance(2_100_000)
    assert list(host.state.registered_targets) == []


# The readers are cut off from the store, and report that to a host whose own
# reads succeed. It must not take this for an outage in which entries expire.
@pytest.mark.parametrize("is_reader", [True, False])
def test_removed_target_leaves_in_time_while_only_readers_are_cut_off(
    is_reader,
):
    host = second_reader() if is_reader else FollowingHost()
    host.relay_reads(
        configured=published_host.document(),
        entries=[published_host.entry(number) for number in range(2)],
    )
    host.read_store_while_the_reader_fails(6_000_000)
    host.read_store_while_the_reader_fails(CHANGE_LIMIT_US, removed=["i-1"])
    assert list(host.state.registered_targets) == ["i-0"]


# One topic, or one large document, may go on failing after an outage. The
# reads of the others must not wait for it.
@pytest.mark.parametrize("failing", store_state.Source)
def test_sources_are_read_in_time_although_another_one_keeps_failing(failing):
    host = FollowingHost(is_reader=True, other_reader_addresses=())
    others = [source for source in store_state.Source if source is not failing]
    for source in [failing, *others, *others]:
        host.feed(events.StoreReadFailed, source.value, "refused")
    back_us = host.now_us
    host.read_store_while_the_reader_fails(RECOVERY_LIMIT_US, failing=failing)
    late = [
        source.value
        for source in others
        if (host.state.store_reads[source].complete_until_us or 0) < back_us
    ]
    assert not late


def second_reader(other_reader_addresses=("10.0.0.1:1", "10.0.0.2:1")):
    """Returns a reader with a higher address than the others."""
    return FollowingHost(
        is_reader=True,
        control_address="10.0.0.3:1",
        other_reader_addresses=other_reader_addresses,
    )


def test_second_reader_relays_reads_of_the_first():
    host = second_reader()
    # Hosts that start at the same time may follow it before the first reader
    # runs, so it reads the store itself at first.
    assert len(host.own_reads()) == SOURCES
    host.relay_reads()
    (follow,) = host.effects_of(effects.FollowReader)
    assert (follow.address, follow.relays) == ("10.0.0.1:1", True)
    host.relay_empty_reads_for(10_000_000)
    assert len(host.own_reads()) == SOURCES


def test_second_reader_takes_over_before_its_followers_leave():
    host = second_reader()
    host.relay_empty_reads_for(READ_WAIT_US)
    host.relay_reads()
    previous_count = len(host.own_reads())
    host.advance(READ_WAIT_US + following.SILENCE_TIMEOUT_US - 50_000)
    assert len(host.own_reads()) == previous_count + 2
    host.configure(published_host.document())
    assert host.own_reads()[-1].wait_ms == 800


def test_second_reader_stops_reading_when_the_first_is_back():
    host = second_reader()
    assert len(host.own_reads()) == SOURCES
    host.relay_reads()
    assert len(host.effects_of(effects.CancelStoreRead)) == SOURCES
    host.relay_empty_reads_for(5_000_000)
    assert len(host.own_reads()) == SOURCES


def test_reader_refused_by_the_store_does_not_relay_higher_readers():
    host = FollowingHost(
        is_reader=True,
        control_address="10.0.0.0:1",
        other_reader_addresses=READERS,
    )
    for _ in range(2):
        host.feed(events.StoreReadFailed, "targets", "503")
    (follow,) = host.effects_of(effects.FollowReader)
    assert not follow.relays


# Guards against a reader that relays nothing after an outage, since it goes on
# following one that it may not relay.
def test_reader_leaves_a_later_reader_when_reads_succeed_again():
    first, later = "10.0.0.1:1", "10.0.0.3:1"
    host = FollowingHost(
        is_reader=True,
        control_address="10.0.0.2:1",
        other_reader_addresses=(first, later),
    )
    host.advance(READ_WAIT_US)
    host.feed(events.ReaderDisconnected, host.stream, "refused")
    for source in store_state.Source:
        for _ in range(2):
            host.feed(events.StoreReadFailed, source.value, "refused")
    while host.address != later:
        host.advance(following.MIN_FOLLOW_US)
    host.feed(events.ReaderConnected, host.stream, "west-c")
    host.relay_reads()
    follow = host.effects_of(effects.FollowReader)[-1]
    assert (follow.address, follow.relays) == (first, True)


def test_first_reader_keeps_retrying_while_other_readers_fail_too():
    host = FollowingHost(is_reader=True)
    for _ in range(20):
        host.feed(events.StoreReadFailed, "targets", "503")
        host.feed(
            events.StoreReadFailed,
            "targets",
            "503",
            events.RelayedRead(host.stream, 0),
        )
    assert host.own_reads()[-1].delay_us < 1_800_000


@pytest.mark.parametrize("readers", [(), READERS])
@pytest.mark.parametrize("targets", [4, 200])
def test_reads_wait_short_enough_to_apply_a_missed_record_in_time(
    readers, targets
):
    host = FollowingHost(other_reader_addresses=readers)
    host.advance(2_000_000)
    host.register(*(published_host.entry(n) for n in range(targets)))
    for _ in range(20):
        host.configure(published_host.document())
        host.register()
        host.advance(READ_WAIT_US)
    assert host.own_reads()
    wait_ms = {source.value: 0 for source in store_state.Source}
    for read in host.own_reads():
        wait_ms[read.source] = max(wait_ms[read.source], read.wait_ms)
    assert 0 < wait_ms["configuration"] <= 1_000
    assert 0 < wait_ms["targets"] <= 1_000
    assert wait_ms["crashes"] <= CONTACT_US // 2 // 1000


def test_callers_are_accepted_after_the_first_reads():
    host = FollowingHost()
    assert host.effects_of(effects.AcceptCallers) == []
    relayed = events.RelayedRead(host.stream, 0)
    host.feed(
        events.ConfigurationRead,
        published_host.document(),
        1,
        relayed=relayed,
    )
    assert host.effects_of(effects.AcceptCallers) == []
    host.relay_reads(entries=[published_host.entry(0)])
    host.advance(5_000_000)
    assert len(host.effects_of(effects.AcceptCallers)) == 1


def test_callers_are_accepted_in_time_without_the_store():
    host = FollowingHost()
    host.advance(readiness.ACCEPT_TIMEOUT_US - 1)
    assert host.effects_of(effects.AcceptCallers) == []
    host.advance(1)
    assert len(host.effects_of(effects.AcceptCallers)) == 1


def test_records_left_out_by_the_reader_are_read_from_the_store():
    host = FollowingHost()
    host.relay_reads(configured=published_host.document())
    with_gap = events.RelayedRead(host.stream, 0, from_offset=5)
    host.feed(events.ConfigurationRead, None, 5, relayed=with_gap)
    (read,) = host.own_reads()
    assert (read.source, read.from_offset) == ("configuration", 1)
    assert (
        host.state.store_reads[store_state.Source.CONFIGURATION].next_offset
        == 1
    )
    host.feed(events.ConfigurationRead, published_host.document(version=5), 5)
    host.feed(events.ConfigurationRead, None, 5, relayed=with_gap)
    assert len(host.own_reads()) == 1


def follower_in_an_outage(retried_source, seed=0):
    """Returns a host whose reads fail, like those of every reader."""
    host = FollowingHost(seed)
    host.relay_reads(configured=published_host.document())
    host.fail_reads_for(5_000_000, retried_source)
    return host


# The reader omits large records, so the host has to read them itself.
@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("retried_source", store_state.Source)
@pytest.mark.parametrize("source", store_state.Source)
def test_records_omitted_after_an_outage_are_not_read_too_late(
    source, retried_source, seed
):
    host = follower_in_an_outage(retried_source, seed)
    reads = host.state.store_reads[source]
    if source is retried_source:
        assert reads.pending
        assert reads.scheduled_us > host.now_us
    else:
        assert reads.suspended
    host.omit_records(source, next_offset=5)
    assert reads.scheduled_us == host.now_us
    assert host.own_reads()[-1].source == source.value


# Only a reader tells when the store is back, so a host without one has to try.
@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("silent", [True, False])
def test_store_is_not_read_too_late_when_readers_are_lost_in_an_outage(
    silent, seed
):
    host = follower_in_an_outage(store_state.Source.CONFIGURATION, seed)
    lost_us = host.now_us
    while host.now_us < lost_us + RECOVERY_LIMIT_US - READ_TIMEOUT_US:
        if host.address is not None and not silent:
            host.lose_reader()
        host.advance(50_000)
    reads = host.state.store_reads[store_state.Source.CONFIGURATION]
    assert reads.pending
    assert reads.scheduled_us <= host.now_us


# No reader may leave it to another one to detect that the store is back: the
# reader with the lowest address may be down.
@pytest.mark.parametrize("source", store_state.Source)
def test_readers_do_not_wait_for_each_other_in_an_outage(source):
    host = second_reader()
    host.relay_reads(configured=published_host.document())
    host.fail_reads_for(20_000_000, source)
    delays_us = [read.delay_us for read in host.own_reads()]
    assert max(delays_us) <= RECOVERY_LIMIT_US - READ_TIMEOUT_US


# The readers may be cut off from the store when it is back for this host.
@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("source", store_state.Source)
def test_store_is_not_read_too_late_when_only_readers_are_cut_off(source, seed):
    host = FollowingHost(seed)
    host.relay_reads(configured=published_host.document())
    host.fail_reads_for(20_000_000, source)
    delays_us = [read.delay_us for read in host.own_reads()]
    assert max(delays_us) <= RECOVERY_LIMIT_US - READ_TIMEOUT_US
    # Retries have to be rare all the same: they don't start with short pauses.
    assert min(delay_us for delay_us in delays_us if delay_us) >= 1_000_000


def test_suspended_reads_resume_when_a_reader_relays_only_other_sources():
    host = follower_in_an_outage(store_state.Source.TARGETS)
    reads = host.state.store_reads[store_state.Source.CONFIGURATION]
    assert reads.suspended
    relayed = events.RelayedRead(host.stream, 0)
    host.feed(
        events.TargetsRead, [], [], False, host.next_offset, relayed=relayed
    )
    host.feed(events.StoreReadFailed, "configuration", "reset", relayed)
    assert reads.pending
    assert reads.scheduled_us <= host.now_us + 100_000


def test_each_source_is_retried_in_a_long_outage():
    host = follower_in_an_outage(store_state.Source.CONFIGURATION)
    before = len(host.own_reads())
    host.fail_reads_for(20_000_000, store_state.Source.CONFIGURATION)
    sources = {read.source for read in host.own_reads()[before:]}
    assert sources == {source.value for source in store_state.Source}


# A source that waits for the reads of another one must not be forgotten when
# that one is no longer retried.
@pytest.mark.parametrize("is_reader", [False, True])
@pytest.mark.parametrize("seed", range(20))
def test_suspended_source_always_waits_for_one_that_is_retried(seed, is_reader):
    host = FollowingHost(seed, is_reader=is_reader)
    host.relay_reads(configured=published_host.document())
    chosen = random.Random(seed)
    reads = host.state.store_reads
    for _ in range(400):
        source = chosen.choice(list(store_state.Source))
        relayed = events.RelayedRead(host.stream, 0)
        is_due = (
            reads[source].pending and host.now_us >= reads[source].scheduled_us
        )
        match chosen.randrange(6):
            case 0:
                host.feed(events.StoreReadFailed, source.value, "503", relayed)
            case 1 | 2 if is_due:
                host.feed(
                    events.StoreReadFailed,
                    source.value,
                    "failed",
                    is_answered=chosen.random() < 0.3,
                )
            case 3 if is_due:
                host.feed(events.StoreHistoryDropped, source.value, 0)
            case 4 if chosen.random() < 0.1:
                host.relay_reads(crashes=False)
            case _:
                host.advance(chosen.randrange(500_000))
        retried = [
            other
            for other in reads.values()
            if other.failures and other.pending and not other.wait_ms
        ]
        # A host without a reader notices at its next check.
        waits = [
            other
            for name, other in reads.items()
            if other.suspended and following.must_read_store(host.state, name)
        ]
        assert retried or not waits


def test_lines_tell_when_omitted_records_are_read():
    host = follower_in_an_outage(store_state.Source.CONFIGURATION)
    host.fail_reads_for(10_000_000, store_state.Source.CONFIGURATION)
    delays_ms = [
        read.delay_us // 1000
        for read in host.own_reads()
        if read.source == "configuration" and read.delay_us
    ]
    assert len(delays_ms) >= 2
    lines = host.lines("store_retry")
    # A source is retried after the one whose turn it was before.
    for delay_ms in delays_ms:
        assert any(
            f"read of configuration, which starts in {delay_ms} ms" in line
            or (line.startswith("configuration: ") and f"{delay_ms} ms" in line)
            for line in lines
        )
    # The failure that the reader reported is the first.
    for number in range(2, len(delays_ms) + 1):
        assert any(
            f"configuration: read {number} of the store failed: 503" in line
            for line in lines
        )
    for _ in range(2):
        host.omit_records(store_state.Source.CONFIGURATION, next_offset=5)
    (omitted,) = host.lines("store_records_omitted")
    assert "from offset 1 to 5" in omitted


def test_host_refused_by_the_store_requests_all_records_from_the_reader():
    host = FollowingHost()
    host.relay_reads(configured=published_host.document())
    with_gap = events.RelayedRead(host.stream, 0, from_offset=5)
    host.feed(events.ConfigurationRead, None, 5, relayed=with_gap)
    host.feed(events.StoreReadFailed, "configuration", "503")
    follow = host.effects_of(effects.FollowReader)[-1]
    assert follow.unlimited_size
    assert follow.from_offsets["configuration"] == 1


def test_host_requests_all_records_only_while_some_are_missing():
    host = FollowingHost()
    with_gap = events.RelayedRead(host.stream, 0, from_offset=5)
    host.feed(events.ConfigurationRead, None, 5, relayed=with_gap)
    host.feed(events.StoreReadFailed, "configuration", "503")
    without_gap = events.RelayedRead(host.stream, 0)
    host.feed(
        events.ConfigurationRead,
        published_host.document(),
        5,
        relayed=without_gap,
    )
    host.lose_reader()
    host.feed(events.StoreReadFailed, "configuration", "503")
    assert not host.effects_of(effects.FollowReader)[-1].unlimited_size


def test_follower_of_an_older_reader_reads_crashes_itself():
    host = FollowingHost()
    host.relay_reads(configured=published_host.document(), crashes=False)
    first = host.stream
    for _ in range(10):
        host.advance(READ_WAIT_US)
        host.relay_reads(crashes=False)
    assert host.stream == first
    assert {read.source for read in host.own_reads()} == {"crashes"}
    host.feed(events.CrashesRead, {}, [], True, 0)
    host.feed(events.CrashesRead, {}, [], False, 0)
    assert {read.source for read in host.own_reads()} == {"crashes"}
    assert host.own_reads()[-1].wait_ms == 1_500


# Guards against a host that goes back and forth between two readers of its own
# failure domain, which are cut off too, and never tries one that is not. Its
# own reads fail.
@pytest.mark.parametrize("outage_s", [0, 2, 4, 10, 30])
def test_reader_that_reads_the_store_is_found_after_an_outage(outage_s):
    host = FollowingHost(seed=1)
    host.relay_reads(configured=published_host.document())
    reading = READERS[-1]
    end_us = host.now_us + outage_s * 1_000_000
    while host.now_us < end_us or host.address != reading:
        assert host.now_us < end_us + 2 * RECOVERY_LIMIT_US
        if not host.state.following.connected:
            near = host.address != reading
            host.connect_reader(published_host.DOMAIN if near else "far")
        relayed = events.RelayedRead(host.stream, 0)
        for source, reads in host.state.store_reads.items():
            host.feed(events.StoreReadFailed, source.value, "503", relayed)
            due_us = reads.scheduled_us + READ_TIMEOUT_US
            if reads.pending and host.now_us >= due_us:
                host.feed(events.StoreReadFailed, source.value, "no response")
        host.advance(50_000)


# Guards against a host that takes the store for lost because a reader has not
# read it since: what the host has read itself is newer than the failure.
def test_old_failure_of_a_new_reader_does_not_undo_an_own_success():
    host = FollowingHost()
    host.relay_reads(configured=published_host.document())
    host.fail_reads_for(3_000_000, store_state.Source.CONFIGURATION)
    host.feed(events.ConfigurationRead, None, host.next_offset)
    host.feed(events.TargetsRead, [], [], False, host.next_offset)
    host.feed(events.CrashesRead, {}, [], False, host.next_offset)
    lost = len(host.lines("store_lost"))
    host.lose_reader()
    relayed = events.RelayedRead(host.stream, age_us=400_000)
    for source in store_state.Source:
        host.feed(events.StoreReadFailed, source.value, "refused", relayed)
    assert not any(reads.failures for reads in host.state.store_reads.values())
    assert host.lines("store_lost")[lost:] == []
