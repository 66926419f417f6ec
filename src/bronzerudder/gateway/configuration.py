"""Holds the configuration in force at a gateway."""

from __future__ import annotations

from collections.abc import Callable

from bronzerudder.gateway.follower import KindListener
from bronzerudder.gateway.tables import Configuration
from bronzerudder.observability.event_log import EventLog
from bronzerudder.observability.ignored_entries import IgnoredEntries
from bronzerudder.platform.api import Change, Listing
from bronzerudder.platform.errors import StoreError

Decoder = Callable[[bytes], Configuration | StoreError]


class ConfigurationHolder(KindListener):
    """Holds the newest configuration that was read; never reverts to an older one.

    Parameters
    ----------
    name : str
        Name of the configuration's object on the store.
    decode : callable
        Decodes the object.
    on_change : callable
        Called after each change.
    log : EventLog
        Takes a line for each change.
    """

    def __init__(
        self, name: str, decode: Decoder, on_change: Callable[[], None], log: EventLog
    ) -> None:
        self._name = name
        self._decode = decode
        self._on_change = on_change
        self._log = log
        self._rejected = IgnoredEntries(log, "configuration rejected")
        self._current: Configuration | None = None

    @property
    def current(self) -> Configuration | None:
        """Configuration in force; None until one was read."""
        return self._current

    def apply_listing(self, listing: Listing, after_outage: bool) -> None:
        """Apply the object, if it is listed."""
        for stored in listing.objects:
            if stored.name == self._name:
                self.apply_value(stored.value)

    def apply_change(self, change: Change, after_outage: bool) -> None:
        """Apply a new version; a deletion leaves the last one in force."""
        if change.name != self._name:
            return
        if change.value is None:
            self._log.state("configuration deleted on the store, last version kept")
            return
        self.apply_value(change.value)

    def apply_value(self, value: bytes) -> bool:
        """Put the decoded value in force, if it is newer; return False if it can't be decoded."""
        decoded = self._decode(value)
        if isinstance(decoded, StoreError):
            self._rejected.add(self._name, decoded.reason)
            return False
        self._rejected.discard(self._name)
        current_version = -1 if self._current is None else self._current.version
        if decoded.version <= current_version:
            return True
        self._current = decoded
        self._log.state(
            "configuration in force",
            version=decoded.version,
            previous=current_version,
            routes=len(decoded.routes),
            keys=len(decoded.workspaces or ()),
        )
        self._on_change()
        return True
