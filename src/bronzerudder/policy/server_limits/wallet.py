"""The permits that one gateway holds for one backend server."""

from __future__ import annotations

import math
from typing import NamedTuple

from bronzerudder.policy.server_limits.issuer import MAX_RESERVE_S, PermitDecision

PERMIT_LIFETIME_S = 0.5
"""Time for which a permit stays valid; unused ones lapse, so that idle gateways keep none."""
MIN_RETRY_S = 0.1
"""Pause after a permit was denied."""
MAX_PENDING = 4
"""Permits held or asked for at the same time for one backend server."""


class _Permit(NamedTuple):
    valid_from_s: float
    valid_until_s: float


class PermitWallet:
    """Holds permits, and the outlook for further ones.

    Attributes
    ----------
    outstanding : dict
        Monotonic time of each request for a permit that is not answered yet, by its number.
    """

    def __init__(self) -> None:
        self.outstanding: dict[int, float] = {}
        self._permits: list[_Permit] = []
        self._next_at_s = 0.0
        self._retry_at_s = 0.0
        self._gateways = 1

    @property
    def next_at_s(self) -> float:
        """Monotonic time at which a permit is available that was not issued yet."""
        return self._next_at_s

    @property
    def gateways(self) -> int:
        """Gateways that share the limit, when last heard."""
        return self._gateways

    def pending(self, now_s: float) -> int:
        """Count the permits held or asked for."""
        self._expire(now_s)
        return len(self._permits) + len(self.outstanding)

    def may_ask(self, now_s: float) -> bool:
        """Whether a further permit may be asked for now."""
        return now_s >= self._retry_at_s and self.pending(now_s) < MAX_PENDING

    def is_valid(self, now_s: float) -> bool:
        """Whether a permit is valid now."""
        self._expire(now_s)
        return any(permit.valid_from_s <= now_s for permit in self._permits)

    def use(self, now_s: float) -> None:
        """Use up the permit that is valid first."""
        self._expire(now_s)
        if self._permits:
            self._permits.pop(0)

    def valid_from_s(self, now_s: float) -> list[float]:
        """Return the monotonic times from which the permits held are valid, in order."""
        self._expire(now_s)
        return [permit.valid_from_s for permit in self._permits]

    def record(self, decision: PermitDecision, now_s: float) -> None:
        """Record the answer to a request for a permit."""
        self._gateways = max(1, decision.gateways)
        self._next_at_s = now_s + decision.next_delay_s
        if decision.granted:
            from_s = now_s + decision.delay_s
            self._permits.append(_Permit(from_s, from_s + PERMIT_LIFETIME_S))
            self._permits.sort()
            return
        self._retry_at_s = now_s + max(MIN_RETRY_S, decision.next_delay_s - MAX_RESERVE_S)

    def clear(self) -> None:
        """Drop all permits and the outlook, as after the end of a limit."""
        self._permits.clear()
        self.outstanding.clear()
        self._next_at_s = self._retry_at_s = 0.0
        self._gateways = 1

    def _expire(self, now_s: float) -> None:
        if self._permits and self._permits[0].valid_until_s <= now_s:
            self._permits = [item for item in self._permits if item.valid_until_s > now_s]


class PermitOutlook(NamedTuple):
    """What a gateway may expect of one backend server.

    Parameters
    ----------
    valid_from_s : list of float
        Monotonic times from which the permits held are valid.
    next_at_s : float
        Monotonic time at which a further one is available.
    rate_rps : float
        Permits per second that all gateways get.
    gateways : int
        Gateways that share them.
    """

    valid_from_s: list[float]
    next_at_s: float
    rate_rps: float
    gateways: int


def estimate_wait_s(outlooks: list[PermitOutlook], ahead: int, now_s: float) -> float:
    """Estimate the time until a permit is left behind `ahead` other requests, in seconds.

    Permits issued ahead are counted by the time of the next one. If that is as late as permits are
    issued ahead, further gateways wait without one, and on average half of them come first.
    """
    held = sorted(at_s for outlook in outlooks for at_s in outlook.valid_from_s)
    if ahead < len(held):
        return max(0.0, held[ahead] - now_s)
    rate_rps = sum(outlook.rate_rps for outlook in outlooks)
    if rate_rps <= 0:
        return math.inf
    gateways = max(outlook.gateways for outlook in outlooks)
    first_in_s = min(outlook.next_at_s for outlook in outlooks) - now_s
    position = (ahead - len(held)) * gateways
    if first_in_s > MAX_RESERVE_S - MIN_RETRY_S:
        position += (gateways - 1) / 2
    return max(0.0, first_in_s) + position / rate_rps
