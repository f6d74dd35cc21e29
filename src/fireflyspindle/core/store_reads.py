"""Scheduling of reads of the platform's store, and handling of failures.

Reads long-poll the store, so that an idle fleet costs few requests. After a
change the next read is delayed, so that one read returns a burst of changes;
the delay is shorter, by a margin, than the time limit for applying a change.

An offset holds for one run of the store's log only. A host that relies on its
own reads lists the whole source after a failed read, over a new connection and
from time to time, and takes the position of the listing if it contradicts what
was read before (`adapters/store_records.py`). A host that relies on a reader
compares digests with it, and requests all records if they differ.
"""

from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import following
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import store_state
from fireflyspindle.core.organisations import proof

# Backoff between failed reads. The first pause is short, because most failures
# affect only a single connection. The longest pause with its jitter, plus a
# read that times out after 1.2 s, stays below 3 s: the time limits for changes
# apply again that long after the store is back (`contact-ms`). A read that
# waits at the store times out later, so only short pauses follow it.
INITIAL_BACKOFF_US = 100_000
MAX_BACKOFF_US = 1_400_000
# Pause before reads that were suspended in an outage resume because a reader
# relays a successful read: it usually relays the other sources as well.
RELAYED_RESUME_DELAY_US = 100_000
# Shortest time without a successful read in which entries of targets may have
# expired: a target writes its entry every 1.5 s (`heartbeat-ms`), and the entry
# lasts for three such intervals. Readers may report failures of their own for
# longer, while the reads of this host succeed.
MIN_OUTAGE_US = 1_500_000
# Time after which a host that relies on its own reads lists the whole source
# again, although its reads succeed over connections that stay open: a proxy
# before the store may hide that it has started anew. At 1,000 targets a listing
# has 350 kB, and a host may spend 6 kB/s for control.
LISTING_INTERVAL_US = 60_000_000
# Time in which a reader that differs again is not asked again; this host then
# reads the store.
DIFFERENCE_RETRY_US = 5_000_000
# Share of each pause that is random, so that the hosts of a fleet don't all
# retry at the same moment after an outage.
BACKOFF_JITTER = 0.5


def start(state: state_lib.GateState) -> None:
    """Starts reading every source, from the store or from a reader."""
    for source in store_state.Source:
        state.store_reads[source] = store_state.SourceReads()
    following.start(state)
    _start_own_reads(state)


def on_follow_check_due(state: state_lib.GateState) -> None:
    """Checks the stream of the followed reader."""
    next_check_us = state.following.next_check_us
    if next_check_us is None or state.now_us < next_check_us:
        # Stale timer: an earlier check was scheduled after it and has run.
        return
    state.following.next_check_us = None
    _start_own_reads(state)
    following.check_stream(state)


def on_configuration_proof_due(state: state_lib.GateState) -> None:
    """Asks for a proof of the configuration, or reads the store for one."""
    proof.on_due(state)
    _start_own_reads(state)


def on_readers_changed(
    state: state_lib.GateState, event: events.ReadersChanged
) -> None:
    """Handles a new list of readers."""
    following.on_readers_changed(state, event)
    _start_own_reads(state)


def _start_own_reads(state: state_lib.GateState) -> None:
    for source, reads in state.store_reads.items():
        if reads.pending or (reads.suspended and _retried(state)):
            continue
        if following.must_read_store(state, source):
            _schedule_read(state, source, 0)


def should_apply(
    state: state_lib.GateState,
    source: store_state.Source,
    event: events.StoreRead,
) -> bool:
    """Returns whether to apply a read.

    If records are missing before a relayed read, this host reads the store.
    """
    reads = state.store_reads[source]
    relayed = event.relayed
    if relayed is None:
        if event.late_start_us is None or event.resets_position:
            return True
        return event.next_offset >= (reads.next_offset or 0)
    if not following.is_current_stream(state, relayed):
        return False
    if relayed.differs:
        _on_differing_records(state, source)
        return False
    if (reads.next_offset or 0) >= relayed.from_offset:
        return True
    if not reads.has_relay_gap:
        _log_relay_gap(state, source, relayed)
    reads.has_relay_gap = True
    if not reads.pending or _is_delayed(state, reads):
        # The reader's success shows that the store answers, so the pause after
        # a failed read no longer serves a purpose.
        _schedule_read(state, source, 0)
    if reads.failures:
        following.request_all_records(state)
    return False


