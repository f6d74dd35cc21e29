"""Parses JSON documents, which anyone may have written."""

import json
from typing import Any

# Deepest nesting that is read. The parser's own limit depends on the stack of
# the caller, so that hosts would disagree about a document.
MAX_NESTING = 64

# What decoding a document of unexpected content may raise. A document that
# can't be decoded must not end the read of the others.
DECODE_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)


def parse(document: bytes | str) -> Any:
    """Returns the content of a document.

    Raises:
        ValueError: The document is not JSON, or nested too deeply.
        RecursionError: The document is nested far too deeply.
    """
    content = json.loads(document)
    text = document.encode() if isinstance(document, str) else document
    if text.count(b"[") + text.count(b"{") > MAX_NESTING:
        _check_nesting(content)
    return content


def _check_nesting(content: Any) -> None:
    level = [content]
    for _ in range(MAX_NESTING + 1):
        level = [member for value in level for member in _members(value)]
        if not level:
            return
    raise ValueError(f"nested more than {MAX_NESTING} levels deep")


def _members(value: Any) -> list[Any]:
    if isinstance(value, dict):
        return list(value.values())
    return value if isinstance(value, list) else []
