"""Runs seeds of the soak and reports them: ``python -m bench.soak --seeds=50``."""

from __future__ import annotations

import asyncio
import pathlib
import shutil
import subprocess
import sys
import tempfile
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

import fire

from bench.soak.deployment import SoakShape
from bench.soak.run import SoakRun

SEED_TIMEOUT_S = 240.0
FIRST_SEED = 1
MAX_LINES = 10


def run_seed(
    seed: int,
    gateways: int = 2,
    ranks: int = 4,
    seconds: float = 12.0,
    answers: bool = False,
    limits: bool = False,
) -> int:
    """Run one seed and print a report; return the number of violations."""
    shape = SoakShape(gateways, ranks, seconds=seconds, answers=answers, limits=limits)
    with tempfile.TemporaryDirectory(prefix=f"soak-{seed}-") as directory:
        started_s = time.monotonic()
        run = SoakRun(seed, shape, pathlib.Path(directory))
        try:
            violations = asyncio.run(run.run())
        except Exception as error:
            # A run that fails is reported as a violation too, so that its logs are kept.
            violations = [f"the run ended with {error!r}"]
        took_s = time.monotonic() - started_s
        statuses = Counter(result.status for result in run.results)
        faults = Counter(fault.kind.value for fault in run.faults)
        verdict = "BROKEN" if violations else "kept"
        print(f"seed {seed}: {verdict}, {len(run.results)} requests in {took_s:.0f} s")
        print(f"  statuses {dict(sorted(statuses.items()))}")
        print(f"  faults {dict(sorted(faults.items()))}")
        for violation in violations[:MAX_LINES]:
            print(f"  broken: {violation}")
        if violations:
            kept = pathlib.Path("build") / f"soak-{seed}"
            shutil.copytree(directory, kept, dirs_exist_ok=True)
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
    answers: bool = False,
    limits: bool = False,
) -> None:
    """Run seeds, several at once; exit with code 1 if any run violates a guarantee.

    Parameters
    ----------
    seeds, first : int
        Number of seeds, and the first of them.
    seed : int or None
        Run only this seed.
    jobs : int
        Number of concurrent runs.
    gateways, ranks : int
        Numbers of processes in a run.
    seconds : float
        Duration of the fault injection; start and recovery come in addition.
    answers : bool
        Whether backend servers also write faulty answers and crash on parts of prompts.
    limits : bool
        Whether backend servers also limit the rate of requests.
    """
    options = (
        f"--gateways={gateways}",
        f"--ranks={ranks}",
        f"--seconds={seconds}",
        f"--answers={answers}",
        f"--limits={limits}",
    )
    if seed is not None:
        sys.exit(1 if run_seed(seed, gateways, ranks, seconds, answers, limits) else 0)

    def run_subprocess(number: int) -> bool:
        command = [sys.executable, "-m", "bench.soak", f"--seed={number}", *options]
        done = subprocess.run(
            command, capture_output=True, check=False, text=True, timeout=SEED_TIMEOUT_S
        )
        print(done.stdout or done.stderr[-2000:], end="", flush=True)
        return done.returncode == 0

    with ThreadPoolExecutor(jobs) as pool:
        kept = list(pool.map(run_subprocess, range(first, first + seeds)))
    broken = [first + index for index, good in enumerate(kept) if not good]
    print(f"{len(kept) - len(broken)} seeds kept every promise, {len(broken)} did not: {broken}")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    fire.Fire(soak)
