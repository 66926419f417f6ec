"""Tests that crash reports reach every process and aren't forwarded without end."""

from __future__ import annotations

import unittest

import anyio

from bronzerudder.frames import exchange_pb2 as pb
from bronzerudder.policy.quarantine import QUARANTINE_S, QuarantineState
from bronzerudder.quarantine import QuarantineFeed


class Link:
    """Connects two feeds both ways and counts the updates sent."""

    def __init__(self, first, second):
        self.updates_sent = 0
        self._ends = (first, second)
        first.attach(self.to_second)
        second.attach(self.to_first)

    def to_second(self, update):
        self.updates_sent += 1
        self._ends[1].receive(update, self.to_first)

    def to_first(self, update):
        self.updates_sent += 1
        self._ends[0].receive(update, self.to_second)


class QuarantineFeedTest(unittest.IsolatedAsyncioTestCase):
    def quarantine_state(self, feed, fingerprint):
        return feed.ledger.judge(fingerprint, anyio.current_time()).quarantine_state

    async def test_news_crosses_entries_and_agents_and_comes_to_rest(self):
        agents = [QuarantineFeed() for _ in range(4)]
        entries = [QuarantineFeed() for _ in range(3)]
        links = [Link(agent, entry) for agent in agents for entry in entries]
        agents[0].publish_crash("a", ["crashing", "bystander"])
        agents[1].publish_crash("b", ["crashing"])
        agents[2].publish_clearance("other", frozenset(["a"]))
        for feed in agents + entries:
            self.assertEqual(self.quarantine_state(feed, "crashing"), QuarantineState.QUARANTINED)
            self.assertEqual(self.quarantine_state(feed, "bystander"), QuarantineState.CLEAR)
        self.assertLessEqual(sum(link.updates_sent for link in links), 3 * 2 * len(links))

    async def test_a_peer_that_connects_later_learns_everything(self):
        agent, entry = QuarantineFeed(), QuarantineFeed()
        agent.publish_crash("a", ["crashing", "bystander"])
        agent.publish_clearance("bystander", frozenset(["a"]))
        Link(agent, entry)
        self.assertEqual(self.quarantine_state(entry, "crashing"), QuarantineState.SUSPECT)
        self.assertEqual(self.quarantine_state(entry, "bystander"), QuarantineState.CLEAR)

    async def test_a_report_never_lasts_longer_at_the_next(self):
        feed = QuarantineFeed()
        crash = pb.Crash(crash_id="a", fingerprints=["f"], time_left_ms=10**12)
        feed.receive(pb.Quarantine(crash=crash), None)
        left_s = feed.ledger.reports[0].expires_at - anyio.current_time()
        self.assertLessEqual(left_s, QUARANTINE_S)

    async def test_malformed_news_is_passed_over(self):
        feed = QuarantineFeed()
        for update in (
            pb.Quarantine(),
            pb.Quarantine(crash=pb.Crash(fingerprints=["f"], time_left_ms=1000)),
            pb.Quarantine(crash=pb.Crash(crash_id="a", fingerprints=["f"])),
            pb.Quarantine(crash=pb.Crash(crash_id="a", fingerprints=[""], time_left_ms=1000)),
        ):
            feed.receive(update, None)
        self.assertEqual(feed.ledger.reports, ())


if __name__ == "__main__":
    unittest.main()
