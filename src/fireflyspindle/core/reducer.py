"""The reducer: applies events to the state and returns effects as data."""

from fireflyspindle.core import admission
from fireflyspindle.core import calls
from fireflyspindle.core import claim_reads
from fireflyspindle.core import claims
from fireflyspindle.core import crash_evidence
from fireflyspindle.core import crash_records
from fireflyspindle.core import deadlines
from fireflyspindle.core import discovery
from fireflyspindle.core import dispatch_queue
from fireflyspindle.core import drain
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import following
from fireflyspindle.core import hedging
from fireflyspindle.core import held_calls
from fireflyspindle.core import helper_list
from fireflyspindle.core import host_count
from fireflyspindle.core import host_list
from fireflyspindle.core import log
from fireflyspindle.core import membership
from fireflyspindle.core import placement
from fireflyspindle.core import probe_slots
from fireflyspindle.core import probing
from fireflyspindle.core import reachability
from fireflyspindle.core import readiness
from fireflyspindle.core import recovery
from fireflyspindle.core import relays
from fireflyspindle.core import snapshot_writer
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import store_reads
from fireflyspindle.core import store_state
from fireflyspindle.core import timers
from fireflyspindle.core.organisations import proof
from fireflyspindle.core.quotas import admission as quota_admission
from fireflyspindle.core.quotas import granter as quota_granter
from fireflyspindle.core.quotas import messages as quota_messages


def start(state: state_lib.GateState, now_us: int) -> list[effects.Effect]:
    """Returns the effects that start a gate host."""
    state.now_us = now_us
    if state.settings.store is not None:
        readiness.start(state)
        store_reads.start(state)
        host_count.start(state)
        return _take_outbox(state)
    recovery.start(state)
    membership.start(state)
    host_list.start(state)
    claim_reads.start(state)
    probe_slots.start(state)
    return _take_outbox(state)


def reduce(
    state: state_lib.GateState, event: events.Event
) -> list[effects.Effect]:
    """Applies one event to the state and returns the effects to carry out.

    The state is updated in place. The times of successive events must not
    decrease. The same events with the same seed give the same effects.
    """
    state.now_us = event.now_us
    next_at_us = state.timers.next_at_us()
    if next_at_us is not None and next_at_us <= state.now_us:
        deadlines.expire_unsent(state)
    _apply(state, event)
    if state.services_with_capacity:
        admission.send_queued(state)
    if state.stopping:
        drain.exit_if_drained(state)
    return _take_outbox(state)


def _apply(state: state_lib.GateState, event: events.Event) -> None:
    match event:
        case events.CallArrived():
            held_calls.on_arrived(state, event)
        case events.AttemptAnswered():
            calls.on_answered(state, event)
        case events.AttemptEnded():
            calls.on_ended(state, event)
        case events.AttemptFailed():
            calls.on_failed(state, event)
        case events.CallerDisconnected():
            held_calls.on_caller_left(state, event)
        case events.TimerFired():
            _fire_timers(state)
        case events.StopRequested():
            drain.on_stop_requested(state, event)
        case _:
            _apply_platform(state, event)


def _apply_platform(state: state_lib.GateState, event: events.Event) -> None:
    match event:
        case events.LogRead():
            log.on_read(state, event)
        case events.LogReadFailed():
            log.on_read_failed(state, event)
        case events.LogReadUnanswered():
            log.on_read_unanswered(state, event)
        case events.HostListRead():
            host_list.on_read(state, event)
        case events.HostListReadFailed():
            host_list.on_read_failed(state)
        case events.HostListReadUnanswered():
            host_list.on_read_unanswered(state)
        case events.PeerMessageReceived():
            membership.on_message(state, event)
        case events.ProbeEnded():
            probing.on_probe_ended(state, event)
        case events.AppendEnded():
            log.on_append_ended(state, event)
        case _:
            _apply_store(state, event)


def _apply_store(state: state_lib.GateState, event: events.Event) -> None:
    match event:
        case events.ConfigurationRead():
            discovery.on_configuration_read(state, event)
            held_calls.on_configuration_read(state)
        case events.TargetsRead():
            discovery.on_targets_read(state, event)
        case events.StoreHistoryDropped(_, source, first_offset):
            store_reads.on_history_dropped(
                state, store_state.Source(source), first_offset
            )
        case events.StoreReadFailed():
            store_reads.on_read_failed(state, event)
            held_calls.on_read_failed(state)
        case events.ReaderConnected():
            following.on_reader_connected(state, event)
        case events.ReaderDisconnected():
            following.on_reader_disconnected(state, event)
        case events.ReadersChanged():
            store_reads.on_readers_changed(state, event)
            quota_granter.on_readers_changed(state)
            host_count.schedule(state)
        case _:
            _apply_fleet(state, event)