def _on_differing_records(
    state: state_lib.GateState, source: store_state.Source
) -> None:
    """Requests all records, because those read so far are of another log."""
    reads = state.store_reads[source]
    differed_us = reads.differed_us
    reads.differed_us = state.now_us
    reads.has_relay_gap = True
    detail = (
        f"{source.value}: the reader holds other records up to offset"
        f" {reads.next_offset or 0}; requesting all of them"
    )
    state.emit(effects.WriteLogLine("warning", "reader_differs", detail))
    reads.next_offset = None
    reads.first_offset = 0
    if differed_us is None or state.now_us >= differed_us + DIFFERENCE_RETRY_US:
        following.restart_stream(state)
    elif not reads.pending or _is_delayed(state, reads):
        _schedule_read(state, source, 0)


def _is_delayed(
    state: state_lib.GateState, reads: store_state.SourceReads
) -> bool:
    """Whether a read by this host is scheduled but has not started."""
    return reads.pending and reads.scheduled_us > state.now_us


def _log_relay_gap(
    state: state_lib.GateState,
    source: store_state.Source,
    relayed: events.RelayedRead,
) -> None:
    reads = state.store_reads[source]
    next_read = "a read of the store starts now"
    if reads.pending and not _is_delayed(state, reads):
        next_read = "a read of the store is in progress"
    detail = (
        f"{source.value}: the reader omitted the records from offset"
        f" {reads.next_offset or 0} to {relayed.from_offset}; {next_read}"
    )
    state.emit(effects.WriteLogLine("info", "store_records_omitted", detail))


def on_read_succeeded(
    state: state_lib.GateState,
    source: store_state.Source,
    event: events.StoreRead,
    changed: bool,
) -> None:
    """Handles a successful read and schedules the next one.

    Args:
        state: State of the gate host.
        source: What was read.
        event: The read.
        changed: Whether the read returned anything.
    """
    reads = state.store_reads[source]
    previous_offset = reads.next_offset
    if event.resets_position:
        _on_position_reset(state, source, event)
    else:
        reads.next_offset = max(event.next_offset, previous_offset or 0)
    reads.has_relay_gap = False
    _record_completeness(state, source, event)
    if event.relayed is not None:
        _on_relayed_read(state, source, event.relayed)
        return
    reads.succeeded = True
    reads.pending = False
    if event.is_snapshot:
        reads.listed_us = reads.own_read_start_us(event)
    _record_success(state, source, state.now_us)
    following.on_own_read_succeeded(state)
    _resume_suspended_reads(state, 0)
    if not following.must_read_store(state, source):
        return
    settings = state.settings.store
    assert settings is not None
    delay_us = 0
    if changed and event.is_complete and reads.next_offset != previous_offset:
        spacing_ms = settings.min_read_interval_ms
        if state.following.is_reader:
            spacing_ms = min(spacing_ms, following.READER_READ_SPACING_MS)
        started_us = reads.own_read_start_us(event)
        delay_us = spacing_ms * 1000 - (state.now_us - started_us)
    _schedule_read(state, source, max(0, delay_us))


def _on_position_reset(
    state: state_lib.GateState,
    source: store_state.Source,
    event: events.StoreRead,
) -> None:
    """Takes the position in another log than the one read before."""
    reads = state.store_reads[source]
    detail = (
        f"{source.value}: the store's log has started anew; continuing at"
        f" offset {event.next_offset}"
    )
    state.emit(effects.WriteLogLine("warning", "store_log_reset", detail))
    reads.next_offset = event.next_offset
    # What the store has lost may be written again, as after an outage.
    reads.recovered_us = state.now_us


def _record_completeness(
    state: state_lib.GateState,
    source: store_state.Source,
    event: events.StoreRead,
) -> None:
    """Records up to which time a successful read returned every record.

    That is the start of the read, for a relayed one the earliest possible. A
    read may wait, miss a record meanwhile (docs/limits.md), and its response
    may be read late by a frozen host. A read that the store cut tells nothing
    of the records behind its end.
    """
    reads = state.store_reads[source]
    reads.has_unread_records = not event.is_complete
    if not event.is_complete:
        return
    settings = state.settings.store
    assert settings is not None
    if event.relayed is None:
        started_us = reads.own_read_start_us(event)
    else:
        taken_us = settings.wait_us(source) + event.relayed.delay_us
        started_us = state.now_us - event.relayed.age_us - taken_us
    previous_us = reads.complete_until_us
    if previous_us is None or previous_us < started_us:
        reads.complete_until_us = started_us


def complete_until_us(
    state: state_lib.GateState, source: store_state.Source
) -> int:
    """Returns the time up to which every record of a source is known.

    A read that reached the end of the source must have succeeded.
    """
    complete_us = state.store_reads[source].complete_until_us
    assert complete_us is not None
    return complete_us


