"""Measures traffic while the platform is down: streamed answers, and bookings with a key.

Prints the outcomes of the requests in each phase (before, down, stalled, after), and for bookings
the longest time to a refusal. In the phase "stalled" the platform answers no call.
"""

from __future__ import annotations

import collections
import itertools
from typing import NamedTuple

import anyio
import httpx

from bench.harness import Deployment, Shape
from bench.harness.load import call_service, expected_text, open_client, stream_completion

PHASES = (("before", 5.0), ("down", 60.0), ("stalled", 20.0), ("after", 10.0))
FAULTS = {"down": {"down": True}, "stalled": {"stalled": True}}
STREAM_INTERVAL_S = 0.1
BOOKING_INTERVAL_S = 0.5
STREAM_TOKENS = 12
SHAPE = Shape(engines=3, services=2, entries=2, engine={"step_time_s": 0.01}, deadline_s=10.0)


class Booking(NamedTuple):
    """A booking's outcome, its response time in seconds, and whether it came with Retry-After."""

    outcome: str
    duration_s: float
    has_retry_after: bool


class Traffic:
    """Sends both kinds of requests at a steady rate and collects their outcomes by phase."""

    def __init__(self, deployment: Deployment, client: httpx.AsyncClient) -> None:
        self._addresses = itertools.cycle(entry.address for entry in deployment.entries)
        self._client = client
        self.phase = ""
        self.streams: dict[str, collections.Counter[str]] = {}
        self.bookings: dict[str, list[Booking]] = {}

    async def run(self, tasks: anyio.abc.TaskGroup, duration_s: float) -> None:
        """Send requests for `duration_s`."""
        self.streams[self.phase] = collections.Counter()
        self.bookings[self.phase] = []
        count = round(duration_s / STREAM_INTERVAL_S)
        stride = round(BOOKING_INTERVAL_S / STREAM_INTERVAL_S)
        for number in range(count):
            tasks.start_soon(self._stream, self.phase, number)
            if number % stride == 0:
                tasks.start_soon(self._book, self.phase, number)
            await anyio.sleep(STREAM_INTERVAL_S)

    async def _stream(self, phase: str, number: int) -> None:
        prompt = f"{phase} {number}"
        result = await stream_completion(self._client, next(self._addresses), prompt, STREAM_TOKENS)
        is_complete = result.text == expected_text(prompt, STREAM_TOKENS)
        outcome = "broken" if result.outcome == "done" and not is_complete else result.outcome
        self.streams[phase][outcome] += 1

    async def _book(self, phase: str, number: int) -> None:
        started_at = anyio.current_time()
        label = f"{phase} {number}"
        result = await call_service(self._client, next(self._addresses), label, f"key {label}")
        duration_s = anyio.current_time() - started_at
        has_retry_after = "retry-after" in result.headers
        self.bookings[phase].append(Booking(result.outcome, duration_s, has_retry_after))


def main() -> None:
    """Run all phases and print the table."""
    anyio.run(_measure)


async def _measure() -> None:
    with Deployment(SHAPE) as deployment:
        async with open_client() as client:
            traffic = Traffic(deployment, client)
            async with anyio.create_task_group() as tasks:
                for phase, duration_s in PHASES:
                    await _set_fault(deployment, FAULTS.get(phase, {}))
                    traffic.phase = phase
                    await traffic.run(tasks, duration_s)
    for phase, duration_s in PHASES:
        print(f"{phase}, {duration_s:.0f} s")
        print(f"  streamed answers       {dict(traffic.streams[phase])}")
        _print_bookings(traffic.bookings[phase])


def _print_bookings(bookings: list[Booking]) -> None:
    refused = [booking for booking in bookings if booking.outcome == "not-run"]
    counts = collections.Counter(booking.outcome for booking in bookings)
    print(f"  bookings with a key    {dict(counts)}")
    if refused:
        longest_s = max(booking.duration_s for booking in refused)
        with_header = sum(booking.has_retry_after for booking in refused)
        print(
            f"  refused bookings       told within {longest_s:.2f} s, Retry-After in {with_header}"
        )


async def _set_fault(deployment: Deployment, fault: dict[str, bool]) -> None:
    address = f"http://{deployment.platform.address}/control/faults/*"
    async with httpx.AsyncClient(trust_env=False) as client:
        answer = await client.put(address, json=fault)
        answer.raise_for_status()


if __name__ == "__main__":
    main()
