"""Logs which entries of a list on the store are ignored, once for each entry and reason."""

from __future__ import annotations

from collections.abc import Collection

from bronzerudder.observability.event_log import EventLog

MAX_LOGGED_CHARS = 200
"""Of a name or reason, which contain what another writer stored."""


class IgnoredEntries:
    """Entries of a list that are ignored at present.

    Entries are read again and again, and some are written again every second.

    Parameters
    ----------
    log : EventLog
        Takes a line for each ignored entry, and again if its reason changes.
    event : str
        Event of these lines.
    """

    def __init__(self, log: EventLog, event: str) -> None:
        self._log = log
        self._event = event
        self._reasons: dict[str, str] = {}

    def add(self, name: str, reason: str) -> None:
        """Add an entry that was read and is ignored."""
        reason = reason[:MAX_LOGGED_CHARS]
        if self._reasons.get(name) == reason:
            return
        self._reasons[name] = reason
        self._log.state(self._event, entry=name[:MAX_LOGGED_CHARS], reason=reason)

    def discard(self, name: str) -> None:
        """Remove an entry that was accepted, or was deleted."""
        self._reasons.pop(name, None)

    def keep(self, names: Collection[str]) -> None:
        """Remove all entries but those that are still listed."""
        for name in [name for name in self._reasons if name not in names]:
            del self._reasons[name]
