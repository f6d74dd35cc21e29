"""Builds instances of attrs classes from plain data, reporting every error."""

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


def build(
    attrs_class: type, raw: object, path: str
) -> result.Result[Any, list[str]]:
    """Builds an instance of an attrs class from a table.

    Args:
        attrs_class: The attrs class; fields may be attrs classes or tuples of
            them.
        raw: The table, as parsed from TOML or JSON.
        path: Path of the table, for error messages.

    Returns:
        The object, or one error for each wrong, missing or unknown key. An
        error names the path of the key, the value found and the accepted type.
    """
    if not isinstance(raw, dict):
        return result.Err([_wrong_type(path, raw, "a table")])
    errors: list[str] = []
    values: dict[str, Any] = {}
    fields = attrs.fields_dict(attrs_class)
    hints = typing.get_type_hints(attrs_class)
    errors += _unknown_key_errors(raw, list(fields), path)
    for name, field in fields.items():
        location = f"{path}.{name}" if path else name
        if name not in raw:
            errors += _missing_errors(field, hints[name], location)
            continue
        match _build_value(field, hints[name], raw[name], location):
            case result.Err(found):
                errors += found
            case result.Ok(value):
                values[name] = value
    if errors:
        return result.Err(errors)
    return result.Ok(attrs_class(**values))


def _unknown_key_errors(
    raw: dict, known: list[str], path: str
) -> Iterator[str]:
    for key in raw:
        if key not in known:
            location = f"{path}.{key}" if path else key
            yield f"{location}: unknown key; accepted are {', '.join(known)}"


def _missing_errors(
    field: attrs.Attribute, hint: Any, location: str
) -> list[str]:
    if field.default is not attrs.NOTHING:
        return []
    return [f"{location}: missing; give {_describe_type(hint)}"]


def _build_value(
    field: attrs.Attribute, hint: Any, raw: object, location: str
) -> result.Result[Any, list[str]]:
    if attrs.has(hint):
        return build(hint, raw, location)
    if typing.get_origin(hint) is tuple:
        return _build_items(field, typing.get_args(hint)[0], raw, location)
    if not _has_type(raw, hint):
        return result.Err([_wrong_type(location, raw, _describe_type(hint))])
    return _run_validator(field, raw, location)


def _build_items(
    field: attrs.Attribute, item_type: Any, raw: object, location: str
) -> result.Result[Any, list[str]]:
    if not isinstance(raw, list):
        return result.Err([_wrong_type(location, raw, "a list")])
    errors: list[str] = []
    items: list[Any] = []
    for index, item in enumerate(raw):
        item_location = f"{location}[{index}]"
        if attrs.has(item_type):
            built = build(item_type, item, item_location)
        elif _has_type(item, item_type):
            built = result.Ok(item)
        else:
            built = result.Err(
                [_wrong_type(item_location, item, _describe_type(item_type))]
            )
        match built:
            case result.Err(found):
                errors += found
            case result.Ok(value):
                items.append(value)
    if errors:
        return result.Err(errors)
    return _run_validator(field, tuple(items), location)


def _run_validator(
    field: attrs.Attribute, value: Any, location: str
) -> result.Result[Any, list[str]]:
    if field.validator is not None:
        try:
            field.validator(None, field, value)
        except ValueError as error:
            return result.Err([f"{location}: {error}"])
    return result.Ok(value)


def _has_type(raw: object, hint: Any) -> bool:
    if isinstance(hint, types.UnionType):
        return any(_has_type(raw, option) for option in typing.get_args(hint))
    if hint is float:
        return isinstance(raw, (int, float)) and not isinstance(raw, bool)
    if hint is int:
        return isinstance(raw, int) and not isinstance(raw, bool)
    return isinstance(raw, hint)


def _describe_type(hint: Any) -> str:
    if attrs.has(hint):
        return "a table"
    if typing.get_origin(hint) is tuple:
        return "a list"
    return _TYPE_NAMES.get(hint, str(hint))


def _wrong_type(location: str, raw: object, expected: str) -> str:
    return f"{location}: found {raw!r}; give {expected}"
