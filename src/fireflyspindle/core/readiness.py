"""Readiness of a gate host to accept calls."""

from fireflyspindle.core import effects
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import store_state
from fireflyspindle.core import timers

MAX_HOST_LIST_FAILURES = 3
# Maximum time for which caller connections wait until a newly started host has
# read the store. Callers abandon a host after 1 s, or after a third of their
# remaining time.
ACCEPT_TIMEOUT_US = 600_000


def start(state: state_lib.GateState) -> None:
    """Starts the timeout after which callers no longer wait for the store."""
    at_us = state.now_us + ACCEPT_TIMEOUT_US
    state.timers.add(at_us, timers.AcceptTimeout())


def accept_callers(state: state_lib.GateState, timed_out: bool = False) -> None:
    """Accepts callers once the store has been read or the timeout expired.

    Args:
        state: State of the gate host.
        timed_out: Whether the timeout has expired.
    """
    if state.accepting_callers or (
        _store_not_ready_reason(state) is not None and not timed_out
    ):
        return
    state.accepting_callers = True
    state.emit(effects.AcceptCallers())


def not_ready_reason(state: state_lib.GateState) -> str | None:
    """Returns why the gate host is not ready, or None if it is ready."""
    if state.stopping:
        return "stopping"
    if state.settings.store is not None:
        return _store_not_ready_reason(state)
    return configuration_not_ready_reason(state) or _host_list_not_ready_reason(
        state
    )


def _store_not_ready_reason(state: state_lib.GateState) -> str | None:
    """Returns what has not been read from the platform's store, or None."""
    if state.rule_table.version is None:
        return "no configuration has been read from the store yet"
    if not state.store_reads[store_state.Source.TARGETS].succeeded:
        return "the targets have not been read from the store yet"
    return None


def _host_list_not_ready_reason(state: state_lib.GateState) -> str | None:
    """Requires one read of the host list, or a few failed attempts.

    A new host knows of no leaving targets before that read. The list may be
    unavailable for a long time, so it doesn't block readiness indefinitely.
    """
    if state.host_list_reads > 0:
        return None
    if state.host_list_failures >= MAX_HOST_LIST_FAILURES:
        return None
    return "the host list has not been read yet"


def configuration_not_ready_reason(state: state_lib.GateState) -> str | None:
    """Returns why the configuration is incomplete; None if complete."""
    config = state.configuration
    if config.complete:
        return None
    if config.lost_before_offset is not None:
        return (
            f"records before offset {config.lost_before_offset} expired in"
            f" the log before this host read them (it is at offset"
            f" {config.next_offset}); waiting for a snapshot or a peer"
        )
    if config.end_offset is None:
        hosts = len(state.membership.members)
        return (
            "neither the log nor a peer has sent the configuration yet;"
            f" {hosts} peers are known"
        )
    return (
        f"the configuration has been read up to offset {config.next_offset}"
        f" of {config.end_offset}"
    )
