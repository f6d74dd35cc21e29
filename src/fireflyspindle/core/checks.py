"""Validators of record fields; each names the value and what is accepted."""

from collections.abc import Callable
import math

import attrs

from fireflyspindle.core import addresses

MAX_NAME_CHARACTERS = 100

Validator = Callable[[object, attrs.Attribute, object], None]


def between(low: float, high: float) -> Validator:
    """Returns a validator of None and of numbers from `low` to `high`."""

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
    error = addresses.problem(str(value))
    if error is not None:
        raise ValueError(f"{field.name}: {error}")


def path_prefix(_: object, field: attrs.Attribute, value: object) -> None:
    """Checks a path prefix: "/" or "/a/b", with no slash at its end."""
    text = str(value)
    valid = text.startswith("/") and text.isprintable() and len(text) <= 1000
    if not valid or (text != "/" and text.endswith("/")) or "//" in text:
        raise ValueError(
            f'{field.name} = {value!r}; give "/" or a path such as'
            ' "/dossier", with no slash at its end'
        )


def strict_int(value: object, _: type) -> int:
    """Takes a JSON whole number as it is."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"{value!r} is no whole number")
    return value


def strict_float(value: object, _: type) -> float:
    """Takes a finite JSON number as it is."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{value!r} is no number")
    if not math.isfinite(value):
        raise ValueError(f"{value!r} is not finite")
    return value


def strict_str(value: object, _: type) -> str:
    """Takes a JSON string as it is."""
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is no string")
    return value


def strict_bool(value: object, _: type) -> bool:
    """Takes a JSON truth value as it is."""
    if not isinstance(value, bool):
        raise ValueError(f"{value!r} is neither true nor false")
    return value


def _is_name(value: str) -> bool:
    return 0 < len(value) <= MAX_NAME_CHARACTERS and value.isprintable()
