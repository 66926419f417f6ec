"""Issues permits to send requests to backend servers at the rates that these have named."""

from __future__ import annotations

from typing import NamedTuple

from bronzerudder.policy.limits.bucket import TokenBucket

MIN_RATE_RPS = 0.25
"""Also a server that accepts nothing gets a request in four seconds, as only answers tell that a
limit has changed."""
MAX_RESERVE_S = 1.0
"""Permits are issued this long before they become valid, so that waiting gateways take turns."""
RECENT_S = 2.0
"""A gateway counts as sharing a limit for this time after it asked for a permit."""

IDLE_S = 10.0
"""Time without a request after which a server's state is dropped; its bucket is full by then."""


class PermitDecision(NamedTuple):
    """Answer to a gateway that asks for a permit to send one request.

    Parameters
    ----------
    granted : bool
        Whether it is granted.
    delay_s : float
        Time after which it is valid, in seconds; 0 if it is not granted.
    next_delay_s : float
        Time after which another one would be valid, in seconds.
    gateways : int
        Gateways that share the limit at present.
    """

    granted: bool
    delay_s: float
    next_delay_s: float
    gateways: int


class _ServerState:
    def __init__(self, rate_rps: float) -> None:
        self.bucket = TokenBucket(rate_rps)
        self.asked_at_s: dict[str, float] = {}


class PermitIssuer:
    """Issues the permits of the backend servers for which one gateway is responsible.

    One token bucket for each server bounds the requests of all gateways together.
    """

    def __init__(self) -> None:
        self._servers: dict[str, _ServerState] = {}

    def issue(self, server: str, rate_rps: float, gateway: str, now_s: float) -> PermitDecision:
        """Decide on a permit for one request of a gateway."""
        rate_rps = max(MIN_RATE_RPS, rate_rps)
        state = self._servers.get(server)
        if state is None:
            state = _ServerState(rate_rps)
            self._servers[server] = state
        elif state.bucket.rate != rate_rps:
            state.bucket.set_rate(rate_rps, now_s)
        state.asked_at_s[gateway] = now_s
        for name, asked_at_s in list(state.asked_at_s.items()):
            if now_s - asked_at_s > RECENT_S:
                del state.asked_at_s[name]
        delay_s = state.bucket.reserve(MAX_RESERVE_S, now_s)
        next_delay_s = state.bucket.wait_s(now_s)
        gateways = len(state.asked_at_s)
        if delay_s is None:
            return PermitDecision(False, 0.0, next_delay_s, gateways)
        return PermitDecision(True, delay_s, next_delay_s, gateways)

    def expire(self, now_s: float) -> list[str]:
        """Drop the servers that no gateway asks for any more, and return them."""
        expired = []
        for server, state in self._servers.items():
            if all(now_s - at_s > IDLE_S for at_s in state.asked_at_s.values()):
                expired.append(server)
        for server in expired:
            del self._servers[server]
        return expired

    def forget(self, server: str) -> None:
        """Drop the state of a backend server that is gone or has no limit any more."""
        self._servers.pop(server, None)
