"""Settings of the claim register."""

from __future__ import annotations

from typing import Annotated, NotRequired, TypedDict

import msgspec

_Seconds = Annotated[float, msgspec.Meta(ge=0, le=3600)]

DEFAULT_RETENTION_S = 3600.0
DEFAULT_ANSWER_LIMIT_BYTES = 4096
DEFAULT_WRITE_INTERVAL_S = 0.0
DEFAULT_FINISH_DELAY_S = 0.1
DEFAULT_STORE_TIMEOUT_S = 1.0
DEFAULT_RETRY_AFTER_S = 1.0
DEFAULT_SEAL_BYTES = 32_768


class ClaimSettings(TypedDict):
    """Settings of the claim register; every field has a default.

    Parameters
    ----------
    retention_s : float
        A key older than this may run again. Must exceed the longest time over which callers retry
        a request, and the longest deadline.
    answer_limit_bytes : int
        A larger answer is not stored; a retry is told only that its request has run.
    write_interval_s : float
        Minimum time between two writes of one shard; a longer one batches more claims and delays
        each.
    finish_delay_s : float
        How long a terminal record waits to be batched with a claim.
    store_timeout_s : float
        Timeout of a call to the platform.
    retry_after_s : float
        After the platform failed a commit, new claims of its shard are refused for this time; also
        the delay after which callers are advised to retry.
    seal_bytes : int
        Size from which the records of a head are sealed into a segment.
    """

    retention_s: NotRequired[Annotated[float, msgspec.Meta(ge=1, le=604_800)]]
    answer_limit_bytes: NotRequired[Annotated[int, msgspec.Meta(ge=0, le=65_536)]]
    write_interval_s: NotRequired[_Seconds]
    finish_delay_s: NotRequired[_Seconds]
    store_timeout_s: NotRequired[Annotated[float, msgspec.Meta(gt=0, le=60)]]
    retry_after_s: NotRequired[_Seconds]
    seal_bytes: NotRequired[Annotated[int, msgspec.Meta(ge=1024, le=262_144)]]
