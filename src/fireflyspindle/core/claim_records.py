"""Records of the claims stream; each is a batch of claims and outcomes."""

import enum
import json
from typing import Any

import attrs
import result

from fireflyspindle.core import claim_keys
from fireflyspindle.core import json_documents

VERSION = 1


class ClaimOutcome(enum.Enum):
    """How the request of a claim ended, as its owner recorded it.

    NOT_RUN releases the key: the next claim owns it.
    """

    COMPLETE = "complete"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@attrs.define
class Claim:
    """A gate host's claim of a key.

    Attributes:
        number: Number of the claim, unique within its writer.
        key: The key.
    """

    number: int
    key: claim_keys.KeyRef


@attrs.define
class OutcomeUpdate:
    """The outcome of a claim's request, recorded by the claim's writer.

    Attributes:
        number: Number of the claim.
        key: The key.
        outcome: How the request ended.
        status: HTTP status of the target's answer, or 0.
    """

    number: int
    key: claim_keys.KeyRef
    outcome: ClaimOutcome
    status: int = 0


@attrs.define
class Batch:
    """One record of the stream.

    Attributes:
        writer: Incarnation of the gate host that wrote it.
        number: Number of the batch, unique within its writer.
        wall_ms: Wall-clock time at which it was created.
        claims: Claims, in the order in which they apply.
        outcomes: Outcomes of claims of the same writer.
    """

    writer: str
    number: int
    wall_ms: int
    claims: tuple[Claim, ...] = ()
    outcomes: tuple[OutcomeUpdate, ...] = ()


@attrs.define
class UndecodableRecord:
    """A record that this host can't decode.

    Attributes:
        reason: What is wrong with the record.
        newer_version: Whether it has a newer format version, so that it may
            hold claims.
    """

    reason: str
    newer_version: bool


def encode(batch: Batch) -> str:
    """Encodes a batch as JSON, with one array per claim and outcome."""
    return json.dumps(
        {
            "version": VERSION,
            "writer": batch.writer,
            "number": batch.number,
            "wall_ms": batch.wall_ms,
            "claims": [
                [claim.number, *_key_row(claim.key)] for claim in batch.claims
            ],
            "outcomes": [
                [
                    update.number,
                    *_key_row(update.key),
                    update.outcome.value,
                    update.status,
                ]
                for update in batch.outcomes
            ],
        },
        separators=(",", ":"),
    )


def decode(body: str) -> result.Result[Batch, UndecodableRecord]:
    """Decodes a batch."""
    try:
        raw = json_documents.parse(body)
        version = raw["version"]
        if isinstance(version, int) and version > VERSION:
            reason = f"version {version} is newer than {VERSION}"
            return result.Err(UndecodableRecord(reason, newer_version=True))
        return result.Ok(_batch(raw))
    except json_documents.DECODE_ERRORS as error:
        reason = f"{type(error).__name__}: {error}"
        return result.Err(UndecodableRecord(reason, newer_version=False))


def _batch(raw: dict[str, Any]) -> Batch:
    return Batch(
        writer=str(raw["writer"]),
        number=int(raw["number"]),
        wall_ms=int(raw["wall_ms"]),
        claims=tuple(_claim(*row) for row in raw["claims"]),
        outcomes=tuple(_outcome(*row) for row in raw["outcomes"]),
    )


def _key_row(key: claim_keys.KeyRef) -> tuple[str, int, str]:
    return (f"{key.key_id:x}", key.issued_ms, f"{key.digest:x}")


def _key(key_id: str, issued_ms: int, digest: str) -> claim_keys.KeyRef:
    return claim_keys.KeyRef(int(key_id, 16), int(issued_ms), int(digest, 16))


def _claim(number: int, key_id: str, issued_ms: int, digest: str) -> Claim:
    return Claim(int(number), _key(key_id, issued_ms, digest))


def _outcome(
    number: int,
    key_id: str,
    issued_ms: int,
    digest: str,
    outcome: str,
    status: int,
) -> OutcomeUpdate:
    key = _key(key_id, issued_ms, digest)
    return OutcomeUpdate(int(number), key, ClaimOutcome(outcome), int(status))
