"""Tests of the responses of a gateway to callers, with stand-ins of backend servers."""

from __future__ import annotations

import unittest

import anyio

from bronzerudder.gateway.services import RetryBudgetLimits
from bronzerudder.http1 import ClientPool, HttpError
from bronzerudder.standin.fleet import Behaviour
from tests.gateway.harness import (
    TIMEOUT_S,
    GatewayHarness,
    make_configuration,
    make_route,
)

ALL_EVENTS = b"".join(f"id: {n}\ndata: {n}\n\n".encode() for n in range(1, 7))


class GatewayCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.gateway = GatewayHarness()
        await self.gateway.start()
        self.addAsyncCleanup(self.gateway.stop)

    def script(self, *behaviours):
        for server in self.gateway.backend_servers:
            server.script = list(behaviours)

    def always(self, behaviour):
        for server in self.gateway.backend_servers:
            server.usual = behaviour


class AdmissionTest(GatewayCase):
    async def test_an_answer_is_passed_on_with_its_signature(self):
        status, headers, body = await self.gateway.send_request("/read/a?q=1")
        self.assertEqual((status, headers[b"response-signature"]), (200, b"signed"))
        self.assertTrue(body.startswith(b"from i-"))
        run = next(server.runs[0] for server in self.gateway.backend_servers if server.runs)
        self.assertEqual(run.target, b"/read/a?q=1")
        self.assertEqual(run.header(b"tenant"), b"workspace")
        self.assertIsNone(run.header(b"x-api-key"))

    async def test_an_unknown_route_is_404_with_a_reason(self):
        status, _, body = await self.gateway.send_request("/nowhere/")
        self.assertEqual(status, 404)
        self.assertIn(b"no-route", body)

    async def test_an_unknown_key_is_401_and_runs_nowhere(self):
        status, _, body = await self.gateway.send_request("/read/", key="wrong")
        self.assertEqual((status, self.gateway.runs()), (401, 0))
        self.assertIn(b"wrong-key", body)

    async def test_a_public_route_needs_no_key(self):
        status, _, _ = await self.gateway.send_request("/open/", key="wrong", tenant="forged")
        self.assertEqual(status, 200)
        run = next(server.runs[0] for server in self.gateway.backend_servers if server.runs)
        self.assertIsNone(run.header(b"tenant"))

    async def test_a_denial_by_an_outdated_configuration_is_503(self):
        self.gateway.is_current = False
        for path, key in (("/nowhere/", "key"), ("/read/", "wrong")):
            status, headers, _ = await self.gateway.send_request(path, key=key)
            self.assertEqual(status, 503)
            self.assertIn(b"retry-after", headers)

    async def test_a_key_that_was_taken_away_is_refused(self):
        taken = make_configuration(2, tenants=[{"name": "workspace", "api_keys": []}])
        self.gateway.configuration.apply_value(taken)
        status, _, _ = await self.gateway.send_request("/read/")
        self.assertEqual(status, 401)

    async def test_an_older_configuration_is_not_put_in_force(self):
        newer = make_configuration(5, routes=[make_route("new", "idempotent")])
        self.gateway.configuration.apply_value(newer)
        self.gateway.configuration.apply_value(make_configuration(4))
        self.assertEqual((await self.gateway.send_request("/new/"))[0], 200)
        self.assertEqual((await self.gateway.send_request("/read/"))[0], 404)

    async def test_the_deadline_passed_on_is_the_shorter_one(self):
        await self.gateway.send_request("/read/", deadline_ms="700")
        await self.gateway.send_request("/read/", deadline_ms="60000")
        runs = [run for server in self.gateway.backend_servers for run in server.runs]
        left = sorted(int(run.header(b"deadline-ms")) for run in runs)
        self.assertTrue(500 < left[0] <= 700 and 1300 < left[1] <= 1500, left)