def is_up_to_date(
    state: state_lib.GateState,
    source: store_state.Source,
    now_us: int | None = None,
) -> bool:
    """Whether this host has read what it has to know by now.

    That is every record that is older than the time limit for changes. It is
    not up to date either while it lacks records that a reader has left out or
    that the store did not send yet, or the newest of which it can't decode.

    Args:
        state: State of the gate host.
        source: A source of which a read has succeeded.
        now_us: Monotonic time, if it is not that of the latest event.
    """
    settings = state.settings.store
    assert settings is not None
    reads = state.store_reads[source]
    if (
        reads.has_relay_gap
        or reads.has_unread_records
        or reads.has_undecodable_record
    ):
        return False
    if now_us is None:
        now_us = state.now_us
    age_us = now_us - complete_until_us(state, source)
    return age_us <= settings.apply_limit_ms * 1000


def _record_success(
    state: state_lib.GateState, source: store_state.Source, ended_us: int
) -> None:
    """Records a successful read of a source, which ended at a time."""
    reads = state.store_reads[source]
    succeeded_us = reads.succeeded_us
    reads.succeeded_us = max(ended_us, succeeded_us or ended_us)
    if reads.failures:
        if succeeded_us is None or ended_us >= succeeded_us + MIN_OUTAGE_US:
            reads.recovered_us = state.now_us
        detail = (
            f"{source.value}: the store answers again after {reads.failures}"
            f" failed reads in"
            f" {(state.now_us - reads.failing_since_us) // 1000} ms; read up to"
            f" offset {reads.next_offset or 0}"
        )
        state.emit(effects.WriteLogLine("info", "store_regained", detail))
    reads.failures = 0


def _on_relayed_read(
    state: state_lib.GateState,
    source: store_state.Source,
    relayed: events.RelayedRead,
) -> None:
    """Handles a relayed read, which replaces a read by this host."""
    reads = state.store_reads[source]
    reads.relayed_us = state.now_us - relayed.age_us
    state.following.failure_reported_us = None
    state.following.silent_readers = 0
    state.following.has_reported = True
    if not following.is_primary_reader(state):
        reads.succeeded = True
        _record_success(state, source, reads.relayed_us)
        reads.suspended = False
        if reads.pending and not following.must_read_store(state, source):
            reads.pending = False
            state.emit(effects.CancelStoreRead(source.value))
        _resume_suspended_reads(state, RELAYED_RESUME_DELAY_US)
        following.on_relayed_read_succeeded(state)
    following.schedule_check(state)


def _resume_suspended_reads(state: state_lib.GateState, delay_us: int) -> None:
    """Reads the sources whose reads were suspended during an outage."""
    for source, reads in state.store_reads.items():
        if reads.suspended:
            reads.suspended = False
            if following.must_read_store(state, source):
                _schedule_read(state, source, delay_us)


def on_history_dropped(
    state: state_lib.GateState, source: store_state.Source, first_offset: int
) -> None:
    """Reads the whole source, because the store has dropped older records."""
    reads = state.store_reads[source]
    reads.next_offset = None
    reads.first_offset = first_offset
    detail = (
        f"{source.value}: the store dropped records; reading the whole source"
    )
    state.emit(effects.WriteLogLine("info", "store_history_dropped", detail))
    _schedule_read(state, source, 0)
    _resume_suspended_reads(state, 0)


def on_read_failed(
    state: state_lib.GateState, event: events.StoreReadFailed
) -> None:
    """Handles a failed read and schedules another after a pause."""
    source = store_state.Source(event.source)
    if event.relayed is not None:
        if following.is_current_stream(state, event.relayed):
            _on_relayed_failure(state, source, event.reason, event.relayed)
        return
    reads = state.store_reads[source]
    reads.pending = False
    _log_first_failure(state, source, event.reason)
    reads.failures += 1
    if reads.has_relay_gap:
        following.request_all_records(state)
    if reads.failures > 1:
        following.on_own_reads_failing(state)
    if event.is_answered:
        # The store answers, so that the failure is one of this source alone.
        _resume_suspended_reads(state, 0)
    elif reads.failures > 1 and (retried := _retried(state)):
        # Retries of one source suffice to detect that the store is back.
        _suspend(state, source)
        names = " or ".join(other.value for other in retried)
        next_read = f"after a read of {names}"
        _log_retry(state, source, event.reason, next_read)
        return
    delay_us = _retry_delay_us(state, reads)
    # The sources take turns: the reads of one may fail for a reason of its own
    # when the store is back.
    next_source = _longest_suspended(state) or source
    if next_source is not source:
        _suspend(state, source)
    elif not following.must_read_store(state, source):
        return
    start = f"in {delay_us // 1000} ms"
    if next_source is not source:
        start = f"after a read of {next_source.value}, which starts {start}"
    _log_retry(state, source, event.reason, start)
    _schedule_read(state, next_source, delay_us)


