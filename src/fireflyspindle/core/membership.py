"""Gossip with the other gate hosts.

Changes are pushed to a few random hosts for two rounds; a host with an
incomplete configuration or an unavailable log also pulls (after Demers et al.,
Epidemic Algorithms for Replicated Database Maintenance, 1987).
"""

import attrs
import result

from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import incarnations
from fireflyspindle.core import leaving
from fireflyspindle.core import members
from fireflyspindle.core import peer_sender
from fireflyspindle.core import peers
from fireflyspindle.core import rollout
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import state_transfer
from fireflyspindle.core import timers

ROUND_US = 500_000
ROUNDS_PER_HEARTBEAT = 4
ROUNDS_PER_PULL = 2
PUSH_ROUNDS = 2
PUSH_FAN_OUT = 3
ROWS_PER_HEARTBEAT = 4
LEAVING_PER_HEARTBEAT = 8
BUDGET_BYTES_PER_S = 1_500
BUDGET_BURST_BYTES = 15_000
REFUSALS_PER_REPORT = 100


def start(state: state_lib.GateState) -> None:
    """Schedules the first round, with jitter."""
    state.membership.started_us = state.now_us
    state.membership.budget_bytes = BUDGET_BURST_BYTES
    delay_us = int(state.random.random() * ROUND_US)
    state.timers.add(state.now_us + delay_us, timers.GossipRoundDue())


def on_due(state: state_lib.GateState) -> None:
    """Runs a gossip round: sends changes and periodic heartbeats to peers."""
    membership = state.membership
    state.timers.add(state.now_us + ROUND_US, timers.GossipRoundDue())
    membership.round_number += 1
    refill_bytes = BUDGET_BYTES_PER_S * ROUND_US / 1e6
    membership.budget_bytes = min(
        BUDGET_BURST_BYTES, membership.budget_bytes + refill_bytes
    )
    members.remove_expired(membership, state.now_us)
    _run_round(state)
    rollout.poll_lagging(state)
    state_transfer.catch_up(state)


def _run_round(state: state_lib.GateState) -> None:
    membership = state.membership
    gossip_state = _gossip_state(state)
    if gossip_state != membership.last_pushed:
        membership.last_pushed = gossip_state
        membership.push_rounds_left = PUSH_ROUNDS
    pushing = membership.push_rounds_left > 0
    pulling = not state.configuration.complete
    pulling = pulling or state_transfer.log_is_unavailable(state)
    period = ROUNDS_PER_PULL if pulling else ROUNDS_PER_HEARTBEAT
    due = membership.round_number % period == 0
    if not (pushing or due) or membership.budget_bytes <= 0:
        return
    membership.push_rounds_left = max(0, membership.push_rounds_left - 1)
    addresses = peer_sender.addresses(state)
    fan_out = PUSH_FAN_OUT if pushing else 1
    chosen = state.random.sample(addresses, min(fan_out, len(addresses)))
    for address in chosen:
        size = peer_sender.send(
            state, address, _heartbeat(state, reply=pulling)
        )
        membership.budget_bytes -= size


def _gossip_state(state: state_lib.GateState) -> tuple:
    return (
        state.configuration.next_offset,
        state.configuration.complete,
        state.stopping,
        _leaving_targets(state),
    )


def _leaving_targets(
    state: state_lib.GateState,
) -> tuple[peers.LeavingTarget, ...]:
    return tuple(
        peers.LeavingTarget(target.address, target.ids)
        for target in leaving.leaving_notices(state)
    )


def _heartbeat(state: state_lib.GateState, *, reply: bool) -> peers.Heartbeat:
    membership = state.membership
    live = members.live_members(membership, state.now_us)
    row_count = 0 if reply else min(ROWS_PER_HEARTBEAT, len(live))
    leaving_targets = _leaving_targets(state)
    return peers.Heartbeat(
        digest=f"{state.configuration.digest:016x}",
        reply=reply,
        rows=tuple(
            member.row for member in state.random.sample(live, row_count)
        ),
        leaving=tuple(
            state.random.sample(
                leaving_targets,
                min(LEAVING_PER_HEARTBEAT, len(leaving_targets)),
            )
        ),
        shared=membership.shared[: members.MAX_SHARED_CHARACTERS],
    )


def on_message(
    state: state_lib.GateState, event: events.PeerMessageReceived
) -> None:
    """Handles a message; one that can't be decoded is counted and dropped."""
    match peers.decode(event.body):
        case result.Err(error):
            _count_refused(state, error)
        case result.Ok(peers.UnknownKind()):
            state.membership.unknown_messages += 1
        case result.Ok(peers.Message(sender, content)):
            _handle_message(state, sender, content)


