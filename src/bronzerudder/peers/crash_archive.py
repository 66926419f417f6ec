"""Keeps the crashes behind quarantines on the platform's store, so that they outlast all gateways.

A gateway that starts asks the others for the crashes that they know of. If all gateways are lost
at once, only the store has them.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Mapping
from typing import Annotated

import anyio
import msgspec

from bronzerudder.observability.event_log import EventLog
from bronzerudder.observability.ignored_entries import MAX_LOGGED_CHARS
from bronzerudder.peers.messages import CrashSeen
from bronzerudder.platform.api import ABSENT_VERSION, Listing, ObjectStore
from bronzerudder.platform.decoding import Unreadable, decode_json
from bronzerudder.platform.errors import StoreError, StoreErrorKind
from bronzerudder.policy.quarantine import QUARANTINE_S

CRASH_KIND = "bronzerudder-crashes"
READ_INTERVAL_S = 4.0
"""Stale reads suffice and cost a tenth of a call; the other gateways are the faster source."""
WRITE_INTERVAL_S = 0.25
MAX_ENTRIES = 64
"""Entries that are read; a quarantine needs two to five."""


class _Document(msgspec.Struct):
    subjects: list[str]
    # Time from the crash to the writing of the entry.
    age_s: Annotated[float, msgspec.Meta(ge=0.0)] = 0.0


class CrashArchive:
    """Writes the crashes that this gateway reported, and reads those of all gateways.

    Entries carry no time of day, as clocks may differ: each gateway counts an entry's lifetime from
    when it first read it, and deletes the entry at its end.

    Parameters
    ----------
    store : ObjectStore
        Store that holds the entries.
    find_crashes : callable
        Returns the crashes that are to be kept, by id.
    on_crash : callable
        Called once with each crash that is read.
    log : EventLog
        Takes a line for each crash read or written.
    """

    def __init__(
        self,
        store: ObjectStore,
        find_crashes: Callable[[], Mapping[str, CrashSeen]],
        on_crash: Callable[[CrashSeen], None],
        log: EventLog,
    ) -> None:
        self._store = store
        self._find_crashes = find_crashes
        self._on_crash = on_crash
        self._log = log
        self._first_read_s: dict[str, float] = {}
        self._written: dict[str, int] = {}
        self._read_at_s = float("-inf")

    async def run(self) -> None:
        """Read and write entries until cancelled."""
        while True:
            now_s = time.monotonic()
            if now_s >= self._read_at_s + READ_INTERVAL_S:
                self._read_at_s = now_s + random.uniform(-0.2, 0.2) * READ_INTERVAL_S
                await self._read()
            await self._write()
            await anyio.sleep(WRITE_INTERVAL_S)

    async def _read(self) -> None:
        listing = await self._store.list(CRASH_KIND, stale=True)
        if isinstance(listing, StoreError):
            return
        now_s = time.monotonic()
        for stored in listing.objects[:MAX_ENTRIES]:
            if stored.name in self._first_read_s:
                continue
            self._first_read_s[stored.name] = now_s
            document = decode_json(stored.value, _Document)
            if isinstance(document, Unreadable):
                reason = document.reason[:MAX_LOGGED_CHARS]
                self._log.state("crash entry ignored", crash=stored.name, reason=reason)
                continue
            if stored.name not in self._written:
                self._log.state("crash read", crash=stored.name, fingerprints=document.subjects)
                self._on_crash(CrashSeen(stored.name, document.subjects, document.age_s))
        await self._delete_old(listing, now_s)

    async def _delete_old(self, listing: Listing, now_s: float) -> None:
        listed = {stored.name: stored.version for stored in listing.objects}
        for name, first_read_s in list(self._first_read_s.items()):
            if now_s - first_read_s < QUARANTINE_S:
                continue
            if name not in listed:
                del self._first_read_s[name]
                continue
            await self._store.delete(CRASH_KIND, name, listed[name])

    async def _write(self) -> None:
        crashes = self._find_crashes()
        for crash_id, crash in crashes.items():
            if crash_id in self._written or crash_id in self._first_read_s:
                continue
            value = msgspec.json.encode(_Document(crash.fingerprints, round(crash.age_s, 3)))
            version = await self._store.put(CRASH_KIND, crash_id, value, ABSENT_VERSION)
            if not isinstance(version, StoreError):
                self._written[crash_id] = version
                self._log.state("crash recorded", crash=crash_id, fingerprints=crash.fingerprints)
                continue
            if version.kind is StoreErrorKind.CONFLICT:
                self._first_read_s[crash_id] = time.monotonic()
                continue
            self._log.state("crash not recorded", crash=crash_id, reason=version.reason)
            await anyio.sleep(random.uniform(1.0, 2.0))
            return
        for crash_id in [name for name in self._written if name not in crashes]:
            # Its subjects have been found to be sound, or the quarantine has ended.
            deleted = await self._store.delete(CRASH_KIND, crash_id, self._written[crash_id])
            if not isinstance(deleted, StoreError) or deleted.kind is not (
                StoreErrorKind.UNAVAILABLE
            ):
                del self._written[crash_id]
