"""Field types shared by several settings."""

from __future__ import annotations

from typing import Annotated, TypedDict

import msgspec

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Address = Annotated[str, msgspec.Meta(pattern=r"^[^\s:/]+:[0-9]{1,5}$")]
Url = Annotated[str, msgspec.Meta(pattern=r"^https?://[^\s/]+")]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=86_400)]
Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Port = Annotated[int, msgspec.Meta(ge=0, le=65_535)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]


class Listener(TypedDict):
    """An address to listen on; port 0 takes a free one."""

    host: Name
    port: Port
