"""Tracks which backend servers probably hold a prompt prefix in their cache."""

from __future__ import annotations

from collections import OrderedDict

DEFAULT_PREFIXES = 4096
HOLDERS_PER_PREFIX = 4
HOLDER_TTL_S = 60.0
"""Time after which an unused prefix counts as evicted from the cache, in seconds."""


class PrefixMemory:
    """Remembers where an entry has recently sent each prefix.

    Cache events arrive late and with gaps, so the entry's own assignments are the primary source.
    When full, the least recently used prefix is evicted.

    Parameters
    ----------
    max_prefixes : int
        Maximum number of prefixes.
    """

    def __init__(self, max_prefixes: int = DEFAULT_PREFIXES) -> None:
        self._max_prefixes = max_prefixes
        self._holders: OrderedDict[str, dict[str, float]] = OrderedDict()

    def record(self, prefix: str, name: str, now_s: float) -> None:
        """Record that a request with the prefix was sent to a backend server."""
        holders = self._holders.get(prefix)
        if holders is None:
            holders = self._holders[prefix] = {}
            if len(self._holders) > self._max_prefixes:
                self._holders.popitem(last=False)
        self._holders.move_to_end(prefix)
        holders.pop(name, None)
        holders[name] = now_s
        if len(holders) > HOLDERS_PER_PREFIX:
            del holders[next(iter(holders))]

    def holders(self, prefix: str, now_s: float) -> tuple[str, ...]:
        """Return the names of probable holders of the prefix, the most recently used last."""
        known = self._holders.get(prefix)
        if known is None:
            return ()
        return tuple(name for name, sent_s in known.items() if now_s - sent_s < HOLDER_TTL_S)
