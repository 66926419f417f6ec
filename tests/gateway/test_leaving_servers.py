"""Tests of backend servers that announce in their answers that they leave."""

from __future__ import annotations

import asyncio

from bronzerudder.gateway.tables import BackendServer
from bronzerudder.http1 import ResponseHead
from bronzerudder.platform.requests import decode_answer
from bronzerudder.standin.fleet import Behaviour
from tests.gateway.test_handler import ALL_EVENTS, GatewayCase

REQUESTS = 12
FIRST_START_MS = 1_000
SECOND_START_MS = 2_000


class LeavingServerTest(GatewayCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.leaving, self.staying = self.gateway.backend_servers

    async def tell(self, path="/read/x"):
        """Send requests until the gateway has passed on an answer of the leaving server."""
        self.leaving.leaving = True
        for number in range(REQUESTS):
            await self.gateway.send_request(path, f"tell-{number}")
            if self.leaving.runs:
                return
        self.fail("no request reached the leaving server")

    async def send_many(self, path="/read/x"):
        answers = []
        for number in range(REQUESTS):
            answers.append(await self.gateway.send_request(path, f"r{number}"))
        return answers

    def put(self, started_at_ms, leaving=False):
        address = self.gateway.addresses["i-0"]
        server = BackendServer("i-0", "s", address, "z", 6, leaving, started_at_ms)
        self.gateway.services.put(server)

    async def test_a_server_listed_as_ready_that_leaves_gets_no_further_request(self):
        await self.tell()
        arrived = len(self.leaving.limit.arrivals)
        answers = await self.send_many()
        self.assertEqual({status for status, _, _ in answers}, {200})
        self.assertEqual(len(self.leaving.limit.arrivals), arrived)

    async def test_the_head_of_a_stream_counts_before_its_end(self):
        self.staying.usual = Behaviour.SHED
        self.leaving.leaving = True
        self.leaving.event_gap_s = 0.1
        stream = asyncio.create_task(self.gateway.send_request("/stream/x", "long"))
        while not self.leaving.running:
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.05)
        self.staying.usual = Behaviour.ANSWER
        arrived = len(self.leaving.limit.arrivals)
        await self.send_many()
        self.assertEqual(len(self.leaving.limit.arrivals), arrived)
        self.assertEqual((await stream)[2], ALL_EVENTS)

    async def test_a_rejection_counts_and_is_no_fault(self):
        self.leaving.usual = Behaviour.SHED
        self.leaving.leaving = True
        answers = await self.send_many()
        self.assertEqual({status for status, _, _ in answers}, {200})
        self.assertLessEqual(len(self.leaving.limit.arrivals), 1)
        breaker = self.gateway.services.pool("s").candidates["i-0"].breaker
        self.assertEqual(breaker.failures, 0)

    async def test_an_error_answer_counts(self):
        self.leaving.usual = Behaviour.ERROR
        self.leaving.leaving = True
        await self.send_many()
        self.assertEqual(len(self.leaving.limit.arrivals), 1)

    async def test_a_broken_stream_is_not_resumed_at_the_server_that_leaves(self):
        await self.tell("/stream/x")
        arrived = len(self.leaving.limit.arrivals)
        self.staying.script = [Behaviour.TRUNCATED]
        status, _, body = await self.gateway.send_request("/stream/x", "broken")
        self.assertEqual(status, 200)
        self.assertIsNone(body)
        self.assertEqual(len(self.leaving.limit.arrivals), arrived)

    async def test_a_server_that_is_listed_again_with_the_same_start_still_leaves(self):
        self.put(FIRST_START_MS)
        await self.tell()
        arrived = len(self.leaving.limit.arrivals)
        self.gateway.services.drop("i-0")
        self.put(FIRST_START_MS)
        await self.send_many()
        self.assertEqual(len(self.leaving.limit.arrivals), arrived)

    async def test_the_next_start_under_the_same_id_gets_requests(self):
        self.put(FIRST_START_MS)
        await self.tell()
        arrived = len(self.leaving.limit.arrivals)
        self.leaving.leaving = False
        self.put(SECOND_START_MS)
        await self.send_many()
        self.assertGreater(len(self.leaving.limit.arrivals), arrived)

    async def test_callers_are_refused_with_a_promise_if_all_servers_leave(self):
        for server in self.gateway.backend_servers:
            server.leaving = True
        await asyncio.gather(
            *(self.gateway.send_request("/read/x", f"r{number}") for number in range(2))
        )
        for server in self.gateway.backend_servers:
            self.assertEqual(len(server.limit.arrivals), 1)
        status, headers, body = await self.gateway.send_request("/read/x", "last")
        self.assertEqual(status, 503)
        self.assertGreater(float(headers[b"retry-after"]), 0.0)
        self.assertIn(b"all 2 backend servers are leaving", body)

    async def test_a_request_waiting_for_its_connection_is_not_sent_any_more(self):
        pool = self.gateway.connections
        connect = pool.open
        opened = asyncio.Event()

        async def open_slowly(address):
            exchange = await connect(address)
            if address == self.gateway.addresses["i-0"]:
                opened.set()
                await asyncio.sleep(0.1)
            return exchange

        pool.open = open_slowly
        requests = []
        for number in range(REQUESTS):
            requests.append(self.gateway.send_request("/read/x", f"r{number}"))
        sent = [asyncio.create_task(request) for request in requests]
        await opened.wait()
        incarnation = self.gateway.services.pool("s").incarnation_of("i-0")
        self.gateway.services.record_leaving("i-0", incarnation)
        answers = await asyncio.gather(*sent)
        self.assertEqual({status for status, _, _ in answers}, {200})
        self.assertEqual(len(self.leaving.limit.arrivals), 0)


class DecodeLeavingTest(GatewayCase):
    def leaving(self, *values):
        headers = [(b"attempt-id", b"r1"), *((b"server-leaving", value) for value in values)]
        return decode_answer(ResponseHead(200, tuple(headers))).leaving

    async def test_only_the_value_one_announces_it(self):
        self.assertTrue(self.leaving(b"1"))
        self.assertTrue(self.leaving(b"0", b"1"))
        for value in (b"0", b"", b"yes", b"11"):
            self.assertFalse(self.leaving(value))
        self.assertFalse(self.leaving())
