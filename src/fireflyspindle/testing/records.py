"""Bodies of configuration records, in the form that `publish` writes."""

from typing import Any

from fireflyspindle.core import records


def body(
    kind: str,
    name: str,
    payload: dict[str, Any] | None,
    *,
    record_id: str,
    author: str = "bench",
    expected_revision: int = 0,
    schema_version: int = 1,
) -> str:
    """Returns the log body of a record that every reader version can apply."""
    return records.encode(
        records.Envelope(
            record_id=record_id,
            kind=kind,
            name=name,
            expected_revision=expected_revision,
            schema_version=schema_version,
            oldest_reader_version=1,
            author=author,
            payload=payload,
        )
    )
