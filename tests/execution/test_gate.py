"""Tests of how attempts wait for the admission queue."""

from __future__ import annotations

import unittest

import anyio

from bronzerudder.execution.gate import AdmissionGate
from bronzerudder.frames import exchange_pb2 as pb
from bronzerudder.policy.admission import FairQueue

TIMEOUT_S = 5.0


class FakeAttempt:
    """Has the only attribute of an attempt that the gate reads."""

    def __init__(self, submit):
        self.submit = submit


class AdmissionGateTest(unittest.IsolatedAsyncioTestCase):
    async def test_what_arrives_after_a_quiet_time_still_expires(self):
        gate = AdmissionGate(FairQueue(1))
        first = pb.Submit(request_id="a", attempt=1, time_left_ms=60_000)
        second = pb.Submit(request_id="b", attempt=1, time_left_ms=300)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(gate.expire)
            await anyio.sleep(0.01)
            self.assertIsNone(gate.offer(first))
            self.assertIsNone(gate.offer(second))
            with anyio.fail_after(TIMEOUT_S):
                refusal = await gate.wait_for_admission(FakeAttempt(second))
            tasks.cancel_scope.cancel()
        self.assertIsNotNone(refusal)


if __name__ == "__main__":
    unittest.main()
