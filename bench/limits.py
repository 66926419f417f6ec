"""Measures how well a route's limits hold over entries that share uneven traffic.

Four entries and five agents, load frames every 0.25 s that arrive 0.1 s late. The traffic asks
for three times the limit. Phases: even traffic, then 90% of it at one entry, then that entry
dies and the others take its traffic over. Of each phase the first `SETTLE_S` are left out; the
columns are the rate accepted, or the most requests running at once, as a part of the limit; the
last column is the time from the death to the end of the last second whose use is off by over 10%.
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
DEMAND = 3.0
RUN_S = 0.5
ROUTE = "r"
SEEDS = (1, 2, 3)
PHASES = ((1.0, 1.0, 1.0, 1.0), (0.9, 0.04, 0.03, 0.03), (0.0, 0.4, 0.3, 0.3))
TOLERANCE = 0.1

LimiterMaker = Callable[[random.Random], RouteLimiter]


class LimitsResult(NamedTuple):
    """Parts of the limit by phase, and the time in seconds to settle after the death."""

    even: float
    uneven: float
    after_death: float
    settled_s: float


def make_even_split(generator: random.Random) -> RouteLimiter:
    """Make the baseline."""
    return EvenSplitLimiter(ENTRIES)


def make_recent_use(generator: random.Random) -> RouteLimiter:
    """Make our limiter."""
    return RecentUseLimiter(generator, ENTRIES)


class _Fleet:
    def __init__(self, clock: Clock, make: LimiterMaker, limits: RouteLimits, seed: int) -> None:
        self._clock = clock
        self._random = random.Random(seed)
        self.limiters = [make(random.Random(seed * 10 + index)) for index in range(ENTRIES)]
        self.agents = [RouteUseCounter() for _ in range(AGENTS)]
        self.accepted_s: list[float] = []
        self.running = 0
        self.most_running: list[tuple[float, int]] = []
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
        self.most_running.append((now_s, self.running))
        run_s = self._random.expovariate(1 / RUN_S)
        self._clock.after(run_s, self._end, entry, agent, permit)

    def _end(self, entry: int, agent: RouteUseCounter, permit: RoutePermit) -> None:
        agent.end(ROUTE, str(entry))
        self.running -= 1
        self.limiters[entry].release(permit, self._clock.now_s)

    def _report(self, index: int) -> None:
        now_s = self._clock.now_s
        for entry, limiter in enumerate(self.limiters):
            uses = self.agents[index].describe(str(entry), now_s)
            self._clock.after(REPORT_LAG_S, self._tell, limiter, f"a-{index}", uses)
        self._clock.after(REPORT_INTERVAL_S, self._report, index)

    def _tell(self, limiter: RouteLimiter, agent: str, uses: list) -> None:
        limiter.observe(agent, uses, self._clock.now_s)


def run_rate(make: LimiterMaker, limit_rps: float, seed: int) -> LimitsResult:
    """Measure a rate limit."""
    clock = Clock()
    fleet = _Fleet(clock, make, RouteLimits(rate_rps=limit_rps), seed)
    clock.after(0.0, fleet.arrive, limit_rps * DEMAND)
    clock.run_until(PHASE_S * len(PHASES))
    times = np.array(fleet.accepted_s)
    parts = []
    for phase in range(len(PHASES)):
        start_s, end_s = phase * PHASE_S + SETTLE_S, (phase + 1) * PHASE_S
        count = np.count_nonzero((times >= start_s) & (times < end_s))
        parts.append(float(count / (end_s - start_s) / limit_rps))
    seconds = np.bincount(times.astype(int), minlength=int(PHASE_S * len(PHASES))) / limit_rps
    return LimitsResult(*parts, _find_settled_s(seconds[int(2 * PHASE_S) :]))


def run_concurrency(make: LimiterMaker, limit: int, seed: int) -> LimitsResult:
    """Measure a concurrency limit."""
    clock = Clock()
    fleet = _Fleet(clock, make, RouteLimits(concurrency=limit), seed)
    clock.after(0.0, fleet.arrive, limit / RUN_S * DEMAND)
    clock.run_until(PHASE_S * len(PHASES))
    most = np.zeros(int(PHASE_S * len(PHASES)))
    for time_s, running in fleet.most_running:
        most[int(time_s)] = max(most[int(time_s)], running)
    most /= limit
    parts = []
    for phase in range(len(PHASES)):
        start, end = int(phase * PHASE_S + SETTLE_S), int((phase + 1) * PHASE_S)
        parts.append(float(np.mean(most[start:end])))
    return LimitsResult(*parts, _find_settled_s(most[int(2 * PHASE_S) :]))


def _find_settled_s(parts: np.ndarray) -> float:
    outside = np.flatnonzero(np.abs(parts - 1.0) > TOLERANCE)
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
        for make in (make_even_split, make_recent_use):
            for seed in SEEDS:
                result = measure(make, limit, seed)
                print(
                    f"{name:20s} {make.__name__[5:]:12s} {seed:4d} {result.even:6.2f}"
                    f" {result.uneven:7.2f} {result.after_death:12.2f} {result.settled_s:10.0f} s"
                )


if __name__ == "__main__":
    main()
