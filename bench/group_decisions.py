"""Measures the decisions about groups of ranks: a pick, a plan of a map, a load report.

For 1, 2 and 8 groups behind a service of 16, 64 and 512 ranks. A pick includes the gates and bounds
of the groups; a plan is that of one group. Processor times are the minimum of several rounds.
"""

from __future__ import annotations

import random
import time

import anyio
import msgspec
import numpy as np

from bench.policy_cost import measure_us
from bronzerudder.expert_maps.change_size import LoadTimes
from bronzerudder.expert_maps.planner import plan_layout
from bronzerudder.expert_maps.shape import MapBounds
from bronzerudder.gateway.rank_groups import RankGroups
from bronzerudder.peers.messages import RankLoad
from bronzerudder.policy.routing import Candidate, FreeSlotRouting, RoutedRequest

GROUPS = (1, 2, 8)
RANKS = (16, 64, 512)
SLOTS = 6
SETS = 6
EXPERTS = 64
SPARE_SLOTS = 3
SCENARIOS = 6
LOAD_S = 0.15
PICKS = 200


def measure_group_pick_us(groups: int, ranks: int) -> float:
    """Return the processor time of a pick among the ranks of all groups."""
    known = RankGroups()
    known.set_in_lockstep(True)
    candidates = []
    for number in range(ranks):
        candidate = Candidate(f"b-{number}", "d", slots=SLOTS)
        candidates.append(candidate)
        known.set_group(candidate.name, f"g-{number % groups}")
    policy = FreeSlotRouting(random.Random(1))

    def pick(number: int) -> object:
        now_s = number * 1e-3
        usable = []
        for candidate in candidates:
            if known.admits(candidate.name, now_s):
                candidate.slot_share = known.group_of(candidate.name).bound.share(now_s)
                usable.append(candidate)
        return policy.pick(usable, RoutedRequest(800, 600), now_s)

    return measure_us(pick, PICKS)


def measure_plan_s(ranks: int) -> float:
    """Return the processor time of a plan for a group of this size."""
    generator = np.random.default_rng(1)
    base = generator.pareto(1.2, size=(SETS, 1, EXPERTS)) + 0.1
    scenarios = base * generator.uniform(0.8, 1.2, size=(SETS, SCENARIOS, EXPERTS))
    held = [
        [number % EXPERTS for number in range(rank, max(EXPERTS, ranks), ranks)]
        for rank in range(ranks)
    ]
    slots = max(len(experts) for experts in held) + SPARE_SLOTS
    layout = [[list(experts) for experts in held] for _ in range(SETS)]
    bounds = MapBounds(slots, SPARE_SLOTS)
    started_s = time.process_time()
    anyio.run(plan_layout, layout, scenarios, np.ones(ranks), bounds, LoadTimes(LOAD_S))
    return time.process_time() - started_s


def main() -> None:
    """Print a table of the costs."""
    for ranks in RANKS:
        for groups in GROUPS:
            pick_us = measure_group_pick_us(groups, ranks)
            plan_s = measure_plan_s(ranks // groups)
            print(
                f"{ranks} ranks in {groups} groups: pick {pick_us:.0f} us, "
                f"plan of one group {plan_s * 1e3:.0f} ms"
            )
    report = RankLoad("10.0.0.1:8080", 6, True, 1.0, "group-1")
    print(f"load report: {len(msgspec.json.encode(report))} bytes as JSON")


if __name__ == "__main__":
    main()
