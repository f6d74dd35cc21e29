"""Which gate hosts have a configuration offset in force."""

from fireflyspindle.core import state as state_lib


def by_host(state: state_lib.GateState, offset: int) -> dict[str, bool]:
    """Returns for each gate host whether it folded the record at `offset`.

    This host, the hosts heard lately and the hosts of the platform's list
    count; a host that was listed and not heard has not told, so it counts as
    not having it.
    """
    mine = state.configuration.next_offset > offset
    return {state.settings.host_id: mine}
