"""Measures goodput, fairness, retries and recovery under overload and faults.

Fifteen ranks, in one group or three groups of five, behind three entries; callers retry a failed
request up to twice. The overload or fault of each scenario lasts from `CAUSE_START_S` to
`CAUSE_END_S`; its first `SETTLE_S` are left out. Columns:

- goodput: tokens of requests completed by their deadline, as a fraction of the lesser of the
  offered load and the remaining capacity; "nan" if no capacity remains;
- small: tokens of the small workspaces' completed requests, as a fraction of the lesser of their
  demand and their fair share;
- retries: attempts after the first, as a fraction of the requests, over the whole run;
- refusal: 95th percentile of the time to the refusal of requests that got no token;
- hinted: fraction of the refusals that say when to retry;
- cut off: fraction of the requests that got a first token but were not completed;
- first token: 99th percentile of the time to the first token of the requests that got one;
- recovery: from the end of the overload or fault to the end of the last second in which fewer than
  95% of the requests got their first token within `FIRST_TOKEN_S`.
"""

from __future__ import annotations

import time
from typing import NamedTuple

import numpy as np

from bench.fakes.clock import Clock
from bench.fakes.guarded_pool import GuardedPool, Mechanisms, TryResult
from bench.fakes.lockstep import EngineShape, Job
from bench.fakes.traffic import TrafficShape, make_jobs
from bronzerudder.policy.admission import FairQueue, FairQueueLimits, FirstComeQueue
from bronzerudder.policy.retry import CountBudget

CAUSE_START_S = 10.0
CAUSE_END_S = 30.0
END_S = 50.0
SETTLE_S = 3.0
BASE_LOAD = 0.7
SEEDS = (1, 2)
MIN_SERVED_FRACTION = 0.95
FIRST_TOKEN_S = 0.49
LARGE_WORKSPACES = ("w-1", "w-2")
DEADLINE_S = 20.0
RANKS = 15


class Scenario(NamedTuple):
    """An overload or fault, and the sets of mechanisms to measure under it.

    Parameters
    ----------
    load : float
        Offered load meanwhile, as a fraction of the whole pool's capacity.
    remaining_capacity : float
        Fraction of the capacity that remains meanwhile.
    flood : float
        Fraction of the load that comes from workspace `w-1`; 0 for the usual mix.
    groups : int
        Number of groups that the ranks form.
    """

    name: str
    load: float
    remaining_capacity: float = 1.0
    stalls_rank: bool = False
    loses_group: bool = False
    flood: float = 0.0
    groups: int = 3
    mechanisms: tuple[str, ...] = ("all on", "all off")


SCENARIOS = (
    Scenario("1.5x load", 1.5, mechanisms=("all on", "no wait or deadline check", "all off")),
    Scenario(
        "3x load",
        3.0,
        mechanisms=("all on", "no wait or deadline check", "no retry budget", "all off"),
    ),
    Scenario(
        "3x load, 80% of it w-1",
        3.0,
        flood=0.8,
        mechanisms=("all on", "no fair shares", "all off"),
    ),
    Scenario(
        "one rank stalled",
        BASE_LOAD,
        2 / 3,
        stalls_rank=True,
        mechanisms=("all on", "no breaker", "all off"),
    ),
    Scenario(
        "a third gone",
        BASE_LOAD,
        2 / 3,
        loses_group=True,
        mechanisms=("all on", "no retry budget", "all off"),
    ),
    Scenario(
        "the only group stalled",
        BASE_LOAD,
        0.0,
        stalls_rank=True,
        groups=1,
        mechanisms=("all on", "no breaker", "all off"),
    ),
)


def make_queue_without_checks(concurrency: int) -> FairQueue:
    """Make a fair queue that does not refuse by estimated wait or deadline."""
    return FairQueue(concurrency, FairQueueLimits(max_wait_s=1e9, checks_deadlines=False))


