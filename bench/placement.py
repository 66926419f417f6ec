"""Replays seeded traces through the placement policies: skew against the cost of rebalancing.

Each policy runs in the real `Rebalancer`; only the group and the weight store are modelled. A
proposed map comes into force when its weights have been loaded at the granted rate; until then the
old map serves and no other map is proposed. The tuning seeds were used to choose the constants and
moves of the policy; the judging seeds were not.

Also measures the time of single decisions for large groups and the longest pause of the event loop
meanwhile, and draws ``docs/figures/placement-frontier.svg``.
"""

from __future__ import annotations

import itertools
import pathlib
import statistics
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

import anyio
import numpy as np

from bench.traces import GroupShape, SharpShiftTrace, SlowDriftTrace, Trace
from bench.traces.api import INTERVAL_S
from bronzerudder.policy.placement import (
    FullPlacement,
    GrantedProposal,
    IncrementalPlacement,
    LoadAllowance,
    NoChange,
    PlacementParameters,
    PlacementPolicy,
    Proposal,
    Rebalancer,
    StaticPlacement,
    initial_map,
)
from bronzerudder.policy.placement.layout import layout_of_map, rank_loads, step_skew
from bronzerudder.policy.popularity import LoadObservation, ShiftFollowingEstimator
from bronzerudder.policy.weight_budget import DividedBudget, WeightStoreLimits

STORE_BYTES_PER_S = 1e9
EXPERT_BYTES = 44_000_000
TUNING_SEEDS = (1, 11)
JUDGING_SEEDS = (21, 22, 23, 24)
WORKER_PROCESSES = 2
FIGURE = pathlib.Path("docs/figures/placement-frontier.svg")
LARGE_SHAPES = (
    GroupShape(256, 1, 64, 58),
    GroupShape(256, 2, 64, 58),
    GroupShape(256, 4, 64, 58),
)
LARGE_STORE_BYTES_PER_S = 2e10
DECISIONS_TIMED = 15
PROBE_INTERVAL_S = 0.001


class Workload(NamedTuple):
    """A trace, with the cost weights and targets of the users that it stands for.

    The targets limit the skew and the loaded bytes of incremental placement, as multiples of those
    of full placement.
    """

    name: str
    trace: type[Trace]
    skew_weight: float
    rebalancing_weight: float
    skew_target: float
    bytes_target: float


class Variant(NamedTuple):
    """A policy to replay, which decides only in each `every`-th interval."""

    name: str
    policy: str
    every: int = 1
    rebalancing_factor: float = 1.0


class Run(NamedTuple):
    """Result of one replay; `high_skew` is the 99th percentile of the steps' skew."""

    workload: str
    variant: str
    seed: int
    median_skew: float
    high_skew: float
    loaded_bytes: float
    loading_share: float
    changes: int


WORKLOADS = (
    Workload("Inanga, spring", SlowDriftTrace, 0.8, 0.2, 1.05, 0.25),
    Workload("turkey desk, December", SharpShiftTrace, 0.3, 0.7, 1.15, 0.10),
)
JUDGED_VARIANTS = (
    Variant("static", "static"),
    Variant("full", "full"),
    Variant("full, every 10th interval", "full", every=10),
    Variant("full, every 60th interval", "full", every=60),
    Variant("incremental", "incremental"),
)
FRONTIER_VARIANTS = (
    Variant("full, every 3rd interval", "full", every=3),
    Variant("full, every 30th interval", "full", every=30),
    Variant("full, every 120th interval", "full", every=120),
    Variant("incremental, weight of cost x 0", "incremental", rebalancing_factor=0.0),
    Variant("incremental, weight of cost x 1/4", "incremental", rebalancing_factor=0.25),
    Variant("incremental, weight of cost x 3", "incremental", rebalancing_factor=3.0),
    Variant("incremental, weight of cost x 10", "incremental", rebalancing_factor=10.0),
)


def build_policy(variant: Variant, workload: Workload) -> PlacementPolicy:
    """Build the policy of a variant with a workload's cost weights."""
    cost_weight = workload.rebalancing_weight * variant.rebalancing_factor
    parameters = PlacementParameters(workload.skew_weight, cost_weight, EXPERT_BYTES)
    if variant.policy == "static":
        return StaticPlacement()
    if variant.policy == "full":
        return FullPlacement(parameters)
    return IncrementalPlacement(parameters)


