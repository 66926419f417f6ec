"""Measures claims: per platform write, added time, bytes, memory and unknown outcomes.

A store in memory with a fixed round-trip time takes the place of the platform. One process acts as
one agent that writes one shard, as an agent of a small pool does.
"""

from __future__ import annotations

import itertools
import random
import time
import tracemalloc
from typing import NamedTuple

import anyio
import hdrh.histogram
import httpx

from bench.harness import Deployment, Shape
from bench.harness.load import call_service, open_client
from bench.harness.memory_store import LOST, MemoryStore, Objects
from bronzerudder.claims import (
    AlreadyFinished,
    ClaimKey,
    Granted,
    StoredAnswer,
    StoredClaimRegister,
    Unknown,
)
from bronzerudder.claims.settings import ClaimSettings

ROUND_TRIP_S = 0.01
BASE_RATE = 125.0
RATE_FACTORS = (1, 4, 16)
DURATION_S = 4.0
RUN_TIME_S = 0.02
SEND_INTERVAL_S = 0.002
ANSWER = StoredAnswer(201, (("content-type", "application/json"),), b'{"booking":123456}' * 8)
FINGERPRINT = bytes(8)
MICROSECONDS = 1_000_000
SEED = 20261203
PATH_CALLS = 400
PATH_CONCURRENCY = 6


class Sample(NamedTuple):
    """One row of a table; times are in mean round trips, and bytes include every write."""

    rate: float
    claims: int
    writes_per_s: float
    claims_per_write: float
    median_trips: float
    p99_trips: float
    bytes_per_claim: float
    cpu_us_per_claim: float


def make_store(round_trip_s: float, lost_share: float = 0.0) -> MemoryStore:
    """Make a store that loses the responses of a share of its writes."""
    store = MemoryStore(Objects(), round_trip_s)
    generator = random.Random(SEED)
    store.fault = lambda: LOST if generator.random() < lost_share else None
    return store


class ClaimSender:
    """Sends claims at a given rate without waiting for the answers to earlier ones."""

    def __init__(self, register: StoredClaimRegister, shards: int = 1) -> None:
        self._register = register
        self._shards = shards
        self._numbers = itertools.count()
        self.granted = 0
        self.histogram = hdrh.histogram.HdrHistogram(1, 60 * MICROSECONDS, 3)

    async def run(self, rate: float, duration_s: float) -> None:
        """Send claims for `duration_s`, then wait for all answers."""
        started = time.monotonic()
        sent = 0
        async with anyio.create_task_group() as tasks:
            while time.monotonic() - started < duration_s:
                due_count = int((time.monotonic() - started) * rate)
                for _ in range(due_count - sent):
                    tasks.start_soon(self._claim)
                sent = due_count
                await anyio.sleep(SEND_INTERVAL_S)

    async def _claim(self) -> None:
        number = next(self._numbers)
        key = ClaimKey(make_digest(number % self._shards, number), FINGERPRINT)
        started = time.monotonic()
        outcome = await self._register.claim(key, 10.0)
        self.histogram.record_value(max(1, int((time.monotonic() - started) * MICROSECONDS)))
        if not isinstance(outcome, Granted):
            return
        self.granted += 1
        await anyio.sleep(RUN_TIME_S)
        self._register.finish(key, ANSWER)


def make_digest(shard: int, number: int) -> bytes:
    """Make a key digest that maps to the given shard."""
    return (shard).to_bytes(8, "big") + number.to_bytes(8, "big")


async def measure(
    rate: float, settings: ClaimSettings, shards: int = 1, round_trip_s: float = ROUND_TRIP_S
) -> Sample:
    """Measure claims at one rate."""
    store = make_store(round_trip_s)
    register = StoredClaimRegister(store, "p", 1, settings)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(register.run)
        sender = ClaimSender(register, shards)
        cpu_s = time.process_time()
        await sender.run(rate, DURATION_S)
        cpu_s = time.process_time() - cpu_s
        await register.flush()
        tasks.cancel_scope.cancel()
    trip_us = store.objects.mean_put_s * MICROSECONDS
    return Sample(
        rate,
        sender.granted,
        store.objects.puts / DURATION_S,
        sender.granted / store.objects.puts,
        sender.histogram.get_value_at_percentile(50) / trip_us,
        sender.histogram.get_value_at_percentile(99) / trip_us,
        store.objects.bytes_put / sender.granted,
        cpu_s / sender.granted * MICROSECONDS,
    )


async def measure_unknown(lost_share: float, kills: int, keys: int) -> tuple[int, int, int]:
    """Replace the register while requests run, repeat every key, and count the answers.

    Returns
    -------
    tuple of int
        Number of repeats, of stored answers, and of unknown outcomes.
    """
    store = make_store(ROUND_TRIP_S, lost_share)
    finished = unknown = total = 0
    for incarnation in range(1, kills + 1):
        register = StoredClaimRegister(store, "p", incarnation, {})
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(register.run)
            sender = ClaimSender(register)
            sender._numbers = itertools.count(incarnation * keys)
            await sender.run(keys / DURATION_S, DURATION_S)
            tasks.cancel_scope.cancel()
        successor = StoredClaimRegister(store, "p", kills + incarnation, {})
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(successor.run)
            for number in range(
                incarnation * keys, incarnation * keys + sender.histogram.get_total_count()
            ):
                key = ClaimKey(make_digest(0, number), FINGERPRINT)
                outcome = await successor.claim(key, 10.0)
                total += 1
                finished += isinstance(outcome, AlreadyFinished)
                unknown += isinstance(outcome, Unknown)
            tasks.cancel_scope.cancel()
    return total, finished, unknown


