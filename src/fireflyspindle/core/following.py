"""Following a reader, a host that passes on what it reads of the store.

The platform names a few hosts as readers. The first of them by address, which
leads, reads the store; the others follow those before them and pass on what
they are told, and every other host follows a reader, of its own failure
domain where there is one. A reader tells the outcome of each read, also of
those that bring nothing, so that its silence shows. When the hosts before it
fall silent, a reader takes over; when all readers do, each host reads the
store itself, before the bounds by which changes have to be in force.
"""

from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import store_state
from fireflyspindle.core import timers

# Least time between two reads of one source by a reader: a change reaches
# every host within a third of a second, and a burst of changes costs at most
# four reads a second.
READER_SPACING_MS = 250
# Time beyond the longest wait of a reader after which it counts as silent:
# its pause after a change, and a lost packet, which is sent again after 0.2 s.
SILENCE_US = READER_SPACING_MS * 1000 + 200_000
# The same for a reader, which takes over before its followers turn away.
TAKE_OVER_US = READER_SPACING_MS * 1000 + 130_000
# Time beyond that wait after which any host reads the store itself. With a
# wait of 0.4 of the users' bound (2 s and more), 0.5 s are left for the read.
OWN_READ_US = SILENCE_US + 250_000
# Time for which a host that starts seeks a reader before it reads the store
# itself. At the first start of the whole system callers come seconds later;
# after that they may wait already, and a reader that runs answers within some
# milliseconds.
FIRST_START_PATIENCE_US = 2_000_000
START_PATIENCE_US = 150_000
# Pause between attempts to follow while no reader can be reached: the first in
# the time after the start, in which readers start too, the second later.
FIRST_RETRY_US = 50_000
FIRST_RETRIES_US = 2_000_000
RETRY_US = 500_000
# Least time with one reader before another is tried for its silence.
SWITCH_US = 500_000
# Time for which a reader that was lost is tried after the others.
AVOID_US = 3_000_000


def start(state: state_lib.GateState) -> None:
    """Begins to follow a reader, unless this host leads."""
    settings = _settings(state)
    found = state.following
    found.is_reader = settings.is_reader
    found.readers = {
        address: store_state.Reader() for address in settings.readers
    }
    if leads(state):
        return
    found.own_reads_from_us = state.now_us
    if not found.is_reader:
        patience_us = START_PATIENCE_US
        if settings.first_start:
            patience_us = FIRST_START_PATIENCE_US
        found.own_reads_from_us += patience_us
    _follow_next(state)
    plan(state)


def leads(state: state_lib.GateState) -> bool:
    """Whether this host reads the store whatever others tell it."""
    found = state.following
    if not found.readers:
        return True
    return found.is_reader and not _earlier_readers(state)


def reads_itself(
    state: state_lib.GateState, source: store_state.Source
) -> bool:
    """Whether this host has to read a source, since no reader does for it."""
    found = state.following
    if leads(state):
        return True
    if state.now_us < found.own_reads_from_us:
        return False
    return _overdue(state, source, _own_read_slack_us(state))


def is_current(state: state_lib.GateState, passed_on: events.PassedOn) -> bool:
    """Whether a read was told by the host that is followed now."""
    return passed_on.stream == state.following.number


def reader_fails_too(state: state_lib.GateState) -> bool:
    """Whether a reader is followed whose reads fail as well."""
    return state.following.address is not None and any(
        reads.reader_failed for reads in state.store_reads.values()
    )


def on_met(state: state_lib.GateState, event: events.ReaderMet) -> None:
    """Takes the failure domain of a reader, and may look for a nearer one."""
    found = state.following
    if event.stream != found.number or found.address is None:
        return
    found.met = True
    found.readers[found.address].failure_domain = event.failure_domain
    detail = (
        f"following {found.address} in {event.failure_domain} for what the"
        " store says"
    )
    state.emit(effects.Report("info", "reader_followed", detail))
    if found.is_reader:
        return
    nearest = _nearest(state)
    if _distance(state, nearest) < _distance(state, found.address):
        _follow(state, nearest)


def on_lost(state: state_lib.GateState, event: events.ReaderLost) -> None:
    """Takes the end of a stream, and follows another reader."""
    found = state.following
    if event.stream != found.number or found.address is None:
        return
    if found.met:
        # A reader that does not answer leaves no line: it is tried again and
        # again, and was reported when it was lost.
        detail = f"the reader {found.address} is lost: {event.why}"
        state.emit(effects.Report("warning", "reader_lost", detail))
    _avoid(state, found.address)
    found.address = None
    if any(
        found.readers[address].avoided_until_us <= state.now_us
        for address in _candidates(state)
    ):
        _follow_next(state)
    plan(state)


def on_listed(state: state_lib.GateState, event: events.ReadersListed) -> None:
    """Takes a new list of readers."""
    found = state.following
    found.is_reader = event.is_reader
    found.readers = {
        address: found.readers.get(address, store_state.Reader())
        for address in event.readers
    }
    if found.address not in _candidates(state):
        stop(state)
    on_due(state)


