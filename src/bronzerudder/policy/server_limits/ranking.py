"""Which gateway issues the permits of a backend server."""

from __future__ import annotations

from collections.abc import Iterable

from bronzerudder.policy.subset.rendezvous import rendezvous_hash

SILENT_AFTER_S = 0.2
"""Time without an answer after which a gateway is passed over; answers take a few milliseconds."""
ISOLATED_S = 3.0
"""Gateways hear of each other about twice a second, as they compare what they know."""
INTRODUCTION_S = 10.0
"""Time for which a gateway is known by its messages alone; the registry is read every 4 s."""
MAX_INTRODUCED = 1024
"""Bounds memory; far more than there are gateways."""


class GatewayRanking:
    """Ranks the gateways for each backend server; the first one that responds issues its permits.

    The rank depends on the two names only, so that gateways that know of each other agree without
    a message.

    Parameters
    ----------
    own : str
        Address of this gateway.
    """

    def __init__(self, own: str) -> None:
        self._own = own
        self._listed: frozenset[str] = frozenset()
        self._heard_at_s: dict[str, float] = {}
        self._waiting_since_s: dict[str, float] = {}
        self._silent: set[str] = set()
        self._members: frozenset[str] = frozenset((own,))
        self._ranked: dict[str, list[str]] = {}

    @property
    def is_known(self) -> bool:
        """Whether the gateways are known at all."""
        return bool(self._listed) or len(self._members) > 1

    @property
    def members(self) -> frozenset[str]:
        """Known gateways, this one among them."""
        return self._members

    def set_listed(self, addresses: Iterable[str], now_s: float) -> None:
        """Replace the gateways that the registry lists."""
        self._listed = frozenset(addresses)
        for address, heard_at_s in list(self._heard_at_s.items()):
            if now_s - heard_at_s > INTRODUCTION_S:
                del self._heard_at_s[address]
        self._update_members()

    def record_heard(self, address: str, now_s: float) -> bool:
        """Record a message of a gateway; return whether it had been passed over."""
        if address == self._own:
            return False
        if len(self._heard_at_s) < MAX_INTRODUCED or address in self._heard_at_s:
            self._heard_at_s[address] = now_s
        self._waiting_since_s.pop(address, None)
        was_silent = address in self._silent
        self._silent.discard(address)
        if address not in self._members:
            self._update_members()
        return was_silent

    def record_unanswered(self, address: str, asked_at_s: float, now_s: float) -> bool:
        """Record a message without an answer; return whether its receiver is now passed over."""
        if address in self._silent or self._heard_at_s.get(address, asked_at_s) > asked_at_s:
            return False
        since_s = self._waiting_since_s.setdefault(address, asked_at_s)
        if now_s - since_s < SILENT_AFTER_S:
            return False
        self._silent.add(address)
        return True

    def is_silent(self, address: str) -> bool:
        """Whether a gateway is passed over."""
        return address in self._silent

    def was_heard_within(self, address: str, time_s: float, now_s: float) -> bool:
        """Whether a message of a gateway has arrived within a time."""
        heard_at_s = self._heard_at_s.get(address)
        return heard_at_s is not None and now_s - heard_at_s <= time_s

    def is_isolated(self, now_s: float) -> bool:
        """Whether other gateways are known, but none was heard lately."""
        if len(self._members) == 1:
            return False
        return not any(now_s - at_s <= ISOLATED_S for at_s in self._heard_at_s.values())

    def find_issuer(self, server: str) -> str:
        """Return the gateway that issues the permits of a backend server."""
        for address in self._rank(server):
            if address not in self._silent:
                return address
        return self._own

    def responsive_others(self) -> list[str]:
        """Return the other gateways that were heard and are not passed over."""
        return [address for address in self._heard_at_s if address not in self._silent]

    def silent_before(self, server: str, address: str) -> list[str]:
        """Return the gateways that are passed over before the issuer at `address`."""
        ranked = self._rank(server)
        return [item for item in ranked[: ranked.index(address)] if item in self._silent]

    def successors(self, server: str, count: int) -> list[str]:
        """Return the gateways that rank next after this one."""
        ranked = self._rank(server)
        begin = ranked.index(self._own) + 1
        return ranked[begin : begin + count]

    def forget(self, server: str) -> None:
        """Drop the ranks for a backend server that is gone."""
        self._ranked.pop(server, None)

    def _update_members(self) -> None:
        members = self._listed.union(self._heard_at_s, (self._own,))
        if members != self._members:
            self._members = members
            self._ranked.clear()
            self._silent &= members

    def _rank(self, server: str) -> list[str]:
        ranked = self._ranked.get(server)
        if ranked is None:
            ranked = sorted(
                self._members, key=lambda item: (rendezvous_hash(server, item), item), reverse=True
            )
            self._ranked[server] = ranked
        return ranked
