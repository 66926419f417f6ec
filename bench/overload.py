"""Measures goodput, fairness, retries and recovery under overload and faults.

Fifteen ranks, in three groups of five or in one, behind three entries; callers send failed
requests again up to twice. The cause of each scenario lasts from `CAUSE_START_S` to
`CAUSE_END_S`; its first `SETTLE_S` are left out. Columns:

- goodput: tokens of requests completed by their deadline, as a part of what the capacity left
  allows, "nan" where none is left;
- small: tokens of the small workspaces' completed requests, as a part of the lesser of their
  demand and their fair share;
- retries: attempts after the first, as a part of the requests;
- refusal: 95th of the time until a request that never began its answer was told so;
- hinted: part of those that were told when to come back;
- cut off: part of the requests that began and ran into their deadline;
- first token: 99th of the time to the first token of the requests served;
- recovery: from the end of the cause to the end of the last second of which less than 95% of the
  requests got their first token within `FIRST_TOKEN_S`.
"""

from __future__ import annotations

import time
from typing import NamedTuple

import numpy as np

from bench.fakes.clock import Clock
from bench.fakes.guarded_pool import Ended, GuardedPool, Mechanisms
from bench.fakes.lockstep import EngineShape, Job
from bench.fakes.traffic import TrafficShape, make_jobs
from bronzerudder.policy.admission import FairQueue, FairQueueTerms, FirstComeQueue
from bronzerudder.policy.retry import CountBudget

CAUSE_START_S = 10.0
CAUSE_END_S = 30.0
END_S = 50.0
SETTLE_S = 3.0
BASE_LOAD = 0.7
SEEDS = (1, 2)
SERVED_SHARE = 0.95
FIRST_TOKEN_S = 0.49
LARGE = ("w-1", "w-2")
DEADLINE_S = 20.0
RANKS = 15


class Scenario(NamedTuple):
    """What goes wrong.

    Parameters
    ----------
    load : float
        Offered load while the cause lasts, as a part of the whole pool's capacity.
    capacity : float
        Part of the capacity that is left while it lasts.
    flood : float
        Part of the load that comes from workspace `w-1`; 0 for the usual mix.
    groups : int
        Groups that the ranks form.
    """

    name: str
    load: float
    capacity: float = 1.0
    stalls: bool = False
    loses: bool = False
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
        stalls=True,
        mechanisms=("all on", "no breaker", "all off"),
    ),
    Scenario(
        "a third gone",
        BASE_LOAD,
        2 / 3,
        loses=True,
        mechanisms=("all on", "no retry budget", "all off"),
    ),
    Scenario(
        "the only group stalled",
        BASE_LOAD,
        0.0,
        stalls=True,
        groups=1,
        mechanisms=("all on", "no breaker", "all off"),
    ),
)


def make_unchecked(concurrency: int) -> FairQueue:
    """Make our queue without refusals by wait and deadline."""
    return FairQueue(concurrency, FairQueueTerms(max_wait_s=1e9, checks_deadlines=False))


def make_unfair(concurrency: int) -> FairQueue:
    """Make our queue without shares."""
    return FairQueue(concurrency, FairQueueTerms(shares_fairly=False))


MECHANISMS = {
    "all on": Mechanisms(),
    "no wait or deadline check": Mechanisms(make_queue=make_unchecked),
    "no fair shares": Mechanisms(make_queue=make_unfair),
    "no retry budget": Mechanisms(make_budget=CountBudget),
    "no breaker": Mechanisms(has_breaker=False),
    "all off": Mechanisms(FirstComeQueue, CountBudget, False),
}


class OverloadResult(NamedTuple):
    """One run; parts are of 1, times in seconds."""

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
    """Measure one scenario."""
    clock = Clock()
    ranks = RANKS // scenario.groups
    pool = GuardedPool(clock, EngineShape(), mechanisms, seed, scenario.groups, ranks)
    _offer_traffic(clock, pool, scenario, seed, capacity_tps)
    if scenario.stalls:
        clock.at(CAUSE_START_S, pool.groups[0].stall, CAUSE_END_S)
    if scenario.loses:
        clock.at(CAUSE_START_S, pool.lose_group, 0)
        clock.at(CAUSE_END_S, pool.restore_group, 0)
    clock.run_until(END_S)
    return _judge(pool, scenario, capacity_tps)


