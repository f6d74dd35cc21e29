"""Reading the platform's list of live and leaving hosts."""

from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import leaving
from fireflyspindle.core import membership
from fireflyspindle.core import state as state_lib

PERIOD_US = 1_000_000
# Bytes of the list that one gate host reads in a second, on the average.
BUDGET_BYTES_PER_S = 2_000
# Reads of hosts that started together drift apart by this share.
JITTER_SHARE = 0.2


def start(state: state_lib.GateState) -> None:
    """Asks for the first read."""
    state.emit(effects.ReadHostList(0))


def on_read(state: state_lib.GateState, event: events.HostListRead) -> None:
    """Takes the list in and asks for the next read."""
    state.host_list_reads += 1
    leaving.on_host_list(state, event)
    membership.on_host_list(state, event)
    state.emit(effects.ReadHostList(_delay_us(state, event.size_bytes)))


def _delay_us(state: state_lib.GateState, size_bytes: int) -> int:
    """Returns the time until the next read.

    A long list is read less often, so that the bytes stay within their
    budget; peers pass on what one of them has read.
    """
    interval_us = size_bytes * 1_000_000 // BUDGET_BYTES_PER_S
    jitter = 1.0 - JITTER_SHARE * state.random.random()
    return max(PERIOD_US, int(interval_us * jitter))


def on_read_failed(state: state_lib.GateState) -> None:
    """Keeps what is known and asks for the next read."""
    state.host_list_failures += 1
    state.emit(effects.ReadHostList(PERIOD_US))
