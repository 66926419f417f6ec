"""Decodes and checks JSON documents: settings of processes and rows of tables."""

from __future__ import annotations

from bronzerudder.settings.document import decode_document
from bronzerudder.settings.errors import SettingsError

__all__ = ["SettingsError", "decode_document"]
