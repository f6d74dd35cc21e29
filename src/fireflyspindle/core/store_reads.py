"""Reading the platform's store: when, from where, and what a failure means.

Reads wait at the store until something changes, so that a calm fleet costs
few calls. After a change the next read is put off, so that a burst of changes
comes in one read; the delay leaves a margin to the bound by which a change
has to be in force.
"""

from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import following
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import store_state

# Pauses between reads that fail; the first is short, since most failures are
# those of a single connection. The longest, with its random part and a read
# that is given up after 1.2 s, stays below the 3 s after which the users'
# bounds hold again (`contact-ms`).
FIRST_RETRY_US = 100_000
MAX_RETRY_US = 1_400_000
# Pause after a read that failed while the reader that is followed fails too.
# The reader finds out when the store is back; this host's own reads are for
# the case that only the reader is cut off.
FOLLOWER_RETRY_US = 6_000_000
# Part of each pause that is drawn at random, so that a fleet which lost the
# store at one moment does not come back to it at one moment.
RETRY_SPREAD = 0.5


def start(state: state_lib.GateState) -> None:
    """Asks for the first read of every source, here or from a reader."""
    for source in store_state.Source:
        state.store_reads[source] = store_state.Reads()
    following.start(state)
    _read_what_no_reader_reads(state)


def on_follow_due(state: state_lib.GateState) -> None:
    """Looks after the host that is followed."""
    due_us = state.following.due_us
    if due_us is None or state.now_us < due_us:
        # A later look was planned and then an earlier one, which has been.
        return
    state.following.due_us = None
    _read_what_no_reader_reads(state)
    following.on_due(state)


def on_readers_listed(
    state: state_lib.GateState, event: events.ReadersListed
) -> None:
    """Takes a new list of the hosts that read the store for others."""
    following.on_listed(state, event)
    _read_what_no_reader_reads(state)


def _read_what_no_reader_reads(state: state_lib.GateState) -> None:
    for source, reads in state.store_reads.items():
        if reads.under_way or reads.parked:
            continue
        if following.reads_itself(state, source):
            _ask(state, source, 0)


def accept(
    state: state_lib.GateState,
    source: store_state.Source,
    passed_on: events.PassedOn | None,
) -> bool:
    """Returns whether to take a read in; reads itself what leaves a gap."""
    if passed_on is None:
        return True
    if not following.is_current(state, passed_on):
        return False
    reads = state.store_reads[source]
    if (reads.next_offset or 0) >= passed_on.from_offset:
        return True
    reads.lacks_records = True
    if not reads.under_way:
        _ask(state, source, 0)
    return False


def on_read(
    state: state_lib.GateState,
    source: store_state.Source,
    next_offset: int,
    changed: bool,
    passed_on: events.PassedOn | None = None,
) -> None:
    """Takes a read that succeeded, and asks for the next one.

    Args:
        state: State of the gate host.
        source: What was read.
        next_offset: First offset that has not been read.
        changed: Whether the read brought anything.
        passed_on: Set when another host made the read.
    """
    reads = state.store_reads[source]
    reads.next_offset = max(next_offset, reads.next_offset or 0)
    reads.lacks_records = False
    if passed_on is not None:
        _on_told(state, source, passed_on)
        return
    reads.succeeded = True
    reads.under_way = False
    _on_success(state, source)
    following.on_own_success(state)
    _unpark(state)
    if not following.reads_itself(state, source):
        return
    settings = state.settings.store
    assert settings is not None
    delay_us = 0
    if changed:
        spacing_ms = settings.read_spacing_ms
        if state.following.is_reader:
            spacing_ms = min(spacing_ms, following.READER_SPACING_MS)
        delay_us = spacing_ms * 1000 - max(0, state.now_us - reads.asked_us)
    _ask(state, source, max(0, delay_us))


def _on_success(state: state_lib.GateState, source: store_state.Source) -> None:
    reads = state.store_reads[source]
    if reads.failures:
        reads.regained_us = state.now_us
        detail = (
            f"{source.value}: the store is back after {reads.failures} failed"
            f" reads in {(state.now_us - reads.lost_us) // 1000} ms"
        )
        state.emit(effects.Report("info", "store_regained", detail))
    reads.failures = 0


