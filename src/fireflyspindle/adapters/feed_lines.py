"""Lines of the feed by which a gate host relays its reads of the store.

See `store_feed` for what they hold.
"""

import base64
import json
from typing import Any
import zlib

import attrs

from fireflyspindle.adapters import store_records
from fireflyspindle.core import json_documents

# Longest line: some thousands of target entries, or a large configuration.
MAX_LINE_BYTES = 8 * 1024 * 1024
# Sources that every build relays and follows; further ones are named.
BASIC_SOURCES = ("configuration", "targets")


@attrs.define(frozen=True)
class StreamStarted:
    """The followed host has identified itself.

    Attributes:
        failure_domain: Failure domain of the followed host.
        gate_hosts: Number of gate hosts of the fleet; None if unknown.
        sent_ms: Time at which the line was sent, by the sender's clock; None
            from hosts of builds that don't state it.
    """

    failure_domain: str
    gate_hosts: int | None = None
    sent_ms: int | None = None


@attrs.define(frozen=True)
class RelayedOutcome:
    """The outcome of a read, as sent by the followed host.

    Attributes:
        source: Name of the source.
        age_ms: Time since the read ended, when the line was sent.
        outcome: Records that were not sent before, or the failure.
        own: Whether the followed host made the read itself.
        gate_hosts: Number of gate hosts of the fleet; None if it has not
            changed or is unknown.
        delay_ms: Time that the read took beyond its wait at the store.
        sent_ms: Time at which the line was sent, by the sender's clock; None
            from hosts of builds that don't state it.
        digest: Digest of the records that the sender holds; None with a
            failure, and from hosts of builds that don't state it.
        taken_ms: Longest time that the read may have taken; None from hosts of
            builds that don't state it.
    """

    source: str
    age_ms: int
    outcome: store_records.Batch | store_records.ReadFailed
    own: bool
    gate_hosts: int | None = None
    delay_ms: int = 0
    sent_ms: int | None = None
    digest: int | None = None
    taken_ms: int | None = None


def _encode_record(record: store_records.Record) -> list[Any]:
    # Latin-1 maps each byte to one character, which JSON can represent.
    value = record.value
    text = None if value is None else value.decode("latin-1")
    return [record.key, text, record.offset]


def encode_records(records: list[store_records.Record], deflate: bool) -> bytes:
    """Returns the member of a line that holds records."""
    rows = [_encode_record(record) for record in records]
    text = json.dumps(rows, separators=(",", ":")).encode()
    if deflate:
        compressed = base64.b85encode(zlib.compress(text))
        if len(compressed) < len(text):
            return b'"deflated":"' + compressed + b'"'
    return b'"records":' + text


def encode_line(content: dict[str, Any], member: bytes = b"") -> bytes:
    """Encodes a line, with one more member that is encoded already."""
    line = json.dumps(content, separators=(",", ":")).encode()
    if member:
        line = line[:-1] + b"," + member + b"}"
    return line + b"\n"


def decode_line(line: bytes) -> StreamStarted | RelayedOutcome:
    """Decodes one line.

    Raises:
        ValueError: The line is invalid.
    """
    try:
        content = json_documents.parse(line)
        if "failure-domain" in content:
            return StreamStarted(
                str(content["failure-domain"]),
                _decode_gate_hosts(content),
                _decode_sent_ms(content),
            )
        outcome: store_records.Batch | store_records.ReadFailed
        if "failed" in content:
            outcome = store_records.ReadFailed(str(content["failed"]))
        else:
            outcome = store_records.Batch(
                [_decode_record(row) for row in _decode_rows(content)],
                int(content["next-offset"]),
                bool(content["whole"]),
                int(content["from-offset"]),
                is_complete=not content.get("more", False),
            )
        # The age of a late read includes its delay, as hosts of older builds
        # know nothing of delays.
        late_ms = max(0, int(content.get("late-ms", 0)))
        return RelayedOutcome(
            str(content["source"]),
            int(content["age-ms"]) - late_ms,
            outcome,
            bool(content["own"]),
            _decode_gate_hosts(content),
            max(0, int(content.get("delay-ms", 0))) + late_ms,
            _decode_sent_ms(content),
            _decode_digest(content),
            _decode_taken_ms(content),
        )
    except json_documents.DECODE_ERRORS as error:
        raise ValueError(f"line {line[:100]!r} can't be read") from error


def _decode_gate_hosts(content: dict[str, Any]) -> int | None:
    gate_hosts = content.get("gate-hosts")
    return None if gate_hosts is None else int(gate_hosts)


def _decode_sent_ms(content: dict[str, Any]) -> int | None:
    sent_ms = content.get("sent-ms")
    return None if sent_ms is None else int(sent_ms)


def encode_digest(digest: int) -> str:
    """Returns the member "digest" of a line."""
    return f"{digest:016x}"


def _decode_digest(content: dict[str, Any]) -> int | None:
    digest = content.get("digest")
    return None if digest is None else int(digest, 16)


def _decode_taken_ms(content: dict[str, Any]) -> int | None:
    taken_ms = content.get("taken-ms")
    return None if taken_ms is None else max(0, int(taken_ms))


def _decode_rows(content: dict[str, Any]) -> list[list[Any]]:
    """Returns the rows of the records in a line.

    Raises:
        KeyError: There are none.
        ValueError: They can't be decompressed.
    """
    rows: list[list[Any]]
    if "deflated" not in content:
        rows = content["records"]
        return rows
    decompressor = zlib.decompressobj()
    try:
        compressed = base64.b85decode(content["deflated"])
        text = decompressor.decompress(compressed, MAX_LINE_BYTES)
        if not decompressor.eof:
            raise ValueError("too large or incomplete")
        rows = json_documents.parse(text)
    except (*json_documents.DECODE_ERRORS, zlib.error) as error:
        raise ValueError(f"records can't be read: {error}") from error
    return rows


def _decode_record(row: list[Any]) -> store_records.Record:
    key, text, offset = row
    value = None if text is None else text.encode("latin-1")
    return store_records.Record(str(key), value, int(offset))