def _apply_fleet(state: state_lib.GateState, event: events.Event) -> None:
    match event:
        case events.HostsCounted():
            host_count.on_counted(state, event)
        case events.HostsReported():
            host_count.on_reported(state, event)
        case events.HelpersListed():
            relays.on_helpers_listed(state, event)
        case events.CrashesRead():
            crash_evidence.on_read(state, event)
        case events.CrashesAppended():
            crash_records.on_appended(state, event)
        case events.ConfigurationProofAnswered():
            proof.on_answered(state, event)
        case quota_messages.QuotaPermitsRequested():
            quota_granter.on_requested(state, event)
        case quota_messages.QuotaPermitsReceived():
            quota_admission.on_received(state, event)
        case quota_messages.QuotaRequestFailed():
            quota_admission.on_failed(state, event)
        case _:
            pass


def _fire_timers(state: state_lib.GateState) -> None:
    state.timers.armed_for_us = None
    while (timer := state.timers.pop_due(state.now_us)) is not None:
        match timer:
            case timers.CallDeadline(call_id):
                deadlines.on_deadline(state, call_id)
            case timers.HedgeDue(call_id):
                hedging.on_due(state, call_id)
            case timers.QueueWaitExpired(call_id):
                admission.on_queue_due(state, call_id)
            case timers.HeldCallsDue():
                held_calls.on_due(state)
            case timers.DrainGraceExpired():
                drain.on_grace_expired(state)
            case timers.DrainDeadline():
                drain.on_deadline(state)
            case timers.StopCheckDue():
                drain.on_check_due(state)
            case _:
                _fire_background(state, timer)


def _fire_background(state: state_lib.GateState, timer: timers.Timer) -> None:
    match timer:
        case timers.GossipRoundDue():
            membership.on_due(state)
        case timers.SnapshotCheckDue(number):
            snapshot_writer.on_due(state, number)
        case timers.ProbeCheckDue():
            probing.send_due_probes(state)
        case timers.ClaimsDue():
            claims.on_timer(state)
        case timers.ProbeRoundTimeout(call_id, round_id):
            placement.on_round_timeout(state, call_id, round_id)
        case timers.DispatchDue(service):
            dispatch_queue.on_dispatch_due(state, service)
        case timers.DispatchWaitExpired(call_id):
            dispatch_queue.on_wait_expired(state, call_id)
        case timers.ReachabilityCheckDue():
            reachability.on_check_due(state)
        case timers.HelperListDue():
            helper_list.on_due(state)
        case _:
            _fire_store(state, timer)


def _fire_store(state: state_lib.GateState, timer: timers.Timer) -> None:
    match timer:
        case timers.ReregistrationGraceExpired():
            discovery.on_reregistration_grace_expired(state)
        case timers.AcceptTimeout():
            readiness.accept_callers(state, timed_out=True)
        case timers.FollowCheckDue():
            store_reads.on_follow_check_due(state)
        case timers.HostCountDue():
            host_count.on_due(state)
        case timers.ConfigurationProofDue():
            store_reads.on_configuration_proof_due(state)
        case timers.CrashReportDue():
            crash_evidence.report(state)
        case timers.CrashExpiryDue():
            crash_evidence.on_expiry_due(state)
        case timers.QuotaWaitExpired(call_id):
            quota_admission.on_wait_expired(state, call_id)
        case timers.QuotaCheckDue():
            quota_admission.on_check_due(state)
        case _:
            pass


def _drop_stale_timers(state: state_lib.GateState) -> None:
    """Drops timers of ended calls from the head of the queue.

    Most calls end long before their deadline. Dropping their timers keeps the
    queue about as long as the number of calls in flight.
    """
    while True:
        match state.timers.first():
            case (
                timers.CallDeadline(call_id)
                | timers.HedgeDue(call_id)
                | timers.QueueWaitExpired(call_id)
                | timers.ProbeRoundTimeout(call_id)
                | timers.DispatchWaitExpired(call_id)
                | timers.QuotaWaitExpired(call_id)
            ):
                if call_id in state.calls:
                    return
                state.timers.drop_first()
            case _:
                return


def _take_outbox(state: state_lib.GateState) -> list[effects.Effect]:
    _drop_stale_timers(state)
    next_at_us = state.timers.next_at_us()
    armed_for_us = state.timers.armed_for_us
    if next_at_us is not None:
        if (
            armed_for_us is None
            or next_at_us < armed_for_us
            or state.timers.is_lost(state.now_us)
        ):
            state.timers.armed_for_us = next_at_us
            state.timers.armed_us = state.now_us
            state.emit(effects.SetTimer(next_at_us))
    taken_effects = state.outbox
    state.outbox = []
    return taken_effects
