"""Writes to the store what this host learns of requests that crash targets.

Every gate host reads these records, so that crashes under copies of a request
are counted over all hosts, and a host that starts knows them too. Writes that
fail are repeated; a record that is written twice is the same record. A write
whose response is late or lost may have been carried out: what is read from the
store is not written again.
"""

from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import timers

# Backoff between failed writes. The longest pause leaves time for a record to
# reach all hosts within 3 s of the store's return (`contact-ms`).
INITIAL_BACKOFF_US = 100_000
MAX_BACKOFF_US = 800_000
# Share of a pause that is random, so that hosts don't all write at once.
BACKOFF_JITTER = 0.5
# Most records in one write, and most that wait to be written.
MAX_RECORDS_PER_APPEND = 200
MAX_UNSENT = 2_000
# Records state times in whole milliseconds.
TIME_RESOLUTION_US = 1_000


def write(
    state: state_lib.GateState,
    key: events.CrashKey,
    record: events.CrashRecord | None,
) -> None:
    """Queues a record, or the removal of one; `flush` sends them."""
    unsent = state.crashes.unsent
    unsent.pop(key, None)
    unsent[key] = record
    if len(unsent) > MAX_UNSENT:
        del unsent[next(iter(unsent))]


def flush(state: state_lib.GateState) -> None:
    """Sends the queued records, unless a write is in progress."""
    crashes = state.crashes
    if crashes.in_flight or not crashes.unsent:
        return
    if state.now_us < crashes.append_paused_until_us:
        return
    for key in list(crashes.unsent)[:MAX_RECORDS_PER_APPEND]:
        crashes.in_flight[key] = crashes.unsent.pop(key)
    crashes.last_append_id += 1
    state.emit(
        effects.AppendCrashes(crashes.last_append_id, dict(crashes.in_flight))
    )


def on_appended(
    state: state_lib.GateState, event: events.CrashesAppended
) -> None:
    """Continues with the next records, or retries after a pause."""
    crashes = state.crashes
    if event.append_id != crashes.last_append_id:
        return
    sent, crashes.in_flight = crashes.in_flight, {}
    if not event.error:
        crashes.append_failures = 0
        crashes.append_paused_until_us = 0
        flush(state)
        return
    crashes.unsent = sent | crashes.unsent
    crashes.append_failures += 1
    if crashes.append_failures == 1:
        detail = f"crashes can't be written to the store: {event.error}"
        state.emit(effects.WriteLogLine("warning", "crashes_unsent", detail))
    pause_us = INITIAL_BACKOFF_US << min(crashes.append_failures - 1, 10)
    jitter = 1 - BACKOFF_JITTER * state.random.random()
    delay_us = int(min(pause_us, MAX_BACKOFF_US) * jitter)
    crashes.append_paused_until_us = state.now_us + delay_us
    schedule_flush(state, delay_us)


def on_read(state: state_lib.GateState, event: events.CrashesRead) -> None:
    """Drops what a failed write has brought into the store all the same."""
    crashes = state.crashes
    for queued in (crashes.unsent, crashes.in_flight):
        for key, record in event.records.items():
            if queued.get(key) is not None and _is_recent(state, key, record):
                del queued[key]
        for key in event.removed:
            if key in queued and queued[key] is None:
                del queued[key]


def _is_recent(
    state: state_lib.GateState,
    key: events.CrashKey,
    record: events.CrashRecord,
) -> bool:
    """Whether a stored record is no older than what this host would write.

    A crash happens once; a repetition of its request is written again later.
    """
    suspect = state.crashes.suspects.get(key.fingerprint)
    if key.start is not None or suspect is None:
        return True
    repeated_us = suspect.repeated_us or 0
    return state.now_us - record.age_us >= repeated_us - TIME_RESOLUTION_US


def schedule_flush(state: state_lib.GateState, delay_us: int) -> None:
    """Schedules a write, unless one is scheduled."""
    if state.crashes.report_scheduled:
        return
    state.crashes.report_scheduled = True
    state.timers.add(state.now_us + delay_us, timers.CrashReportDue())
