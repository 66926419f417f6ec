"""Faults that a test asks the stand-in platform for."""

from __future__ import annotations

from typing import Annotated, NotRequired, TypedDict

import msgspec

EVERYONE = "*"


class FaultDocument(TypedDict):
    """Faults for the calls of one caller; fields left out are off.

    ``delay_s`` holds back each call; ``down`` refuses with status 503 before any effect;
    ``stalled`` never answers and has no effect; ``lost_writes`` is how many of the next writes
    take effect and then lose their answer; ``lost_share`` loses that share of write answers
    by turns.
    """

    delay_s: NotRequired[Annotated[float, msgspec.Meta(ge=0)]]
    down: NotRequired[bool]
    stalled: NotRequired[bool]
    lost_writes: NotRequired[Annotated[int, msgspec.Meta(ge=0)]]
    lost_share: NotRequired[Annotated[float, msgspec.Meta(ge=0, le=1)]]


class Faults:
    """Faults in force, by caller."""

    def __init__(self) -> None:
        self._by_caller: dict[str, FaultDocument] = {}
        self._owed: dict[str, float] = {}

    def set(self, caller: str, fault: FaultDocument) -> None:
        """Replace the faults of a caller, or of `EVERYONE`."""
        self._by_caller[caller] = fault

    def of(self, caller: str) -> FaultDocument:
        """Return the faults of a caller; its own come before those of everyone."""
        return {**self._by_caller.get(EVERYONE, {}), **self._by_caller.get(caller, {})}

    def take_lost_write(self, caller: str) -> bool:
        """Say whether the answer to this write is to be lost."""
        for name in (caller, EVERYONE):
            fault = self._by_caller.get(name, {})
            if fault.get("lost_writes", 0) > 0:
                fault["lost_writes"] -= 1
                return True
        owed = self._owed.get(caller, 0.0) + self.of(caller).get("lost_share", 0.0)
        self._owed[caller] = owed % 1.0
        return owed >= 1.0
