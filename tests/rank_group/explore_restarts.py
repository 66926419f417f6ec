"""Explores two proposers with one restart of one rank's agent: ``python -m`` with the rank.

Takes minutes, so it isn't among the tests; `test_exploration` has the smaller runs.
"""

from __future__ import annotations

import sys
import time

from tests.rank_group.explorer import Explorer, Limits


def main(rank: int) -> int:
    """Print the result; return 1 if an invariant was violated."""
    started = time.monotonic()
    explorer = Explorer(Limits(agent_restarts=1, restarting_ranks=(rank,)))
    explorer.run()
    for event in explorer.trace or []:
        print(event)
    outcome = "violated" if explorer.trace or explorer.unexpected_reset else "holds"
    duration_s = time.monotonic() - started
    print(f"restart of rank {rank}: {outcome}, {explorer.visited} states, {duration_s:.0f} s")
    return 0 if outcome == "holds" else 1


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1])))
