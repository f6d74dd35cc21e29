"""Following a reader: a host that relays its reads of the store.

The platform names a few hosts as readers. The first of them by address is the
primary reader and reads the store. The other readers follow those with lower
addresses and relay what they receive; every other host follows a reader, one
of its own failure domain if possible. A reader reports the outcome of each
read, even of an empty one, so that followers notice when it is silent. When the
readers before it are silent, a reader takes over; when all readers are, each
host reads the store itself, in time to apply changes within the time limit.
"""

from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import store_state
from fireflyspindle.core import timers
from fireflyspindle.core.organisations import proof

# Minimum time between two reads of one source by a reader: a change reaches
# every host within a third of a second, and a burst of changes costs at most
# four reads per second.
READER_READ_SPACING_MS = 250
# Time beyond the longest wait of a reader after which it counts as silent: its
# pause after a change, plus 0.2 s for the retransmission of a lost packet.
SILENCE_TIMEOUT_US = READER_READ_SPACING_MS * 1000 + 200_000
# The same for a reader, which takes over before its followers leave it.
TAKEOVER_TIMEOUT_US = READER_READ_SPACING_MS * 1000 + 130_000
# Time beyond that wait after which any host reads the store itself. With a
# wait of 0.4 of the time limit for changes (at least 2 s), 0.5 s remain for the
# read.
OWN_READ_TIMEOUT_US = SILENCE_TIMEOUT_US + 250_000
# Time for which a starting host tries to reach a reader before it reads the
# store itself. At the first start of the whole system callers arrive seconds
# later; at later starts they may be waiting already, and a running reader
# answers within milliseconds.
FIRST_START_READER_TIMEOUT_US = 2_000_000
START_READER_TIMEOUT_US = 150_000
# Pause between attempts to follow while no reader can be reached: the shorter
# one during startup, while the readers may still be starting.
STARTUP_RETRY_US = 50_000
STARTUP_RETRY_PERIOD_US = 2_000_000
RETRY_US = 500_000
# Minimum time with one reader before a silent or failing one is replaced. It
# doubles with each reader from which no read arrived, until one relays a
# successful read: a feed may need longer, whichever reader it comes from.
MIN_FOLLOW_US = 500_000
MAX_FOLLOW_DOUBLINGS = 4
# Time for which a report of failed reads counts. It covers one attempt to
# follow a reader that is down.
FAILURE_REPORT_TIMEOUT_US = 2 * MIN_FOLLOW_US
# Time after which a stream is replaced by a new one from the same reader, and
# the share of it that is random. The transit times of its lines rest on the
# rates of two clocks, which differ by up to 0.2 ms a second.
STREAM_LIFETIME_US = 300_000_000
STREAM_LIFETIME_JITTER = 0.2
# Time for which other readers are preferred over one that was lost.
LOST_READER_AVOIDANCE_US = 3_000_000


def start(state: state_lib.GateState) -> None:
    """Starts to follow a reader, unless this host is the primary reader."""
    settings = _settings(state)
    follow = state.following
    follow.is_reader = settings.is_reader
    follow.readers = {
        address: store_state.Reader()
        for address in settings.other_reader_addresses
    }
    if is_primary_reader(state):
        return
    follow.own_reads_allowed_us = state.now_us
    if not follow.is_reader:
        reader_timeout_us = START_READER_TIMEOUT_US
        if settings.first_start:
            reader_timeout_us = FIRST_START_READER_TIMEOUT_US
        follow.own_reads_allowed_us += reader_timeout_us
    _follow_preferred(state)
    schedule_check(state)


def is_primary_reader(state: state_lib.GateState) -> bool:
    """Whether this host reads the store regardless of other readers."""
    follow = state.following
    if not follow.readers:
        return True
    return follow.is_reader and not _lower_readers(state)


def must_read_store(
    state: state_lib.GateState, source: store_state.Source
) -> bool:
    """Whether this host has to read a source because no reader relays it."""
    follow = state.following
    if is_primary_reader(state) or proof.needs_own_read(state, source):
        return True
    if state.now_us < follow.own_reads_allowed_us:
        return False
    return _is_overdue(state, source, _own_read_slack_us(state))


def is_current_stream(
    state: state_lib.GateState, relayed: events.RelayedRead
) -> bool:
    """Whether a read was relayed on the current stream."""
    return relayed.stream == state.following.stream_number


def reader_reports_failures(state: state_lib.GateState) -> bool:
    """Whether reads of the reader that this host relies on fail too.

    The report of a reader that was lost since counts for a while, in which
    another reader may report. A reader does not rely on others.
    """
    follow = state.following
    reported_us = follow.failure_reported_us
    if follow.is_reader or reported_us is None:
        return False
    return state.now_us < reported_us + FAILURE_REPORT_TIMEOUT_US


