"""Transfers records and complete states from peers when the log lacks them."""

from fireflyspindle.core import configuration
from fireflyspindle.core import configuration_updates
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import members
from fireflyspindle.core import peer_sender
from fireflyspindle.core import peers
from fireflyspindle.core import recovery
from fireflyspindle.core import recovery_state
from fireflyspindle.core import snapshots
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import streams

TRANSFER_TIMEOUT_US = 2_000_000
LOG_TIMEOUT_US = 2_000_000
REQUEST_INTERVAL_US = 100_000
INITIALIZE_WAIT_US = 5_000_000
INITIALIZE_MIN_PEERS = 3


def catch_up(state: state_lib.GateState) -> None:
    """Requests missing records or the complete state from a peer.

    The log has one round to deliver a record before a peer is asked.
    """
    most_advanced = _most_advanced(state)
    if most_advanced is None:
        return
    config = state.configuration
    behind = most_advanced.row.next_offset > config.next_offset
    lost = config.lost_before_offset is not None
    if most_advanced.row.complete and (
        lost or (not config.initialized and behind)
    ):
        _request_state(state, most_advanced)
        return
    if behind and state.membership.was_behind:
        _request_records(state, most_advanced)
    state.membership.was_behind = behind
    _initialize_from_peers(state)


def on_peer_offset(
    state: state_lib.GateState, address: str, next_offset: int
) -> None:
    """Requests newer records from a peer at once if the log is unavailable."""
    config = state.configuration
    if next_offset <= config.next_offset or not config.initialized:
        return
    oldest_us = state.now_us - REQUEST_INTERVAL_US
    if state.membership.requested_us > oldest_us or not log_is_unavailable(
        state
    ):
        return
    state.membership.requested_us = state.now_us
    peer_sender.send(state, address, peers.RecordsRequest(config.next_offset))


def _most_advanced(state: state_lib.GateState) -> members.Member | None:
    reachable = [
        member
        for member in members.live_members(state.membership, state.now_us)
        if peer_sender.address_of(state, member)
    ]
    if not reachable:
        return None
    return max(
        reachable, key=lambda each: (each.row.complete, each.row.next_offset)
    )


def log_is_unavailable(state: state_lib.GateState) -> bool:
    """Whether the last read failed, or none succeeded in `LOG_TIMEOUT_US`."""
    position = streams.position(state, configuration.STREAM)
    if position.consecutive_failures > 0:
        return True
    waited_us = state.now_us - state.membership.started_us
    return position.end_offset is None and waited_us > LOG_TIMEOUT_US


def _initialize_from_peers(state: state_lib.GateState) -> None:
    """Marks the configuration as complete during a log outage.

    Requires that it has reached the newest offset of the live peers and that
    `INITIALIZE_MIN_PEERS` of them are complete (fewer if fewer are known), or
    at least one after `INITIALIZE_WAIT_US`.
    """
    config = state.configuration
    if config.initialized or not log_is_unavailable(state):
        return
    complete_peers = [
        member
        for member in members.live_members(state.membership, state.now_us)
        if member.row.complete
    ]
    newest = members.newest_offset(state.membership, state.now_us)
    if not complete_peers or config.next_offset < newest:
        return
    expected = min(INITIALIZE_MIN_PEERS, len(peer_sender.addresses(state)))
    waited_us = state.now_us - state.membership.started_us
    if len(complete_peers) < expected and waited_us < INITIALIZE_WAIT_US:
        return
    config.end_offset = max(config.end_offset or 0, newest)
    recovery.mark_initialized(state)


def _request_records(
    state: state_lib.GateState, member: members.Member
) -> None:
    request = peers.RecordsRequest(state.configuration.next_offset)
    peer_sender.send(state, peer_sender.address_of(state, member), request)


def _request_state(state: state_lib.GateState, member: members.Member) -> None:
    transfer = state.recovery.transfer
    oldest_us = state.now_us - TRANSFER_TIMEOUT_US
    if transfer is not None and transfer.requested_us > oldest_us:
        return
    address = peer_sender.address_of(state, member)
    state.recovery.transfer = recovery_state.Transfer(address, "", state.now_us)
    peer_sender.send(state, address, peers.StateRequest())


def on_records_request(
    state: state_lib.GateState, address: str, request: peers.RecordsRequest
) -> None:
    """Sends records, or part 0 of the complete state if not buffered."""
    if request.from_offset >= state.configuration.next_offset:
        return
    bodies = state.recent_records.since(request.from_offset)
    if bodies is None:
        on_state_request(state, address, peers.StateRequest())
        return
    reply = peers.RecordsReply(request.from_offset, bodies)
    peer_sender.send(state, address, reply)


def on_records_reply(
    state: state_lib.GateState, address: str, reply: peers.RecordsReply
) -> None:
    """Applies the records, and requests more while a peer is ahead."""
    config = state.configuration
    before = config.next_offset
    configuration_updates.fold_records(
        state,
        [
            events.LogEntry(reply.from_offset + index, body)
            for index, body in enumerate(reply.bodies)
        ],
    )
    newest = members.newest_offset(state.membership, state.now_us)
    if before < config.next_offset < newest:
        request = peers.RecordsRequest(config.next_offset)
        peer_sender.send(state, address, request)


def on_state_request(
    state: state_lib.GateState, address: str, request: peers.StateRequest
) -> None:
    """Sends one part of the complete state."""
    config = state.configuration
    own_recovery = state.recovery
    if not config.complete:
        return
    if (
        not request.snapshot_id
        or request.snapshot_id != own_recovery.served_snapshot_id
    ):
        _refresh_served(state)
        request = peers.StateRequest(own_recovery.served_snapshot_id, 0)
    if request.number < len(own_recovery.served_parts):
        part = own_recovery.served_parts[request.number]
        peer_sender.send(state, address, peers.StateReply(part))


def _refresh_served(state: state_lib.GateState) -> None:
    own_recovery = state.recovery
    config = state.configuration
    if (
        own_recovery.served_parts
        and own_recovery.served_parts[0].covered_offset == config.next_offset
    ):
        return
    own_recovery.served_snapshot_id = f"{state.random.getrandbits(64):016x}"
    own_recovery.served_parts = snapshots.build(
        config, own_recovery.served_snapshot_id
    )


def on_state_reply(
    state: state_lib.GateState, address: str, reply: peers.StateReply
) -> None:
    """Adds a part; merges the state once all parts have arrived."""
    own_recovery = state.recovery
    part = reply.part
    snapshot = own_recovery.assembler.add(part)
    if snapshot is None:
        number = part.number + 1
        if number < part.parts:
            own_recovery.transfer = recovery_state.Transfer(
                address, part.snapshot_id, state.now_us
            )
            request = peers.StateRequest(part.snapshot_id, number)
            peer_sender.send(state, address, request)
        return
    own_recovery.transfer = None
    if snapshot.covered_offset < state.configuration.next_offset:
        return
    configuration_updates.merge_state(
        state, snapshot.entries, snapshot.covered_offset
    )
    state.emit(
        effects.WriteLogLine(
            "info",
            "state_from_peer",
            f"merged the complete state from {address}",
        )
    )
