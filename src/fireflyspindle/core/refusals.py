"""Requests that are refused before they become calls."""

import attrs


@attrs.define(frozen=True)
class Refusal:
    """The answer to a refused request.

    Attributes:
        status: HTTP status.
        error: Short machine-readable code.
        detail: Human-readable explanation.
        over_limit: Whether a configuration with higher limits would allow the
            request.
        retry_after_ms: When the caller may send the request again, or None.
    """

    status: int
    error: str
    detail: str
    over_limit: bool = False
    retry_after_ms: int | None = None
