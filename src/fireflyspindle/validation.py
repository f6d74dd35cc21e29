"""Building of attrs classes from plain data, with every error named."""

from collections.abc import Iterator
import types
import typing
from typing import Any

import attrs
import result

_TYPE_NAMES = {
    str: "a string",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
    dict: "a table",
    list: "a list",
}


def build(into: type, raw: object, path: str) -> result.Result[Any, list[str]]:
    """Builds an attrs class from a table.

    Args:
        into: The attrs class; fields may be attrs classes or tuples of them.
        raw: The table, as TOML or JSON gives it.
        path: Where the table stands, for the errors.

    Returns:
        The object, or one error for each wrong, missing or unknown key, with
        its path, the value found and what is accepted.
    """
    if not isinstance(raw, dict):
        return result.Err([_wrong_type(path, raw, "a table")])
    errors: list[str] = []
    values: dict[str, Any] = {}
    fields = attrs.fields_dict(into)
    hints = typing.get_type_hints(into)
    errors += _unknown_keys(raw, list(fields), path)
    for name, field in fields.items():
        place = f"{path}.{name}" if path else name
        if name not in raw:
            errors += _missing(field, hints[name], place)
            continue
        match _value(field, hints[name], raw[name], place):
            case result.Err(found):
                errors += found
            case result.Ok(value):
                values[name] = value
    if errors:
        return result.Err(errors)
    return result.Ok(into(**values))


def _unknown_keys(raw: dict, known: list[str], path: str) -> Iterator[str]:
    for key in raw:
        if key not in known:
            place = f"{path}.{key}" if path else key
            yield f"{place}: unknown key; accepted are {', '.join(known)}"


def _missing(field: attrs.Attribute, hint: Any, place: str) -> list[str]:
    if field.default is not attrs.NOTHING:
        return []
    return [f"{place}: missing; give {_accepted(hint)}"]


def _value(
    field: attrs.Attribute, hint: Any, raw: object, place: str
) -> result.Result[Any, list[str]]:
    if attrs.has(hint):
        return build(hint, raw, place)
    if typing.get_origin(hint) is tuple:
        return _items(field, typing.get_args(hint)[0], raw, place)
    if not _fits(raw, hint):
        return result.Err([_wrong_type(place, raw, _accepted(hint))])
    return _validated(field, raw, place)


def _items(
    field: attrs.Attribute, item: Any, raw: object, place: str
) -> result.Result[Any, list[str]]:
    if not isinstance(raw, list):
        return result.Err([_wrong_type(place, raw, "a list")])
    errors: list[str] = []
    items: list[Any] = []
    for index, each in enumerate(raw):
        at = f"{place}[{index}]"
        if attrs.has(item):
            built = build(item, each, at)
        elif _fits(each, item):
            built = result.Ok(each)
        else:
            built = result.Err([_wrong_type(at, each, _accepted(item))])
        match built:
            case result.Err(found):
                errors += found
            case result.Ok(value):
                items.append(value)
    if errors:
        return result.Err(errors)
    return _validated(field, tuple(items), place)


def _validated(
    field: attrs.Attribute, value: Any, place: str
) -> result.Result[Any, list[str]]:
    if field.validator is not None:
        try:
            field.validator(None, field, value)
        except ValueError as error:
            return result.Err([f"{place}: {error}"])
    return result.Ok(value)


def _fits(raw: object, hint: Any) -> bool:
    if isinstance(hint, types.UnionType):
        return any(_fits(raw, option) for option in typing.get_args(hint))
    if hint is float:
        return isinstance(raw, (int, float)) and not isinstance(raw, bool)
    if hint is int:
        return isinstance(raw, int) and not isinstance(raw, bool)
    return isinstance(raw, hint)


def _accepted(hint: Any) -> str:
    if attrs.has(hint):
        return "a table"
    if typing.get_origin(hint) is tuple:
        return "a list"
    return _TYPE_NAMES.get(hint, str(hint))


def _wrong_type(place: str, raw: object, accepted: str) -> str:
    return f"{place}: found {raw!r}; give {accepted}"
