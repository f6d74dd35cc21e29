"""Sends messages to peers and resolves their addresses."""

from fireflyspindle.core import effects
from fireflyspindle.core import members
from fireflyspindle.core import peers
from fireflyspindle.core import state as state_lib


def own_row(state: state_lib.GateState) -> members.Row:
    """Returns this host's own row, with a new beat."""
    state.membership.beat += 1
    return members.Row(
        host_id=state.settings.host_id,
        address=state.settings.control_address,
        incarnation=state.settings.incarnation,
        beat=state.membership.beat,
        next_offset=state.configuration.next_offset,
        reader_version=state.settings.reader_version,
        complete=state.configuration.complete,
        stopping=state.stopping,
    )


def send(
    state: state_lib.GateState, address: str, content: peers.Content
) -> int:
    """Sends a message to one peer; returns its size in bytes."""
    body = peers.encode(peers.Message(own_row(state), content))
    state.emit(effects.SendToPeer(address, body))
    return len(body)


def address_of(state: state_lib.GateState, member: members.Member) -> str:
    """Returns the control address of a host, or an empty string."""
    if member.row.address:
        return member.row.address
    listed = state.membership.listed_hosts.get(member.row.host_id)
    return listed.address if listed else ""


def addresses(state: state_lib.GateState) -> list[str]:
    """Returns the distinct control addresses of the other gate hosts.

    The seed peers from the settings are always included; otherwise, hosts that
    discover each other first could remain partitioned from the rest. If no
    member is live, all known members are included.
    """
    membership = state.membership
    live = members.live_members(membership, state.now_us)
    candidates = [address_of(state, member) for member in live]
    candidates += [
        host.address
        for host in membership.listed_hosts.values()
        if not host.leaving and host.host_id not in membership.members
    ]
    candidates += state.settings.peer_addresses
    if not live:
        candidates += [
            address_of(state, member) for member in membership.members.values()
        ]
    excluded = (state.settings.control_address, "")
    return sorted(
        {address for address in candidates if address not in excluded}
    )
