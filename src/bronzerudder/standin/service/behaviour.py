"""Settings of the stand-in service and the faults that it can inject."""

from __future__ import annotations

from typing import Annotated, Literal, NotRequired, TypedDict

import msgspec

from bronzerudder.settings.machine import MachineSettings

FaultPoint = Literal["never", "before", "after"]


class Behaviour(TypedDict):
    """Faults of a booking; ``before`` and ``after`` are relative to its run.

    ``delay_s`` is the duration of a run in seconds. ``stall`` waits until another behaviour is set.
    ``fail`` answers 503 before the run or 500 after it. ``lose_answer`` closes the connection after
    the run, in the middle of the response.
    """

    delay_s: NotRequired[Annotated[float, msgspec.Meta(ge=0, le=3600)]]
    stall: NotRequired[FaultPoint]
    fail: NotRequired[FaultPoint]
    lose_answer: NotRequired[bool]


class ServiceSettings(TypedDict):
    """Settings of one stand-in service; port 0 takes a free one."""

    address: Annotated[str, msgspec.Meta(pattern=r"^[^\s:/]+:[0-9]{1,5}$")]
    name: NotRequired[str]
    behaviour: NotRequired[Behaviour]
    machine: NotRequired[MachineSettings]