def find_capacity(seed: int = 1, run_s: float = 30.0) -> float:
    """Find the tokens per second that the pool processes with always enough to do."""
    clock = Clock()
    pool = GuardedPool(clock, EngineShape(), Mechanisms(), seed)
    shape = TrafficShape(deadline_s=DEADLINE_S)
    for job in make_jobs(shape, lambda now_s: 400.0, 400.0, run_s, seed):
        clock.at(job.arrived_s, pool.arrive, job)
    clock.run_until(run_s)
    return sum_tokens(pool.ended, run_s / 3, run_s) / (run_s * 2 / 3)


def sum_tokens(ended: list[Ended], start_s: float, end_s: float) -> int:
    """Add up the tokens of requests completed within a time."""
    return sum(
        _count_tokens(done.job)
        for done in ended
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
        is_caused = CAUSE_START_S <= now_s < CAUSE_END_S
        return base_rps * (scenario.load if is_caused else BASE_LOAD)

    jobs = make_jobs(shape, rate_rps, base_rps * max(scenario.load, BASE_LOAD), END_S, seed)
    flood = 0.0
    for job in jobs:
        is_caused = CAUSE_START_S <= job.arrived_s < CAUSE_END_S
        flood += scenario.flood
        if scenario.flood and is_caused and flood >= 1.0:
            job = job._replace(workspace="w-1")
        flood %= 1.0
        clock.at(job.arrived_s, pool.arrive, job)


def _judge(pool: GuardedPool, scenario: Scenario, capacity_tps: float) -> OverloadResult:
    start_s = CAUSE_START_S + SETTLE_S
    tokens = sum_tokens(pool.ended, start_s, CAUSE_END_S)
    possible = capacity_tps * min(scenario.capacity, scenario.load) * (CAUSE_END_S - start_s)
    during = [e for e in pool.ended if start_s <= e.job.arrived_s < CAUSE_END_S]
    refused = [e for e in during if not e.is_done and e.first_token_s is None]
    cut_off = [e for e in during if not e.is_done and e.first_token_s is not None]
    refusal_s = [e.ended_s - e.job.arrived_s for e in refused]
    first_s = [e.first_token_s for e in during if e.first_token_s is not None]
    return OverloadResult(
        tokens / possible if possible else float("nan"),
        _measure_small(pool.ended, scenario, capacity_tps),
        pool.retries / pool.fresh,
        float(np.percentile(refusal_s, 95)) if refusal_s else 0.0,
        sum(e.retry_after_s > 0 for e in refused) / max(1, len(refused)),
        len(cut_off) / max(1, len(during)),
        float(np.percentile(first_s, 99)) if first_s else float("nan"),
        _find_recovery_s(pool.ended),
    )


def _measure_small(ended: list[Ended], scenario: Scenario, capacity_tps: float) -> float:
    start_s = CAUSE_START_S + SETTLE_S
    length_s = CAUSE_END_S - start_s
    shares = dict(TrafficShape().workspaces)
    small_share = sum(share for name, share in shares.items() if name not in LARGE)
    demand_tps = capacity_tps * scenario.load * small_share * (1 - scenario.flood)
    fair_tps = capacity_tps * scenario.capacity * (len(shares) - len(LARGE)) / len(shares)
    small = [e for e in ended if e.job.workspace not in LARGE]
    due = min(demand_tps, fair_tps) * length_s
    return sum_tokens(small, start_s, CAUSE_END_S) / due if due else float("nan")


def _find_recovery_s(ended: list[Ended]) -> float:
    recovered_s = 0.0
    for second in range(int(CAUSE_END_S), int(END_S - DEADLINE_S / 2)):
        tries = [e for e in ended if second <= e.job.arrived_s < second + 1]
        served = sum(e.first_token_s is not None and e.first_token_s < FIRST_TOKEN_S for e in tries)
        if served < SERVED_SHARE * len(tries):
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
