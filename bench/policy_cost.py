"""Measures the processor time of single decisions, and the subsets at the size of 430 entries.

Each cost is the minimum of several rounds, in microseconds. For subsets it prints the connections
per backend server, and how many choices change when one member is replaced.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable

import numpy as np

from bronzerudder.frames import exchange_pb2 as pb
from bronzerudder.policy.admission import AdmissionRequest, FairQueue, FairQueueLimits
from bronzerudder.policy.limits import (
    RecentUseLimiter,
    RouteLimits,
    RouteUse,
    RouteUseCounter,
)
from bronzerudder.policy.retry import ShareBudget
from bronzerudder.policy.routing import (
    Candidate,
    LoadReport,
    RoutedRequest,
    TokenLoadRouting,
)
from bronzerudder.policy.subset import Member, RendezvousSubset, SampleSubset, SubsetPolicy

ROUNDS = 5
CALLS = 2000
ENTRIES = 430
SUBSET_SIZES = ((87, 15), (87, 50), (3300, 100))


def measure_us(call: Callable[[int], object], calls: int = CALLS) -> float:
    """Return the processor time of a call, in microseconds."""
    shortest_s = float("inf")
    for _ in range(ROUNDS):
        started = time.process_time()
        for number in range(calls):
            call(number)
        shortest_s = min(shortest_s, time.process_time() - started)
    return shortest_s / calls * 1e6


def measure_pick_us(size: int, prefixes: int = 500) -> float:
    """Return the processor time of a pick among `size` candidates."""
    generator = random.Random(1)
    policy = TokenLoadRouting(generator, "d-0")
    candidates = [Candidate(f"b-{index}", f"d-{index % 3}") for index in range(size)]
    for candidate in candidates:
        report = LoadReport(outstanding_tokens=generator.randrange(5000))
        candidate.observe(report, 0.0)
        candidate.begin(generator.randrange(1000))
    requests = [RoutedRequest(500, 300, f"p-{number}") for number in range(prefixes)]
    return measure_us(lambda n: policy.pick(candidates, requests[n % prefixes], n * 1e-3))


def measure_admission_us(workspaces: int, queued: int = 200) -> float:
    """Return the processor time of a cycle at a queue, in microseconds; `queued` requests wait.

    A cycle is two offers, a start, an end and a cancel.
    """
    queue = FairQueue(32, FairQueueLimits(max_queued=1000, max_wait_s=1e9))
    for number in range(queued + 32):
        queue.offer(AdmissionRequest(f"w-{number}", f"w-{number % workspaces}", 100, 1e9), 0.0)
    running = []
    while (started := queue.next(0.0)) is not None:
        running.append(started.request_id)

    def call(number: int) -> None:
        name = f"{number}-{len(running)}"
        request = AdmissionRequest(name, f"w-{number % workspaces}", 100, 1e9)
        queue.offer(request, 0.0)
        queue.finished(running.pop(), 0.0)
        running.append(queue.next(0.0).request_id)
        queue.cancel(name, 0.0)
        queue.offer(request._replace(request_id=f"again-{name}-{time.perf_counter_ns()}"), 0.0)

    return measure_us(call, 500)


def describe_subset(policy: SubsetPolicy, members: int) -> str:
    """Describe how evenly the subsets of all entries spread, and how stable they are."""
    pool = [Member(f"b-{index}", f"d-{index % 18}") for index in range(members)]
    replaced = [*pool[1:], Member("b-new", pool[0].failure_domain)]
    connections = dict.fromkeys((member.name for member in pool), 0)
    changed = []
    for index in range(ENTRIES):
        chosen = policy.select(f"e-{index}", pool)
        for member in chosen:
            connections[member.name] += 1
        changed.append(len(set(chosen) - set(policy.select(f"e-{index}", replaced))))
    counts = np.array(list(connections.values()))
    return (
        f"connections mean {counts.mean():.1f} least {counts.min()} most {counts.max()},"
        f" changed by one replacement {np.mean(changed):.2f}"
    )


def main() -> None:
    """Print the table."""
    for size in (15, 100):
        print(f"pick among {size}: {measure_pick_us(size):.1f} us")
    for workspaces in (1, 10, 100):
        cost = measure_admission_us(workspaces)
        print(f"two offers, start, end and cancel, {workspaces} workspaces wait: {cost:.1f} us")
    budget = ShareBudget()
    print(f"retry budget, fresh request: {measure_us(lambda n: budget.record_request(n)):.2f} us")
    limiter = RecentUseLimiter(random.Random(1))
    limiter.configure("r", RouteLimits(1e9, 10**9))
    acquire_us = measure_us(lambda n: limiter.release(limiter.acquire("r", n * 1e-3), n * 1e-3))
    print(f"limit, acquire and release: {acquire_us:.2f} us")
    uses = [("r", RouteUse(100.0, 10.0, 10, 1, 3))]
    for agents in (15, 100):
        cost = measure_us(lambda n, a=agents: limiter.observe(f"a-{n % a}", uses, n * 1e-3))
        print(f"limit, a load frame naming one route, {agents} agents: {cost:.2f} us")
    counter = RouteUseCounter()
    counting_us = measure_us(lambda n: (counter.begin("r", "e", n), counter.end("r", "e")))
    print(f"agent's count of a request: {counting_us:.2f} us")
    row = pb.RouteUse(
        route="chat-1", total_rate=9.4, own_rate=1.2, total_running=20, own_running=3, entries=430
    )
    plain = pb.Load(outstanding_requests=9, outstanding_tokens=9000, token_rate=9000)
    limited = pb.Load(route_uses=[row])
    print(f"load frame: {plain.ByteSize()} bytes, each limited route {limited.ByteSize()} bytes")
    for members, size in SUBSET_SIZES:
        for policy in (RendezvousSubset(size), SampleSubset(size)):
            name = f"{type(policy).__name__}, {size} of {members}"
            started = time.process_time()
            policy.select("e", [Member(f"b-{i}", f"d-{i % 18}") for i in range(members)])
            cost_ms = (time.process_time() - started) * 1e3
            print(f"{name}: {describe_subset(policy, members)}, {cost_ms:.2f} ms")


if __name__ == "__main__":
    main()
