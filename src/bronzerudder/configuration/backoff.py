"""Spreads retries so that an outage is not followed by a stampede."""

from __future__ import annotations

import random

import anyio

FIRST_DELAY_S = 0.5
LONGEST_DELAY_S = 6.0


class Backoff:
    """Delays that double from `FIRST_DELAY_S` to `LONGEST_DELAY_S`, each spread by a third."""

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._delay_s = FIRST_DELAY_S

    def reset(self) -> None:
        """Start over after a success."""
        self._delay_s = FIRST_DELAY_S

    async def wait(self) -> None:
        """Wait before the next attempt."""
        delay_s = self._delay_s
        self._delay_s = min(2 * delay_s, LONGEST_DELAY_S)
        await anyio.sleep(delay_s * (2 / 3 + self._random.random() * 2 / 3))
