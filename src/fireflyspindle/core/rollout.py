"""Tracks which gate hosts have applied a configuration record."""

from fireflyspindle.core import members
from fireflyspindle.core import peer_sender
from fireflyspindle.core import peers
from fireflyspindle.core import state as state_lib

POLLS_PER_ROUND = 16


def lagging_hosts(
    state: state_lib.GateState, next_offset: int
) -> dict[str, int | None]:
    """Returns the hosts that have not yet reached an offset.

    Args:
        state: State of the gate host.
        next_offset: Offset of the record plus one.

    Returns:
        The next offset of each such host by host id, None if unknown.
    """
    next_offsets = members.offsets(state.membership, state.now_us)
    next_offsets[state.settings.host_id] = state.configuration.next_offset
    return {
        host_id: offset
        for host_id, offset in next_offsets.items()
        if offset is None or offset < next_offset
    }


def poll_until_applied(
    state: state_lib.GateState, next_offset: int, wait_us: int
) -> None:
    """Polls the lagging hosts in each round until none lags.

    Args:
        state: State of the gate host.
        next_offset: Offset of the record plus one.
        wait_us: Maximum time for which to poll.
    """
    membership = state.membership
    until_us = state.now_us + wait_us
    membership.awaited_offset = max(membership.awaited_offset, next_offset)
    membership.awaited_until_us = max(membership.awaited_until_us, until_us)


def poll_lagging(state: state_lib.GateState) -> None:
    """Polls a random sample of the lagging hosts for their offset."""
    membership = state.membership
    if state.now_us >= membership.awaited_until_us:
        membership.awaited_offset = 0
        return
    lagging = sorted(lagging_hosts(state, membership.awaited_offset))
    count = min(POLLS_PER_ROUND, len(lagging))
    for host_id in state.random.sample(lagging, count):
        address = _address(state, host_id)
        if address:
            request = peers.Heartbeat(reply=True, brief=True)
            peer_sender.send(state, address, request)


def _address(state: state_lib.GateState, host_id: str) -> str:
    member = state.membership.members.get(host_id)
    if member is not None:
        return peer_sender.address_of(state, member)
    listed = state.membership.listed_hosts.get(host_id)
    return listed.address if listed else ""
