"""Polls the platform's list of live and leaving hosts."""

from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import leaving
from fireflyspindle.core import membership
from fireflyspindle.core import state as state_lib

PERIOD_US = 1_000_000
# Maximum average rate at which one gate host reads the list.
BUDGET_BYTES_PER_S = 2_000
# A leaving target must be noticed within seconds, so that a lost connection
# costs one interval; a list that takes up to the limit still arrives.
READ_LIMITS = effects.ReadLimits(
    repeat_after_us=2_000_000,
    retry_after_us=PERIOD_US,
    limit_us=60_000_000,
)
# Spreads the reads of hosts that start together.
JITTER_SHARE = 0.2


def start(state: state_lib.GateState) -> None:
    """Requests the first read."""
    state.emit(effects.ReadHostList(0, READ_LIMITS))


def on_read(state: state_lib.GateState, event: events.HostListRead) -> None:
    """Applies the list and schedules the next read."""
    state.host_list_reads += 1
    leaving.on_host_list(state, event)
    membership.on_host_list(state, event)
    delay_us = _delay_us(state, event.size_bytes)
    state.emit(effects.ReadHostList(delay_us, READ_LIMITS))


def _delay_us(state: state_lib.GateState, size_bytes: int) -> int:
    """Returns the time until the next read.

    A long list is read less often to stay within the byte budget; hosts also
    learn of leaving targets from peers.
    """
    interval_us = size_bytes * 1_000_000 // BUDGET_BYTES_PER_S
    jitter = 1.0 - JITTER_SHARE * state.random.random()
    return max(PERIOD_US, int(interval_us * jitter))


def on_read_failed(state: state_lib.GateState) -> None:
    """Keeps the last list and schedules the next read."""
    state.host_list_failures += 1
    state.emit(effects.ReadHostList(PERIOD_US, READ_LIMITS))


def on_read_unanswered(state: state_lib.GateState) -> None:
    """Counts a late read as a failure, though its answer still counts."""
    state.host_list_failures += 1
