"""Settings of the machine that a process runs on."""

from __future__ import annotations

from typing import Annotated, NotRequired, TypedDict

import msgspec

MegaBytes = Annotated[int, msgspec.Meta(ge=128, le=1_048_576)]
Descriptors = Annotated[int, msgspec.Meta(ge=64, le=1_048_576)]


class MachineSettings(TypedDict):
    """What the machine allows one process: memory in MiB, and open descriptors.

    Without ``max_descriptors`` the limit of the operating system applies.
    """

    memory_mb: NotRequired[MegaBytes]
    max_descriptors: NotRequired[Descriptors]
