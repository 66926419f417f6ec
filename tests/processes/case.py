"""Base of the tests that load real processes."""

from __future__ import annotations

import asyncio
import unittest


class ProcessTestCase(unittest.IsolatedAsyncioTestCase):
    """Runs without the loop's debug mode, in which the callers would use most of the time."""

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
