"""Delays retries with jitter, so that processes do not all retry at once after an outage."""

from __future__ import annotations

import random

import anyio

INITIAL_DELAY_S = 0.5
MAX_DELAY_S = 6.0


class Backoff:
    """Delays that double from `INITIAL_DELAY_S` to `MAX_DELAY_S`, each varied by up to a third."""

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._delay_s = INITIAL_DELAY_S

    def reset(self) -> None:
        """Start over after a success."""
        self._delay_s = INITIAL_DELAY_S

    async def wait(self) -> None:
        """Wait before the next attempt."""
        delay_s = self._delay_s
        self._delay_s = min(2 * delay_s, MAX_DELAY_S)
        await anyio.sleep(delay_s * (2 / 3 + self._random.random() * 2 / 3))
