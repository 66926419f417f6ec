"""A rank engine in the same process."""

from __future__ import annotations

from bronzerudder.backend_server.rank_api import RankEngine, RankStatus
from bronzerudder.backend_server.rank_errors import RankEngineError
from bronzerudder.standin.rank.maps import RankMaps


class LocalRankEngine(RankEngine):
    """Applies orders to `RankMaps` directly; weights are staged immediately."""

    def __init__(self, maps: RankMaps) -> None:
        self._maps = maps

    async def read(self, term: int) -> RankStatus | RankEngineError:
        """Return the state."""
        return self._maps.read(term)

    async def stage(
        self, term: int, version: int, expert_map: bytes
    ) -> RankStatus | RankEngineError:
        """Stage the weights of a version immediately."""
        self._maps.finish_staging(version)
        return self._maps.read(term)

    async def hold(self, term: int, version: int, step: int) -> RankStatus | RankEngineError:
        """Hold a staged version before a step."""
        return self._maps.hold(term, version, step)

    async def reset(
        self, term: int, version: int, step: int, expert_map: bytes
    ) -> RankStatus | RankEngineError:
        """Drop all maps and hold a version before a step."""
        return self._maps.reset(term, version, step)

    async def activate(self, term: int, version: int) -> RankStatus | RankEngineError:
        """Activate a held version from its step on."""
        return self._maps.activate(term, version)

    async def release(self, term: int, version: int) -> RankStatus | RankEngineError:
        """Release a held version without activating it."""
        return self._maps.release(term, version)