def _on_told(
    state: state_lib.GateState,
    source: store_state.Source,
    passed_on: events.PassedOn,
) -> None:
    """Takes a read that the reader made, which spares this host its own."""
    reads = state.store_reads[source]
    reads.told_us = state.now_us - passed_on.age_us
    reads.reader_failed = False
    if not following.leads(state):
        reads.succeeded = True
        _on_success(state, source)
        reads.parked = False
        if reads.under_way and not following.reads_itself(state, source):
            reads.under_way = False
            state.emit(effects.StopReading(source.value))
    following.plan(state)


def _unpark(state: state_lib.GateState) -> None:
    """Reads the sources that waited for the store to come back."""
    for source, reads in state.store_reads.items():
        if reads.parked:
            reads.parked = False
            if following.reads_itself(state, source):
                _ask(state, source, 0)


def on_forgotten(
    state: state_lib.GateState, source: store_state.Source, first_offset: int
) -> None:
    """Reads the whole, since the store has dropped the records before."""
    reads = state.store_reads[source]
    reads.next_offset = None
    reads.first_offset = first_offset
    detail = f"{source.value}: the store dropped records; reading the whole"
    state.emit(effects.Report("info", "store_history_dropped", detail))
    _ask(state, source, 0)


def on_failed(
    state: state_lib.GateState,
    source: store_state.Source,
    why: str,
    passed_on: events.PassedOn | None = None,
) -> None:
    """Takes a read that failed, and asks for another after a pause."""
    if passed_on is not None:
        if following.is_current(state, passed_on):
            _on_told_of_failure(state, source, why)
        return
    reads = state.store_reads[source]
    reads.under_way = False
    _report_lost(state, source, why)
    reads.failures += 1
    if reads.lacks_records:
        following.ask_for_all(state)
    if reads.failures > 1:
        following.on_own_failure(state)
    if not following.reads_itself(state, source):
        return
    others = [
        other
        for other in state.store_reads.values()
        if other is not reads and other.failures and other.under_way
    ]
    if others and reads.failures > 1:
        # One source is enough to see that the store is back.
        reads.parked = True
        return
    pause_us = FIRST_RETRY_US << min(reads.failures - 1, 10)
    pause_us = min(MAX_RETRY_US, pause_us)
    if following.reader_fails_too(state) and not following.leads(state):
        pause_us = FOLLOWER_RETRY_US
    spread = 1 + RETRY_SPREAD * (state.random.random() - 0.5)
    _ask(state, source, int(pause_us * spread))


def _on_told_of_failure(
    state: state_lib.GateState, source: store_state.Source, why: str
) -> None:
    """Takes the failure of a read that the reader made."""
    reads = state.store_reads[source]
    reads.reader_failed = True
    if following.leads(state):
        return
    _report_lost(state, source, f"by the reader: {why}")
    # The count goes on with the reads by this host.
    reads.failures = max(1, reads.failures)


def _report_lost(
    state: state_lib.GateState, source: store_state.Source, why: str
) -> None:
    reads = state.store_reads[source]
    if reads.failures:
        return
    reads.lost_us = state.now_us
    detail = f"{source.value}: a read of the store failed: {why}"
    state.emit(effects.Report("warning", "store_lost", detail))


def _ask(
    state: state_lib.GateState, source: store_state.Source, delay_us: int
) -> None:
    reads = state.store_reads[source]
    reads.asked_us = state.now_us + delay_us
    reads.under_way = True
    state.emit(
        effects.ReadStore(
            source=source.value,
            from_offset=reads.next_offset,
            first_offset=reads.first_offset,
            delay_us=delay_us,
            wait_ms=_wait_ms(state, source),
        )
    )


def _wait_ms(state: state_lib.GateState, source: store_state.Source) -> int:
    """Returns how long a read may wait at the store.

    A read that waits may miss a record without an error (docs/limits.md), so
    that the wait has to leave time for the next one. The first read after a
    failure does not wait: the store may never answer it.
    """
    if state.store_reads[source].failures:
        return 0
    settings = state.settings.store
    assert settings is not None
    return settings.read_wait_ms
