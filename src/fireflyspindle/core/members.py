"""Membership table: the state of the other gate hosts.

A row about a host is replaced by one with a higher incarnation, or with the
same incarnation and a higher beat, so rows may arrive late, duplicated or out
of order (after SWIM: Das, Gupta, Motivala, 2002).
"""

import attrs

from fireflyspindle.core import checks
from fireflyspindle.core import events
from fireflyspindle.core import records

MAX_MEMBERS = 1_024
MAX_SHARED_CHARACTERS = 512
MIN_TIMEOUT_US = 20_000_000
TIMEOUT_US_PER_MEMBER = 2_000_000


@attrs.define(frozen=True)
class Row:
    """State of a gate host, as last reported by itself.

    Attributes:
        host_id: Id of the host.
        address: Its control address, or an empty string.
        incarnation: Increases with each start of the host.
        beat: Increases with each message of the incarnation.
        next_offset: First configuration offset that it has not applied.
        reader_version: Newest reader version that it supports.
        complete: Whether its configuration is complete.
        stopping: Whether its planned stop has begun.
    """

    host_id: str = attrs.field(validator=checks.name)
    address: str = attrs.field(validator=checks.optional_name)
    incarnation: int = attrs.field(
        validator=checks.between(0, records.MAX_REVISION)
    )
    beat: int = attrs.field(validator=checks.between(0, records.MAX_REVISION))
    next_offset: int = attrs.field(
        validator=checks.between(0, records.MAX_REVISION)
    )
    reader_version: int = attrs.field(
        default=1, validator=checks.between(1, records.MAX_VERSION)
    )
    complete: bool = False
    stopping: bool = False

    def is_newer_than(self, other: "Row") -> bool:
        """Whether this row replaces another one about the same host."""
        version = (self.incarnation, self.beat)
        return version > (other.incarnation, other.beat)


@attrs.define
class Member:
    """Another gate host.

    Attributes:
        row: Its latest row.
        last_seen_us: Time at which a newer row about it last arrived.
        shared: Routing data that it shares, opaque here.
        differs: Whether its configuration differed from this host's at the
            same offset.
    """

    row: Row
    last_seen_us: int
    shared: str = ""
    differs: bool = False


@attrs.define
class Membership:
    """The known gate hosts, and the state of the gossip with them.

    Attributes:
        members: Known hosts by id, without this one.
        listed_hosts: Gate hosts on the platform's host list by id; the list
            may be out of date.
        beat: Number of this host's latest message.
        shared: Routing data that this host shares, opaque here.
        started_us: Time at which this host started.
        round_number: Number of rounds so far.
        last_pushed: State that was last pushed as a change.
        push_rounds_left: Rounds for which it is still pushed.
        was_behind: Whether this host was behind a peer in the last round.
        requested_us: Time of the latest immediate request for records.
        awaited_offset: Next offset that a publisher waits for on all hosts.
        awaited_until_us: Time at which that wait ends.
        budget_bytes: Bytes that may be sent now, refilled each round.
        refused_messages: Messages that could not be decoded.
        unknown_messages: Messages of a kind unknown to this version.
    """

    members: dict[str, Member] = attrs.field(factory=dict)
    listed_hosts: dict[str, events.ListedHost] = attrs.field(factory=dict)
    beat: int = 0
    shared: str = ""
    started_us: int = 0
    round_number: int = 0
    last_pushed: tuple = ()
    push_rounds_left: int = 0
    was_behind: bool = False
    requested_us: int = 0
    awaited_offset: int = 0
    awaited_until_us: int = 0
    budget_bytes: float = 0.0
    refused_messages: int = 0
    unknown_messages: int = 0


def apply_row(membership: Membership, row: Row, now_us: int) -> Member | None:
    """Applies a row; returns the member if the row was newer, else None."""
    member = membership.members.get(row.host_id)
    if member is None:
        if len(membership.members) >= MAX_MEMBERS:
            return None
        member = Member(row, now_us)
        membership.members[row.host_id] = member
        return member
    if not row.is_newer_than(member.row):
        return None
    if row.incarnation != member.row.incarnation:
        member.shared = ""
        member.differs = False
    member.row = row
    member.last_seen_us = now_us
    return member


def member_timeout_us(membership: Membership) -> int:
    """Returns the time after which a host without a newer row is dead."""
    expected_us = len(membership.members) * TIMEOUT_US_PER_MEMBER
    return max(MIN_TIMEOUT_US, expected_us)


def live_members(membership: Membership, now_us: int) -> list[Member]:
    """Returns the members whose timeout has not expired."""
    oldest_us = now_us - member_timeout_us(membership)
    return [
        member
        for member in membership.members.values()
        if member.last_seen_us >= oldest_us
    ]


def remove_expired(membership: Membership, now_us: int) -> None:
    """Removes dead hosts that aren't on the host list.

    Waits three times the member timeout, so that no row about the host is
    still circulating that would add it again.
    """
    oldest_us = now_us - 3 * member_timeout_us(membership)
    for host_id, member in list(membership.members.items()):
        if (
            member.last_seen_us < oldest_us
            and host_id not in membership.listed_hosts
        ):
            del membership.members[host_id]


def offsets(membership: Membership, now_us: int) -> dict[str, int | None]:
    """Returns the next offset by host id, or None where it is unknown.

    Includes listed hosts without a row; excludes stopping and leaving hosts.
    """
    next_offsets: dict[str, int | None] = {
        host_id: None
        for host_id, host in membership.listed_hosts.items()
        if not host.leaving
    }
    for member in live_members(membership, now_us):
        next_offsets[member.row.host_id] = member.row.next_offset
        if member.row.stopping:
            del next_offsets[member.row.host_id]
    return next_offsets


def lowest_reader_version(
    membership: Membership, own_version: int, now_us: int
) -> int:
    """Returns the lowest reader version of the live hosts and this one."""
    versions = [
        member.row.reader_version
        for member in live_members(membership, now_us)
        if not member.row.stopping
    ]
    return min([own_version, *versions])


def newest_offset(membership: Membership, now_us: int) -> int:
    """Returns the highest next offset of the live hosts, or 0."""
    next_offsets = [
        member.row.next_offset for member in live_members(membership, now_us)
    ]
    return max(next_offsets, default=0)
