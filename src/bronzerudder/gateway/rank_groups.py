"""Groups of ranks behind one service, as far as a gateway tells them apart.

A group runs or stops as a whole, and its streams advance together, whatever the other groups of the
service do. A rank's agent names its group; until any agent of the service has named one, all ranks
count as one group. Afterwards a backend server without an agent counts as being in none.
"""

from __future__ import annotations

import time

from bronzerudder.gateway.attempt import StreamProgress
from bronzerudder.gateway.group_gate import GroupGate
from bronzerudder.policy.concurrency import PauseBound

UNNAMED_GROUP = ""
AGENT_GRACE_S = 1.0
"""Time from the listing of a backend server within which its agent, if any, names its group. A rank
that was just started gets no requests before: its group is still forming."""


class RankGroup:
    """One group: whether it accepts requests, whether its streams advance, and how fast."""

    def __init__(self) -> None:
        self.gate = GroupGate()
        self.progress = StreamProgress()
        self.bound = PauseBound()


class RankGroups:
    """The groups of one service, and which backend server is a rank of which."""

    def __init__(self) -> None:
        self._groups: dict[str, RankGroup] = {}
        self._name_of: dict[str, str] = {}
        self._single: dict[str, RankGroup] = {}
        self._listed_at_s: dict[str, float] = {}
        self._in_lockstep = False

    @property
    def in_lockstep(self) -> bool:
        """Whether the backend servers of the service are ranks of groups."""
        return self._in_lockstep

    def set_in_lockstep(self, in_lockstep: bool) -> None:
        """Set whether the backend servers are ranks of groups."""
        self._in_lockstep = in_lockstep

    def is_rank(self, instance_id: str) -> bool:
        """Whether a backend server runs and stops together with others."""
        return self._in_lockstep and (not self._name_of or instance_id in self._name_of)

    def name_of(self, instance_id: str) -> str:
        """Name of the group of a backend server; empty if it is not known."""
        return self._name_of.get(instance_id, UNNAMED_GROUP)

    def add(self, instance_id: str) -> None:
        """Record that a backend server is listed."""
        self._listed_at_s.setdefault(instance_id, time.monotonic())

    def set_group(self, instance_id: str, name: str) -> None:
        """Set the group that a backend server's agent has named."""
        if not name or self._name_of.get(instance_id) == name:
            return
        self._name_of[instance_id] = name
        self._single.pop(instance_id, None)
        self._drop_empty_groups()

    def drop(self, instance_id: str) -> None:
        """Forget a backend server."""
        self._name_of.pop(instance_id, None)
        self._listed_at_s.pop(instance_id, None)
        self._single.pop(instance_id, None)
        self._drop_empty_groups()

    def group_of(self, instance_id: str) -> RankGroup:
        """Group of a backend server; one of its own if it is in none."""
        if self.is_rank(instance_id) or not self._in_lockstep:
            # Backend servers that are no ranks share how long their streams usually take.
            return self._groups.setdefault(self.name_of(instance_id), RankGroup())
        if instance_id not in self._listed_at_s:
            # Requests may still run on a server that is not listed any more.
            return RankGroup()
        return self._single.setdefault(instance_id, RankGroup())

    def admits(self, instance_id: str, now_s: float) -> bool:
        """Whether a request may be sent to a backend server, as far as its group decides."""
        if not self._in_lockstep:
            return True
        if not self.is_rank(instance_id):
            listed_at_s = self._listed_at_s.get(instance_id, -AGENT_GRACE_S)
            if now_s - listed_at_s < AGENT_GRACE_S:
                return False
        return self.group_of(instance_id).gate.admits(now_s)

    def on_agent_report(self, instance_id: str, name: str, is_open: bool) -> bool:
        """Handle an agent's report; return whether it ended a closed state of its group."""
        self.set_group(instance_id, name)
        return self.group_of(instance_id).gate.on_agent_report(is_open, time.monotonic())

    def _drop_empty_groups(self) -> None:
        named = set(self._name_of.values())
        for name in list(self._groups):
            if name != UNNAMED_GROUP and name not in named:
                del self._groups[name]