def make_queue_without_shares(concurrency: int) -> FairQueue:
    """Make a queue without fair shares."""
    return FairQueue(concurrency, FairQueueLimits(shares_fairly=False))


MECHANISMS = {
    "all on": Mechanisms(),
    "no wait or deadline check": Mechanisms(make_queue=make_queue_without_checks),
    "no fair shares": Mechanisms(make_queue=make_queue_without_shares),
    "no retry budget": Mechanisms(make_budget=CountBudget),
    "no breaker": Mechanisms(has_breaker=False),
    "all off": Mechanisms(FirstComeQueue, CountBudget, False),
}


class OverloadResult(NamedTuple):
    """Result of one run; ratios, and times in seconds."""

    goodput: float
    small: float
    retry_share: float
    refusal_p95_s: float
    hinted: float
    cut_off: float
    first_token_p99_s: float
    recovery_s: float


def run(
    scenario: Scenario, mechanisms: Mechanisms, seed: int, capacity_tps: float
) -> OverloadResult:
    """Measure one scenario with one set of mechanisms."""
    clock = Clock()
    ranks = RANKS // scenario.groups
    pool = GuardedPool(clock, EngineShape(), mechanisms, seed, scenario.groups, ranks)
    _offer_traffic(clock, pool, scenario, seed, capacity_tps)
    if scenario.stalls_rank:
        clock.at(CAUSE_START_S, pool.groups[0].stall, CAUSE_END_S)
    if scenario.loses_group:
        clock.at(CAUSE_START_S, pool.fail_group, 0)
        clock.at(CAUSE_END_S, pool.restore_group, 0)
    clock.run_until(END_S)
    return _summarize(pool, scenario, capacity_tps)


def find_capacity(seed: int = 1, run_s: float = 30.0) -> float:
    """Find the tokens per second that the saturated pool processes."""
    clock = Clock()
    pool = GuardedPool(clock, EngineShape(), Mechanisms(), seed)
    shape = TrafficShape(deadline_s=DEADLINE_S)
    for job in make_jobs(shape, lambda now_s: 400.0, 400.0, run_s, seed):
        clock.at(job.arrived_s, pool.arrive, job)
    clock.run_until(run_s)
    return sum_tokens(pool.results, run_s / 3, run_s) / (run_s * 2 / 3)


def sum_tokens(results: list[TryResult], start_s: float, end_s: float) -> int:
    """Add up the tokens of the requests completed from `start_s` to before `end_s`."""
    return sum(
        _count_tokens(done.job)
        for done in results
        if done.is_done and start_s <= done.ended_s < end_s
    )


def _count_tokens(job: Job) -> int:
    return job.prompt_tokens + job.output_tokens


def _offer_traffic(
    clock: Clock, pool: GuardedPool, scenario: Scenario, seed: int, capacity_tps: float
) -> None:
    shape = TrafficShape(deadline_s=DEADLINE_S)
    base_rps = capacity_tps / (shape.prompt_tokens + shape.output_tokens)

    def rate_rps(now_s: float) -> float:
        is_during_cause = CAUSE_START_S <= now_s < CAUSE_END_S
        return base_rps * (scenario.load if is_during_cause else BASE_LOAD)

    jobs = make_jobs(shape, rate_rps, base_rps * max(scenario.load, BASE_LOAD), END_S, seed)
    flood = 0.0
    for job in jobs:
        is_during_cause = CAUSE_START_S <= job.arrived_s < CAUSE_END_S
        flood += scenario.flood
        if scenario.flood and is_during_cause and flood >= 1.0:
            job = job._replace(workspace="w-1")
        flood %= 1.0
        clock.at(job.arrived_s, pool.arrive, job)


