"""Follows the platform's list of instances."""

from __future__ import annotations

import random
from collections.abc import Callable

import anyio

from bronzerudder.platform.api import Instance, InstanceList, InstanceState
from bronzerudder.platform.errors import StoreError

POLL_INTERVAL_S = 2.0
POLL_JITTER = 0.1

LeavingCallback = Callable[[frozenset[str]], None]


class LeavingFollower:
    """Tells which addresses belong to leaving instances.

    While the list can not be read, what was last read stays in force.

    Parameters
    ----------
    instances : InstanceList
        The list to poll.
    on_leaving : callable
        Takes the addresses after each read.
    """

    def __init__(self, instances: InstanceList, on_leaving: LeavingCallback) -> None:
        self._instances = instances
        self._on_leaving = on_leaving

    async def run(self) -> None:
        """Poll for ever."""
        while True:
            listed = await self._instances.instances()
            if not isinstance(listed, StoreError):
                self._on_leaving(find_leaving(listed))
            await anyio.sleep(POLL_INTERVAL_S * random.uniform(1 - POLL_JITTER, 1 + POLL_JITTER))


def find_leaving(listed: tuple[Instance, ...]) -> frozenset[str]:
    """Return the addresses of the instances that leave."""
    leaving = (item for item in listed if item.state is InstanceState.LEAVING)
    return frozenset(item.address for item in leaving)
