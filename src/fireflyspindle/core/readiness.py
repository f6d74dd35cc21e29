"""Whether a gate host may take calls, and why not."""

from fireflyspindle.core import state as state_lib

MAX_HOST_LIST_FAILURES = 3


def not_ready_reason(state: state_lib.GateState) -> str | None:
    """Returns why a gate host takes no calls, or None when it does."""
    if state.stopping:
        return "stopping"
    return configuration_gap(state) or _host_list_gap(state)


def _host_list_gap(state: state_lib.GateState) -> str | None:
    """Asks for the list once, since a new host knows of no leaving target.

    The platform's list may be down for long, so a few failures are enough.
    """
    if state.host_list_reads > 0:
        return None
    if state.host_list_failures >= MAX_HOST_LIST_FAILURES:
        return None
    return "the host list has not been read yet"


def configuration_gap(state: state_lib.GateState) -> str | None:
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
