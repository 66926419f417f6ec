"""Test of a gateway whose log nobody reads for a while."""

from __future__ import annotations

import json
import os
import pathlib
import signal
import statistics
import subprocess
import time
import unittest

import anyio

from tests.processes.gateway_case import TIMEOUT_S, GatewayProcessCase

REQUESTS = 1500
AT_ONCE = 6
NOISE_S = 0.005
STOP_EVENTS = ("stopping", "closed to new connections", "stopped")
MAX_GROWTH_KB = 4_096
"""Lines held for the reader are bounded at a quarter of a megabyte; the rest is the allocator's."""


class StoppedReaderTest(GatewayProcessCase):
    def spawn(self, command):
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        process = subprocess.Popen(command, stdout=writer)
        os.close(writer)
        return process

    async def serve_some(self, name, count):
        """Send requests, several at once; return the median time of one."""
        times = []

        async def send(first):
            for number in range(first, count, AT_ONCE):
                began_s = time.perf_counter()
                self.assertEqual((await self.ask(b"/read/", f"{name}-{number}"))[0], 200)
                times.append(time.perf_counter() - began_s)

        async with anyio.create_task_group() as tasks:
            for first in range(AT_ONCE):
                tasks.start_soon(send, first)
        return statistics.median(times)

    def read_log(self):
        data = b""
        while part := os.read(self.reader, 65_536):
            data += part
        return [json.loads(line) for line in data.splitlines()]

    def memory_kb(self, process):
        status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
        return int(status.partition("VmRSS:")[2].split()[0])

    async def test_callers_do_not_wait_and_no_line_is_lost_unseen(self):
        process = await self.start(log={"lines_per_s": 100_000})
        free_s = await self.serve_some("read", 60)
        os.set_blocking(self.reader, False)
        try:
            while os.read(self.reader, 65_536):
                pass
        except BlockingIOError:
            os.set_blocking(self.reader, True)
        before_kb = self.memory_kb(process)
        blocked_s = await self.serve_some("unread", REQUESTS)
        self.assertLess(blocked_s, free_s + NOISE_S)
        self.assertLess(self.memory_kb(process) - before_kb, MAX_GROWTH_KB)

        process.send_signal(signal.SIGTERM)
        lines = await anyio.to_thread.run_sync(self.read_log)
        with anyio.fail_after(TIMEOUT_S):
            while process.poll() is None:
                await anyio.sleep(0.05)
        finished = sum(
            line["event"] == "request finished" and line["request"].startswith("unread")
            for line in lines
        )
        left_out = sum(line["count"] for line in lines if line["event"] == "lines left out")
        self.assertGreater(left_out, 0)
        # Those of the stop may be among the lines left out, as the log is full when it begins.
        missing = sum(event not in {line["event"] for line in lines} for event in STOP_EVENTS)
        self.assertEqual(finished + left_out, REQUESTS + missing)


if __name__ == "__main__":
    unittest.main()
