"""Admits the requests of a gateway to a backend server that may limit their rate."""

from __future__ import annotations

from collections.abc import Callable

from bronzerudder.policy.limits.bucket import TokenBucket
from bronzerudder.policy.routing import SendGate
from bronzerudder.policy.server_limits import MIN_RATE_RPS, PermitOutlook, PermitWallet


class ServerGate(SendGate):
    """Admits the requests of this gateway to one start of a backend server.

    Parameters
    ----------
    server, service : str
        The start of the backend server, and its service.
    rate_rps : float or None
        Its limit for all gateways together, in requests per second.

    Attributes
    ----------
    rate_rps : float or None
        The limit in force.
    wallet : PermitWallet
        Permits for the backend server.
    even_share : TokenBucket or None
        Issues this gateway's part of the limit while there is no issuer.
    even_share_until_s : float
        Monotonic time until which no issuer is asked.
    issuer : str
        Gateway that issues the permits; empty if none was asked.
    on_permit : callable
        Called when a permit was granted or denied, and when the limit has ended.
    """

    def __init__(self, server: str, service: str, rate_rps: float | None) -> None:
        self.server = server
        self.service = service
        self.rate_rps = rate_rps
        self.wallet = PermitWallet()
        self.even_share: TokenBucket | None = None
        self.even_share_until_s = 0.0
        self.issuer = ""
        self.on_permit: Callable[[], None] = lambda: None

    @property
    def is_limited(self) -> bool:
        """Whether a permit is needed."""
        return self.rate_rps is not None

    def admits(self, now_s: float) -> bool:
        """Whether a request may be sent now."""
        return self.rate_rps is None or self.wallet.is_valid(now_s)

    def record_sent(self, now_s: float) -> None:
        """Use up a permit."""
        if self.is_limited:
            self.wallet.use(now_s)

    def outlook(self, now_s: float) -> PermitOutlook:
        """Return what this gateway may expect of the backend server."""
        rate_rps = max(MIN_RATE_RPS, self.rate_rps or 0.0)
        wallet = self.wallet
        return PermitOutlook(
            wallet.valid_from_s(now_s), wallet.next_at_s, rate_rps, wallet.gateways
        )
