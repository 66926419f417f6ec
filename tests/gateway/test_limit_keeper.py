"""Tests of what a gateway believes of limits, and whom it asks for permits."""

from __future__ import annotations

import math
import random
import time
import unittest
from unittest import mock

from prometheus_client import CollectorRegistry

from bronzerudder.gateway import server_limits
from bronzerudder.gateway.metrics import GatewayMetrics
from bronzerudder.gateway.server_limits import ServerLimitKeeper
from bronzerudder.gateway.tables import BackendServer
from bronzerudder.peers.messages import (
    GatewayCheck,
    PermitAnswer,
    PermitRequest,
    ServerLimit,
    ServerLimits,
    SilenceQuery,
    SilenceReport,
)
from bronzerudder.peers.messenger import GatewayMessenger
from bronzerudder.policy.server_limits import GatewayRanking
from bronzerudder.standin.fleet import Behaviour
from tests.gateway.harness import GatewayHarness, quiet_log

OWN = "10.0.0.1:7000"
OTHERS = ("10.0.0.2:7000", "10.0.0.3:7000", "10.0.0.4:7000")


class ListingMessenger(GatewayMessenger):
    """Keeps messages in a list, with the address that they were sent to."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, object]] = []

    @property
    def address(self) -> str:
        """Address of the gateway under test."""
        return OWN

    def send_to_all(self, message) -> None:
        """Keep a message."""
        self.sent.append(("all", message))

    def send_to_some(self, message, count) -> None:
        """Keep a message."""
        self.sent.append(("some", message))

    def send_to(self, message, address) -> None:
        """Keep a message."""
        self.sent.append((address, message))


class KeeperCase(unittest.TestCase):
    def setUp(self):
        self.now_s = 100.0
        clock = mock.Mock(monotonic=lambda: self.now_s)
        self.enterContext(mock.patch.object(server_limits, "time", clock))
        self.messenger = ListingMessenger()
        metrics = GatewayMetrics(CollectorRegistry())
        self.keeper = ServerLimitKeeper(self.messenger, quiet_log(), metrics)
        self.keeper.set_gateways((OWN, *OTHERS))
        for address in OTHERS:
            self.keeper.record_peer(address)

    def find_server(self, is_own):
        """Return a limited server whose permits this gateway issues, or does not."""
        for number in range(100):
            server = f"i-{number}"
            if (self.keeper.find_issuer(server) == OWN) is is_own:
                break
        gate = self.keeper.gate(server, "s")
        self.keeper.record_answer(server, 2.0, self.now_s - 0.1, "r1")
        self.messenger.sent.clear()
        return server, gate

    def requests_to(self, address):
        return [
            message
            for receiver, message in self.messenger.sent
            if receiver == address and isinstance(message, PermitRequest)
        ]

    def limit(self, server, rate_rps=2.0, age_s=0.1):
        return ServerLimit(server, rate_rps, age_s, age_s)


class IssuerTest(KeeperCase):
    def test_its_own_permits_need_no_message(self):
        _, gate = self.find_server(is_own=True)
        self.keeper.request_permits([gate], 1)
        self.assertTrue(gate.admits(self.now_s))
        sent = [message for _, message in self.messenger.sent]
        self.assertFalse([message for message in sent if isinstance(message, PermitRequest)])

    def test_an_issuer_lets_its_successors_know_of_it(self):
        _, gate = self.find_server(is_own=True)
        self.keeper.request_permits([gate], 1)
        greeted = {address for address, item in self.messenger.sent if item.sender == OWN}
        self.assertEqual(len(greeted), 2)

    def test_a_permit_is_asked_for_and_used_once(self):
        server, gate = self.find_server(is_own=False)
        issuer = self.keeper.find_issuer(server)
        self.keeper.request_permits([gate], 1)
        (request,) = self.requests_to(issuer)
        self.assertFalse(gate.admits(self.now_s))
        answer = PermitAnswer(issuer, request.number, self.limit(server), "", True, 0.0, 0.5, 2)
        self.keeper.on_message(answer)
        self.assertTrue(gate.admits(self.now_s))
        gate.record_sent(self.now_s)
        self.keeper.on_message(answer)
        self.assertFalse(gate.admits(self.now_s))

    def test_a_silent_issuer_is_passed_over_and_checked(self):
        server, gate = self.find_server(is_own=False)
        issuer = self.keeper.find_issuer(server)
        for _ in range(4):
            self.keeper.request_permits([gate], 1)
            self.now_s += 0.11
        self.assertNotEqual(self.keeper.find_issuer(server), issuer)
        checks = [item for item in self.messenger.sent if isinstance(item[1], GatewayCheck)]
        self.assertIn((issuer, GatewayCheck(OWN, True)), checks)
        self.keeper.on_message(GatewayCheck(issuer, False))
        self.assertEqual(self.keeper.find_issuer(server), issuer)

    def test_a_gateway_that_ranks_lower_names_the_issuer_and_issues_nothing(self):
        server, _ = self.find_server(is_own=False)
        issuer = self.keeper.find_issuer(server)
        asker = next(address for address in OTHERS if address != issuer)
        self.keeper.on_message(PermitRequest(asker, 7, self.limit(server)))
        (answer,) = [item for _, item in self.messenger.sent if isinstance(item, PermitAnswer)]
        self.assertEqual((answer.issuer, answer.granted), (issuer, False))

    def test_a_successor_issues_once_it_does_not_hear_the_issuer_either(self):
        server, _ = self.find_server(is_own=False)
        asker = next(item for item in OTHERS if item != self.keeper.find_issuer(server))
        for _ in range(40):
            self.now_s += 0.1
            self.keeper.record_peer(asker)
            self.keeper.on_message(PermitRequest(asker, 7, self.limit(server)))
            if self.keeper.find_issuer(server) in (OWN, asker):
                break
        self.assertIn(self.keeper.find_issuer(server), (OWN, asker))

    def silence(self, address):
        """Let messages to a gateway go unanswered."""
        others = [other for other in OTHERS if other != address]
        for _ in range(3):
            self.keeper.on_message(SilenceQuery(others[0], address))
            self.now_s += 0.11
            for other in others:
                self.keeper.record_peer(other)

    def find_succeeded_server(self):
        """Return a limited server whose issuer this gateway would succeed, and that issuer."""
        for number in range(200):
            server = f"i-{number}"
            issuer = self.keeper.find_issuer(server)
            if issuer == OTHERS[0]:
                ranking = GatewayRanking(OWN)
                ranking.set_listed((OWN, *OTHERS[1:]), 0.0)
                if ranking.find_issuer(server) == OWN:
                    break
        gate = self.keeper.gate(server, "s")
        self.keeper.record_answer(server, 2.0, self.now_s - 0.1, "r1")
        return gate, issuer

    def test_a_successor_issues_to_itself_only_once_the_silence_is_confirmed(self):
        gate, issuer = self.find_succeeded_server()
        self.now_s += 2.0
        for address in OTHERS[1:]:
            self.keeper.record_peer(address)
        self.silence(issuer)
        self.messenger.sent.clear()
        self.keeper.request_permits([gate], 1)
        self.assertFalse(gate.admits(self.now_s))
        asked = [(to, item) for to, item in self.messenger.sent if isinstance(item, SilenceQuery)]
        self.assertEqual(len(asked), 1)
        self.assertIn(asked[0][0], OTHERS[1:])
        self.keeper.on_message(SilenceReport(asked[0][0], issuer, False))
        self.now_s += 0.2
        self.keeper.request_permits([gate], 2)
        self.assertFalse(gate.admits(self.now_s))
        self.keeper.on_message(SilenceReport(asked[0][0], issuer, True))
        self.now_s += 1.0
        self.keeper.request_permits([gate], 4)
        self.assertTrue(gate.admits(self.now_s))

    def test_a_gateway_reports_whom_it_hears(self):
        self.keeper.on_message(SilenceQuery(OTHERS[0], OTHERS[1]))
        self.keeper.on_message(SilenceQuery(OTHERS[0], OWN))
        self.now_s += 2.0
        self.keeper.on_message(SilenceQuery(OTHERS[0], OTHERS[1]))
        self.silence(OTHERS[1])
        self.messenger.sent.clear()
        self.keeper.on_message(SilenceQuery(OTHERS[0], OTHERS[1]))
        (report,) = [item for _, item in self.messenger.sent if isinstance(item, SilenceReport)]
        self.assertIs(report.is_silent, True)

    def test_a_gateway_that_hears_no_other_keeps_to_an_even_share(self):
        _, gate = self.find_server(is_own=True)
        granted = 0
        self.now_s += 10.0
        for _ in range(400):
            self.now_s += 0.05
            self.keeper.request_permits([gate], 1)
            if gate.admits(self.now_s):
                gate.record_sent(self.now_s)
                granted += 1
        self.assertLessEqual(granted, 20 * 2.0 / 4 + 2)
        self.assertGreaterEqual(granted, 20 * 2.0 / 4 - 2)


class BeliefTest(KeeperCase):
    def test_what_peers_say_is_ordered_by_its_age(self):
        server, gate = self.find_server(is_own=True)
        older = ServerLimits(OTHERS[0], [self.limit(server, None, age_s=5.0)])
        self.keeper.on_message(older)
        self.assertEqual(gate.rate_rps, 2.0)
        self.now_s += 1.0
        self.keeper.on_message(ServerLimits(OTHERS[0], [self.limit(server, None, age_s=0.05)]))
        self.assertIsNone(gate.rate_rps)
        self.assertTrue(gate.admits(self.now_s))

    def test_a_change_is_told_to_all_and_news_of_peers_is_not_passed_on(self):
        server, _ = self.find_server(is_own=True)
        self.now_s += 1.0
        self.keeper.record_answer(server, 1.0, self.now_s - 0.1, "r2")
        self.assertEqual([address for address, _ in self.messenger.sent], ["all"])
        self.messenger.sent.clear()
        self.now_s += 1.0
        self.keeper.on_message(ServerLimits(OTHERS[0], [self.limit(server, 0.5)]))
        self.assertEqual(self.messenger.sent, [])

    def test_a_limit_that_changes_with_each_answer_is_told_a_few_times_a_second(self):
        server, _ = self.find_server(is_own=True)
        generator = random.Random(1)
        for number in range(200):
            self.now_s += 0.01
            rate_rps = round(generator.uniform(1.0, 2.0), 3)
            self.keeper.record_answer(server, rate_rps, self.now_s, f"r{number}")
            self.keeper.maintain()
        told = [address for address, _ in self.messenger.sent if address == "all"]
        self.assertLessEqual(len(told), 9)

    def test_impossible_values_of_peers_are_ignored_and_raise_nothing(self):
        server, gate = self.find_server(is_own=False)
        issuer = self.keeper.find_issuer(server)
        values = (math.nan, math.inf, -math.inf, -1.0, 1e308)
        for value in values:
            for sender in (issuer, "", "x", "1.2.3.4:x"):
                limit = ServerLimit(server, value, 0.1, 0.1)
                self.keeper.on_message(ServerLimits(sender, [limit]))
                self.keeper.on_message(ServerLimits(sender, [ServerLimit(server, 1.0, value, 0.1)]))
                self.keeper.on_message(PermitRequest(sender, -1, limit))
                self.keeper.request_permits([gate], 4)
                for number in list(gate.wallet.outstanding):
                    answer = PermitAnswer(sender, number, limit, "", True, value, value, -5)
                    self.keeper.on_message(answer)
                self.keeper.maintain()
                self.assertLess(self.keeper.estimate_wait_s([gate], 3), math.inf)
                self.now_s += 3.0
        self.assertEqual(gate.wallet.pending(self.now_s), 0)

    def test_servers_that_are_not_listed_are_ignored(self):
        self.keeper.record_answer("i-gone", 2.0, self.now_s, "r1")
        self.keeper.on_message(ServerLimits(OTHERS[0], [self.limit("i-gone")]))
        self.assertFalse(self.keeper.has_limits)


class AnswerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.gateway = GatewayHarness(1)
        await self.gateway.start()
        self.addAsyncCleanup(self.gateway.stop)
        self.server = self.gateway.backend_servers[0]
        self.server.limit.set_rate(4.0)
        await self.gateway.send_request("/read/a", "r1")

    def rate_rps(self):
        return self.gateway.limits.describe("i-0").get("limit_rps")

    async def test_an_answer_names_a_limit_and_another_ends_it(self):
        self.assertEqual(self.rate_rps(), 4.0)
        self.server.limit.set_rate(None)
        await self.gateway.send_request("/read/a", "r2")
        self.assertIsNone(self.rate_rps())

    async def test_an_unsigned_answer_does_not_end_a_limit(self):
        self.server.limit.set_rate(None)
        self.server.script = [Behaviour.UNSIGNED, Behaviour.SHED, Behaviour.UNSIGNED]
        await self.gateway.send_request("/read/a", "r2")
        self.assertEqual(self.rate_rps(), 4.0)

    async def test_a_malformed_limit_leaves_the_one_in_force(self):
        with mock.patch.object(self.server.limit, "headers") as headers:
            headers.return_value = [(b"server-limit", b"-3")]
            status, _, _ = await self.gateway.send_request("/read/a", "r2")
        self.assertEqual((status, self.rate_rps()), (200, 4.0))

    async def test_a_server_that_starts_again_under_its_id_has_no_limit(self):
        address = self.gateway.addresses["i-0"]
        started = BackendServer("i-0", "s", address, "z", 6, False, int(time.time() * 1000))
        self.gateway.services.put(started)
        self.assertFalse(self.gateway.limits.has_limits)
        self.assertEqual(self.gateway.limits.describe(started.incarnation), {})

    async def test_the_head_of_a_stream_counts_when_it_arrives(self):
        self.server.limit.set_rate(2.0)
        self.server.event_gap_s = 0.2
        begin_s = time.monotonic()
        await self.gateway.send_request("/stream/a", "r2")
        age_s = self.gateway.limits.describe("i-0")["limit_age_s"]
        self.assertGreater(age_s, 0.5 * (time.monotonic() - begin_s))


if __name__ == "__main__":
    unittest.main()