def on_reader_connected(
    state: state_lib.GateState, event: events.ReaderConnected
) -> None:
    """Records a reader's failure domain; may switch to a nearer reader."""
    follow = state.following
    if event.stream != follow.stream_number or follow.address is None:
        return
    follow.connected = True
    follow.readers[follow.address].failure_domain = event.failure_domain
    detail = (
        f"following reader {follow.address} in failure domain"
        f" {event.failure_domain}"
    )
    state.emit(effects.WriteLogLine("info", "reader_followed", detail))
    if follow.is_reader:
        return
    preferred = _preferred_reader(state)
    if _domain_distance(state, preferred) < _domain_distance(
        state, follow.address
    ):
        _follow(state, preferred)


def on_reader_disconnected(
    state: state_lib.GateState, event: events.ReaderDisconnected
) -> None:
    """Handles the end of a stream by following another reader."""
    follow = state.following
    if event.stream != follow.stream_number or follow.address is None:
        return
    if follow.connected:
        # A reader that never answered is not logged: it is retried often, and
        # its loss was logged before.
        detail = f"lost the reader {follow.address}: {event.reason}"
        state.emit(effects.WriteLogLine("warning", "reader_lost", detail))
    _mark_avoided(state, follow.address)
    follow.address = None
    if any(
        follow.readers[address].avoided_until_us <= state.now_us
        for address in _candidates(state)
    ):
        _follow_preferred(state)
    schedule_check(state)


def on_readers_changed(
    state: state_lib.GateState, event: events.ReadersChanged
) -> None:
    """Handles a new list of readers."""
    follow = state.following
    follow.is_reader = event.is_reader
    follow.readers = {
        address: follow.readers.get(address, store_state.Reader())
        for address in event.readers
    }
    if follow.address not in _candidates(state):
        stop(state)
        if _candidates(state):
            _follow_preferred(state)
    check_stream(state)


def stop(state: state_lib.GateState) -> None:
    """Stops following the current reader, if any."""
    follow = state.following
    if follow.address is None:
        return
    follow.address = None
    follow.stream_number += 1
    state.emit(effects.StopFollowing())


def on_own_reads_failing(state: state_lib.GateState) -> None:
    """Follows a reader while own reads fail, even if this host is a reader."""
    if state.following.address is None and _candidates(state):
        _follow_preferred(state)
        schedule_check(state)


def on_own_read_succeeded(state: state_lib.GateState) -> None:
    """Stops following a reader that was needed only while own reads failed."""
    if state.following.address not in _candidates(state):
        stop(state)


def on_relayed_read_succeeded(state: state_lib.GateState) -> None:
    """Leaves a reader that was needed only while own reads failed.

    A reader relays nothing from one with a higher address, so that its own
    followers would hear nothing.
    """
    candidates = _candidates(state)
    if candidates and state.following.address not in candidates:
        _follow_preferred(state)


def request_all_records(state: state_lib.GateState) -> None:
    """Requests the records that the reader left out, while own reads fail.

    Starts a new stream without a limit on the total size of the records.
    """
    follow = state.following
    if follow.address is not None and not follow.unlimited_size:
        _follow(state, follow.address, unlimited_size=True)


def restart_stream(state: state_lib.GateState) -> None:
    """Starts a new stream from the followed reader, at the present offsets."""
    follow = state.following
    if follow.address is not None:
        _follow(state, follow.address, follow.unlimited_size)


def schedule_check(state: state_lib.GateState) -> None:
    """Schedules the next check of the stream, unless one is scheduled earlier.

    The check detects a silent reader.
    """
    follow = state.following
    if not _candidates(state):
        return
    times_us = [
        _replaceable_us(follow),
        follow.stream_end_us,
        follow.own_reads_allowed_us,
    ]
    for source, reads in state.store_reads.items():
        if reads.relayed_us is None:
            continue
        overdue_us = reads.relayed_us + _settings(state).wait_us(source)
        if source in store_state.FREQUENT_SOURCES:
            times_us.append(overdue_us + SILENCE_TIMEOUT_US)
        times_us.append(overdue_us + _own_read_slack_us(state))
    check_times_us = [at_us for at_us in times_us if at_us > state.now_us]
    if follow.address is None:
        check_times_us.append(state.now_us + _retry_pause_us(state))
    at_us = min(check_times_us, default=state.now_us + MIN_FOLLOW_US)
    if follow.next_check_us is None or at_us < follow.next_check_us:
        follow.next_check_us = at_us
        state.timers.add(at_us, timers.FollowCheckDue())


def check_stream(state: state_lib.GateState) -> None:
    """Replaces a silent or failing reader; follows one if there is none."""
    follow = state.following
    if not _candidates(state):
        return
    if follow.address is None:
        if state.now_us >= follow.stream_started_us + _retry_pause_us(state):
            _follow_preferred(state)
    elif state.now_us >= _replaceable_us(follow) and any(
        _is_overdue(state, source, SILENCE_TIMEOUT_US)
        for source in store_state.FREQUENT_SOURCES
    ):
        if not follow.has_reported:
            follow.silent_readers += 1
        _mark_avoided(state, follow.address)
        _follow_preferred(state)
    elif state.now_us >= follow.stream_end_us:
        _follow(state, follow.address, follow.unlimited_size)
    schedule_check(state)


