"""Evidence, shared by all hosts, against requests that crash targets.

A request is known by its fingerprint, which its copies share. Each crash of a
target while it was in progress is one piece of evidence against it. It is
refused once the hosts together know of `suspects.MIN_CRASHES`. Other requests
that were in progress at these targets are suspected too, until one of their
copies is answered: a request that ran to an answer does not crash targets.

Evidence is withdrawn when the target turns out to be alive, when the request
has not come for some minutes, and `EVIDENCE_LIFETIME_US` after the latest
crash, since the targets may have been fixed by then.
"""

from collections.abc import Iterable
from http import HTTPStatus

from fireflyspindle.core import crash_records
from fireflyspindle.core import crash_state
from fireflyspindle.core import crashing_requests
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import following
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import store_reads
from fireflyspindle.core import store_state
from fireflyspindle.core import suspects
from fireflyspindle.core import target_statements
from fireflyspindle.core import timers

# Time after the latest crash after which a request is tried again even if it
# comes all the time.
EVIDENCE_LIFETIME_US = 3_600_000_000
EXPIRY_INTERVAL_US = 10_000_000
# Time for which a first crash is not reported. Most requests that were in
# progress by chance are answered by another target meanwhile.
REPORT_DELAY_US = 200_000
# Time after a crash from which an answer shows that the target is alive.
ALIVE_MARGIN_US = 1_000_000
# Most requests that are suspected; the oldest are dropped.
MAX_SUSPECTS = 10_000

_NOT_RUN_STATUSES = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
    }
)


def on_crash(
    state: state_lib.GateState,
    service: str,
    start: events.TargetStart,
    fingerprint: str,
) -> None:
    """Adds evidence of this host against a request."""
    suspect = _suspect(state, fingerprint, service)
    if start in suspect.crashes:
        return
    _add_crash(state, fingerprint, suspect, start, state.now_us)
    if len(suspect.crashes) > 1:
        report(state)
    else:
        crash_records.schedule_flush(state, REPORT_DELAY_US)


def report(state: state_lib.GateState) -> None:
    """Writes the evidence of this host to the store."""
    state.crashes.report_scheduled = False
    for fingerprint, suspect in state.crashes.suspects.items():
        for start, crash in suspect.crashes.items():
            if not crash.reported:
                crash.reported = True
                crash_records.write(
                    state,
                    events.CrashKey(fingerprint, start),
                    events.CrashRecord(
                        suspect.service, state.now_us - crash.crashed_us
                    ),
                )
    crash_records.flush(state)


def on_answered(
    state: state_lib.GateState,
    call: state_lib.Call,
    attempt: state_lib.Attempt,
    event: events.AttemptAnswered,
) -> None:
    """Withdraws evidence that an answer of a target refutes."""
    if not state.crashes.suspects:
        return
    start = target_statements.start_of(attempt.target)
    if start is not None and not attempt.relayed:
        on_target_answered(state, start, attempt.started_us)
    ran = (
        not event.not_run
        and event.status < HTTPStatus.INTERNAL_SERVER_ERROR
        and event.status not in _NOT_RUN_STATUSES
    )
    if ran and call.fingerprint in state.crashes.suspects:
        _forget(state, call.fingerprint, "a target ran it to an answer")
        crash_records.flush(state)


def on_target_answered(
    state: state_lib.GateState, start: events.TargetStart, asked_us: int
) -> None:
    """Withdraws evidence of the crash of a target that is alive.

    Args:
        state: State of the gate host.
        start: The target.
        asked_us: Time at which it was sent what it answered.
    """
    if start not in state.crashes.crashed_starts or not start.started_ms:
        # Without the time, another start under the same id can't be told.
        return
    for fingerprint, suspect in list(state.crashes.suspects.items()):
        crash = suspect.crashes.get(start)
        if crash is None or asked_us < crash.crashed_us + ALIVE_MARGIN_US:
            continue
        _remove(state, events.CrashKey(fingerprint, start), crash.reported)
        del suspect.crashes[start]
        _on_withdrawn(
            state, fingerprint, suspect, f"target {start.target_id} is alive"
        )
    crash_records.flush(state)


def on_read(state: state_lib.GateState, event: events.CrashesRead) -> None:
    """Applies records that any gate host wrote."""
    source = store_state.Source.CRASHES
    if not store_reads.should_apply(state, source, event):
        return
    crash_records.on_read(state, event)
    changed = bool(event.records or event.removed)
    previous_offset = state.store_reads[source].next_offset or 0
    store_reads.on_read_succeeded(state, source, event, changed)
    removed = list(event.removed)
    if event.resets_position:
        _mark_unstored(state, _stored_keys(state) - event.records.keys())
    elif event.is_snapshot and event.next_offset >= previous_offset:
        removed += _stored_keys(state) - event.records.keys()
    for key in removed:
        _apply_removal(state, key)
    for key, record in event.records.items():
        if key.start is not None:
            _apply_crash(state, key, key.start, record)
    for key, record in event.records.items():
        suspect = state.crashes.suspects.get(key.fingerprint)
        if key.start is None and suspect is not None:
            repeated_us = state.now_us - record.age_us
            suspect.repeated_us = max(suspect.used_us, repeated_us)
    _expire(state)


def _apply_crash(
    state: state_lib.GateState,
    key: events.CrashKey,
    start: events.TargetStart,
    record: events.CrashRecord,
) -> None:
    suspect = _suspect(state, key.fingerprint, record.service)
    crash = suspect.crashes.get(start)
    if crash is None:
        crashed_us = state.now_us - record.age_us
        crash = _add_crash(state, key.fingerprint, suspect, start, crashed_us)
    crash.reported = True
    crash.stored = True


