"""Messages between gate hosts: HTTP with JSON, typed and versioned.

Unknown fields, added by newer versions, are ignored; messages of an unknown
kind are distinguished from malformed messages.
"""

import json

import attrs
import result

from fireflyspindle.core import checks
from fireflyspindle.core import members
from fireflyspindle.core import records
from fireflyspindle.core import snapshots

VERSION = 1
MAX_MESSAGE_BYTES = 1024 * 1024
MAX_ROWS = 16
MAX_LEAVING_TARGETS = 64


def _at_most(limit: int) -> checks.Validator:
    def check(_: object, field: attrs.Attribute, value: object) -> None:
        if isinstance(value, tuple | str) and len(value) > limit:
            raise ValueError(
                f"{field.name} has {len(value)} items; give at most {limit}"
            )

    return check


@attrs.define(frozen=True)
class LeavingTarget:
    """Reports that one incarnation of a target is leaving.

    Attributes:
        address: Address of the target.
        ids: Ids of the incarnation; see `incarnations.LeavingNotice`.
    """

    address: str = attrs.field(validator=checks.address)
    ids: tuple[str, ...] = attrs.field(default=(), validator=_at_most(8))


@attrs.define(frozen=True)
class Heartbeat:
    """State of the sender, and what it knows of other hosts.

    Attributes:
        digest: Hash of the active configuration; see
            `configuration.Configuration`.
        reply: Whether the receiver should reply with its own heartbeat.
        brief: Whether the reply may omit everything but its sender's row.
        rows: Rows about other hosts.
        leaving: Targets that are leaving.
        shared: Routing data shared with peers, opaque here.
    """

    digest: str = ""
    reply: bool = False
    brief: bool = False
    rows: tuple[members.Row, ...] = attrs.field(
        default=(), validator=_at_most(MAX_ROWS)
    )
    leaving: tuple[LeavingTarget, ...] = attrs.field(
        default=(), validator=_at_most(MAX_LEAVING_TARGETS)
    )
    shared: str = attrs.field(
        default="", validator=_at_most(members.MAX_SHARED_CHARACTERS)
    )


@attrs.define(frozen=True)
class RecordsRequest:
    """Requests configuration records from an offset on."""

    from_offset: int = attrs.field(
        validator=checks.between(0, records.MAX_REVISION)
    )


@attrs.define(frozen=True)
class RecordsReply:
    """Contiguous configuration records, as stored in the log."""

    from_offset: int = attrs.field(
        validator=checks.between(0, records.MAX_REVISION)
    )
    bodies: tuple[str, ...] = ()


@attrs.define(frozen=True)
class StateRequest:
    """Requests one part of the complete configuration.

    Attributes:
        snapshot_id: Snapshot to continue; empty for a new one.
        number: Number of the requested part.
    """

    snapshot_id: str = ""
    number: int = attrs.field(
        default=0, validator=checks.between(0, snapshots.MAX_PARTS)
    )


@attrs.define(frozen=True)
class StateReply:
    """One part of the sender's complete configuration."""

    part: snapshots.Part


Content = Heartbeat | RecordsRequest | RecordsReply | StateRequest | StateReply

KINDS: dict[str, type] = {
    "heartbeat": Heartbeat,
    "records_asked": RecordsRequest,
    "records_told": RecordsReply,
    "state_asked": StateRequest,
    "state_told": StateReply,
}
_KIND_NAMES = {content_class: name for name, content_class in KINDS.items()}


@attrs.define(frozen=True)
class Message:
    """One message; replies go to the address of `sender`."""

    sender: members.Row
    content: Content


@attrs.define(frozen=True)
class _Frame:
    kind: str
    sender: members.Row
    content: dict
    version: int = VERSION


@attrs.define(frozen=True)
class UnknownKind:
    """A message of a kind unknown to this version."""

    kind: str


def encode(message: Message) -> str:
    """Returns a message as JSON text."""
    raw = {
        "version": VERSION,
        "kind": _KIND_NAMES[type(message.content)],
        "sender": attrs.asdict(message.sender),
        "content": _content_to_json_data(message.content),
    }
    return json.dumps(raw, separators=(",", ":"))


def _content_to_json_data(content: Content) -> dict:
    match content:
        case StateReply(part):
            return {"part": snapshots.to_json_data(part)}
        case _:
            return attrs.asdict(content)


def decode(body: str) -> result.Result[Message | UnknownKind, str]:
    """Decodes a message, or returns an error message."""
    if len(body) > MAX_MESSAGE_BYTES:
        return result.Err(
            f"message has {len(body)} characters; the limit is"
            f" {MAX_MESSAGE_BYTES}"
        )
    return (
        records.load_json(body)
        .and_then(lambda raw: _structure(raw, _Frame))
        .and_then(_read_content)
    )


def _read_content(
    frame: _Frame,
) -> result.Result[Message | UnknownKind, str]:
    content_class = KINDS.get(frame.kind)
    if content_class is None:
        return result.Ok(UnknownKind(frame.kind))
    return _structure(frame.content, content_class).map(
        lambda content: Message(frame.sender, content)
    )


def _structure(raw: object, content_class: type) -> result.Result:
    return records.structure(raw, content_class, records.lenient_converter)
