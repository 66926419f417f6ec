"""Map changes of one stand-in rank, as a state machine without input or output.

A version is staged (its weights are loaded), held (the rank stops before a step), then either
activated (pending, and in use from that step on) or released.
"""

from __future__ import annotations

from bronzerudder.backend_server.rank_api import NO_MAP, RankStatus
from bronzerudder.backend_server.rank_errors import RankEngineError, RankEngineErrorKind

Result = RankStatus | RankEngineError


def _fail(kind: RankEngineErrorKind, reason: str) -> RankEngineError:
    return RankEngineError(kind, reason)


class RankMaps:
    """Applies the orders of a `RankEngine` to the state of one rank.

    Parameters
    ----------
    honours_terms : bool
        Whether orders with a lower term than one seen before are refused.
    """

    def __init__(self, honours_terms: bool) -> None:
        self._honours_terms = honours_terms
        self._term = 0
        self._status = RankStatus()
        self._granted: int | None = None

    @property
    def status(self) -> RankStatus:
        """Current state."""
        return self._status

    def read(self, term: int) -> Result:
        """Return the state."""
        return self._fence(term) or self._status

    def finish_staging(self, version: int) -> None:
        """Record that the weights of a version are loaded."""
        kept = {version, self._status.active, self._status.pending, self._status.held} - {NO_MAP}
        self._status = self._status._replace(staged=tuple(sorted(kept)))

    def hold(self, term: int, version: int, step: int) -> Result:
        """Hold a staged version before a step."""
        refused = self._fence(term)
        if refused is not None:
            return refused
        if version in (self._status.held, self._status.pending, self._status.active):
            return self._status
        if self._status.held or self._status.pending or self._status.active == NO_MAP:
            return _fail(RankEngineErrorKind.HELD, f"no new hold is possible in {self._status}")
        if step < self._status.next_step:
            return _fail(
                RankEngineErrorKind.STEP_PASSED, f"the next step is {self._status.next_step}"
            )
        if version not in self._status.staged:
            return _fail(RankEngineErrorKind.NOT_STAGED, f"{version} is not staged")
        self._status = self._status._replace(held=version, held_step=step)
        return self._status

    def reset(self, term: int, version: int, step: int) -> Result:
        """Drop all maps and hold a version before a step."""
        refused = self._fence(term)
        if refused is not None:
            return refused
        if version in (self._status.held, self._status.pending, self._status.active):
            return self._status
        if step < self._status.next_step:
            return _fail(
                RankEngineErrorKind.STEP_PASSED, f"the next step is {self._status.next_step}"
            )
        self._status = RankStatus(next_step=step, held=version, held_step=step, staged=(version,))
        return self._status

    def activate(self, term: int, version: int) -> Result:
        """Activate a held version from its step on."""
        refused = self._fence(term)
        if refused is not None:
            return refused
        if version in (self._status.pending, self._status.active):
            return self._status
        if self._status.held != version:
            return _fail(RankEngineErrorKind.NOT_HELD, f"the held version is {self._status.held}")
        self._status = self._status._replace(held=NO_MAP, pending=version)
        return self._status

    def release(self, term: int, version: int) -> Result:
        """Release a held version; a rank without an active map stays held."""
        refused = self._fence(term)
        if refused is not None:
            return refused
        if self._status.held == version and self._status.active != NO_MAP:
            self._status = self._status._replace(held=NO_MAP, held_step=0)
        return self._status

    def grant(self, step: int) -> None:
        """Allow the steps before ``step``; until the first grant, all steps are allowed."""
        self._granted = step

    def declare_ready(self) -> int | None:
        """Enter and return the next step, switching maps if due; None while it is not allowed."""
        status = self._status
        if status.pending and status.next_step >= status.held_step:
            status = status._replace(active=status.pending, pending=NO_MAP, held_step=0)
        if status.active == NO_MAP:
            return None
        if status.held and status.next_step >= status.held_step:
            return None
        if self._granted is not None and status.next_step >= self._granted:
            return None
        self._status = status._replace(next_step=status.next_step + 1)
        return status.next_step

    def _fence(self, term: int) -> RankEngineError | None:
        if not self._honours_terms:
            return None
        if term < self._term:
            return _fail(RankEngineErrorKind.STALE_TERM, f"the newest term seen is {self._term}")
        self._term = term
        return None