class OutcomeTest(GatewayCase):
    async def test_a_repeatable_request_is_tried_elsewhere_after_an_error(self):
        self.gateway.backend_servers[0].usual = Behaviour.ERROR
        for number in range(6):
            status, _, body = await self.gateway.send_request("/read/", f"r{number}")
            self.assertEqual((status, body), (200, b"from i-1"))

    async def test_errors_of_all_are_passed_on_unchanged(self):
        self.always(Behaviour.ERROR)
        status, headers, body = await self.gateway.send_request("/read/")
        self.assertEqual((status, body), (500, b"failed"))
        self.assertEqual(headers[b"response-signature"], b"signed")
        self.assertEqual(self.gateway.runs(), 2)

    async def test_what_may_not_be_repeated_runs_at_most_once(self):
        for behaviour in (
            Behaviour.RESET,
            Behaviour.TRUNCATED,
            Behaviour.UNSIGNED,
            Behaviour.BARE_503,
        ):
            self.always(behaviour)
            before = self.gateway.runs()
            # A new target each time, as a request that broke two connections is quarantined.
            path = f"/book/{behaviour.value}"
            status, headers, _ = await self.gateway.send_request(
                path, behaviour.value, method=b"POST"
            )
            self.assertEqual(status, 502, behaviour)
            self.assertNotIn(b"response-signature", headers)
            self.assertEqual(self.gateway.runs() - before, 1, behaviour)

    async def test_a_rejected_request_is_tried_elsewhere_whatever_its_kind(self):
        self.gateway.backend_servers[0].usual = Behaviour.SHED
        for number in range(4):
            status, _, _ = await self.gateway.send_request("/book/", f"r{number}", method=b"POST")
            self.assertEqual(status, 200)

    async def test_a_request_that_all_reject_is_refused_with_a_time_to_return(self):
        self.always(Behaviour.SHED)
        status, headers, body = await self.gateway.send_request("/book/", method=b"POST")
        self.assertEqual((status, self.gateway.runs()), (503, 0))
        self.assertGreater(float(headers[b"retry-after"]), 0)
        self.assertIn(b"not-executed", body)

    async def test_another_instance_at_the_address_is_avoided(self):
        self.gateway.backend_servers[0].instance_id = "i-9"
        # Ties are broken at random; over 40 requests both are called.
        for number in range(40):
            status, _, body = await self.gateway.send_request(
                "/book/", f"r{number}", method=b"POST"
            )
            self.assertEqual((status, body), (200, b"from i-1"))
        candidates = self.gateway.services.pool("s").candidates
        self.assertFalse(candidates["i-0"].connected)

    async def test_silence_ends_with_504_at_the_end_of_the_time(self):
        self.always(Behaviour.UNRESPONSIVE)
        with anyio.fail_after(2.0):
            status, _, _ = await self.gateway.send_request(
                "/book/", method=b"POST", deadline_ms="300"
            )
        self.assertEqual(status, 504)

    async def test_silence_of_one_is_made_up_for_by_another(self):
        self.gateway.backend_servers[0].usual = Behaviour.UNRESPONSIVE
        for number in range(2):
            status, _, body = await self.gateway.send_request("/read/", f"r{number}")
            self.assertEqual((status, body), (200, b"from i-1"))

    async def test_answers_that_are_not_the_backend_servers_are_not_passed_on(self):
        for behaviour in (Behaviour.ENCODED, Behaviour.UNSIGNED, Behaviour.WRONG_REQUEST_ID):
            self.always(behaviour)
            status, headers, _ = await self.gateway.send_request("/read/", behaviour.value)
            self.assertIn(status, (502, 504), behaviour)
            self.assertNotIn(b"response-signature", headers)

    async def test_without_a_backend_server_a_request_is_refused(self):
        for server in self.gateway.backend_servers:
            self.gateway.services.drop(server.instance_id)
        with anyio.fail_after(0.5):
            status, headers, body = await self.gateway.send_request("/stream/", deadline_ms="5000")
        self.assertEqual(status, 503)
        self.assertIn(b"no-backend-server", body)
        self.assertIn(b"retry-after", headers)

    async def test_work_ends_when_the_caller_leaves(self):
        self.always(Behaviour.UNRESPONSIVE)
        exchange = await ClientPool().open(self.gateway.address)
        headers = [(b"host", b"h.example"), (b"x-api-key", b"key"), (b"attempt-id", b"r")]
        await exchange.send(b"POST", b"/book/", headers, b"")
        with anyio.fail_after(TIMEOUT_S):
            while not self.gateway.runs():
                await anyio.sleep(0.01)
            exchange.discard()
            while not sum(server.cancelled for server in self.gateway.backend_servers):
                await anyio.sleep(0.01)


