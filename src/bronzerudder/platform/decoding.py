"""Decodes JSON of the platform, in which single values may be unreadable.

An object's value is what its writer stored, and any writer may store a text that no decoder reads:
half of a surrogate pair, bytes that are not UTF-8, numbers that are none in JSON, or arrays nested
too deep. It must not hide the other objects of the same page, so a page that can't be decoded as a
whole is split into its objects.
"""

from __future__ import annotations

import re
from typing import NamedTuple, TypeVar

import msgspec

_STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
_STRUCTURE = re.compile(_STRING + rb"|[\[\]{},]", re.DOTALL)
_MEMBER = re.compile(rb"\s*(" + _STRING + rb")\s*:\s*(.*)", re.DOTALL)
_OPENING = (b"{", b"[")
_CLOSING = (b"}", b"]")

_Document = TypeVar("_Document")


class Unreadable(NamedTuple):
    """Why a text could not be decoded; returned in place of the document."""

    reason: str


def decode_json(data: bytes, expected: type[_Document]) -> _Document | Unreadable:
    """Decode a JSON text as a type."""
    try:
        return msgspec.json.decode(data, type=expected)
    except (msgspec.DecodeError, RecursionError, ValueError) as error:
        return Unreadable(str(error))


def split_object(text: bytes) -> dict[str, bytes] | None:
    """Split a JSON object into the texts of its members, without decoding them.

    Names are kept as they are written, with their escapes. Returns None if the text is no object.
    """
    parts = _split(text, b"{")
    if parts is None:
        return None
    members: dict[str, bytes] = {}
    for part in parts:
        matched = _MEMBER.fullmatch(part)
        if matched is None:
            return None
        members[read_escaped(matched.group(1))] = matched.group(2).rstrip()
    return members


def split_array(text: bytes) -> list[bytes] | None:
    """Split a JSON array into the texts of its items; None if the text is no array."""
    return _split(text, b"[")


def read_escaped(text: bytes) -> str:
    """Return a JSON string without its quotes and with its escapes as they are written."""
    return text.strip()[1:-1].decode("ascii", "backslashreplace")


def _split(text: bytes, opening: bytes) -> list[bytes] | None:
    """Split an array or object at the commas of its outermost level."""
    text = text.strip()
    if not text.startswith(opening):
        return None
    parts = []
    depth = 0
    start = 1
    for found in _STRUCTURE.finditer(text):
        symbol = found.group()
        if symbol in _OPENING:
            depth += 1
            continue
        if symbol == b"," and depth == 1:
            parts.append(text[start : found.start()])
            start = found.end()
            continue
        if symbol not in _CLOSING:
            continue
        depth -= 1
        if depth == 0:
            last = text[start : found.start()]
            if parts or last.strip():
                parts.append(last)
            return parts if found.end() == len(text) else None
    return None