class _Group:
    """A group that runs on one map while the weights of the next are loading."""

    def __init__(self, shape: GroupShape) -> None:
        self.active = initial_map(shape.ranks, shape.slots_per_rank, shape.experts, shape.layers)
        self._experts = layout_of_map(self.active).experts
        self._next: Proposal | None = None
        self._loaded_at_s = 0.0
        self.skews: list[float] = []
        self.loading_steps = 0
        self.loaded_bytes = 0
        self.changes = 0

    @property
    def loading(self) -> bool:
        """Whether the weights of the next map are being loaded."""
        return self._next is not None

    def change(self, decision: GrantedProposal, now_s: float) -> None:
        """Start to load the weights of a map at the granted rate."""
        load_s = decision.proposal.load_bytes / decision.grant.bytes_per_s
        self._next = decision.proposal
        self._loaded_at_s = now_s + load_s
        self.loaded_bytes += decision.proposal.load_bytes
        self.changes += 1

    def run_step(self, tokens: np.ndarray, now_s: float) -> None:
        """Run one step, with the next map if its weights have been loaded."""
        if self._next is not None and now_s >= self._loaded_at_s:
            self.active = self._next.expert_map
            self._experts = layout_of_map(self.active).experts
            self._next = None
        self.loading_steps += self.loading
        self.skews.append(step_skew(rank_loads(self._experts, tokens)))


async def replay(workload: Workload, variant: Variant, seed: int, shape: GroupShape) -> Run:
    """Replay one trace with one policy."""
    trace = workload.trace(seed, shape)
    budget = DividedBudget(WeightStoreLimits(STORE_BYTES_PER_S, 1))
    policy = build_policy(variant, workload)
    rebalancer = Rebalancer(policy, ShiftFollowingEstimator(), budget, INTERVAL_S)
    group = _Group(shape)
    for interval in range(trace.interval_count):
        steps = trace.sample_steps(interval)
        for index, tokens in enumerate(steps):
            group.run_step(tokens, (interval + index / len(steps)) * INTERVAL_S)
        rebalancer.observe(LoadObservation(steps.sum(axis=0), INTERVAL_S))
        if group.loading or interval % variant.every:
            continue
        await rebalancer.finish()
        decision = await rebalancer.propose(group.active)
        if not isinstance(decision, NoChange):
            group.change(decision, (interval + 1) * INTERVAL_S)
    return Run(
        workload.name,
        variant.name,
        seed,
        float(np.median(group.skews)),
        float(np.percentile(group.skews, 99)),
        group.loaded_bytes,
        group.loading_steps / len(group.skews),
        group.changes,
    )


def run_replay(job: tuple[Workload, Variant, int]) -> Run:
    """Run one replay in a worker process."""
    workload, variant, seed = job
    return anyio.run(replay, workload, variant, seed, GroupShape())


def print_runs(runs: list[Run]) -> None:
    """Print a row for each run."""
    print(f"{'trace':24}{'policy':36}{'seed':>5}{'median':>8}{'99th':>8}{'GB':>9}{'loading':>9}")
    for run in runs:
        print(
            f"{run.workload:24}{run.variant:36}{run.seed:5}{run.median_skew:8.4f}"
            f"{run.high_skew:8.4f}{run.loaded_bytes / 1e9:9.0f}{run.loading_share:9.2%}"
        )


def print_comparison(runs: list[Run]) -> None:
    """Print the ratios of incremental to full and static placement, each on its worst seed."""
    print("\nincremental against full on the judging seeds (worst seed of each):")
    for workload in WORKLOADS:
        ratios = []
        for seed in JUDGING_SEEDS:
            seed_runs = {
                run.variant: run
                for run in runs
                if run.workload == workload.name and run.seed == seed
            }
            full, incremental_run, static = (
                seed_runs[name] for name in ("full", "incremental", "static")
            )
            ratios.append(
                (
                    incremental_run.median_skew / full.median_skew,
                    incremental_run.high_skew / full.high_skew,
                    incremental_run.loaded_bytes / full.loaded_bytes,
                    incremental_run.median_skew / static.median_skew,
                    incremental_run.high_skew / static.high_skew,
                )
            )
        worst = [max(column) for column in zip(*ratios, strict=True)]
        met = max(worst[:2]) <= workload.skew_target and worst[2] <= workload.bytes_target
        print(
            f"{workload.name}: median x {worst[0]:.4f}, 99th x {worst[1]:.4f} "
            f"(target x {workload.skew_target}), bytes x {worst[2]:.4f} "
            f"(target x {workload.bytes_target}); against static: median x {worst[3]:.3f}, "
            f"99th x {worst[4]:.3f}; {'met' if met else 'NOT met'}"
        )


