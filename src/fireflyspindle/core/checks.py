"""Validators of record fields; errors state the value and what is accepted."""

from collections.abc import Callable
import math

import attrs

from fireflyspindle.core import addresses

MAX_NAME_CHARACTERS = 100

Validator = Callable[[object, attrs.Attribute, object], None]


def between(low: float, high: float) -> Validator:
    """Returns a validator that accepts None and numbers in [low, high]."""

    def check(_: object, field: attrs.Attribute, value: object) -> None:
        if value is None:
            return
        if not isinstance(value, int | float) or not low <= value <= high:
            raise ValueError(f"{field.name} = {value!r}; give {low} to {high}")

    return check


def name(_: object, field: attrs.Attribute, value: object) -> None:
    """Checks a name: 1 to 100 printable characters."""
    if not isinstance(value, str) or not _is_name(value):
        raise ValueError(
            f"{field.name} = {value!r}; give 1 to"
            f" {MAX_NAME_CHARACTERS} printable characters"
        )


def optional_name(
    instance: object, field: attrs.Attribute, value: object
) -> None:
    """Checks a name that may be empty."""
    if value != "":
        name(instance, field, value)


def address(_: object, field: attrs.Attribute, value: object) -> None:
    """Checks an "ip:port"."""
    error = addresses.validation_error(str(value))
    if error is not None:
        raise ValueError(f"{field.name}: {error}")


def path_prefix(_: object, field: attrs.Attribute, value: object) -> None:
    """Checks a path prefix: "/" or "/a/b", without a trailing slash."""
    text = str(value)
    valid = text.startswith("/") and text.isprintable() and len(text) <= 1000
    if not valid or (text != "/" and text.endswith("/")) or "//" in text:
        raise ValueError(
            f'{field.name} = {value!r}; give "/" or a path such as'
            ' "/dossier", without a trailing slash'
        )


def strict_int(value: object, _: type) -> int:
    """Returns a JSON integer unchanged; rejects other types."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"{value!r} is not an integer")
    return value


def strict_float(value: object, _: type) -> float:
    """Returns a finite JSON number unchanged; rejects other values."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{value!r} is not a number")
    if not math.isfinite(value):
        raise ValueError(f"{value!r} is not finite")
    return value


def strict_str(value: object, _: type) -> str:
    """Returns a JSON string unchanged; rejects other types."""
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is not a string")
    return value


def strict_bool(value: object, _: type) -> bool:
    """Returns a JSON boolean unchanged; rejects other types."""
    if not isinstance(value, bool):
        raise ValueError(f"{value!r} is neither true nor false")
    return value


def _is_name(value: str) -> bool:
    return 0 < len(value) <= MAX_NAME_CHARACTERS and value.isprintable()
