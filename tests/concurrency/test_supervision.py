"""Tests of supervised tasks."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

import anyio

from bronzerudder.concurrency import supervision


class SuperviseTest(unittest.IsolatedAsyncioTestCase):
    async def run_next_to_another(self, error):
        """Run a task that fails once next to one that must keep running."""
        runs = []

        async def fail_once():
            runs.append(error)
            if len(runs) == 1:
                raise error
            await anyio.sleep_forever()

        with mock.patch.object(supervision, "RESTART_DELAY_S", 0.0):
            with anyio.move_on_after(0.1) as scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(supervision.supervise, "example", fail_once)
                    await anyio.sleep_forever()
        self.assertTrue(scope.cancelled_caught)
        self.assertEqual(len(runs), 2)

    async def test_a_failure_is_logged_and_the_task_run_again(self):
        with self.assertLogs("absl", "ERROR"):
            await self.run_next_to_another(ValueError("wrong"))

    async def test_a_foreign_cancellation_does_not_end_the_others(self):
        with self.assertLogs("absl", "ERROR"):
            await self.run_next_to_another(asyncio.CancelledError())


if __name__ == "__main__":
    unittest.main()
