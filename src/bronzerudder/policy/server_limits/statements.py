"""The limits that backend servers name in their answers, and which statement is the newest."""

from __future__ import annotations

from typing import NamedTuple


class LimitStatement(NamedTuple):
    """What one answer says of the rate at which a backend server accepts requests.

    The server made the answer at an unknown time between `asked_at_s` and `heard_at_s`.

    Parameters
    ----------
    rate_rps : float or None
        Requests per second that the server accepts from all gateways together; None for no limit.
    asked_at_s, heard_at_s : float
        Monotonic times at which the request was sent and the head of its answer arrived.
    """

    rate_rps: float | None
    asked_at_s: float
    heard_at_s: float


class ServerLimitLedger:
    """Keeps the newest statement of each backend server that has named a limit."""

    def __init__(self) -> None:
        self._statements: dict[str, LimitStatement] = {}

    @property
    def statements(self) -> dict[str, LimitStatement]:
        """Statements in force, by backend server; a rate of None is the end of a limit."""
        return self._statements

    def rate_rps(self, server: str) -> float | None:
        """Return the limit of a backend server, or None if it has none."""
        statement = self._statements.get(server)
        return None if statement is None else statement.rate_rps

    def record(self, server: str, statement: LimitStatement) -> bool:
        """Record a statement unless it may be older than the one in force.

        Answers on different connections overtake each other. A lower limit holds unless its
        request was sent first; a higher one, or the end of a limit, must certainly be newer.

        Returns
        -------
        bool
            Whether the limit has changed.
        """
        current = self._statements.get(server)
        if current is None:
            if statement.rate_rps is None:
                return False
            self._statements[server] = statement
            return True
        if statement.asked_at_s < current.asked_at_s:
            return False
        if _is_looser(statement.rate_rps, current.rate_rps):
            if statement.asked_at_s < current.heard_at_s:
                return False
        elif statement.rate_rps == current.rate_rps:
            heard_at_s = max(current.heard_at_s, statement.heard_at_s)
            self._statements[server] = statement._replace(heard_at_s=heard_at_s)
            return False
        self._statements[server] = statement
        return True

    def forget(self, server: str) -> None:
        """Drop what a backend server that is gone has said."""
        self._statements.pop(server, None)


def _is_looser(rate_rps: float | None, than_rps: float | None) -> bool:
    if than_rps is None:
        return False
    return rate_rps is None or rate_rps > than_rps
