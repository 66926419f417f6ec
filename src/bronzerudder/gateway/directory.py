"""The backend servers that a gateway may send to."""

from __future__ import annotations

import time
from collections.abc import Callable

from bronzerudder.gateway.follower import KindListener
from bronzerudder.gateway.tables import BackendServer
from bronzerudder.observability.event_log import EventLog
from bronzerudder.platform.api import Change, Listing
from bronzerudder.platform.errors import StoreError

RETURN_GRACE_S = 2.0
"""Time in which entries that lapsed during an outage of the store are written again."""

Decoder = Callable[[str, bytes], BackendServer | StoreError]


class BackendDirectory(KindListener):
    """Holds the list of backend servers and tells of each change.

    Parameters
    ----------
    decode : callable
        Decodes an entry.
    on_server : callable
        Takes each backend server that joins or changes.
    on_gone : callable
        Takes the id of each that is gone.
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
        self._servers: dict[str, BackendServer] = {}
        self._versions: dict[str, int] = {}
        self._missing_until_s: dict[str, float] = {}
        self._grace_until_s = 0.0

    @property
    def servers(self) -> dict[str, BackendServer]:
        """Backend servers by id."""
        return self._servers

    def take_listing(self, listing: Listing, after_outage: bool) -> None:
        """Take in the whole list."""
        self._note_outage(after_outage)
        listed = {stored.name for stored in listing.objects}
        for stored in listing.objects:
            self._take_entry(stored.name, stored.value, stored.version)
        for instance_id in [name for name in self._servers if name not in listed]:
            self._take_absence(instance_id)

    def take_change(self, change: Change, after_outage: bool) -> None:
        """Take in one entry or its removal."""
        self._note_outage(after_outage)
        if change.value is None:
            self._take_absence(change.name)
            return
        self._take_entry(change.name, change.value, change.version)

    def drop_missing(self) -> None:
        """Drop the entries that did not return in time after an outage of the store."""
        now_s = time.monotonic()
        for instance_id, until_s in list(self._missing_until_s.items()):
            if until_s <= now_s:
                self._drop(instance_id, "did not return after an outage of the store")

    def _note_outage(self, after_outage: bool) -> None:
        if after_outage:
            self._grace_until_s = time.monotonic() + RETURN_GRACE_S

    def _take_entry(self, instance_id: str, value: bytes, version: int) -> None:
        decoded = self._decode(instance_id, value)
        if isinstance(decoded, StoreError):
            self._log.state("backend server entry ignored", reason=decoded.reason)
            if instance_id in self._servers:
                self._drop(instance_id, "entry is not understood")
            return
        self._missing_until_s.pop(instance_id, None)
        known = self._servers.get(instance_id)
        if self._is_superseded(decoded, version) or known == decoded:
            return
        self._versions[instance_id] = version
        self._servers[instance_id] = decoded
        self._log.state(
            "backend server listed" if known is None else "backend server changed",
            instance=instance_id,
            service=decoded.service,
            address=decoded.address,
            leaving=decoded.leaving,
        )
        self._on_server(decoded)

    def _is_superseded(self, server: BackendServer, version: int) -> bool:
        """Settle which of several entries for one address is the newest; drop the others.

        The entry of a backend server that crashed stays until it lapses, while its successor at
        the same address is listed already.
        """
        for other in list(self._servers.values()):
            if other.address != server.address or other.instance_id == server.instance_id:
                continue
            if self._versions[other.instance_id] > version:
                return True
            self._drop(other.instance_id, f"{server.instance_id} has its address now")
        return False

    def _take_absence(self, instance_id: str) -> None:
        known = self._servers.get(instance_id)
        if known is None or instance_id in self._missing_until_s:
            return
        if not known.leaving and time.monotonic() < self._grace_until_s:
            # It may have lapsed because it could not reach the store either.
            self._missing_until_s[instance_id] = self._grace_until_s
            return
        self._drop(instance_id, "removed from the list")

    def _drop(self, instance_id: str, reason: str) -> None:
        self._missing_until_s.pop(instance_id, None)
        known = self._servers.pop(instance_id, None)
        self._versions.pop(instance_id, None)
        if known is None:
            return
        self._log.state(
            "backend server gone", instance=instance_id, service=known.service, reason=reason
        )
        self._on_gone(instance_id)