def _retry_delay_us(
    state: state_lib.GateState, reads: store_state.SourceReads
) -> int:
    """Returns the pause after a failed read of a source."""
    pause_us = INITIAL_BACKOFF_US << min(reads.failures - 1, 10)
    if following.reader_reports_failures(state) and not reads.wait_ms:
        # The store itself is away. The pause is no longer than any other: the
        # reader may stay cut off when the store is back.
        pause_us = MAX_BACKOFF_US
    jitter = 1 + BACKOFF_JITTER * (state.random.random() - 0.5)
    return int(min(MAX_BACKOFF_US, pause_us) * jitter)


def _retried(state: state_lib.GateState) -> list[store_state.Source]:
    """Returns the failing sources whose next read does not wait."""
    return [
        source
        for source, reads in state.store_reads.items()
        if reads.failures and reads.pending and not reads.wait_ms
    ]


def _suspend(state: state_lib.GateState, source: store_state.Source) -> None:
    reads = state.store_reads[source]
    reads.suspended = True
    reads.suspended_us = state.now_us


def _longest_suspended(
    state: state_lib.GateState,
) -> store_state.Source | None:
    """Returns the source that has been suspended for longest, or None."""
    suspended = [
        source
        for source, reads in state.store_reads.items()
        if reads.suspended and following.must_read_store(state, source)
    ]
    return min(
        suspended,
        key=lambda source: state.store_reads[source].suspended_us,
        default=None,
    )


def _on_relayed_failure(
    state: state_lib.GateState,
    source: store_state.Source,
    reason: str,
    relayed: events.RelayedRead,
) -> None:
    """Handles a failed read of the reader."""
    reads = state.store_reads[source]
    state.following.has_reported = True
    if reads.succeeded_us is not None:
        if state.now_us - relayed.age_us < reads.succeeded_us:
            # A new stream starts with the latest outcome, which may be old.
            return
    state.following.failure_reported_us = state.now_us
    if following.is_primary_reader(state):
        return
    _log_first_failure(state, source, f"reported by the reader: {reason}")
    # Marks the source as failing; only this host's own failed reads add to the
    # count.
    reads.failures = max(1, reads.failures)


def _log_first_failure(
    state: state_lib.GateState, source: store_state.Source, reason: str
) -> None:
    reads = state.store_reads[source]
    if reads.failures:
        return
    reads.failing_since_us = state.now_us
    detail = f"{source.value}: a read of the store failed: {reason}"
    state.emit(effects.WriteLogLine("warning", "store_lost", detail))


def _log_retry(
    state: state_lib.GateState,
    source: store_state.Source,
    reason: str,
    next_read: str,
) -> None:
    detail = (
        f"{source.value}: read {state.store_reads[source].failures} of the"
        f" store failed: {reason}; the next read starts {next_read}"
    )
    state.emit(effects.WriteLogLine("info", "store_retry", detail))


def _schedule_read(
    state: state_lib.GateState, source: store_state.Source, delay_us: int
) -> None:
    reads = state.store_reads[source]
    reads.scheduled_us = state.now_us + delay_us
    reads.pending = True
    reads.suspended = False
    reads.wait_ms = _wait_ms(state, source)
    from_offset = reads.next_offset
    first_offset = reads.first_offset
    relies_on_own_reads = following.must_read_store(state, source)
    if from_offset is not None and (
        reads.failures
        or (relies_on_own_reads and _is_listing_due(state, reads))
    ):
        from_offset = None
        first_offset = 0
    state.emit(
        effects.ReadStore(
            source=source.value,
            from_offset=from_offset,
            first_offset=first_offset,
            delay_us=delay_us,
            wait_ms=reads.wait_ms,
            lists_over_new_connection=relies_on_own_reads,
        )
    )


def _is_listing_due(
    state: state_lib.GateState, reads: store_state.SourceReads
) -> bool:
    """Whether this host has not listed a source for long."""
    if reads.listed_us is None:
        return True
    return reads.scheduled_us >= reads.listed_us + LISTING_INTERVAL_US


def _wait_ms(state: state_lib.GateState, source: store_state.Source) -> int:
    """Returns how long a read may long-poll the store.

    A waiting read may miss a record without an error (docs/limits.md), so the
    wait has to leave time for the next read. The first read after a failure
    does not wait, because the store may never answer it.
    """
    if state.store_reads[source].failures:
        return 0
    if proof.needs_own_read(state, source):
        return 0
    if state.held_calls.since_us is not None:
        # Calls wait for what the read tells.
        return 0
    settings = state.settings.store
    assert settings is not None
    return settings.wait_us(source) // 1000
