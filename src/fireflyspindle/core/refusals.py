"""Requests that are refused before they become calls."""

import attrs


@attrs.define(frozen=True)
class Refusal:
    """What the caller of a refused request is told.

    Attributes:
        status: HTTP status.
        error: Short machine-readable code.
        detail: Sentence for a person.
    """

    status: int
    error: str
    detail: str
