"""A model of a lock-step group: its ranks, and the orders that change their expert map."""

from __future__ import annotations

from typing import NamedTuple

from bronzerudder.expert_maps.api import ArmedMap, RankState

LOAD_S = 0.15
"""Time that loading a map takes."""
INITIAL_MAP_VERSION = 0


class LoadedMap(NamedTuple):
    """A map that a rank has loaded.

    Parameters
    ----------
    version : int
        0 for the initial map of the group.
    content : str
        Equal on two ranks only if the complete map is equal.
    """

    version: int
    content: str


class LockstepRank:
    """State of one rank.

    Parameters
    ----------
    number : int
        Its number in the group.
    address : str
        ``host:port`` that receives its orders.
    """

    def __init__(self, number: int, address: str) -> None:
        self.number = number
        self.address = address
        self.highest_version = 0
        self.map = LoadedMap(INITIAL_MAP_VERSION, "first")
        self.prepared: LoadedMap | None = None
        self.loading: tuple[LoadedMap, float] | None = None
        self.armed: tuple[LoadedMap, int] | None = None
        self.held: int | None = None
        self.requests = 0


class LockstepGroup:
    """Ranks that make steps together; records each step that used two maps, in `mixed_steps`.

    Parameters
    ----------
    addresses : list of str
        Addresses of its ranks.
    born_ms : int
        Unix time of their start, in milliseconds.
    name : str
        Its name.
    """

    def __init__(self, addresses: list[str], born_ms: int = 1, name: str = "g") -> None:
        self.name = name
        self.ranks = [LockstepRank(number, address) for number, address in enumerate(addresses)]
        self.step = 0
        self.epoch = 1
        self.mixed_steps: list[tuple[int, set[LoadedMap]]] = []
        self._born_ms = born_ms

    def state(self, rank: LockstepRank) -> RankState:
        """Return the current state of a rank."""
        armed = None if rank.armed is None else ArmedMap(rank.armed[0].version, rank.armed[1])
        return RankState(
            rank.address,
            self.name,
            self.epoch,
            rank.number,
            len(self.ranks),
            True,
            self._born_ms,
            self.step,
            rank.map.version,
            None if rank.prepared is None else rank.prepared.version,
            armed,
            rank.held,
            rank.requests,
        )

    def states(self) -> list[RankState]:
        """Return the current states of all ranks."""
        return [self.state(rank) for rank in self.ranks]

    def advance(self, now_s: float) -> bool:
        """Make one step; return False if it is held."""
        for rank in self.ranks:
            if rank.loading is not None and rank.loading[1] <= now_s:
                rank.prepared, rank.loading = rank.loading[0], None
        if any(rank.held == self.step + 1 for rank in self.ranks):
            return False
        self.step += 1
        for rank in self.ranks:
            if rank.armed is not None and rank.armed[1] == self.step:
                rank.map, rank.armed, rank.prepared = rank.armed[0], None, None
        maps = {rank.map for rank in self.ranks}
        if len(maps) > 1:
            self.mixed_steps.append((self.step, maps))
        return True

    def prepare(self, rank: LockstepRank, version: int, content: str, now_s: float) -> bool:
        """Begin to load a map; refused while armed, and for a version that is not the highest."""
        loaded = LoadedMap(version, content)
        if rank.loading is not None and rank.loading[0] == loaded:
            return True
        if rank.armed is not None or version <= rank.highest_version:
            return False
        rank.highest_version = version
        rank.prepared = None
        rank.loading = (loaded, now_s + LOAD_S)
        return True

    def arm(self, rank: LockstepRank, version: int, step: int) -> bool:
        """Switch to the prepared map when a step begins; refused once it has begun."""
        if rank.armed is not None and (rank.armed[0].version, rank.armed[1]) == (version, step):
            return True
        if rank.prepared is None or rank.prepared.version != version or step <= self.step:
            return False
        rank.armed = (rank.prepared, step)
        return True

    def disarm(self, rank: LockstepRank, version: int) -> bool:
        """Cancel the switch to a map; refused once the map is in use."""
        if rank.map.version == version:
            return False
        if rank.armed is not None and rank.armed[0].version == version:
            rank.armed = None
        return True

    def hold(self, rank: LockstepRank, step: int) -> bool:
        """Keep the group from beginning a step."""
        if rank.held == step:
            return True
        if rank.held is not None or step <= self.step:
            return False
        rank.held = step
        return True

    def release(self, rank: LockstepRank, step: int) -> bool:
        """Let the group begin a held step."""
        if rank.held == step:
            rank.held = None
        return True
