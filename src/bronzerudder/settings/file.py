"""A settings file that may change while its process runs."""

from __future__ import annotations

import pathlib
from typing import Any

from bronzerudder.settings.document import decode_document
from bronzerudder.settings.errors import SettingsError


class SettingsFile:
    """Reads a settings file anew when it has changed.

    Parameters
    ----------
    path : str
        Of the file.
    expected : type
        ``TypedDict`` of the settings.
    """

    def __init__(self, path: str, expected: type) -> None:
        self._path = pathlib.Path(path)
        self._expected = expected
        self._content = self._load()

    def read_change(self) -> Any | SettingsError | None:
        """Return the settings if the file's content differs from the last time, else None."""
        content = self._load()
        if isinstance(content, SettingsError):
            return content
        if content == self._content:
            return None
        self._content = content
        return decode_document(content, self._expected)

    def _load(self) -> bytes | SettingsError:
        try:
            return self._path.read_bytes()
        except OSError as error:
            return SettingsError("$", f"{self._path}: {error.strerror}")