def draw_frontier(runs: list[Run], path: pathlib.Path) -> None:
    """Plot skew over loaded bytes for each variant, averaged over the judging seeds."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "bronzerudder"
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 2, figsize=(11, 4.5))
    for axis, workload in zip(axes, WORKLOADS, strict=True):
        for policy, marker in (("static", "s"), ("full", "o"), ("incremental", "^")):
            for measure, filled in (("median_skew", True), ("high_skew", False)):
                points = _average_points(runs, workload.name, policy, measure)
                label = f"{policy}, {'median' if filled else '99th'}"
                face = None if filled else "none"
                style = "-" if filled else "--"
                x, y = zip(*points, strict=True)
                axis.plot(x, y, style, marker=marker, markerfacecolor=face, label=label)
        axis.set_xscale("symlog", linthresh=1)
        axis.set_xlabel("GB loaded over the trace")
        axis.set_ylabel("step-time skew (largest over mean rank)")
        axis.set_title(workload.name)
        axis.grid(visible=True, alpha=0.3)
    axes[0].legend(fontsize="small")
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, metadata={"Date": None})


def _average_points(
    runs: list[Run], workload: str, policy: str, measure: str
) -> list[tuple[float, float]]:
    points = []
    for variant in JUDGED_VARIANTS + FRONTIER_VARIANTS:
        chosen = [run for run in runs if run.workload == workload and run.variant == variant.name]
        if variant.policy != policy or not chosen:
            continue
        loaded = statistics.mean(run.loaded_bytes for run in chosen) / 1e9
        points.append((loaded, statistics.mean(getattr(run, measure) for run in chosen)))
    return sorted(points)


async def measure_pause(work: Callable[[], object]) -> tuple[float, float]:
    """Run work in a worker thread; return its time and the loop's longest pause, in seconds."""
    pauses = [0.0]
    done = False

    async def probe() -> None:
        while not done:
            before = time.perf_counter()
            await anyio.sleep(PROBE_INTERVAL_S)
            pauses.append(time.perf_counter() - before - PROBE_INTERVAL_S)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(probe)
        await anyio.sleep(10 * PROBE_INTERVAL_S)
        pauses.clear()
        started = time.perf_counter()
        await anyio.to_thread.run_sync(work)
        elapsed = time.perf_counter() - started
        done = True
    return elapsed, max(pauses)


def time_decisions() -> None:
    """Print the time of single decisions for large groups."""
    print(
        f"\n{'ranks x slots, experts, layers':32}{'policy':14}{'median ms':>10}{'max ms':>8}",
        end="",
    )
    print(f"{'pause ms':>10}")
    parameters = PlacementParameters(0.8, 0.2, EXPERT_BYTES)
    allowance = LoadAllowance(int(LARGE_STORE_BYTES_PER_S * INTERVAL_S), LARGE_STORE_BYTES_PER_S)
    for shape in LARGE_SHAPES:
        for policy in (FullPlacement(parameters), IncrementalPlacement(parameters)):
            times, pauses = _time_policy(policy, shape, allowance)
            title = f"{shape.ranks} x {shape.slots_per_rank}, {shape.experts}, {shape.layers}"
            print(
                f"{title:32}{type(policy).__name__[:-9]:14}{statistics.median(times) * 1e3:10.1f}"
                f"{max(times) * 1e3:8.1f}{max(pauses) * 1e3:10.1f}"
            )


def _time_policy(
    policy: PlacementPolicy, shape: GroupShape, allowance: LoadAllowance
) -> tuple[list[float], list[float]]:
    """Time decisions along a trace from a cold start, each on the map of the previous one."""
    trace = SharpShiftTrace(JUDGING_SEEDS[0], shape)
    estimator = ShiftFollowingEstimator()
    active = initial_map(shape.ranks, shape.slots_per_rank, shape.experts, shape.layers)
    times, pauses = [], []
    for interval in range(DECISIONS_TIMED):
        tokens = trace.sample_steps(interval).sum(axis=0)
        estimator.observe(LoadObservation(tokens, INTERVAL_S))
        popularity = estimator.estimate()
        decisions: list[Proposal | NoChange] = []

        def decide(expert_map=active, shares=popularity, out=decisions) -> None:  # noqa: ANN001
            out.append(policy.decide(expert_map, shares, allowance))

        elapsed, pause = anyio.run(measure_pause, decide)
        times.append(elapsed)
        pauses.append(pause)
        if isinstance(decisions[0], Proposal):
            active = decisions[0].expert_map
    return times, pauses


def main() -> None:
    """Print the tables and draw the figure."""
    jobs = [
        *itertools.product(WORKLOADS, JUDGED_VARIANTS + FRONTIER_VARIANTS, JUDGING_SEEDS[:1]),
        *itertools.product(WORKLOADS, JUDGED_VARIANTS, JUDGING_SEEDS[1:]),
    ]
    with ProcessPoolExecutor(WORKER_PROCESSES) as workers:
        runs = list(workers.map(run_replay, jobs))
    print(f"tuned on seeds {TUNING_SEEDS}, judged on seeds {JUDGING_SEEDS}")
    print_runs(runs)
    print_comparison(runs)
    draw_frontier(runs, FIGURE)
    print(f"\ndrawn: {FIGURE}")
    time_decisions()


if __name__ == "__main__":
    main()
