"""Base of the tests that load real processes."""

from __future__ import annotations

import asyncio
import unittest

import anyio

from bench.harness.load import expected_text, open_client, stream_completion


class ProcessTestCase(unittest.IsolatedAsyncioTestCase):
    """Runs without the loop's debug mode, in which the callers would use most of the time."""

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)

    async def stream_while(self, entry, callers, tokens, delay_s, fault):
        """Stream to callers of one entry, cause a fault after a delay, and return the results."""
        results = []

        async def stream(client, prompt):
            results.append(await stream_completion(client, entry, prompt, tokens))

        async with open_client() as client, anyio.create_task_group() as tasks:
            for index in range(callers):
                tasks.start_soon(stream, client, f"caller {index}")
            await anyio.sleep(delay_s)
            fault()
        return results

    def assert_whole(self, results, tokens):
        """Check that every caller got its own whole answer."""
        for result in results:
            self.assertEqual(result.outcome, "done", result.problem)
            self.assertEqual(result.text, expected_text(result.prompt, tokens))
