"""Guards against a gateway that blocks or grows when the reader of its log stops."""

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
CONCURRENCY = 6
TOLERANCE_S = 0.005
STOP_EVENTS = ("stopping", "closed to new connections", "stopped")
MAX_GROWTH_KB = 4_096
"""Lines buffered for the reader take at most 256 KiB; the rest is overhead of the allocator."""


class StoppedReaderTest(GatewayProcessCase):
    def spawn(self, command):
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        process = subprocess.Popen(command, stdout=writer)
        os.close(writer)
        return process

    async def send_requests(self, name, count):
        """Send requests, several concurrently; return their median duration."""
        times = []

        async def send(first):
            for number in range(first, count, CONCURRENCY):
                started_s = time.perf_counter()
                self.assertEqual((await self.send_request(b"/read/", f"{name}-{number}"))[0], 200)
                times.append(time.perf_counter() - started_s)

        async with anyio.create_task_group() as tasks:
            for first in range(CONCURRENCY):
                tasks.start_soon(send, first)
        return statistics.median(times)

    def read_log(self):
        data = b""
        while chunk := os.read(self.reader, 65_536):
            data += chunk
        return [json.loads(line) for line in data.splitlines()]

    def memory_kb(self, process):
        status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
        return int(status.partition("VmRSS:")[2].split()[0])

    async def test_callers_do_not_wait_and_no_line_is_lost_unseen(self):
        process = await self.start(log={"lines_per_s": 100_000})
        unblocked_s = await self.send_requests("read", 60)
        os.set_blocking(self.reader, False)
        try:
            while os.read(self.reader, 65_536):
                pass
        except BlockingIOError:
            os.set_blocking(self.reader, True)
        before_kb = self.memory_kb(process)
        blocked_s = await self.send_requests("unread", REQUESTS)
        self.assertLess(blocked_s, unblocked_s + TOLERANCE_S)
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
        # Stop events may be among the lines left out, as the buffer is full when the stop begins.
        missing = sum(event not in {line["event"] for line in lines} for event in STOP_EVENTS)
        self.assertEqual(finished + left_out, REQUESTS + missing)


if __name__ == "__main__":
    unittest.main()
