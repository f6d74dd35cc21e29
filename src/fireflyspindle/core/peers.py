"""Messages between gate hosts: HTTP with JSON, typed and versioned.

Fields that a newer version added are ignored; a message of an unknown kind is
told apart from one that can't be read.
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
    """A sign that one incarnation of a target is leaving.

    Attributes:
        address: Address of the target.
        ids: Ids of the incarnation; see `incarnations.Sign`.
    """

    address: str = attrs.field(validator=checks.address)
    ids: tuple[str, ...] = attrs.field(default=(), validator=_at_most(8))


@attrs.define(frozen=True)
class Heartbeat:
    """What a host says of itself and has heard of others.

    Attributes:
        digest: Hash of the configuration in force; see
            `configuration.Configuration`.
        reply: Whether the receiver shall answer with its own heartbeat.
        brief: Whether the answer need not tell of anything but its sender.
        rows: Rows about other hosts.
        leaving: Targets that are leaving.
        shared: What routing shares.
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
    """The sender lacks configuration records from an offset on."""

    from_offset: int = attrs.field(
        validator=checks.between(0, records.MAX_REVISION)
    )


@attrs.define(frozen=True)
class RecordsReply:
    """Configuration records without a gap, as the log holds them."""

    from_offset: int = attrs.field(
        validator=checks.between(0, records.MAX_REVISION)
    )
    bodies: tuple[str, ...] = ()


@attrs.define(frozen=True)
class StateRequest:
    """The sender lacks the whole configuration.

    Attributes:
        snapshot_id: Snapshot to go on with; empty for a new one.
        number: Number of the part that is wanted.
    """

    snapshot_id: str = ""
    number: int = attrs.field(
        default=0, validator=checks.between(0, snapshots.MAX_PARTS)
    )


@attrs.define(frozen=True)
class StateReply:
    """One part of the sender's whole configuration."""

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
    """One message; `sender` says where an answer goes."""

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
    """A message of a kind that this version doesn't know."""

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
    """Reads a message; the error says what is wrong with it."""
    if len(body) > MAX_MESSAGE_BYTES:
        return result.Err(
            f"message has {len(body)} characters; at most"
            f" {MAX_MESSAGE_BYTES} are read"
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