class StreamTest(GatewayCase):
    async def test_events_are_passed_on_as_they_come(self):
        status, headers, body = await self.gateway.send_request("/stream/")
        self.assertEqual((status, body), (200, ALL_EVENTS))
        self.assertEqual(headers[b"response-signature"], b"signed")

    async def test_a_broken_stream_goes_on_elsewhere_without_a_gap(self):
        self.script(Behaviour.TRUNCATED)
        self.gateway.backend_servers[1].script = [Behaviour.ANSWER]
        for server in self.gateway.backend_servers:
            server.script = []
        self.gateway.backend_servers[0].usual = Behaviour.TRUNCATED
        bodies = [
            (await self.gateway.send_request("/stream/", f"r{number}"))[2] for number in range(3)
        ]
        self.assertEqual(bodies, [ALL_EVENTS] * 3)

    async def test_a_caller_resumes_after_its_last_event(self):
        _, _, body = await self.gateway.send_request("/stream/", last_event_id="4")
        self.assertEqual(body, ALL_EVENTS[ALL_EVENTS.index(b"id: 5") :])

    async def test_a_stream_that_can_not_be_resumed_shows_as_cut(self):
        self.always(Behaviour.TRUNCATED)
        status, _, body = await self.gateway.send_request("/once/")
        self.assertEqual(status, 200)
        self.assertIsNone(body)
        self.assertEqual(self.gateway.runs(), 1)

    async def test_a_stream_is_cut_at_the_end_of_its_time(self):
        for server in self.gateway.backend_servers:
            server.event_gap_s = 0.1
        with anyio.fail_after(2.0):
            status, _, body = await self.gateway.send_request("/stream/", deadline_ms="250")
        self.assertEqual(status, 200)
        self.assertIsNone(body)


class BudgetTest(unittest.IsolatedAsyncioTestCase):
    async def test_retries_stop_when_the_budget_is_spent(self):
        gateway = GatewayHarness(retry=RetryBudgetLimits(0.0, 3.0, 10.0))
        await gateway.start()
        self.addAsyncCleanup(gateway.stop)
        for server in gateway.backend_servers:
            server.usual = Behaviour.ERROR
        for number in range(10):
            await gateway.send_request("/read/", f"r{number}")
        self.assertEqual(gateway.runs(), 13)


class QuarantineTest(GatewayCase):
    async def test_a_request_that_breaks_two_backend_servers_is_fenced_off(self):
        self.always(Behaviour.RESET)
        status, _, _ = await self.gateway.send_request(
            "/read/bad", "r1", body=b"poison", method=b"PUT"
        )
        self.assertEqual(status, 502)
        self.always(Behaviour.ANSWER)
        before = self.gateway.runs()
        status, headers, body = await self.gateway.send_request(
            "/read/bad", "r2", body=b"poison", method=b"PUT"
        )
        self.assertEqual((status, self.gateway.runs()), (503, before))
        self.assertIn(b"quarantined", body)
        self.assertGreater(float(headers[b"retry-after"]), 0)
        status, _, _ = await self.gateway.send_request(
            "/read/bad", "r3", body=b"other", method=b"PUT"
        )
        self.assertEqual(status, 200)

    async def test_the_other_gateways_are_told(self):
        self.always(Behaviour.RESET)
        await self.gateway.send_request("/read/bad", body=b"poison", method=b"PUT")
        self.assertEqual(len(self.gateway.crash_reports), 2)
        other = GatewayHarness()
        await other.start()
        self.addAsyncCleanup(other.stop)
        for crash in self.gateway.crash_reports:
            other.crashes.add_report(crash)
        status, _, _ = await other.send_request("/read/bad", body=b"poison", method=b"PUT")
        self.assertEqual((status, other.runs()), (503, 0))


class UnreachableTest(GatewayCase):
    async def test_a_refused_connection_proves_that_a_request_has_not_run(self):
        pool = self.gateway.services.pool("s")
        for instance_id in pool.candidates:
            pool._addresses[instance_id] = "127.0.0.1:1"
        status, headers, _ = await self.gateway.send_request("/book/", method=b"POST")
        self.assertEqual(status, 503)
        self.assertIn(b"retry-after", headers)
        self.assertNotIsInstance(headers, HttpError)


if __name__ == "__main__":
    unittest.main()
