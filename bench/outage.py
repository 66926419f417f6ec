"""Measures traffic while the platform is down: streamed answers, and bookings with a key.

Prints for each phase (before, down, stalled: no call is answered, after) the requests and their
outcomes, and for bookings the longest time to a refusal.
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
TOKENS = 12
SHAPE = Shape(engines=3, services=2, entries=2, engine={"step_time_s": 0.01}, deadline_s=10.0)


class Booking(NamedTuple):
    """A booking's outcome, the seconds until it was told, and whether it says when to retry."""

    outcome: str
    duration_s: float
    retry_after: bool


class Traffic:
    """Sends both kinds of requests at a steady rate and sorts the answers by phase."""

    def __init__(self, deployment: Deployment, client: httpx.AsyncClient) -> None:
        self._addresses = itertools.cycle(entry.address for entry in deployment.entries)
        self._client = client
        self.phase = ""
        self.streams: dict[str, collections.Counter[str]] = {}
        self.bookings: dict[str, list[Booking]] = {}

    async def run(self, tasks: anyio.abc.TaskGroup, duration_s: float) -> None:
        """Send for some seconds."""
        self.streams[self.phase] = collections.Counter()
        self.bookings[self.phase] = []
        steps = round(duration_s / STREAM_INTERVAL_S)
        stride = round(BOOKING_INTERVAL_S / STREAM_INTERVAL_S)
        for number in range(steps):
            tasks.start_soon(self._stream, self.phase, number)
            if number % stride == 0:
                tasks.start_soon(self._book, self.phase, number)
            await anyio.sleep(STREAM_INTERVAL_S)

    async def _stream(self, phase: str, number: int) -> None:
        prompt = f"{phase} {number}"
        result = await stream_completion(self._client, next(self._addresses), prompt, TOKENS)
        whole = result.text == expected_text(prompt, TOKENS)
        outcome = "broken" if result.outcome == "done" and not whole else result.outcome
        self.streams[phase][outcome] += 1

    async def _book(self, phase: str, number: int) -> None:
        began_at = anyio.current_time()
        label = f"{phase} {number}"
        result = await call_service(self._client, next(self._addresses), label, f"key {label}")
        duration_s = anyio.current_time() - began_at
        retry_after = "retry-after" in result.headers
        self.bookings[phase].append(Booking(result.outcome, duration_s, retry_after))


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
        longest = max(booking.duration_s for booking in refused)
        told = sum(booking.retry_after for booking in refused)
        print(f"  refused bookings       told within {longest:.2f} s, Retry-After in {told}")


async def _set_fault(deployment: Deployment, fault: dict[str, bool]) -> None:
    address = f"http://{deployment.platform.address}/control/faults/*"
    async with httpx.AsyncClient(trust_env=False) as client:
        answer = await client.put(address, json=fault)
        answer.raise_for_status()


if __name__ == "__main__":
    main()
