"""Change requests to the administration API, and their rejection."""

from typing import Any
import uuid

from aiohttp import web
import attrs
import result

from fireflyspindle.core import records


@attrs.define(frozen=True)
class Change:
    """An operator's request to publish a record.

    Attributes:
        kind: Kind of the record.
        name: Name of the object within its kind.
        expected_revision: Revision that the record replaces; 0 for none.
        payload: The object, or None to delete it.
        schema_version: Schema version of the payload.
        oldest_reader_version: Oldest reader version that can apply the payload.
        record_id: Unique id that makes publishing idempotent; generated when
            empty.
    """

    kind: str
    name: str
    expected_revision: int
    payload: dict[str, Any] | None
    schema_version: int = 1
    oldest_reader_version: int = 1
    record_id: str = ""

    def envelope(self, author: str) -> records.Envelope:
        """Returns the record to append to the log.

        Raises:
            ValueError: A field is out of bounds.
        """
        return records.Envelope(
            record_id=self.record_id or uuid.uuid4().hex,
            kind=self.kind,
            name=self.name,
            expected_revision=self.expected_revision,
            schema_version=self.schema_version,
            oldest_reader_version=self.oldest_reader_version,
            author=author,
            payload=self.payload,
        )


@attrs.define(frozen=True)
class Refusal:
    """An error response: the change was rejected or its outcome is unknown."""

    status: int
    error: str
    detail: str

    def response(self) -> web.Response:
        """Returns the HTTP response."""
        return web.json_response(
            {"error": self.error, "detail": self.detail}, status=self.status
        )


def check_change(
    raw: object, author: str
) -> result.Result[records.Envelope, str]:
    """Validates a change request and builds the record for the log."""
    change = records.structure(raw, Change)
    envelope = change.and_then(
        lambda valid: records.build(lambda: valid.envelope(author))
    )
    return envelope.and_then(_check_payload)


def _check_payload(
    envelope: records.Envelope,
) -> result.Result[records.Envelope, str]:
    size_bytes = len(records.encode(envelope).encode())
    if size_bytes > records.MAX_RECORD_BYTES:
        return result.Err(
            f"record has {size_bytes} bytes; at most"
            f" {records.MAX_RECORD_BYTES} are accepted"
        )
    if envelope.payload is None:
        return result.Ok(envelope)
    return records.read_payload(envelope).map(lambda _: envelope)
