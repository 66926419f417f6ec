"""Traces, logs and metrics that one request leaves in all processes."""

from __future__ import annotations

import httpx

from bench.harness import Deployment, Shape
from bench.harness.load import COMPLETIONS_PATH, WORKSPACE_HEADER
from tests.processes.case import ProcessTestCase

TRACE_ID = "4bf92f3577b34da6a3ce929d0e0e4736"
CALLER_SPAN_ID = "00f067aa0ba902b7"
HOPS = ["caller request", "entry attempt", "agent attempt", "backend server call"]
BODY = {"messages": [{"content": "hello"}], "max_tokens": 2}
METRICS = (
    'bronzerudder_caller_requests_total{outcome="done"} 1.0',
    "bronzerudder_caller_request_duration_seconds_count 1.0",
    "bronzerudder_caller_requests_in_flight 0.0",
)


class ObservabilityTest(ProcessTestCase):
    async def test_one_request_leaves_a_span_a_hop_json_logs_and_metrics(self):
        with Deployment(Shape(engines=1)) as deployment:
            entry, agent = deployment.entries[0], deployment.engines[0].agent
            async with httpx.AsyncClient() as client:
                headers = {
                    WORKSPACE_HEADER: "w",
                    "traceparent": f"00-{TRACE_ID}-{CALLER_SPAN_ID}-01",
                }
                address = f"http://{entry.address}{COMPLETIONS_PATH}"
                answer = await client.post(address, json=BODY, headers=headers)
                metrics = await client.get(f"http://{entry.admin_address}/metrics")
                ready = await client.get(f"http://{entry.admin_address}/readyz")
                live = await client.get(f"http://{agent.admin_address}/livez")
            for process in (entry, agent):
                process.terminate()
                self.assertEqual(process.wait(), 0)
            logs = [*entry.read_log(), *agent.read_log()]
            texts = [entry.read_log_text(), agent.read_log_text()]
        self.assertEqual((answer.status_code, ready.status_code, live.status_code), (200,) * 3)
        for line in METRICS:
            self.assertIn(line, metrics.text)
        for text in texts:
            self.assertTrue(all(line.startswith("{") for line in text.splitlines()), text)
        self._check_spans([line for line in logs if line["message"] == "span"])

    def _check_spans(self, spans):
        by_name = {span["span"]: span for span in spans}
        self.assertEqual(sorted(by_name), sorted(HOPS))
        parent = CALLER_SPAN_ID
        for name in HOPS:
            span = by_name[name]
            self.assertEqual((span["trace_id"], span["parent_span_id"]), (TRACE_ID, parent))
            parent = span["span_id"]
