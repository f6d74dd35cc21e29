"""Requests that are refused before they become calls."""

import attrs


@attrs.define(frozen=True)
class Refusal:
    """The answer to a refused request.

    Attributes:
        status: HTTP status.
        error: Short machine-readable code.
        detail: Human-readable explanation.
    """

    status: int
    error: str
    detail: str
