"""Records the rates that backend servers name as their limit."""

from __future__ import annotations

import time

from bronzerudder.gateway.metrics import GatewayMetrics
from bronzerudder.observability.event_log import EventLog
from bronzerudder.policy.server_limits import LimitStatement, ServerLimitLedger


class ServerLimitKeeper:
    """The limits that backend servers have named.

    Parameters
    ----------
    log : EventLog
        Takes a line for each limit that begins, changes or ends.
    metrics : GatewayMetrics
        Counts backend servers with a limit.
    """

    def __init__(self, log: EventLog, metrics: GatewayMetrics) -> None:
        self._log = log
        self._metrics = metrics
        self._ledger = ServerLimitLedger()

    def record_answer(
        self, server: str, rate_rps: float | None, asked_at_s: float, request_id: str
    ) -> None:
        """Record what the head of an answer that has just arrived says of its server's limit.

        Parameters
        ----------
        server : str
            The start of the backend server.
        rate_rps : float or None
            Limit in requests per second; None if the answer names none.
        asked_at_s : float
            Monotonic time at which the request was sent.
        request_id : str
            Request that was answered.
        """
        before_rps = self._ledger.rate_rps(server)
        if not self._ledger.record(server, LimitStatement(rate_rps, asked_at_s, time.monotonic())):
            return
        self._log.state(
            "backend server limit changed",
            instance=server,
            limit_rps=rate_rps,
            before_rps=before_rps,
            request=request_id,
        )
        self._count_limited()

    def record_malformed(self, server: str, value: str, request_id: str) -> None:
        """Record a limit that is no valid rate; the limit in force stays."""
        self._log.state(
            "backend server limit malformed", instance=server, value=value, request=request_id
        )

    def describe(self, server: str) -> dict[str, object]:
        """Return log fields that tell which limit a backend server has; empty without one."""
        statement = self._ledger.statements.get(server)
        if statement is None or statement.rate_rps is None:
            return {}
        age_s = round(time.monotonic() - statement.heard_at_s, 2)
        return {"limit_rps": statement.rate_rps, "limit_age_s": age_s}

    def forget(self, server: str) -> None:
        """Drop all that is known of a start of a backend server that is gone."""
        self._ledger.forget(server)
        self._count_limited()

    def _count_limited(self) -> None:
        statements = self._ledger.statements.values()
        self._metrics.limited_servers.set(
            sum(1 for statement in statements if statement.rate_rps is not None)
        )