def stop(state: state_lib.GateState) -> None:
    """Stops following, where a reader is followed."""
    found = state.following
    if found.address is None:
        return
    found.address = None
    found.number += 1
    state.emit(effects.StopFollowing())


def on_own_failure(state: state_lib.GateState) -> None:
    """Follows a reader once reads by this host fail, also if it is one."""
    if state.following.address is None and _candidates(state):
        _follow_next(state)
        plan(state)


def on_own_success(state: state_lib.GateState) -> None:
    """Leaves a reader that was followed only while own reads failed."""
    if state.following.address not in _candidates(state):
        stop(state)


def ask_for_all(state: state_lib.GateState) -> None:
    """Asks the reader for what it leaves out, as the store gives nothing."""
    found = state.following
    if found.address is not None and not found.unlimited:
        _follow(state, found.address, unlimited=True)


def plan(state: state_lib.GateState) -> None:
    """Sets a timer for the next look after the stream, if none is as early.

    So the silence of the reader is noticed.
    """
    found = state.following
    if not _candidates(state):
        return
    wait_us = _settings(state).read_wait_ms * 1000
    times_us = [found.since_us + SWITCH_US, found.own_reads_from_us]
    for reads in state.store_reads.values():
        if reads.told_us is not None:
            overdue_us = reads.told_us + wait_us
            times_us.append(overdue_us + SILENCE_US)
            times_us.append(overdue_us + _own_read_slack_us(state))
    later_us = [at_us for at_us in times_us if at_us > state.now_us]
    if found.address is None:
        starting = state.now_us < found.own_reads_from_us + FIRST_RETRIES_US
        pause_us = FIRST_RETRY_US if starting else RETRY_US
        later_us.append(state.now_us + pause_us)
    at_us = min(later_us, default=state.now_us + SWITCH_US)
    if found.due_us is None or at_us < found.due_us:
        found.due_us = at_us
        state.timers.add(at_us, timers.FollowDue())


def on_due(state: state_lib.GateState) -> None:
    """Leaves a reader that is silent or fails, and seeks one where none is."""
    found = state.following
    if not _candidates(state):
        return
    if found.address is None:
        _follow_next(state)
    elif state.now_us >= found.since_us + SWITCH_US and any(
        _overdue(state, source, SILENCE_US) for source in store_state.Source
    ):
        _avoid(state, found.address)
        _follow_next(state)
    plan(state)


def _settings(state: state_lib.GateState) -> store_state.StoreSettings:
    settings = state.settings.store
    assert settings is not None
    return settings


def _earlier_readers(state: state_lib.GateState) -> list[str]:
    own_address = _settings(state).control_address
    return [
        address for address in state.following.readers if address < own_address
    ]


def _candidates(state: state_lib.GateState) -> list[str]:
    """Returns the readers that may be followed.

    Readers follow only those before them, so that no two follow each other;
    one whose own reads fail follows any, and passes nothing on from those
    after it.
    """
    found = state.following
    own_reads_fail = any(
        reads.failures > 1 for reads in state.store_reads.values()
    )
    if not found.is_reader or own_reads_fail:
        return list(found.readers)
    return _earlier_readers(state)


def _overdue(
    state: state_lib.GateState, source: store_state.Source, slack_us: int
) -> bool:
    """Whether the reader's next read of a source is overdue by a time."""
    told_us = state.store_reads[source].told_us
    if told_us is None:
        return True
    wait_us = _settings(state).read_wait_ms * 1000
    return state.now_us >= told_us + wait_us + slack_us


def _own_read_slack_us(state: state_lib.GateState) -> int:
    return TAKE_OVER_US if state.following.is_reader else OWN_READ_US


def _avoid(state: state_lib.GateState, address: str) -> None:
    reader = state.following.readers.get(address)
    if reader is not None:
        reader.avoided_until_us = state.now_us + AVOID_US


def _distance(state: state_lib.GateState, address: str) -> int:
    domain = state.following.readers[address].failure_domain
    if domain is None:
        return 1
    return 0 if domain == state.settings.failure_domain else 2


def _nearest(state: state_lib.GateState) -> str:
    """Returns the reader to follow; of equal ones, one at random.

    Of several readers, another reader takes the first by address, which does
    not follow itself.
    """
    found = state.following

    def order(address: str) -> tuple[int, int, str | float]:
        reader = found.readers[address]
        avoided_us = max(0, reader.avoided_until_us - state.now_us)
        if found.is_reader:
            return avoided_us, 0, address
        distance = _distance(state, address)
        return avoided_us, distance, state.random.random()

    return min(_candidates(state), key=order)


def _follow_next(state: state_lib.GateState) -> None:
    _follow(state, _nearest(state))


def _follow(
    state: state_lib.GateState, address: str, unlimited: bool = False
) -> None:
    found = state.following
    found.number += 1
    found.address = address
    found.met = False
    found.since_us = state.now_us
    found.unlimited = unlimited
    offsets = {}
    for source, reads in state.store_reads.items():
        offsets[source.value] = reads.next_offset
        reads.reader_failed = False
    passes_on = found.is_reader and address in _earlier_readers(state)
    state.emit(
        effects.FollowReader(
            found.number, address, offsets, passes_on, unlimited
        )
    )
