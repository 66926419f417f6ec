"""Tests of who is ended first when a process has no room left for its callers."""

from __future__ import annotations

import unittest
from unittest import mock

from bronzerudder.intake import Account, CallerState, Intake, IntakeLimits
from bronzerudder.intake.accounts import SMALL_BYTES, STALLED_S

LIMITS = IntakeLimits(connections=4, held_bytes=8 * SMALL_BYTES, answer_bytes=0, peer_connections=1)
LARGE = 4 * SMALL_BYTES


class Caller:
    """A connection, and what was done to it."""

    def __init__(self, intake: Intake, state: CallerState = CallerState.READING) -> None:
        self.refused = ""
        self.closed: bool | None = None
        self.account: Account = intake.open(self.refuse, self.close)
        self.account.enter(state)

    def refuse(self, reason: str) -> None:
        self.refused = reason

    def close(self, reset: bool) -> None:
        self.closed = reset
        self.account.remove()


class IntakeTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 100.0
        clock = mock.patch("bronzerudder.intake.accounts.time.monotonic", lambda: self.now_s)
        clock.start()
        self.addCleanup(clock.stop)
        self.reports = []
        self.intake = Intake(LIMITS, lambda *report: self.reports.append(report))

    def test_the_largest_request_is_refused_and_small_ones_go_on(self):
        large, other, small = (Caller(self.intake) for _ in range(3))
        self.assertEqual(large.account.hold(LARGE), "")
        self.assertEqual(small.account.hold(SMALL_BYTES), "")
        self.assertEqual(other.account.hold(LARGE - 1), "")
        self.assertIn("large", large.refused)
        self.assertEqual(small.refused, "")
        self.assertEqual(self.intake.held_bytes, SMALL_BYTES + LARGE - 1)

    def test_a_stalled_request_is_refused_before_a_larger_one_that_goes_on(self):
        stalled, large, growing = (Caller(self.intake) for _ in range(3))
        stalled.account.hold(2 * SMALL_BYTES)
        self.now_s += STALLED_S
        large.account.hold(LARGE)
        self.assertEqual(growing.account.hold(2 * SMALL_BYTES), "")
        self.assertNotEqual(stalled.refused, "")
        self.assertEqual(large.refused, "")

    def test_a_request_that_grows_is_refused_if_it_is_the_largest(self):
        other, growing = Caller(self.intake), Caller(self.intake)
        other.account.hold(2 * SMALL_BYTES)
        self.assertNotEqual(growing.account.hold(5 * SMALL_BYTES), "")
        self.assertEqual((other.refused, growing.refused), ("", ""))
        self.assertEqual(self.intake.held_bytes, 2 * SMALL_BYTES)

    def test_a_request_that_is_served_is_never_ended(self):
        served = Caller(self.intake, CallerState.SERVED)
        served.account.hold(LARGE)
        growing = Caller(self.intake)
        self.assertNotEqual(growing.account.hold(LARGE), "")
        self.assertEqual((served.refused, served.closed), ("", None))
        self.assertTrue(self.intake.end_longest_waiting([growing.account], "full"))
        self.assertFalse(self.intake.end_longest_waiting([served.account], "full"))

    def test_small_requests_have_room_beside_large_ones_that_are_served(self):
        served = Caller(self.intake, CallerState.SERVED)
        served.account.hold(LIMITS.large_bytes)
        small = Caller(self.intake)
        self.assertEqual(small.account.hold(SMALL_BYTES), "")

    def test_an_answer_that_is_not_read_is_reset_to_make_room(self):
        unread = Caller(self.intake, CallerState.SENDING)
        unread.account.add(LARGE)
        self.now_s += STALLED_S
        growing = Caller(self.intake)
        self.assertEqual(growing.account.hold(LARGE), "")
        self.assertEqual(unread.closed, True)
        self.assertEqual(self.reports[0][0], 0)
        self.assertEqual(self.intake.connections, 1)

    def test_an_answer_is_always_held(self):
        served = Caller(self.intake, CallerState.SERVED)
        served.account.hold(LIMITS.held_bytes)
        sending = Caller(self.intake, CallerState.SENDING)
        sending.account.add(LARGE)
        self.assertIsNone(sending.closed)
        self.assertEqual(sending.account.held_bytes, LARGE)

    def test_the_connection_that_waited_longest_is_closed(self):
        callers = []
        for state in (CallerState.SERVED, CallerState.IDLE, CallerState.READING):
            callers.append(Caller(self.intake, state))
            self.now_s += 1.0
        accounts = [caller.account for caller in callers]
        self.assertTrue(self.intake.end_longest_waiting(accounts, "full"))
        self.assertEqual([caller.closed for caller in callers], [None, False, None])
        self.assertTrue(self.intake.end_longest_waiting(accounts[2:], "full"))
        self.assertEqual(callers[2].refused, "full")

    def test_what_ended_holds_nothing(self):
        caller = Caller(self.intake)
        caller.account.hold(LARGE)
        caller.account.remove()
        caller.account.hold(LARGE)
        caller.account.remove()
        self.assertEqual((self.intake.held_bytes, self.intake.connections), (0, 0))