def _count_refused(state: state_lib.GateState, error: str) -> None:
    membership = state.membership
    membership.refused_messages += 1
    if membership.refused_messages % REFUSALS_PER_REPORT == 1:
        count = membership.refused_messages
        detail = f"refused a message from a peer ({count} so far): {error:.300}"
        state.emit(
            effects.WriteLogLine("warning", "peer_message_refused", detail)
        )


def _handle_message(
    state: state_lib.GateState, sender: members.Row, content: peers.Content
) -> None:
    if sender.host_id == state.settings.host_id:
        return
    updated = members.apply_row(state.membership, sender, state.now_us)
    member = state.membership.members.get(sender.host_id)
    if member is None:
        return
    if sender.incarnation < member.row.incarnation:
        _send_newer_row(state, sender, member.row)
        return
    address = peer_sender.address_of(state, member)
    match content:
        case peers.Heartbeat():
            _handle_heartbeat(state, sender, content)
            if updated is not None:
                updated.shared = content.shared
            if address:
                state_transfer.on_peer_offset(
                    state, address, sender.next_offset
                )
            if content.reply and address:
                _reply(state, address, content)
        case _:
            if address:
                _handle_transfer(state, address, content)


def _reply(
    state: state_lib.GateState, address: str, request: peers.Heartbeat
) -> None:
    reply = peers.Heartbeat()
    if not request.brief:
        reply = _heartbeat(state, reply=False)
    peer_sender.send(state, address, reply)


def _send_newer_row(
    state: state_lib.GateState, sender: members.Row, newer: members.Row
) -> None:
    if sender.address:
        reply = peers.Heartbeat(rows=(newer,))
        peer_sender.send(state, sender.address, reply)


def _handle_transfer(
    state: state_lib.GateState, address: str, content: peers.Content
) -> None:
    match content:
        case peers.RecordsRequest():
            state_transfer.on_records_request(state, address, content)
        case peers.RecordsReply():
            state_transfer.on_records_reply(state, address, content)
        case peers.StateRequest():
            state_transfer.on_state_request(state, address, content)
        case peers.StateReply():
            state_transfer.on_state_reply(state, address, content)


def _handle_heartbeat(
    state: state_lib.GateState, sender: members.Row, content: peers.Heartbeat
) -> None:
    for target in content.leaving:
        leaving.on_peer_notice(
            state, incarnations.LeavingNotice(target.address, target.ids)
        )
    for row in content.rows:
        if row.host_id == state.settings.host_id:
            _raise_incarnation(state, row)
            continue
        members.apply_row(state.membership, row, state.now_us)
    _compare_digests(state, sender, content.digest)


def _raise_incarnation(state: state_lib.GateState, row: members.Row) -> None:
    """Raises the incarnation above one that peers report for this host id."""
    if row.incarnation <= state.settings.incarnation:
        return
    state.settings = attrs.evolve(
        state.settings, incarnation=row.incarnation + 1
    )
    detail = (
        f"a peer reports a later start of {row.host_id!r}: the clock went"
        " backwards, or two hosts use this host id; raised this host's"
        " incarnation above the reported one"
    )
    state.emit(effects.WriteLogLine("warning", "host_name_taken", detail))


def _compare_digests(
    state: state_lib.GateState, sender: members.Row, digest: str
) -> None:
    config = state.configuration
    member = state.membership.members[sender.host_id]
    comparable = config.complete and sender.complete and digest != ""
    if not comparable or sender.next_offset != config.next_offset:
        return
    differs = digest != f"{config.digest:016x}"
    if differs and not member.differs:
        detail = (
            f"{sender.host_id} has a different configuration at the same"
            f" offset {sender.next_offset}; restart the host that differs from"
            " the rest of the fleet"
        )
        state.emit(
            effects.WriteLogLine("error", "configuration_differs", detail)
        )
    member.differs = differs


def on_host_list(
    state: state_lib.GateState, event: events.HostListRead
) -> None:
    """Updates the gate hosts on the platform's host list."""
    state.membership.listed_hosts = {
        host.host_id: host
        for host in event.gate_hosts
        if host.host_id != state.settings.host_id
    }


def summary(state: state_lib.GateState) -> dict:
    """Returns the other hosts as JSON data, for operators."""
    membership = state.membership
    return {
        "refused_messages": membership.refused_messages,
        "unknown_messages": membership.unknown_messages,
        "hosts": {
            host_id: {
                **attrs.asdict(member.row),
                "silent_ms": (state.now_us - member.last_seen_us) // 1000,
                "listed": host_id in membership.listed_hosts,
                "differs": member.differs,
            }
            for host_id, member in sorted(membership.members.items())
        },
    }
