"""Which backend servers are believed to hold a prompt prefix."""

from __future__ import annotations

from collections import OrderedDict

DEFAULT_PREFIXES = 4096
HOLDERS_PER_PREFIX = 4
BELIEF_S = 60.0
"""Time after which an unused prefix is taken for dropped."""


class PrefixMemory:
    """Remembers where an entry has lately sent each prefix.

    Cache events come late and with gaps, so the entry's own placements are the first source;
    the least recently used prefix is forgotten when the memory is full.

    Parameters
    ----------
    max_prefixes : int
        Prefixes remembered.
    """

    def __init__(self, max_prefixes: int = DEFAULT_PREFIXES) -> None:
        self._max_prefixes = max_prefixes
        self._holders: OrderedDict[str, dict[str, float]] = OrderedDict()

    def record(self, prefix: str, name: str, now_s: float) -> None:
        """Note that a request with the prefix was sent to a backend server."""
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
        """Names of the backend servers believed to hold the prefix, the latest used last."""
        known = self._holders.get(prefix)
        if known is None:
            return ()
        return tuple(name for name, sent_s in known.items() if now_s - sent_s < BELIEF_S)
