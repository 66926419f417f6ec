"""Reads JSON documents named on the command line."""

from __future__ import annotations

import pathlib
from typing import TypeVar

from bronzerudder.settings import SettingsError, decode_document

_Document = TypeVar("_Document")


def read_document(path: str, expected: type[_Document]) -> _Document | SettingsError:
    """Read and check a JSON file; an unreadable file gives an error with path ``$``."""
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as error:
        return SettingsError("$", f"cannot read {path}: {error.strerror}")
    return decode_document(data, expected)
