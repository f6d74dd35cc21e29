"""Hosts that follow a reader for what the platform's store says."""

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
WAIT_US = 800_000
# Within this time of a change every host has to have it; the users' bound.
BOUND_US = 2_000_000


class FollowingHost(published_host.PublishedHost):
    """A gate host that has just started."""

    def __init__(self, seed=0, **store):
        self.settings = store_state.StoreSettings(
            **{"readers": READERS, "probes_per_s": 600.0, **store}
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
        """Number of the newest stream."""
        return self.state.following.number

    @property
    def address(self):
        """Address of the reader that is followed."""
        return self.state.following.address

    def own_reads(self):
        """Reads of the store by this host."""
        return self.of(effects.ReadStore)

    def tell(self, stream=None, age_us=0, configured=None, entries=()):
        """Feeds one read of each source by the reader."""
        passed_on = events.PassedOn(stream or self.stream, age_us)
        if configured is not None or entries:
            self.next_offset += 1
        self.feed(
            events.ConfigurationRead,
            configured,
            self.next_offset,
            passed_on=passed_on,
        )
        self.feed(
            events.TargetsRead,
            list(entries),
            [],
            False,
            self.next_offset,
            passed_on=passed_on,
        )

    def tell_for(self, for_us):
        """Lets time pass in which the reader's reads bring nothing."""
        end_us = self.now_us + for_us
        while self.now_us < end_us:
            self.tell()
            self.advance(min(WAIT_US, end_us - self.now_us))

    def lose(self, why="reset"):
        """Ends the stream."""
        return self.feed(events.ReaderLost, self.stream, why)

    def meet(self, failure_domain):
        """Feeds the answer of the reader."""
        return self.feed(events.ReaderMet, self.stream, failure_domain)


def test_host_that_follows_reads_nothing_itself():
    host = FollowingHost()
    host.tell(
        configured=published_host.document(), entries=[published_host.entry(0)]
    )
    host.tell_for(30_000_000)
    assert host.own_reads() == []
    assert len(host.of(effects.FollowReader)) == 1
    assert host.state.rules.version == 1
    assert list(host.state.registered) == ["i-0"]


def test_reader_reads_both_sources_at_once_and_follows_nobody():
    host = FollowingHost(is_reader=True)
    assert [read.source for read in host.own_reads()] == [
        source.value for source in store_state.Source
    ]
    assert host.of(effects.FollowReader) == []
    host.configure(published_host.document())
    host.advance(0)
    latest = host.own_reads()[-1]
    assert latest.wait_ms == 800
    assert latest.delay_us <= 250_000


def test_only_reader_keeps_the_cadence_of_a_reader():
    host = FollowingHost(is_reader=True, readers=())
    host.configure(published_host.document())
    assert host.own_reads()[-1].wait_ms == 800


@pytest.mark.parametrize("seed", range(5))
def test_host_reads_itself_before_the_bound_when_its_reader_falls_silent(seed):
    host = FollowingHost(seed)
    host.tell(configured=published_host.document())
    host.advance(BOUND_US - 400_000)
    assert {read.source for read in host.own_reads()} == {
        source.value for source in store_state.Source
    }
    assert all(read.delay_us == 0 for read in host.own_reads())


def test_silent_reader_is_left_for_another_before_the_store_is_read():
    host = FollowingHost()
    host.tell()
    first = host.address
    host.advance(WAIT_US + 500_000)
    assert host.address != first
    host.tell()
    host.advance(WAIT_US)
    assert host.own_reads() == []


def test_pause_of_a_reader_after_a_change_is_no_silence():
    host = FollowingHost()
    host.tell()
    first = host.stream
    host.advance(WAIT_US + 250_000 + 100_000)
    assert host.stream == first


def test_lost_reader_is_replaced_at_once():
    host = FollowingHost()
    host.tell()
    seen = {host.address}
    host.lose()
    seen.add(host.address)
    host.lose()
    seen.add(host.address)
    assert seen == set(READERS)
    host.lose()
    assert host.address is None
    host.advance(510_000)
    assert host.address in READERS


def test_host_without_the_store_and_readers_tries_twice_a_second():
    host = FollowingHost()
    for _ in range(400):
        if host.address is not None:
            host.lose()
        host.advance(50_000)
        for source, reads in host.state.store_reads.items():
            if reads.under_way and host.now_us >= reads.asked_us:
                host.feed(events.StoreReadFailed, source.value, "refused")
    # 2 s with a try every 0.05 s, 18 s with one every 0.5 s.
    assert len(host.of(effects.FollowReader)) <= 45 + 2 * 36


def test_reader_that_is_away_is_reported_once_and_tried_twice_a_second():
    host = second_reader(readers=READERS[:1])
    host.advance(2_100_000)
    host.tell()
    host.meet(published_host.DOMAIN)
    before = len(host.of(effects.FollowReader))
    for _ in range(100):
        if host.address is not None:
            host.lose()
        host.advance(50_000)
    assert len(host.of(effects.FollowReader)) - before <= 11
    codes = [report.code for report in host.of(effects.Report)]
    assert codes.count("reader_lost") == 1


def test_host_that_knows_nothing_seeks_a_reader_without_delay():
    host = FollowingHost(readers=READERS[:1])
    host.lose()
    host.advance(60_000)
    assert host.address in READERS


def test_stream_of_a_former_reader_does_not_count():
    host = FollowingHost()
    former = host.stream
    host.lose()
    host.tell(stream=former, configured=published_host.document())
    assert host.state.rules.version is None


def test_reader_of_the_own_failure_domain_is_sought():
    host = FollowingHost()
    first = host.address
    host.meet(published_host.OTHER_DOMAIN)
    second = host.address
    assert second != first
    host.meet(published_host.DOMAIN)
    assert host.address == second


def test_host_stays_once_every_reader_is_elsewhere():
    host = FollowingHost()
    for _ in READERS:
        host.meet(published_host.OTHER_DOMAIN)
    streams = len(host.of(effects.FollowReader))
    assert streams == len(READERS)
    host.tell_for(5_000_000)
    assert len(host.of(effects.FollowReader)) == streams


@pytest.mark.parametrize(
    ("first_start", "reader_timeout_us"), [(False, 150_000), (True, 2_000_000)]
)
def test_starting_host_reads_itself_when_no_reader_is_found(
    first_start, reader_timeout_us
):
    host = FollowingHost(first_start=first_start)
    while host.now_us < 1_000_000 + reader_timeout_us - 50_000:
        if host.address is not None:
            host.lose()
        host.advance(50_000)
    assert host.own_reads() == []
    host.advance(50_000)
    assert len(host.own_reads()) == 2


def test_own_read_is_given_up_when_a_reader_tells():
    host = FollowingHost()
    host.advance(1_600_000)
    assert len(host.own_reads()) == 2
    host.tell()
    assert {stop.source for stop in host.of(effects.StopReading)} == {
        source.value for source in store_state.Source
    }


def test_late_own_read_takes_nothing_back():
    host = FollowingHost()
    host.tell(entries=[published_host.entry(0)])
    host.next_offset = 7
    host.tell(entries=[published_host.entry(1)])
    host.feed(events.TargetsRead, [], ["i-0", "i-1"], False, 3)
    assert set(host.state.registered) == {"i-0", "i-1"}


def test_few_reads_are_made_while_the_store_fails_for_the_reader_too():
    host = FollowingHost()
    host.tell(configured=published_host.document())
    for _ in range(200):
        passed_on = events.PassedOn(host.stream, 0)
        for source in store_state.Source:
            host.feed(events.StoreReadFailed, source.value, "503", passed_on)
        asked = len(host.own_reads())
        host.advance(100_000)
        if len(host.own_reads()) > asked:
            for read in host.own_reads()[asked:]:
                host.feed(events.StoreReadFailed, read.source, "503")
    assert len(host.own_reads()) <= 2 + 2 * 20_000_000 / 4_500_000
    host.tell()
    assert not any(reads.failures for reads in host.state.store_reads.values())


def test_reader_whose_reads_fail_follows_another_until_they_succeed():
    host = FollowingHost(is_reader=True)
    host.configure(published_host.document())
    for _ in range(2):
        host.feed(events.StoreReadFailed, "targets", "refused")
    assert host.address in READERS
    host.tell(configured=published_host.document(version=2))
    assert host.state.rules.version == 2
    assert host.state.store_reads[store_state.Source.TARGETS].failures
    host.register(published_host.entry(0))
    assert host.address is None
    assert host.of(effects.StopFollowing)


def test_new_list_of_readers_is_followed():
    host = FollowingHost()
    host.tell()
    host.feed(events.ReadersListed, False, ("10.0.0.9:1",))
    assert host.address == "10.0.0.9:1"
    host.feed(events.ReadersListed, True, ("10.0.0.8:1",))
    assert host.address is None
    assert len(host.own_reads()) == 2


def test_outage_that_a_reader_tells_of_lets_lapsed_targets_come_back():
    host = FollowingHost(rejoin_ms=2_000)
    host.tell(
        configured=published_host.document(), entries=[published_host.entry(0)]
    )
    passed_on = events.PassedOn(host.stream, 0)
    host.feed(events.StoreReadFailed, "targets", "503", passed_on)
    host.feed(events.TargetsRead, [], ["i-0"], False, 9, passed_on=passed_on)
    assert list(host.state.registered) == ["i-0"]
    host.advance(2_100_000)
    assert list(host.state.registered) == []


def second_reader(readers=("10.0.0.1:1", "10.0.0.2:1")):
    """A reader that comes after others by address."""
    return FollowingHost(
        is_reader=True, control_address="10.0.0.3:1", readers=readers
    )


def test_second_reader_passes_on_what_the_first_one_reads():
    host = second_reader()
    # Hosts that start with it may look to it before the first reader runs.
    assert len(host.own_reads()) == 2
    host.tell()
    (follow,) = host.of(effects.FollowReader)
    assert (follow.address, follow.passes_on) == ("10.0.0.1:1", True)
    host.tell_for(10_000_000)
    assert len(host.own_reads()) == 2


def test_second_reader_takes_over_before_its_followers_turn_away():
    host = second_reader()
    host.tell_for(WAIT_US)
    host.tell()
    before = len(host.own_reads())
    host.advance(WAIT_US + following.SILENCE_TIMEOUT_US - 50_000)
    assert len(host.own_reads()) == before + 2
    host.configure(published_host.document())
    assert host.own_reads()[-1].wait_ms == 800


def test_second_reader_stops_reading_when_the_first_is_back():
    host = second_reader()
    assert len(host.own_reads()) == 2
    host.tell()
    assert len(host.of(effects.StopReading)) == 2
    host.tell_for(5_000_000)
    assert len(host.own_reads()) == 2


def test_reader_turned_away_by_the_store_passes_on_nothing_of_later_ones():
    host = FollowingHost(
        is_reader=True, control_address="10.0.0.0:1", readers=READERS
    )
    for _ in range(2):
        host.feed(events.StoreReadFailed, "targets", "503")
    (follow,) = host.of(effects.FollowReader)
    assert not follow.passes_on


def test_first_reader_goes_on_trying_while_others_fail_too():
    host = FollowingHost(is_reader=True)
    for _ in range(20):
        host.feed(events.StoreReadFailed, "targets", "503")
        host.feed(
            events.StoreReadFailed,
            "targets",
            "503",
            events.PassedOn(host.stream, 0),
        )
    assert host.own_reads()[-1].delay_us < 1_800_000


@pytest.mark.parametrize("readers", [(), READERS])
@pytest.mark.parametrize("targets", [4, 200])
def test_no_read_waits_so_long_that_a_missed_record_comes_too_late(
    readers, targets
):
    host = FollowingHost(readers=readers)
    host.advance(2_000_000)
    host.register(*(published_host.entry(n) for n in range(targets)))
    for _ in range(20):
        host.configure(published_host.document())
        host.register()
        host.advance(WAIT_US)
    assert host.own_reads()
    assert max(read.wait_ms for read in host.own_reads()) <= 1_000


def test_callers_wait_until_the_first_reads_are_done():
    host = FollowingHost()
    assert host.of(effects.AcceptCallers) == []
    passed_on = events.PassedOn(host.stream, 0)
    host.feed(
        events.ConfigurationRead,
        published_host.document(),
        1,
        passed_on=passed_on,
    )
    assert host.of(effects.AcceptCallers) == []
    host.tell(entries=[published_host.entry(0)])
    host.advance(5_000_000)
    assert len(host.of(effects.AcceptCallers)) == 1


def test_callers_do_not_wait_longer_for_a_store_that_is_away():
    host = FollowingHost()
    host.advance(readiness.ACCEPT_WITHIN_US - 1)
    assert host.of(effects.AcceptCallers) == []
    host.advance(1)
    assert len(host.of(effects.AcceptCallers)) == 1


def test_records_that_the_reader_leaves_out_are_read_from_the_store():
    host = FollowingHost()
    host.tell(configured=published_host.document())
    large = events.PassedOn(host.stream, 0, from_offset=5)
    host.feed(events.ConfigurationRead, None, 5, passed_on=large)
    (read,) = host.own_reads()
    assert (read.source, read.from_offset) == ("configuration", 1)
    assert (
        host.state.store_reads[store_state.Source.CONFIGURATION].next_offset
        == 1
    )
    host.feed(events.ConfigurationRead, published_host.document(version=5), 5)
    host.feed(events.ConfigurationRead, None, 5, passed_on=large)
    assert len(host.own_reads()) == 1


def test_host_that_the_store_turns_away_asks_the_reader_for_all():
    host = FollowingHost()
    host.tell(configured=published_host.document())
    large = events.PassedOn(host.stream, 0, from_offset=5)
    host.feed(events.ConfigurationRead, None, 5, passed_on=large)
    host.feed(events.StoreReadFailed, "configuration", "503")
    follow = host.of(effects.FollowReader)[-1]
    assert follow.unlimited
    assert follow.from_offsets["configuration"] == 1


def test_host_that_got_all_asks_for_all_no_more():
    host = FollowingHost()
    large = events.PassedOn(host.stream, 0, from_offset=5)
    host.feed(events.ConfigurationRead, None, 5, passed_on=large)
    host.feed(events.StoreReadFailed, "configuration", "503")
    whole = events.PassedOn(host.stream, 0)
    host.feed(
        events.ConfigurationRead,
        published_host.document(),
        5,
        passed_on=whole,
    )
    host.lose()
    host.feed(events.StoreReadFailed, "configuration", "503")
    assert not host.of(effects.FollowReader)[-1].unlimited
