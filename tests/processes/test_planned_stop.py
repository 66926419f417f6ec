"""Tests of requests that reach a gateway at each moment of a planned stop."""

from __future__ import annotations

import signal
import time
import unittest
from typing import NamedTuple

import anyio
import msgspec

from bronzerudder.http1.sockets import TransportError, connect
from tests.gateway.harness import make_configuration, make_route
from tests.processes.gateway_case import GatewayProcessCase

GRACE_S = 6.0
ANSWER_S = 1.5
STEP_S = 0.25
LOSS_SLACK_S = 0.2
"""Time after the last byte of a request in which its connection may still be closed unread."""
CLOSE_TIMEOUT_S = 12.0
SLOTS = 200
BODY = b"body"


class Ended(NamedTuple):
    """How a request ended for its caller.

    Parameters
    ----------
    sent_s : float
        Time from SIGTERM to the last byte of the request.
    status : int
        Status of a complete answer; 0 without one.
    after_s : float
        Time from the last byte to the end.
    """

    sent_s: float
    status: int
    after_s: float


class PlannedStopTest(GatewayProcessCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        routes = [
            make_route(
                "book", "non_idempotent", timeout_ms=5000, target_latency_ms=2000, max_attempts=1
            ),
            make_route("read", "idempotent", timeout_ms=5000, target_latency_ms=2000),
        ]
        self.store.put("config", "main", msgspec.json.decode(make_configuration(routes=routes)))
        record = {"service": "s", "state": "ready", "slots": SLOTS}
        record["address"] = self.backend_server_address
        self.store.put("servers", "i-0", record)
        self.backend_server.answer_delay_s = ANSWER_S
        self.process = await self.start(grace_s=GRACE_S)
        self.ended: dict[str, Ended] = {}
        self.stopped_at_s = 0.0
        self.kept = 0

    def make_request(self, path, request_id):
        lines = [
            b"POST %s HTTP/1.1" % path,
            b"host: h.example",
            b"x-api-key: key",
            b"attempt-id: %s" % request_id.encode(),
            b"content-length: %d" % len(BODY),
        ]
        return b"\r\n".join(lines) + b"\r\n\r\n" + BODY

    async def read_status(self, connection):
        """Return the status of a complete answer; 0 if the connection ends before."""
        received = b""
        while True:
            head, end, body = received.partition(b"\r\n\r\n")
            if end:
                length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
                if len(body) >= length:
                    return int(head.split(b" ")[1])
            data = await connection.receive()
            if isinstance(data, TransportError) or not data:
                return 0
            received += data

    async def wait_until(self, moment_s):
        await anyio.sleep(max(0.0, self.stopped_at_s + moment_s - time.monotonic()))

    async def finish(self, connection, request_id, rest):
        """Send the rest of a request, and record how it ends."""
        failed = await connection.send(rest)
        sent_at_s = time.monotonic()
        status = 0
        if failed is None:
            with anyio.move_on_after(CLOSE_TIMEOUT_S):
                status = await self.read_status(connection)
        took_s = time.monotonic() - sent_at_s
        self.ended[request_id] = Ended(sent_at_s - self.stopped_at_s, status, took_s)
        connection.close()

    async def send_new(self, path, moment_s):
        """Send a request at a moment on a new connection."""
        await self.wait_until(moment_s)
        request_id = f"{path[1:5].decode()}-new-{moment_s}"
        connection = await connect(self.addresses["caller_address"], 1.0)
        if isinstance(connection, TransportError):
            return
        await self.finish(connection, request_id, self.make_request(path, request_id))

    async def send_kept(self, path, moment_s):
        """Send a request at a moment on a connection that has served one before."""
        connection = await connect(self.addresses["caller_address"], 1.0)
        request_id = f"{path[1:5].decode()}-kept-{moment_s}"
        await connection.send(self.make_request(path, f"before-{request_id}"))
        self.assertEqual(await self.read_status(connection), 200)
        self.kept += 1
        await self.started.wait()
        await self.wait_until(moment_s)
        await self.finish(connection, request_id, self.make_request(path, request_id))

    async def send_slowly(self, path, moment_s, begin_s):
        """Begin a request early, and send its last bytes at a moment."""
        await self.wait_until(begin_s)
        connection = await connect(self.addresses["caller_address"], 1.0)
        if isinstance(connection, TransportError):
            return
        request_id = f"{path[1:5].decode()}-slow-{moment_s}"
        request = self.make_request(path, request_id)
        await connection.send(request[:-2])
        await self.wait_until(moment_s)
        await self.finish(connection, request_id, request[-2:])

    async def play(self):
        """Stop the gateway, and send requests at all moments of its grace period."""
        self.started = anyio.Event()
        moments_s = [number * STEP_S for number in range(int(GRACE_S / STEP_S))]
        async with anyio.create_task_group() as tasks:
            for path in (b"/book/x", b"/read/x"):
                for moment_s in moments_s:
                    tasks.start_soon(self.send_kept, path, moment_s)
            # A connection whose answer comes after SIGTERM is closed with it.
            while self.kept < 2 * len(moments_s):
                await anyio.sleep(0.05)
            self.stopped_at_s = time.monotonic()
            self.process.send_signal(signal.SIGTERM)
            self.started.set()
            for path in (b"/book/x", b"/read/x"):
                for moment_s in moments_s:
                    tasks.start_soon(self.send_new, path, moment_s)
                    # Within the 3 s that a caller may take for a request.
                    begin_s = max(0.0, moment_s - 2.5)
                    tasks.start_soon(self.send_slowly, path, moment_s, begin_s)

    def runs_of(self, request_id):
        return sum(
            run.header(b"attempt-id") == request_id.encode() for run in self.backend_server.runs
        )

    async def test_no_request_of_any_moment_is_cut_or_refused_falsely(self):
        await self.play()
        statuses = set()
        for request_id, ended in sorted(self.ended.items()):
            with self.subTest(request_id, ended=ended):
                runs = self.runs_of(request_id)
                statuses.add(ended.status)
                self.assertLessEqual(runs, 1)
                if ended.status == 503:
                    self.assertEqual(runs, 0)
                if ended.status == 0:
                    self.assertEqual(runs, 0, "passed on, and then cut")
                    self.assertLess(ended.after_s, LOSS_SLACK_S, "read, and then cut")
                if ended.sent_s < 2.0:
                    self.assertEqual(ended.status, 200)
        self.assertIn(503, statuses)
        with anyio.fail_after(GRACE_S):
            while self.process.poll() is None:
                await anyio.sleep(0.05)
        self.assertEqual(self.process.returncode, 0)
        self.assertLess(time.monotonic() - self.stopped_at_s, GRACE_S + 6.0)


if __name__ == "__main__":
    unittest.main()
