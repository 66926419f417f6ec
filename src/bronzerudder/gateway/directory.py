"""Directory of the backend servers that a gateway may send to."""

from __future__ import annotations

import time
from collections.abc import Callable

from bronzerudder.gateway.follower import KindListener
from bronzerudder.gateway.tables import BackendServer
from bronzerudder.observability.event_log import EventLog
from bronzerudder.observability.ignored_entries import IgnoredEntries
from bronzerudder.platform.api import Change, Listing
from bronzerudder.platform.errors import StoreError

REWRITE_GRACE_S = 2.0
"""Time within which entries that expired during an outage of the store are written again."""

Decoder = Callable[[str, bytes], BackendServer | StoreError]


class BackendDirectory(KindListener):
    """Holds the list of backend servers and notifies of each change.

    Parameters
    ----------
    decode : callable
        Decodes an entry.
    on_server : callable
        Called with each backend server that joins or changes.
    on_gone : callable
        Called with the id of each backend server that is removed.
    log : EventLog
        Takes a line for each change.
    """

    def __init__(
        self,
        decode: Decoder,
        on_server: Callable[[BackendServer], None],
        on_gone: Callable[[str], None],
        log: EventLog,
    ) -> None:
        self._decode = decode
        self._on_server = on_server
        self._on_gone = on_gone
        self._log = log
        self._ignored = IgnoredEntries(log, "backend server entry ignored")
        self._servers: dict[str, BackendServer] = {}
        self._versions: dict[str, int] = {}
        self._missing_until_s: dict[str, float] = {}
        self._grace_until_s = 0.0

    @property
    def servers(self) -> dict[str, BackendServer]:
        """Backend servers by id."""
        return self._servers

    def apply_listing(self, listing: Listing, after_outage: bool) -> None:
        """Apply a listing of all entries."""
        self._start_grace(after_outage)
        listed = {stored.name for stored in listing.objects}
        self._ignored.keep(listed)
        for stored in listing.objects:
            self._apply_entry(stored.name, stored.value, stored.version)
        for instance_id in [name for name in self._servers if name not in listed]:
            self._mark_missing(instance_id)

    def apply_change(self, change: Change, after_outage: bool) -> None:
        """Apply the write or removal of one entry."""
        self._start_grace(after_outage)
        if change.value is None:
            self._ignored.discard(change.name)
            self._mark_missing(change.name)
            return
        self._apply_entry(change.name, change.value, change.version)

    def drop_missing(self) -> None:
        """Drop the entries that were not written again in time after an outage of the store."""
        now_s = time.monotonic()
        for instance_id, until_s in list(self._missing_until_s.items()):
            if until_s <= now_s:
                self._drop(instance_id, "not written again after an outage of the store")

    def _start_grace(self, after_outage: bool) -> None:
        if after_outage:
            self._grace_until_s = time.monotonic() + REWRITE_GRACE_S

    def _apply_entry(self, instance_id: str, value: bytes, version: int) -> None:
        decoded = self._decode(instance_id, value)
        if isinstance(decoded, StoreError):
            self._ignored.add(instance_id, decoded.reason)
            if instance_id in self._servers:
                self._drop(instance_id, "entry cannot be decoded")
            return
        self._ignored.discard(instance_id)
        self._missing_until_s.pop(instance_id, None)
        listed = self._servers.get(instance_id)
        if self._resolve_address_conflict(decoded, version) or listed == decoded:
            return
        self._versions[instance_id] = version
        self._servers[instance_id] = decoded
        self._log.state(
            "backend server listed" if listed is None else "backend server changed",
            instance=instance_id,
            service=decoded.service,
            address=decoded.address,
            leaving=decoded.leaving,
        )
        self._on_server(decoded)

    def _resolve_address_conflict(self, server: BackendServer, version: int) -> bool:
        """Return whether a newer entry has the same address; drop older ones that have it.

        The entry of a crashed backend server remains until it expires, while its successor at the
        same address is listed already.
        """
        for other in list(self._servers.values()):
            if other.address != server.address or other.instance_id == server.instance_id:
                continue
            if self._versions[other.instance_id] > version:
                return True
            self._drop(other.instance_id, f"address taken over by {server.instance_id}")
        return False

    def _mark_missing(self, instance_id: str) -> None:
        listed = self._servers.get(instance_id)
        if listed is None or instance_id in self._missing_until_s:
            return
        if not listed.leaving and time.monotonic() < self._grace_until_s:
            # It may have expired because its backend server could not reach the store either.
            self._missing_until_s[instance_id] = self._grace_until_s
            return
        self._drop(instance_id, "removed from the list")

    def _drop(self, instance_id: str, reason: str) -> None:
        self._missing_until_s.pop(instance_id, None)
        listed = self._servers.pop(instance_id, None)
        self._versions.pop(instance_id, None)
        if listed is None:
            return
        self._log.state(
            "backend server gone", instance=instance_id, service=listed.service, reason=reason
        )
        self._on_gone(instance_id)
