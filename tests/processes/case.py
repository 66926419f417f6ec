"""Base class of tests that send load to real processes."""

from __future__ import annotations

import asyncio
import unittest

import anyio

from bench.harness.load import expected_text, open_client, stream_completion


class ProcessTestCase(unittest.IsolatedAsyncioTestCase):
    """Disables the event loop's debug mode, in which callers would take most of the time."""

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)

    async def stream_while(self, entry, callers, tokens, delay_s, fault):
        """Stream to callers of one entry, inject a fault after a delay, and return the results."""
        results = []

        async def stream(client, prompt):
            results.append(await stream_completion(client, entry, prompt, tokens))

        async with open_client() as client, anyio.create_task_group() as tasks:
            for index in range(callers):
                tasks.start_soon(stream, client, f"caller {index}")
            await anyio.sleep(delay_s)
            fault()
        return results

    def assert_complete(self, results, tokens):
        """Check that every caller got its own complete answer."""
        for result in results:
            self.assertEqual(result.outcome, "done", result.problem)
            self.assertEqual(result.text, expected_text(result.prompt, tokens))
