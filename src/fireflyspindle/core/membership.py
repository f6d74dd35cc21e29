"""The other gate hosts: rounds of messages, and what comes from peers.

News is pushed to a few hosts chosen by chance, for two rounds; hosts whose
log is silent pull too (after Demers et al., Epidemic Algorithms for Replicated
Database Maintenance, 1987).
"""

import attrs
import result

from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import incarnations
from fireflyspindle.core import leaving
from fireflyspindle.core import members
from fireflyspindle.core import offset_table
from fireflyspindle.core import peers
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import state_transfer
from fireflyspindle.core import telling
from fireflyspindle.core import timers

ROUND_US = 500_000
ROUNDS_PER_HEARTBEAT = 4
ROUNDS_PER_QUESTION = 2
ROUNDS_OF_NEWS = 2
FAN_OUT_OF_NEWS = 3
ROWS_PER_HEARTBEAT = 4
SIGNS_PER_HEARTBEAT = 8
BUDGET_BYTES_PER_S = 1_500
BUDGET_BURST_BYTES = 15_000
REPORT_EVERY_REFUSED = 100


def start(state: state_lib.GateState) -> None:
    """Sets the time of the first round; hosts are spread by chance."""
    state.membership.started_us = state.now_us
    state.membership.budget_bytes = BUDGET_BURST_BYTES
    delay_us = int(state.random.random() * ROUND_US)
    state.timers.add(state.now_us + delay_us, timers.PeersDue())


def on_due(state: state_lib.GateState) -> None:
    """Tells peers what is new, and at times that this host lives."""
    membership = state.membership
    state.timers.add(state.now_us + ROUND_US, timers.PeersDue())
    membership.ticks += 1
    earned = BUDGET_BYTES_PER_S * ROUND_US / 1e6
    membership.budget_bytes = min(
        BUDGET_BURST_BYTES, membership.budget_bytes + earned
    )
    members.forget_silent(membership, state.now_us)
    _tell_round(state)
    offset_table.ask_lagging(state)
    state_transfer.catch_up(state)


def _tell_round(state: state_lib.GateState) -> None:
    membership = state.membership
    news = _news(state)
    if news != membership.told:
        membership.told = news
        membership.news_rounds = ROUNDS_OF_NEWS
    is_news = membership.news_rounds > 0
    asks = not state.configuration.complete
    asks = asks or state_transfer.log_is_silent(state)
    period = ROUNDS_PER_QUESTION if asks else ROUNDS_PER_HEARTBEAT
    due = membership.ticks % period == 0
    if not (is_news or due) or membership.budget_bytes <= 0:
        return
    membership.news_rounds = max(0, membership.news_rounds - 1)
    addresses = telling.addresses(state)
    fan_out = FAN_OUT_OF_NEWS if is_news else 1
    chosen = state.random.sample(addresses, min(fan_out, len(addresses)))
    for address in chosen:
        size = telling.tell(state, address, _heartbeat(state, reply=asks))
        membership.budget_bytes -= size


def _news(state: state_lib.GateState) -> tuple:
    return (
        state.configuration.next_offset,
        state.configuration.complete,
        state.stopping,
        _signs(state),
    )


def _signs(state: state_lib.GateState) -> tuple[peers.LeavingTarget, ...]:
    return tuple(
        peers.LeavingTarget(sign.address, sign.ids)
        for sign in leaving.signs(state)
    )


def _heartbeat(state: state_lib.GateState, *, reply: bool) -> peers.Heartbeat:
    membership = state.membership
    live = members.live(membership, state.now_us)
    row_count = 0 if reply else min(ROWS_PER_HEARTBEAT, len(live))
    signs = _signs(state)
    return peers.Heartbeat(
        digest=f"{state.configuration.digest:016x}",
        reply=reply,
        rows=tuple(
            member.row for member in state.random.sample(live, row_count)
        ),
        leaving=tuple(
            state.random.sample(signs, min(SIGNS_PER_HEARTBEAT, len(signs)))
        ),
        shared=membership.shared[: members.MAX_SHARED_CHARACTERS],
    )


