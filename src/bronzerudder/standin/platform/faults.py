"""Faults that tests inject into the stand-in platform."""

from __future__ import annotations

from typing import Annotated, NotRequired, TypedDict

import msgspec

ALL_CALLERS = "*"


class FaultDocument(TypedDict):
    """Faults for the calls of one caller; fields left out are off.

    ``delay_s`` delays each call; ``down`` refuses with status 503 before any effect;
    ``stalled`` never answers and has no effect; ``lost_writes`` is the number of next writes
    that take effect but lose their response; ``lost_share`` is the fraction of write responses
    that are lost, evenly spaced.
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
        self._lost_remainder: dict[str, float] = {}

    def set(self, caller: str, fault: FaultDocument) -> None:
        """Replace the faults of a caller, or of `ALL_CALLERS`."""
        self._by_caller[caller] = fault

    def for_caller(self, caller: str) -> FaultDocument:
        """Return the faults of a caller; its own override those of all callers."""
        return {**self._by_caller.get(ALL_CALLERS, {}), **self._by_caller.get(caller, {})}

    def count_lost_write(self, caller: str) -> bool:
        """Count a write; return whether its response is to be lost."""
        for name in (caller, ALL_CALLERS):
            fault = self._by_caller.get(name, {})
            if fault.get("lost_writes", 0) > 0:
                fault["lost_writes"] -= 1
                return True
        due = self._lost_remainder.get(caller, 0.0) + self.for_caller(caller).get("lost_share", 0.0)
        self._lost_remainder[caller] = due % 1.0
        return due >= 1.0
