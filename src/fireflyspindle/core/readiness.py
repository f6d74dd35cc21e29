"""Whether a gate host may take calls, and why not."""

from fireflyspindle.core import effects
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import store_state
from fireflyspindle.core import timers

MAX_HOST_LIST_FAILURES = 3
# Time for which the connections of callers wait for a host that has just
# started to read the store. The users' callers give a host up after a second,
# or a third of the time that they have left.
ACCEPT_WITHIN_US = 600_000


def start(state: state_lib.GateState) -> None:
    """Lets callers wait until the first reads of the store are done."""
    at_us = state.now_us + ACCEPT_WITHIN_US
    state.timers.add(at_us, timers.AcceptDue())


def accept_callers(state: state_lib.GateState, due: bool = False) -> None:
    """Accepts callers once the store was read, or when they waited long."""
    if state.accepting or (
        _store_not_ready_reason(state) is not None and not due
    ):
        return
    state.accepting = True
    state.emit(effects.AcceptCallers())


def not_ready_reason(state: state_lib.GateState) -> str | None:
    """Returns why a gate host takes no calls, or None when it does."""
    if state.stopping:
        return "stopping"
    if state.settings.store is not None:
        return _store_not_ready_reason(state)
    return configuration_not_ready_reason(state) or _host_list_not_ready_reason(
        state
    )


def _store_not_ready_reason(state: state_lib.GateState) -> str | None:
    """Returns what this host lacks of the platform's store, or None."""
    if state.rules.version is None:
        return "no configuration has been read from the store yet"
    if not state.store_reads[store_state.Source.TARGETS].succeeded:
        return "the targets have not been read from the store yet"
    return None


def _host_list_not_ready_reason(state: state_lib.GateState) -> str | None:
    """Asks for the list once, since a new host knows of no leaving target.

    The platform's list may be down for long, so a few failures are enough.
    """
    if state.host_list_reads > 0:
        return None
    if state.host_list_failures >= MAX_HOST_LIST_FAILURES:
        return None
    return "the host list has not been read yet"


def configuration_not_ready_reason(state: state_lib.GateState) -> str | None:
    """Returns what this host lacks of the configuration, or None."""
    config = state.configuration
    if config.complete:
        return None
    if config.lost_before_offset is not None:
        return (
            f"records before offset {config.lost_before_offset} expired in"
            f" the log before this host read them (it is at"
            f" {config.next_offset}); it waits for a snapshot or a peer"
        )
    if config.known_offset is None:
        hosts = len(state.membership.members)
        return (
            "neither the log nor a peer has told the configuration yet;"
            f" {hosts} peers were heard"
        )
    return (
        f"the configuration is read up to offset {config.next_offset} of"
        f" {config.known_offset}"
    )
