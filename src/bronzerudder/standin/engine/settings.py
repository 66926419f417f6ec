"""Settings of the stand-in engine."""

from __future__ import annotations

from typing import Annotated, NotRequired, TypedDict

import msgspec

from bronzerudder.settings.machine import MachineSettings

Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]


class EngineSettings(TypedDict):
    """Settings of one stand-in engine.

    A prompt that contains ``crash_text`` ends the process, like a request that crashes its
    backend server.
    """

    host: str
    port: Port
    step_time_s: NotRequired[Annotated[float, msgspec.Meta(gt=0, le=10)]]
    prefill_time_per_token_s: NotRequired[Annotated[float, msgspec.Meta(ge=0, le=1)]]
    max_batch: NotRequired[Annotated[int, msgspec.Meta(ge=1, le=4096)]]
    default_max_tokens: NotRequired[Annotated[int, msgspec.Meta(ge=1, le=100_000)]]
    crash_text: NotRequired[str]
    machine: NotRequired[MachineSettings]
