"""Measures routing strategies on a fake group of ranks in lock-step.

Prints for each load (a fraction of the group's capacity under random routing) and each strategy the
time to first token, the tokens of the largest rank over the mean in each step, and the share of
prefix hits. Load reports are sent every 0.5 s and are 0.5 to 1 s old when they arrive; cache events
arrive 1 to 5 s late, and a fifth of them are lost.
"""

from __future__ import annotations

import random
import time
from typing import NamedTuple

import numpy as np

from bench.fakes.clock import Clock
from bench.fakes.lockstep import EngineShape
from bench.fakes.routed_pool import PolicyFactory, RoutedPool
from bench.fakes.traffic import TrafficShape, make_jobs
from bronzerudder.policy.routing import (
    LeastOutstandingRouting,
    RandomRouting,
    RoutingPolicy,
    TokenLoadRouting,
)

RANKS = 15
EVEN_SHARES = (1.0, 1.0, 1.0)
UNEVEN_SHARES = (0.8, 0.1, 0.1)
WARM_UP_S = 10.0
RUN_S = 50.0
SEEDS = (1, 2, 3)
CASES = (
    (0.3, "3 even", EVEN_SHARES),
    (0.8, "3 even", EVEN_SHARES),
    (0.8, "3, one with 80%", UNEVEN_SHARES),
    (0.8, "40 even", (1.0,) * 40),
)


class RoutingResult(NamedTuple):
    """Result of one run; times in seconds."""

    median_s: float
    p95_s: float
    p99_s: float
    skew: float
    largest_tokens: float
    prefix_hits: float
    served_rps: float


def make_random(generator: random.Random, failure_domain: str) -> RoutingPolicy:
    """Make the baseline that picks at random."""
    return RandomRouting(generator)


def make_least_outstanding(generator: random.Random, failure_domain: str) -> RoutingPolicy:
    """Make the baseline that picks by the entry's own outstanding requests."""
    return LeastOutstandingRouting(generator)


def make_token_load(generator: random.Random, failure_domain: str) -> RoutingPolicy:
    """Make the strategy that picks by token load."""
    return TokenLoadRouting(generator, failure_domain)


POLICIES: dict[str, PolicyFactory] = {
    "random": make_random,
    "least outstanding": make_least_outstanding,
    "token load": make_token_load,
}


def run(
    make_policy: PolicyFactory,
    rate_rps: float,
    seed: int,
    run_s: float = RUN_S,
    entry_shares: tuple[float, ...] = EVEN_SHARES,
) -> RoutingResult:
    """Measure one strategy at one rate."""
    clock = Clock()
    pool = RoutedPool(clock, RANKS, len(entry_shares), EngineShape(), make_policy, seed)
    shape = TrafficShape(entry_shares=entry_shares)
    for job in make_jobs(shape, lambda now_s: rate_rps, rate_rps, run_s, seed):
        clock.at(job.arrived_s, pool.arrive, job)
    clock.run_until(run_s)
    measured = [done for done in pool.finished if done.job.arrived_s >= WARM_UP_S]
    served = sum(1 for done in pool.finished if done.job.arrived_s + done.total_s >= WARM_UP_S)
    first_token_times_s = np.array([done.first_token_s for done in measured])
    skews = pool.group.skews[len(pool.group.skews) // 5 :]
    return RoutingResult(
        *(float(value) for value in np.percentile(first_token_times_s, [50, 95, 99])),
        float(np.mean(skews)),
        float(np.mean(pool.group.largest_tokens[len(skews) // 4 :])),
        pool.group.prefix_hits / max(1, pool.group.prefix_lookups),
        served / (run_s - WARM_UP_S),
    )


def find_capacity(seed: int = 1, offered_rps: float = 400.0) -> float:
    """Find the rate at which random routing saturates, in requests per second."""
    return run(make_random, offered_rps, seed).served_rps


def main() -> None:
    """Print the table."""
    capacity = find_capacity()
    print(f"capacity under random routing {capacity:.0f} requests/s, {RANKS} ranks")
    print("load entries         strategy            median    p95    p99 (ms, mean of the seeds)")
    for load, traffic, entry_shares in CASES:
        for name, make_policy in POLICIES.items():
            results = [
                run(make_policy, load * capacity, seed, entry_shares=entry_shares) for seed in SEEDS
            ]
            mean = RoutingResult(*np.mean(results, axis=0))
            worst_s = max(result.p95_s for result in results)
            print(
                f"{load:4.1f} {traffic:15s} {name:20s} {mean.median_s * 1e3:6.0f}"
                f"{mean.p95_s * 1e3:7.0f}{mean.p99_s * 1e3:7.0f}"
                f"  worst p95 {worst_s * 1e3:4.0f}"
                f"  skew {mean.skew:.2f}  largest {mean.largest_tokens:.0f} tokens"
                f"  hits {mean.prefix_hits:.2f}"
            )


if __name__ == "__main__":
    started_s = time.monotonic()
    main()
    print(f"took {time.monotonic() - started_s:.1f} s")