def _retry_pause_us(state: state_lib.GateState) -> int:
    """Returns the pause between attempts to follow."""
    follow = state.following
    starting = (
        state.now_us < follow.own_reads_allowed_us + STARTUP_RETRY_PERIOD_US
    )
    return STARTUP_RETRY_US if starting else RETRY_US


def _follow_time_us(follow: store_state.FollowState) -> int:
    """Returns the minimum time with one reader."""
    doublings = min(follow.silent_readers, MAX_FOLLOW_DOUBLINGS)
    return MIN_FOLLOW_US << doublings


def _replaceable_us(follow: store_state.FollowState) -> int:
    """Returns the time from which a silent reader may be replaced."""
    return follow.stream_started_us + _follow_time_us(follow)


def _settings(state: state_lib.GateState) -> store_state.StoreSettings:
    settings = state.settings.store
    assert settings is not None
    return settings


def _lower_readers(state: state_lib.GateState) -> list[str]:
    own_address = _settings(state).control_address
    return [
        address for address in state.following.readers if address < own_address
    ]


def _candidates(state: state_lib.GateState) -> list[str]:
    """Returns the readers that may be followed.

    Readers follow only readers with lower addresses, so that no two follow
    each other. A reader whose own reads fail may follow any other, but relays
    nothing from those with higher addresses.
    """
    follow = state.following
    own_reads_fail = any(
        reads.failures > 1 for reads in state.store_reads.values()
    )
    if not follow.is_reader or own_reads_fail:
        return list(follow.readers)
    return _lower_readers(state)


def _is_overdue(
    state: state_lib.GateState, source: store_state.Source, slack_us: int
) -> bool:
    """Whether the reader's next read of a source is overdue by `slack_us`."""
    relayed_us = state.store_reads[source].relayed_us
    if relayed_us is None:
        return True
    wait_us = _settings(state).wait_us(source)
    return state.now_us >= relayed_us + wait_us + slack_us


def _own_read_slack_us(state: state_lib.GateState) -> int:
    return (
        TAKEOVER_TIMEOUT_US
        if state.following.is_reader
        else OWN_READ_TIMEOUT_US
    )


def _mark_avoided(state: state_lib.GateState, address: str) -> None:
    """Prefers other readers until each of them has had its time."""
    follow = state.following
    reader = follow.readers.get(address)
    if reader is None:
        return
    others_us = len(follow.readers) * _follow_time_us(follow)
    avoidance_us = max(LOST_READER_AVOIDANCE_US, others_us)
    reader.avoided_until_us = state.now_us + avoidance_us


def _domain_distance(state: state_lib.GateState, address: str) -> int:
    domain = state.following.readers[address].failure_domain
    if domain is None:
        return 1
    return 0 if domain == state.settings.failure_domain else 2


def _preferred_reader(state: state_lib.GateState) -> str:
    """Returns the reader to follow; ties are broken at random.

    A reader prefers the lowest address, because the primary reader follows no
    other.
    """
    follow = state.following

    def preference(address: str) -> tuple[int, int, str | float]:
        reader = follow.readers[address]
        avoided_us = max(0, reader.avoided_until_us - state.now_us)
        if follow.is_reader:
            return avoided_us, 0, address
        distance = _domain_distance(state, address)
        return avoided_us, distance, state.random.random()

    return min(_candidates(state), key=preference)


def _follow_preferred(state: state_lib.GateState) -> None:
    _follow(state, _preferred_reader(state))


def _follow(
    state: state_lib.GateState, address: str, unlimited_size: bool = False
) -> None:
    follow = state.following
    follow.stream_number += 1
    follow.address = address
    follow.connected = False
    follow.has_reported = False
    follow.stream_started_us = state.now_us
    jitter = 1 - STREAM_LIFETIME_JITTER * state.random.random()
    follow.stream_end_us = state.now_us + int(STREAM_LIFETIME_US * jitter)
    # Another reader than the one that left out records may have them too.
    follow.unlimited_size = unlimited_size or any(
        reads.has_relay_gap and reads.failures
        for reads in state.store_reads.values()
    )
    offsets = {}
    longest_waits_us = {}
    for source, reads in state.store_reads.items():
        offsets[source.value] = reads.next_offset
        longest_waits_us[source.value] = _settings(state).wait_us(source)
    relays = follow.is_reader and address in _lower_readers(state)
    state.emit(
        effects.FollowReader(
            follow.stream_number,
            address,
            offsets,
            relays,
            follow.unlimited_size,
            follow.is_reader,
            longest_waits_us,
        )
    )
