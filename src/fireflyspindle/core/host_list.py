"""Reading the platform's list of live and leaving hosts."""

from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import leaving
from fireflyspindle.core import membership
from fireflyspindle.core import state as state_lib

PERIOD_US = 1_000_000


def start(state: state_lib.GateState) -> None:
    """Asks for the first read."""
    state.emit(effects.ReadHostList(0))


def on_read(state: state_lib.GateState, event: events.HostListRead) -> None:
    """Takes the list in and asks for the next read."""
    state.host_list_reads += 1
    leaving.on_host_list(state, event)
    membership.on_host_list(state, event)
    state.emit(effects.ReadHostList(PERIOD_US))


def on_read_failed(state: state_lib.GateState) -> None:
    """Keeps what is known and asks for the next read."""
    state.host_list_failures += 1
    state.emit(effects.ReadHostList(PERIOD_US))
