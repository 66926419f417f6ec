"""Polls the platform's list of instances for those that are leaving."""

from __future__ import annotations

import random
from collections.abc import Callable

import anyio

from bronzerudder.platform.api import Instance, InstanceList, InstanceState
from bronzerudder.platform.errors import StoreError

POLL_INTERVAL_S = 2.0
POLL_JITTER = 0.1
"""Fraction by which the interval varies at random."""

LeavingCallback = Callable[[frozenset[str]], None]


class LeavingFollower:
    """Reports the addresses of leaving instances.

    While the list cannot be read, the last report stays valid.

    Parameters
    ----------
    instances : InstanceList
        The list to poll.
    on_leaving : callable
        Called with the addresses after each successful read.
    """

    def __init__(self, instances: InstanceList, on_leaving: LeavingCallback) -> None:
        self._instances = instances
        self._on_leaving = on_leaving

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            listed = await self._instances.instances()
            if not isinstance(listed, StoreError):
                self._on_leaving(find_leaving(listed))
            await anyio.sleep(POLL_INTERVAL_S * random.uniform(1 - POLL_JITTER, 1 + POLL_JITTER))


def find_leaving(listed: tuple[Instance, ...]) -> frozenset[str]:
    """Return the addresses of the leaving instances."""
    leaving = (item for item in listed if item.state is InstanceState.LEAVING)
    return frozenset(item.address for item in leaving)