def _apply_removal(state: state_lib.GateState, key: events.CrashKey) -> None:
    suspect = state.crashes.suspects.get(key.fingerprint)
    if suspect is None or key.start is None:
        return
    if suspect.crashes.pop(key.start, None) is not None:
        _on_withdrawn(state, key.fingerprint, suspect, "its records are gone")


def _mark_unstored(
    state: state_lib.GateState, keys: Iterable[events.CrashKey]
) -> None:
    """Keeps crashes whose records the store has lost with its log."""
    for key in keys:
        suspect = state.crashes.suspects[key.fingerprint]
        assert key.start is not None
        suspect.crashes[key.start].stored = False


def _stored_keys(state: state_lib.GateState) -> set[events.CrashKey]:
    return {
        events.CrashKey(fingerprint, start)
        for fingerprint, suspect in state.crashes.suspects.items()
        for start, crash in suspect.crashes.items()
        if crash.stored
    }


def _suspect(
    state: state_lib.GateState, fingerprint: str, service: str
) -> crash_state.Suspect:
    known = state.crashes.suspects
    if fingerprint not in known:
        known[fingerprint] = crash_state.Suspect(service)
        if len(known) > MAX_SUSPECTS:
            del known[next(iter(known))]
        _schedule_expiry(state)
    return known[fingerprint]


def _add_crash(
    state: state_lib.GateState,
    fingerprint: str,
    suspect: crash_state.Suspect,
    start: events.TargetStart,
    crashed_us: int,
) -> crash_state.Crash:
    """Adds a crash; refuses the request and its waiting copies if due."""
    crash = crash_state.Crash(crashed_us)
    suspect.crashes[start] = crash
    state.crashes.crashed_starts.add(start)
    if len(suspect.crashes) == suspects.MIN_CRASHES:
        _start_refusing(state, fingerprint, suspect)
    return crash


def _start_refusing(
    state: state_lib.GateState,
    fingerprint: str,
    suspect: crash_state.Suspect,
) -> None:
    names = ", ".join(start.target_id for start in suspect.crashes)
    detail = (
        f"{suspect.service}: request {fingerprint} is refused from now on: it"
        f" was in progress when the targets {names} crashed"
    )
    state.emit(effects.WriteLogLine("warning", "request_refused", detail))
    for call in list(state.calls.values()):
        waiting = call.phase is state_lib.CallPhase.WAITING
        if waiting and not call.attempts:
            crashing_requests.refuse(state, call)


def _on_withdrawn(
    state: state_lib.GateState,
    fingerprint: str,
    suspect: crash_state.Suspect,
    reason: str,
) -> None:
    if len(suspect.crashes) == suspects.MIN_CRASHES - 1:
        _log_accepted(state, fingerprint, suspect, reason)
    if not suspect.crashes:
        del state.crashes.suspects[fingerprint]


def _forget(state: state_lib.GateState, fingerprint: str, reason: str) -> None:
    """Withdraws all evidence against a request, for all hosts."""
    suspect = state.crashes.suspects.pop(fingerprint)
    for start, crash in suspect.crashes.items():
        _remove(state, events.CrashKey(fingerprint, start), crash.reported)
    _remove(
        state, events.CrashKey(fingerprint), suspect.repeated_us is not None
    )
    if len(suspect.crashes) >= suspects.MIN_CRASHES:
        _log_accepted(state, fingerprint, suspect, reason)


def _remove(
    state: state_lib.GateState, key: events.CrashKey, written: bool
) -> None:
    if written:
        crash_records.write(state, key, None)


def _log_accepted(
    state: state_lib.GateState,
    fingerprint: str,
    suspect: crash_state.Suspect,
    reason: str,
) -> None:
    detail = (
        f"{suspect.service}: request {fingerprint} is accepted again: {reason};"
        f" this host refused {suspect.refused} copies"
    )
    state.emit(effects.WriteLogLine("info", "request_accepted", detail))


def _schedule_expiry(state: state_lib.GateState) -> None:
    if state.crashes.expiry_scheduled:
        return
    state.crashes.expiry_scheduled = True
    state.timers.add(state.now_us + EXPIRY_INTERVAL_US, timers.CrashExpiryDue())


def on_expiry_due(state: state_lib.GateState) -> None:
    """Removes evidence that is no longer of use."""
    state.crashes.expiry_scheduled = False
    _expire(state)
    known = state.crashes.suspects
    state.crashes.crashed_starts = {
        start for suspect in known.values() for start in suspect.crashes
    }
    if known:
        _schedule_expiry(state)


def _expire(state: state_lib.GateState) -> None:
    """Withdraws old evidence; the primary reader removes its records."""
    for fingerprint, suspect in list(state.crashes.suspects.items()):
        if not suspect.crashes:
            continue
        unused_us = state.now_us - suspect.used_us
        if unused_us > crashing_requests.UNUSED_LIFETIME_US:
            reason = f"it has not come for {unused_us // 1_000_000} s"
        elif state.now_us > suspect.crashed_us + EVIDENCE_LIFETIME_US:
            reason = "the latest crash is too long ago"
        else:
            continue
        if following.is_primary_reader(state):
            _forget(state, fingerprint, reason)
        else:
            del state.crashes.suspects[fingerprint]
            if len(suspect.crashes) >= suspects.MIN_CRASHES:
                _log_accepted(state, fingerprint, suspect, reason)
    crash_records.flush(state)
