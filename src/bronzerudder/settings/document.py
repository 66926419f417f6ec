"""Checks JSON documents against typed dictionaries."""

from __future__ import annotations

import difflib
import functools
import typing
from typing import Any, TypeVar

import msgspec

from bronzerudder.settings.errors import SettingsError

_Document = TypeVar("_Document")


def decode_document(data: bytes, expected: type[_Document]) -> _Document | SettingsError:
    """Decode JSON and check every field; an unknown field is an error.

    Parameters
    ----------
    data : bytes
        The JSON text.
    expected : type
        A ``TypedDict`` whose annotations define the allowed values.

    Returns
    -------
    dict or SettingsError
        The checked document, or the first error found in it.
    """
    try:
        raw = msgspec.json.decode(data)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        return SettingsError("$", f"not JSON: {error}")
    unknown = _find_unknown_field(raw, expected, "$")
    if unknown is not None:
        return unknown
    try:
        return msgspec.convert(raw, expected, strict=True)
    except msgspec.ValidationError as error:
        return _as_settings_error(str(error))


def _as_settings_error(message: str) -> SettingsError:
    reason, _, path = message.partition(" - at `")
    return SettingsError(path.rstrip("`") or "$", reason)


def _find_unknown_field(value: Any, expected: Any, path: str) -> SettingsError | None:
    if typing.is_typeddict(expected):
        return _find_in_typed_dict(value, expected, path)
    origin = typing.get_origin(expected)
    arguments = typing.get_args(expected)
    if origin in (typing.Annotated, typing.Required, typing.NotRequired):
        return _find_unknown_field(value, arguments[0], path)
    if origin in (list, tuple) and isinstance(value, list):
        return _find_in_items(value, arguments[0], path)
    if origin is dict and isinstance(value, dict):
        return _find_in_values(value, arguments[1], path)
    return None


def _find_in_typed_dict(value: Any, expected: Any, path: str) -> SettingsError | None:
    if not isinstance(value, dict):
        return None
    fields = _read_fields(expected)
    for name, inner in value.items():
        if name not in fields:
            return SettingsError(f"{path}.{name}", _describe_unknown(name, list(fields)))
        found = _find_unknown_field(inner, fields[name], f"{path}.{name}")
        if found is not None:
            return found
    return None


@functools.cache
def _read_fields(expected: Any) -> dict[str, Any]:
    return typing.get_type_hints(expected, include_extras=True)


def _find_in_items(value: list[Any], expected: Any, path: str) -> SettingsError | None:
    for index, inner in enumerate(value):
        found = _find_unknown_field(inner, expected, f"{path}[{index}]")
        if found is not None:
            return found
    return None


def _find_in_values(value: dict[str, Any], expected: Any, path: str) -> SettingsError | None:
    for name, inner in value.items():
        found = _find_unknown_field(inner, expected, f"{path}.{name}")
        if found is not None:
            return found
    return None


def _describe_unknown(name: str, fields: list[str]) -> str:
    matches = difflib.get_close_matches(name, fields, n=1)
    if matches:
        return f"unknown field; did you mean `{matches[0]}`?"
    return f"unknown field; known fields are {', '.join(sorted(fields))}"
