"""Runs seeds of the soak and reports them: ``python -m bench.soak --seeds=50``."""

from __future__ import annotations

import pathlib
import subprocess
import sys
import tempfile
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

import fire

from bench.soak.run import SoakShape, run_seed

SEED_TIMEOUT_S = 240.0
FIRST_SEED = 1


def play(seed: int, gateways: int = 2, ranks: int = 4, seconds: float = 12.0) -> int:
    """Play one seed and print a report; return the number of broken promises."""
    shape = SoakShape(gateways, ranks, seconds=seconds)
    with tempfile.TemporaryDirectory(prefix=f"soak-{seed}-") as directory:
        began_s = time.monotonic()
        run, violations = run_seed(seed, shape, pathlib.Path(directory))
        took_s = time.monotonic() - began_s
        statuses = Counter(result.status for result in run.results)
        faults = Counter(fault.kind.value for fault in run.faults)
        verdict = "BROKEN" if violations else "kept"
        print(f"seed {seed}: {verdict}, {len(run.results)} requests in {took_s:.0f} s")
        print(f"  statuses {dict(sorted(statuses.items()))}")
        print(f"  faults {dict(sorted(faults.items()))}")
        for violation in violations[:10]:
            print(f"  broken: {violation}")
        if violations:
            kept = pathlib.Path("build") / f"soak-{seed}"
            kept.mkdir(parents=True, exist_ok=True)
            for path in pathlib.Path(directory).iterdir():
                (kept / path.name).write_bytes(path.read_bytes())
            print(f"  logs in {kept}")
    return len(violations)


def soak(
    seeds: int = 10,
    seed: int | None = None,
    first: int = FIRST_SEED,
    jobs: int = 3,
    gateways: int = 2,
    ranks: int = 4,
    seconds: float = 12.0,
) -> None:
    """Play seeds, several at once; the exit code tells whether every promise was kept.

    Parameters
    ----------
    seeds, first : int
        How many, from which on.
    seed : int or None
        Only this one.
    jobs : int
        Runs at once.
    gateways, ranks : int
        Processes of a run.
    seconds : float
        Time of the faults; the time after them comes on top.
    """
    sizes = (f"--gateways={gateways}", f"--ranks={ranks}", f"--seconds={seconds}")
    if seed is not None:
        sys.exit(1 if play(seed, gateways, ranks, seconds) else 0)

    def start(number: int) -> bool:
        command = [sys.executable, "-m", "bench.soak", f"--seed={number}", *sizes]
        done = subprocess.run(
            command, capture_output=True, check=False, text=True, timeout=SEED_TIMEOUT_S
        )
        print(done.stdout or done.stderr[-2000:], end="", flush=True)
        return done.returncode == 0

    with ThreadPoolExecutor(jobs) as pool:
        kept = list(pool.map(start, range(first, first + seeds)))
    broken = [first + index for index, good in enumerate(kept) if not good]
    print(f"{len(kept) - len(broken)} seeds kept every promise, {len(broken)} did not: {broken}")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    fire.Fire(soak)
