"""Measures how well a route's limits hold over entries that share uneven traffic.

Four entries and five agents; each agent sends a load frame every 0.25 s, which arrives 0.1 s later.
The offered load is three times the limit. Phases: even traffic, then 90% of it at one entry, then
that entry is killed and its traffic goes to the others. The first `SETTLE_S` of each phase are left
out. The columns give the accepted rate, or the mean of the most requests running at once in each
second, as a fraction of the limit; the last column is the time from the kill to the end of the last
second in which this fraction was more than 10% off 1.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import NamedTuple

import numpy as np

from bench.fakes.clock import Clock
from bronzerudder.policy.limits import (
    EvenSplitLimiter,
    RecentUseLimiter,
    RouteLimited,
    RouteLimiter,
    RouteLimits,
    RoutePermit,
    RouteUseCounter,
)

ENTRIES = 4
AGENTS = 5
REPORT_INTERVAL_S = 0.25
REPORT_LAG_S = 0.1
PHASE_S = 20.0
SETTLE_S = 5.0
DEMAND_RATIO = 3.0
MEAN_RUN_S = 0.5
ROUTE = "r"
SEEDS = (1, 2, 3)
PHASES = ((1.0, 1.0, 1.0, 1.0), (0.9, 0.04, 0.03, 0.03), (0.0, 0.4, 0.3, 0.3))
SETTLED_TOLERANCE = 0.1

LimiterFactory = Callable[[random.Random], RouteLimiter]


class LimitsResult(NamedTuple):
    """Fraction of the limit used in each phase, and the seconds to settle after the kill."""

    even: float
    uneven: float
    after_death: float
    settled_s: float


def make_even_split(generator: random.Random) -> RouteLimiter:
    """Make the baseline, which gives each entry the same share of the limit."""
    return EvenSplitLimiter(ENTRIES)


def make_recent_use(generator: random.Random) -> RouteLimiter:
    """Make the limiter that divides the limit by recent use."""
    return RecentUseLimiter(generator, ENTRIES)


class _Fleet:
    def __init__(
        self, clock: Clock, make_limiter: LimiterFactory, limits: RouteLimits, seed: int
    ) -> None:
        self._clock = clock
        self._random = random.Random(seed)
        self.limiters = [make_limiter(random.Random(seed * 10 + index)) for index in range(ENTRIES)]
        self.agents = [RouteUseCounter() for _ in range(AGENTS)]
        self.accepted_s: list[float] = []
        self.running = 0
        self.running_counts: list[tuple[float, int]] = []
        for limiter in self.limiters:
            limiter.configure(ROUTE, limits)
        for index, agent in enumerate(self.agents):
            for entry in range(ENTRIES):
                agent.connect(str(entry))
            clock.after(self._random.random() * REPORT_INTERVAL_S, self._report, index)

    def arrive(self, rate_rps: float) -> None:
        now_s = self._clock.now_s
        phase = PHASES[min(len(PHASES) - 1, int(now_s / PHASE_S))]
        entry = self._random.choices(range(ENTRIES), phase)[0]
        permit = self.limiters[entry].acquire(ROUTE, now_s)
        if not isinstance(permit, RouteLimited):
            self._accept(entry, permit)
        self._clock.after(self._random.expovariate(rate_rps), self.arrive, rate_rps)

    def _accept(self, entry: int, permit: RoutePermit) -> None:
        now_s = self._clock.now_s
        agent = self._random.choice(self.agents)
        agent.begin(ROUTE, str(entry), now_s)
        self.accepted_s.append(now_s)
        self.running += 1
        self.running_counts.append((now_s, self.running))
        run_s = self._random.expovariate(1 / MEAN_RUN_S)
        self._clock.after(run_s, self._end, entry, agent, permit)

    def _end(self, entry: int, agent: RouteUseCounter, permit: RoutePermit) -> None:
        agent.end(ROUTE, str(entry))
        self.running -= 1
        self.limiters[entry].release(permit, self._clock.now_s)

    def _report(self, index: int) -> None:
        now_s = self._clock.now_s
        for entry, limiter in enumerate(self.limiters):
            uses = self.agents[index].describe(str(entry), now_s)
            self._clock.after(REPORT_LAG_S, self._deliver, limiter, f"a-{index}", uses)
        self._clock.after(REPORT_INTERVAL_S, self._report, index)

    def _deliver(self, limiter: RouteLimiter, agent: str, uses: list) -> None:
        limiter.observe(agent, uses, self._clock.now_s)


def run_rate(make_limiter: LimiterFactory, limit_rps: float, seed: int) -> LimitsResult:
    """Measure how well a rate limit holds."""
    clock = Clock()
    fleet = _Fleet(clock, make_limiter, RouteLimits(rate_rps=limit_rps), seed)
    clock.after(0.0, fleet.arrive, limit_rps * DEMAND_RATIO)
    clock.run_until(PHASE_S * len(PHASES))
    times = np.array(fleet.accepted_s)
    fractions = []
    for phase in range(len(PHASES)):
        start_s, end_s = phase * PHASE_S + SETTLE_S, (phase + 1) * PHASE_S
        count = np.count_nonzero((times >= start_s) & (times < end_s))
        fractions.append(float(count / (end_s - start_s) / limit_rps))
    seconds = np.bincount(times.astype(int), minlength=int(PHASE_S * len(PHASES))) / limit_rps
    return LimitsResult(*fractions, _find_settled_s(seconds[int(2 * PHASE_S) :]))


def run_concurrency(make_limiter: LimiterFactory, limit: int, seed: int) -> LimitsResult:
    """Measure how well a concurrency limit holds."""
    clock = Clock()
    fleet = _Fleet(clock, make_limiter, RouteLimits(concurrency=limit), seed)
    clock.after(0.0, fleet.arrive, limit / MEAN_RUN_S * DEMAND_RATIO)
    clock.run_until(PHASE_S * len(PHASES))
    max_running = np.zeros(int(PHASE_S * len(PHASES)))
    for time_s, running in fleet.running_counts:
        max_running[int(time_s)] = max(max_running[int(time_s)], running)
    max_running /= limit
    fractions = []
    for phase in range(len(PHASES)):
        start, end = int(phase * PHASE_S + SETTLE_S), int((phase + 1) * PHASE_S)
        fractions.append(float(np.mean(max_running[start:end])))
    return LimitsResult(*fractions, _find_settled_s(max_running[int(2 * PHASE_S) :]))


def _find_settled_s(fractions: np.ndarray) -> float:
    outside = np.flatnonzero(np.abs(fractions - 1.0) > SETTLED_TOLERANCE)
    return float(outside[-1] + 1) if len(outside) else 0.0


def main() -> None:
    """Print the table."""
    print("limit                limiter      seed   even  uneven  after death  settled after")
    measures = (
        ("300 requests/s", run_rate, 300.0),
        ("30 requests/s", run_rate, 30.0),
        ("100 at once", run_concurrency, 100),
    )
    for name, measure, limit in measures:
        for make_limiter in (make_even_split, make_recent_use):
            for seed in SEEDS:
                result = measure(make_limiter, limit, seed)
                print(
                    f"{name:20s} {make_limiter.__name__[5:]:12s} {seed:4d} {result.even:6.2f}"
                    f" {result.uneven:7.2f} {result.after_death:12.2f} {result.settled_s:10.0f} s"
                )


if __name__ == "__main__":
    main()
