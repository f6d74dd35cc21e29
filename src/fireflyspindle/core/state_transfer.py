"""Records and whole states from peers, when the log doesn't give them."""

from fireflyspindle.core import configuration
from fireflyspindle.core import effects
from fireflyspindle.core import events
from fireflyspindle.core import in_force
from fireflyspindle.core import members
from fireflyspindle.core import peers
from fireflyspindle.core import recovery
from fireflyspindle.core import recovery_state
from fireflyspindle.core import snapshots
from fireflyspindle.core import state as state_lib
from fireflyspindle.core import streams
from fireflyspindle.core import telling

TRANSFER_TIMEOUT_US = 2_000_000
LOG_SILENT_US = 2_000_000
ASK_AGAIN_US = 100_000
JOIN_WAIT_US = 5_000_000
JOIN_HEARD_HOSTS = 3


def catch_up(state: state_lib.GateState) -> None:
    """Asks a peer for what this host still lacks after a round.

    The log is given one round to bring a record before a peer is asked.
    """
    best = _most_advanced(state)
    if best is None:
        return
    config = state.configuration
    behind = best.row.next_offset > config.next_offset
    lost = config.lost_before_offset is not None
    if best.row.complete and (lost or (not config.joined and behind)):
        _ask_state(state, best)
        return
    if behind and state.membership.behind_before:
        _ask_records(state, best)
    state.membership.behind_before = behind
    _join_from_peers(state)


def on_news(state: state_lib.GateState, address: str, next_offset: int) -> None:
    """Asks a peer at once for records that a silent log won't bring."""
    config = state.configuration
    if next_offset <= config.next_offset or not config.joined:
        return
    oldest_us = state.now_us - ASK_AGAIN_US
    if state.membership.asked_us > oldest_us or not log_is_silent(state):
        return
    state.membership.asked_us = state.now_us
    telling.tell(state, address, peers.RecordsAsked(config.next_offset))


def _most_advanced(state: state_lib.GateState) -> members.Member | None:
    reachable = [
        member
        for member in members.live(state.membership, state.now_us)
        if telling.address_of(state, member)
    ]
    if not reachable:
        return None
    return max(
        reachable, key=lambda each: (each.row.complete, each.row.next_offset)
    )


def log_is_silent(state: state_lib.GateState) -> bool:
    """Whether the log fails this host at present."""
    here = streams.position(state, configuration.STREAM)
    if here.failures > 0:
        return True
    waited_us = state.now_us - state.membership.started_us
    return here.known_offset is None and waited_us > LOG_SILENT_US


def _join_from_peers(state: state_lib.GateState) -> None:
    """Takes the configuration for whole in an outage of the log."""
    config = state.configuration
    if config.joined or not log_is_silent(state):
        return
    whole = [
        member
        for member in members.live(state.membership, state.now_us)
        if member.row.complete
    ]
    newest = members.newest_offset(state.membership, state.now_us)
    if not whole or config.next_offset < newest:
        return
    expected = min(JOIN_HEARD_HOSTS, len(telling.addresses(state)))
    waited_us = state.now_us - state.membership.started_us
    if len(whole) < expected and waited_us < JOIN_WAIT_US:
        return
    config.known_offset = max(config.known_offset or 0, newest)
    recovery.join(state)


def _ask_records(state: state_lib.GateState, member: members.Member) -> None:
    asked = peers.RecordsAsked(state.configuration.next_offset)
    telling.tell(state, telling.address_of(state, member), asked)


def _ask_state(state: state_lib.GateState, member: members.Member) -> None:
    transfer = state.recovery.transfer
    oldest_us = state.now_us - TRANSFER_TIMEOUT_US
    if transfer is not None and transfer.asked_us > oldest_us:
        return
    address = telling.address_of(state, member)
    state.recovery.transfer = recovery_state.Transfer(address, "", state.now_us)
    telling.tell(state, address, peers.StateAsked())


def on_records_asked(
    state: state_lib.GateState, address: str, asked: peers.RecordsAsked
) -> None:
    """Tells the records, or the whole state if they aren't kept any more."""
    if asked.from_offset >= state.configuration.next_offset:
        return
    bodies = state.recent_records.since(asked.from_offset)
    if bodies is None:
        on_state_asked(state, address, peers.StateAsked())
        return
    told = peers.RecordsTold(asked.from_offset, bodies)
    telling.tell(state, address, told)


def on_records_told(
    state: state_lib.GateState, address: str, told: peers.RecordsTold
) -> None:
    """Folds the records and asks for more if the peer has more."""
    config = state.configuration
    before = config.next_offset
    in_force.fold_records(
        state,
        [
            events.LogEntry(told.from_offset + index, body)
            for index, body in enumerate(told.bodies)
        ],
    )
    newest = members.newest_offset(state.membership, state.now_us)
    if before < config.next_offset < newest:
        asked = peers.RecordsAsked(config.next_offset)
        telling.tell(state, address, asked)


def on_state_asked(
    state: state_lib.GateState, address: str, asked: peers.StateAsked
) -> None:
    """Tells one part of the whole state."""
    config = state.configuration
    here = state.recovery
    if not config.complete:
        return
    if not asked.snapshot_id or asked.snapshot_id != here.served_id:
        _renew_served(state)
        asked = peers.StateAsked(here.served_id, 0)
    if asked.number < len(here.served):
        part = here.served[asked.number]
        telling.tell(state, address, peers.StateTold(part))


def _renew_served(state: state_lib.GateState) -> None:
    here = state.recovery
    config = state.configuration
    if here.served and here.served[0].covered_offset == config.next_offset:
        return
    here.served_id = f"{state.random.getrandbits(64):016x}"
    here.served = snapshots.build(config, here.served_id)


def on_state_told(
    state: state_lib.GateState, address: str, told: peers.StateTold
) -> None:
    """Takes in a part; merges the state when it is whole."""
    here = state.recovery
    part = told.part
    whole = here.collector.add(part)
    if whole is None:
        number = part.number + 1
        if number < part.parts:
            here.transfer = recovery_state.Transfer(
                address, part.snapshot_id, state.now_us
            )
            asked = peers.StateAsked(part.snapshot_id, number)
            telling.tell(state, address, asked)
        return
    here.transfer = None
    if whole.covered_offset < state.configuration.next_offset:
        return
    in_force.merge_state(state, whole.entries, whole.covered_offset)
    state.emit(
        effects.Report("info", "state_from_peer", f"taken from {address}")
    )
