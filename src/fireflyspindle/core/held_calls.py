"""Calls that arrive at a host that stood still, held until a read has told.

After a host was suspended or starved, it finds requests in its sockets that
were sent while a newer version was in force. It reads them before the store or
its reader has told it of that version, and would run them by the old one. Such
a host knows that its configuration is older than the limit for changes, and of
no failed read. It holds the calls until a read shows that it is up to date.

A host whose reads are known to fail holds nothing: it can't expect to learn
more, and an outage of the store must not delay callers. For the same reason a
host that has held calls in vain holds none until it is up to date again.
"""

from fireflyspindle.core import answers
from fireflyspindle.core import calls
from fireflyspindle.core import destinations
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import held_state
from fireflyspindle.core import refusals
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import store_state
from fireflyspindle.core import timers
from fireflyspindle.core import unproven_calls

_SOURCE = store_state.Source.CONFIGURATION

# Longest time for which calls are held. Resumed processes sent calls by the old
# version for up to 98 ms; at a silent store callers wait in vain.
MAX_HOLD_US = 150_000
# Calls that are held at a time, as many as may wait for permits of a quota. A
# host sees a few requests a second, so that more are a flood.
MAX_HELD_CALLS = 500


def on_arrived(state: state_lib.GateState, event: events.CallArrived) -> None:
    """Holds a call, or lets it be admitted."""
    held = state.held_calls
    if held.since_us is None and not _must_hold(state):
        calls.on_arrived(state, event)
        return
    if len(held.calls) >= MAX_HELD_CALLS:
        detail = (
            f"{MAX_HELD_CALLS} calls wait until this host knows whether version"
            f" {state.rule_table.version} is the newest"
        )
        refusal = refusals.Refusal(503, "configuration_outdated", detail)
        answers.refuse_unrouted(state, event, refusal)
        return
    if held.since_us is None:
        held.since_us = state.now_us
        state.timers.add(state.now_us + MAX_HOLD_US, timers.HeldCallsDue())
    held.count += 1
    held.total += 1
    deadline_us = destinations.deadline_us(state, event)
    held.calls[event.call_id] = held_state.HeldCall(event, deadline_us)
    if deadline_us is not None and deadline_us < held.since_us + MAX_HOLD_US:
        state.timers.add(deadline_us, timers.HeldCallsDue())


def _must_hold(state: state_lib.GateState) -> bool:
    """Whether a read may tell soon that there is a newer configuration."""
    if state.settings.store is None or state.rule_table.version is None:
        return False
    if state.store_reads[_SOURCE].failures or state.held_calls.in_vain:
        return False
    age_us = unproven_calls.age_us(state)
    if age_us is None or not state.listening:
        return False
    return age_us > unproven_calls.age_limit_us(state)


def on_caller_left(
    state: state_lib.GateState, event: events.CallerDisconnected
) -> None:
    """Drops a held call whose caller has left."""
    held = state.held_calls.calls.pop(event.call_id, None)
    if held is None:
        calls.on_caller_left(state, event)
        return
    answers.finish_unrouted(
        state, held.event, effects.Outcome.NOT_RUN, "caller_left"
    )


def on_configuration_read(state: state_lib.GateState) -> None:
    """Admits the held calls once a read shows that this host is up to date."""
    age_us = unproven_calls.age_us(state)
    if age_us is not None and age_us <= unproven_calls.age_limit_us(state):
        state.held_calls.in_vain = False
        _end(state, "a read has shown the newest version")


def on_read_failed(state: state_lib.GateState) -> None:
    """Admits the held calls once reads of the configuration fail."""
    if state.store_reads[_SOURCE].failures:
        _give_up(state, "a read has failed")


def on_due(state: state_lib.GateState) -> None:
    """Admits the held calls after the longest hold, some at their deadline."""
    held = state.held_calls
    if held.since_us is None:
        return
    if state.now_us >= held.since_us + MAX_HOLD_US:
        _give_up(state, "no read has succeeded in time")
        return
    expired = [
        call.event
        for call in held.calls.values()
        if call.deadline_us is not None and call.deadline_us <= state.now_us
    ]
    for event in expired:
        del held.calls[event.call_id]
        calls.on_arrived(state, event)


def on_listening_ended(state: state_lib.GateState) -> None:
    """Refuses the held calls of a host that takes no more calls."""
    _end(state, "this host stops")


def _give_up(state: state_lib.GateState, reason: str) -> None:
    if state.held_calls.since_us is not None:
        state.held_calls.in_vain = True
        _end(state, reason)


def _end(state: state_lib.GateState, reason: str) -> None:
    """Ends a hold: its calls are admitted in the order of their arrival."""
    held = state.held_calls
    if held.since_us is None:
        return
    detail = (
        f"{held.count} calls were held, for up to"
        f" {(state.now_us - held.since_us) // 1000} ms: {reason}"
    )
    state.emit(effects.WriteLogLine("info", "calls_held", detail))
    released = list(held.calls.values())
    held.calls.clear()
    held.since_us = None
    held.count = 0
    for call in released:
        calls.on_arrived(state, call.event)