def _summarize(pool: GuardedPool, scenario: Scenario, capacity_tps: float) -> OverloadResult:
    start_s = CAUSE_START_S + SETTLE_S
    tokens = sum_tokens(pool.results, start_s, CAUSE_END_S)
    possible_tokens = (
        capacity_tps * min(scenario.remaining_capacity, scenario.load) * (CAUSE_END_S - start_s)
    )
    measured = [e for e in pool.results if start_s <= e.job.arrived_s < CAUSE_END_S]
    refused = [e for e in measured if not e.is_done and e.first_token_s is None]
    cut_off = [e for e in measured if not e.is_done and e.first_token_s is not None]
    refusal_times_s = [e.ended_s - e.job.arrived_s for e in refused]
    first_token_times_s = [e.first_token_s for e in measured if e.first_token_s is not None]
    return OverloadResult(
        tokens / possible_tokens if possible_tokens else float("nan"),
        _measure_small(pool.results, scenario, capacity_tps),
        pool.retries / pool.arrivals,
        float(np.percentile(refusal_times_s, 95)) if refusal_times_s else 0.0,
        sum(e.retry_after_s > 0 for e in refused) / max(1, len(refused)),
        len(cut_off) / max(1, len(measured)),
        float(np.percentile(first_token_times_s, 99)) if first_token_times_s else float("nan"),
        _find_recovery_s(pool.results),
    )


def _measure_small(results: list[TryResult], scenario: Scenario, capacity_tps: float) -> float:
    start_s = CAUSE_START_S + SETTLE_S
    length_s = CAUSE_END_S - start_s
    shares = dict(TrafficShape().workspaces)
    small_share = sum(share for name, share in shares.items() if name not in LARGE_WORKSPACES)
    demand_tps = capacity_tps * scenario.load * small_share * (1 - scenario.flood)
    fair_tps = (
        capacity_tps
        * scenario.remaining_capacity
        * (len(shares) - len(LARGE_WORKSPACES))
        / len(shares)
    )
    small = [e for e in results if e.job.workspace not in LARGE_WORKSPACES]
    due_tokens = min(demand_tps, fair_tps) * length_s
    return sum_tokens(small, start_s, CAUSE_END_S) / due_tokens if due_tokens else float("nan")


def _find_recovery_s(results: list[TryResult]) -> float:
    recovered_s = 0.0
    for second in range(int(CAUSE_END_S), int(END_S - DEADLINE_S / 2)):
        arrived = [e for e in results if second <= e.job.arrived_s < second + 1]
        served = sum(
            e.first_token_s is not None and e.first_token_s < FIRST_TOKEN_S for e in arrived
        )
        if served < MIN_SERVED_FRACTION * len(arrived):
            recovered_s = second + 1 - CAUSE_END_S
    return recovered_s


def main() -> None:
    """Print the table."""
    capacity_tps = find_capacity()
    print(f"capacity {capacity_tps:.0f} tokens/s; mean of seeds {SEEDS}")
    print(
        f"{'scenario':24s}{'mechanisms':27s}{'goodput':>8s}{'small':>7s}{'retries':>9s}"
        f"{'refusal':>9s}{'hinted':>8s}{'cut off':>9s}{'first token':>13s}{'recovery':>10s}"
    )
    for scenario in SCENARIOS:
        for name in scenario.mechanisms:
            results = [run(scenario, MECHANISMS[name], seed, capacity_tps) for seed in SEEDS]
            mean = OverloadResult(*np.mean(results, axis=0))
            print(
                f"{scenario.name:24s}{name:27s}{mean.goodput:8.2f}{mean.small:7.2f}"
                f"{mean.retry_share:9.3f}{mean.refusal_p95_s:8.2f}s{mean.hinted:8.2f}"
                f"{mean.cut_off:9.4f}"
                f"{mean.first_token_p99_s:12.2f}s{mean.recovery_s:9.1f}s",
                flush=True,
            )


if __name__ == "__main__":
    started_s = time.monotonic()
    main()
    print(f"took {time.monotonic() - started_s:.1f} s")