async def measure_memory(keys: int) -> tuple[float, float]:
    """Return the bytes allocated per finished key kept, and the seconds to take over a shard."""
    store = make_store(0.0)
    register = StoredClaimRegister(store, "p", 1, {})
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(register.run)
        await ClaimSender(register).run(keys / DURATION_S, DURATION_S)
        await register.flush()
        tasks.cancel_scope.cancel()
    tracemalloc.start()
    successor = StoredClaimRegister(store, "p", 2, {})
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(successor.run)
        started = time.monotonic()
        await successor.claim(ClaimKey(make_digest(0, keys * 2), FINGERPRINT), 60.0)
        took_s = time.monotonic() - started
        tasks.cancel_scope.cancel()
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return allocated / keys, took_s


async def measure_end_to_end(
    deployment: Deployment, repetition: int, keyed: bool
) -> tuple[float, float]:
    """Return the median and the 99th percentile of the time of a booking, in seconds."""
    histogram = hdrh.histogram.HdrHistogram(1, 60 * MICROSECONDS, 3)
    limiter = anyio.CapacityLimiter(PATH_CONCURRENCY)

    async def book(client: httpx.AsyncClient, number: int) -> None:
        async with limiter:
            entry = deployment.entries[number % len(deployment.entries)].address
            label = f"booking {repetition} {number}"
            started = time.monotonic()
            result = await call_service(client, entry, label, label if keyed else "")
            if result.outcome != "done":
                raise RuntimeError(f"{label}: {result}")
            histogram.record_value(int((time.monotonic() - started) * MICROSECONDS))

    async with open_client() as client, anyio.create_task_group() as tasks:
        for number in range(PATH_CALLS):
            tasks.start_soon(book, client, number)
    percentiles = [histogram.get_value_at_percentile(percent) for percent in (50, 99)]
    return percentiles[0] / MICROSECONDS, percentiles[1] / MICROSECONDS


def print_end_to_end() -> None:
    """Print the time of a booking with and without a key, measured on real processes."""
    with Deployment(Shape(services=3, entries=2)) as deployment:
        address = f"http://{deployment.platform.address}/control/faults/*"
        httpx.put(address, json={"delay_s": ROUND_TRIP_S}).raise_for_status()
        for repetition, keyed in enumerate((False, True, False, True)):
            median_s, p99_s = anyio.run(measure_end_to_end, deployment, repetition, keyed)
            name = "with a key" if keyed else "without a key"
            print(f"{name}: median {median_s * 1000:.1f} ms, p99 {p99_s * 1000:.1f} ms")


def main() -> None:
    """Print the tables."""
    names = "rate/s  claims  writes/s  claims/write  p50 trips  p99 trips  bytes/claim  cpu us"
    print(f"one shard, round trip {ROUND_TRIP_S * 1000:.0f} ms, no least interval")
    print(names)
    for factor in RATE_FACTORS:
        _print_sample(anyio.run(measure, BASE_RATE * factor, {}))
    print("least interval between writes 20 ms")
    for factor in RATE_FACTORS:
        _print_sample(anyio.run(measure, BASE_RATE * factor, {"write_interval_s": 0.02}))
    print("three shards at one agent")
    _print_sample(anyio.run(measure, BASE_RATE * RATE_FACTORS[-1], {}, 3))
    print("bytes by size at which a head is sealed, 1000 claims/s")
    for seal_bytes in (8_192, 32_768, 131_072, 262_144):
        print(f"seal at {seal_bytes}")
        _print_sample(anyio.run(measure, 1000.0, {"seal_bytes": seal_bytes}))
    for lost_share in (0.0, 0.01, 0.1):
        total, finished, unknown = anyio.run(measure_unknown, lost_share, 3, 400)
        print(
            f"answers lost {lost_share:.0%}, agent killed 3 times under 100 claims/s: "
            f"{total} repeats, {finished} stored answers, {unknown} unknown ({unknown / total:.2%})"
        )
    bytes_per_key, took_s = anyio.run(measure_memory, 8000)
    print(f"memory {bytes_per_key:.0f} bytes per key kept; 8000 keys taken over in {took_s:.2f} s")

    print(f"whole path, real processes, platform delayed by {ROUND_TRIP_S * 1000:.0f} ms")
    print_end_to_end()


def _print_sample(sample: Sample) -> None:
    print(
        f"{sample.rate:6.0f}  {sample.claims:6d}  {sample.writes_per_s:8.1f}"
        f"  {sample.claims_per_write:12.1f}  {sample.median_trips:9.2f}  {sample.p99_trips:9.2f}"
        f"  {sample.bytes_per_claim:11.0f}  {sample.cpu_us_per_claim:6.0f}"
    )


if __name__ == "__main__":
    main()