def on_message(
    state: state_lib.GateState, event: events.PeerMessageReceived
) -> None:
    """Takes in a message; one that can't be read is counted and dropped."""
    match peers.decode(event.body):
        case result.Err(why):
            _refuse(state, why)
        case result.Ok(peers.UnknownKind()):
            state.membership.unknown_messages += 1
        case result.Ok(peers.Message(sender, content)):
            _take_message(state, sender, content)


def _refuse(state: state_lib.GateState, why: str) -> None:
    membership = state.membership
    membership.refused_messages += 1
    if membership.refused_messages % REPORT_EVERY_REFUSED == 1:
        count = membership.refused_messages
        detail = f"message {count} of a peer was refused: {why:.300}"
        state.emit(effects.Report("warning", "peer_message_refused", detail))


def _take_message(
    state: state_lib.GateState, sender: members.Row, content: peers.Content
) -> None:
    if sender.host_id == state.settings.host_id:
        return
    member = members.take(state.membership, sender, state.now_us)
    known = state.membership.members.get(sender.host_id)
    if known is None:
        return
    if sender.incarnation < known.row.incarnation:
        _tell_of_later_start(state, sender, known.row)
        return
    address = telling.address_of(state, known)
    match content:
        case peers.Heartbeat():
            _take_heartbeat(state, sender, content)
            if member is not None:
                member.shared = content.shared
            if address:
                state_transfer.on_news(state, address, sender.next_offset)
            if content.reply and address:
                _answer(state, address, content)
        case _:
            if address:
                _take_transfer(state, address, content)


def _answer(
    state: state_lib.GateState, address: str, asked: peers.Heartbeat
) -> None:
    answer = peers.Heartbeat()
    if not asked.brief:
        answer = _heartbeat(state, reply=False)
    telling.tell(state, address, answer)


def _tell_of_later_start(
    state: state_lib.GateState, sender: members.Row, known: members.Row
) -> None:
    if sender.address:
        told = peers.Heartbeat(rows=(known,))
        telling.tell(state, sender.address, told)


def _take_transfer(
    state: state_lib.GateState, address: str, content: peers.Content
) -> None:
    match content:
        case peers.RecordsAsked():
            state_transfer.on_records_asked(state, address, content)
        case peers.RecordsTold():
            state_transfer.on_records_told(state, address, content)
        case peers.StateAsked():
            state_transfer.on_state_asked(state, address, content)
        case peers.StateTold():
            state_transfer.on_state_told(state, address, content)


def _take_heartbeat(
    state: state_lib.GateState, sender: members.Row, content: peers.Heartbeat
) -> None:
    for sign in content.leaving:
        leaving.note_from_peer(state, incarnations.Sign(sign.address, sign.ids))
    for row in content.rows:
        if row.host_id == state.settings.host_id:
            _outlive(state, row)
            continue
        members.take(state.membership, row, state.now_us)
    _compare(state, sender, content.digest)


def _outlive(state: state_lib.GateState, row: members.Row) -> None:
    """Takes a higher incarnation than one that peers know of this name."""
    if row.incarnation <= state.settings.incarnation:
        return
    state.settings = attrs.evolve(
        state.settings, incarnation=row.incarnation + 1
    )
    detail = (
        f"peers know a later start of {row.host_id!r}: the clock ran"
        " backwards, or two hosts have this name"
    )
    state.emit(effects.Report("warning", "host_name_taken", detail))


def _compare(
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
            f"{sender.host_id} has another configuration in force at offset"
            f" {sender.next_offset}; restart the host that differs from the"
            " rest"
        )
        state.emit(effects.Report("error", "configuration_differs", detail))
    member.differs = differs


def on_host_list(
    state: state_lib.GateState, event: events.HostListRead
) -> None:
    """Takes in the gate hosts of the platform's list."""
    state.membership.listed = {
        host.host_id: host
        for host in event.gate_hosts
        if host.host_id != state.settings.host_id
    }


def summary(state: state_lib.GateState) -> dict:
    """Returns the other hosts as JSON data, for people on call."""
    membership = state.membership
    return {
        "refused_messages": membership.refused_messages,
        "unknown_messages": membership.unknown_messages,
        "hosts": {
            host_id: {
                **attrs.asdict(member.row),
                "silent_ms": (state.now_us - member.heard_us) // 1000,
                "listed": host_id in membership.listed,
                "differs": member.differs,
            }
            for host_id, member in sorted(membership.members.items())
        },
    }
