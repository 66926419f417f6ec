"""A limit that a stand-in names in its answers, and a check of the requests that reach it.

The check follows the users' rule: from `STABLE_WINDOW_S` after a server first named its limit, no
`WINDOW_S` has more than `FACTOR` times what the limit allows, and `EXTRA` requests, of the gateways
that passed on such an answer `TOLD_S` before or earlier.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import NamedTuple

from bronzerudder.platform import wire

STABLE_WINDOW_S = 3.0
WINDOW_S = 4.0
FACTOR = 1.5
EXTRA = 5
TOLD_S = 0.5


class LimitChange(NamedTuple):
    """A change of the limit, in requests per second or None, at a monotonic time."""

    at_s: float
    rate_rps: float | None


class Arrival(NamedTuple):
    """A request that reached the server at a monotonic time."""

    request_id: str
    at_s: float


class Excess(NamedTuple):
    """The window with the most requests beyond what the limit allows.

    Parameters
    ----------
    end_s : float
        End of the window, a monotonic time.
    requests : int
        Requests that count.
    allowed : float
        Requests that the rule allows.
    """

    end_s: float
    requests: int
    allowed: float


class NamedLimit:
    """The limit of one stand-in, and what reached it."""

    def __init__(self) -> None:
        self._changes: list[LimitChange] = []
        self._arrivals: list[Arrival] = []
        self._told: list[Arrival] = []

    @property
    def arrivals(self) -> list[Arrival]:
        """All requests that reached the server, in order."""
        return self._arrivals

    @property
    def rate_rps(self) -> float | None:
        """The limit at present; None without one."""
        return self._changes[-1].rate_rps if self._changes else None

    def set_rate(self, rate_rps: float | None) -> None:
        """Name a limit in all further answers, or none any more."""
        self._changes.append(LimitChange(time.monotonic(), rate_rps))

    def headers(self, request_id: str) -> list[tuple[bytes, bytes]]:
        """Return the headers that an answer names the limit with."""
        if self.rate_rps is None:
            return []
        self._told.append(Arrival(request_id, time.monotonic()))
        return [(wire.LIMIT, f"{self.rate_rps:g}".encode())]

    def record_arrival(self, request_id: str) -> None:
        """Record a request, whether it is run or not."""
        self._arrivals.append(Arrival(request_id, time.monotonic()))

    def find_excess(
        self,
        gateway_of: Callable[[str], str],
        is_excused: Callable[[str, float], bool] = lambda gateway, at_s: False,
    ) -> Excess | None:
        """Return the window that exceeds the rule the most; None if none does.

        Parameters
        ----------
        gateway_of : callable
            Returns the gateway that sent a request, by its id.
        is_excused : callable
            Returns whether a gateway was restarted, suspended or cut off at a monotonic time.
        """
        told_at_s: dict[str, float] = {}
        for told in self._told:
            told_at_s.setdefault(gateway_of(told.request_id), told.at_s)
        counted = []
        for arrival in self._arrivals:
            gateway = gateway_of(arrival.request_id)
            is_told = told_at_s.get(gateway, float("inf")) + TOLD_S <= arrival.at_s
            if is_told and not is_excused(gateway, arrival.at_s):
                counted.append(arrival.at_s)
        worst: Excess | None = None
        first = 0
        for index, end_s in enumerate(counted):
            while counted[first] <= end_s - WINDOW_S:
                first += 1
            allowed = self._allowed(end_s)
            requests = index - first + 1
            if allowed is None or requests <= allowed:
                continue
            if worst is None or requests - allowed > worst.requests - worst.allowed:
                worst = Excess(end_s, requests, allowed)
        return worst

    def _allowed(self, end_s: float) -> float | None:
        """Return the requests allowed in the window that ends at a time; None without a rule."""
        begin_s = end_s - WINDOW_S
        total = 0.0
        changes = [*self._changes, LimitChange(float("inf"), None)]
        named_since_s = float("inf")
        for change, following in zip(changes, changes[1:], strict=False):
            if change.rate_rps is None:
                named_since_s = float("inf")
                if change.at_s < end_s and following.at_s > begin_s:
                    return None
                continue
            named_since_s = min(named_since_s, change.at_s)
            covered_s = min(end_s, following.at_s) - max(begin_s, change.at_s)
            if covered_s > 0:
                total += covered_s * change.rate_rps
            if following.at_s > end_s:
                break
        if begin_s < named_since_s + STABLE_WINDOW_S:
            return None
        return FACTOR * total + EXTRA
