"""Runs the tests and prints a summary; only failures listed in KNOWN-RED.txt do not fail the run.

Modules run in several processes in parallel, then those that measure a process's memory one at a
time; arguments select modules, classes or tests.
"""

from __future__ import annotations

import concurrent.futures
import io
import logging
import multiprocessing
import pathlib
import time
import unittest
from typing import NamedTuple

ROOT = pathlib.Path(__file__).resolve().parent.parent
WORKERS = 4
SLOWEST_SHOWN = 12
# Modules that start processes, or play many answers, take longest, so they run first.
SLOW_PREFIXES = (
    "tests.processes.",
    "tests.configuration.test_history",
    "tests.gateway.test_crashing_parts",
    "tests.gateway.test_faulty_answers",
    "tests.gateway.test_server_limits",
    "tests.test_binary",
)
# Modules that run when nothing else does.
ALONE_PREFIXES = ("tests.crowds.",)


class KnownRed(NamedTuple):
    """One entry of KNOWN-RED.txt: the test, and its line as written."""

    test: str
    line: str


class ModuleResult(NamedTuple):
    """Result of the tests of one module, class or test; the duration is in seconds."""

    name: str
    run: int
    failed: tuple[str, ...]
    skipped: int
    duration_s: float
    output: str


def read_known_red(path: pathlib.Path) -> tuple[KnownRed, ...]:
    """Read the entries of KNOWN-RED.txt."""
    entries = []
    for line in path.read_text(encoding="utf-8").splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        entries.append(KnownRed(line.partition("|")[0].strip(), line))
    return tuple(entries)


def list_modules() -> list[str]:
    """List all test modules, the slow ones first."""
    names = []
    for path in sorted((ROOT / "tests").rglob("test_*.py")):
        names.append(".".join(path.relative_to(ROOT).with_suffix("").parts))
    return sorted(names, key=lambda name: not name.startswith(SLOW_PREFIXES))


def failed_ids(result: unittest.TestResult) -> tuple[str, ...]:
    """Return the ids of the tests that failed; a failed subtest counts as its test."""
    ids = {getattr(test, "test_case", test).id() for test, _ in result.failures + result.errors}
    ids |= {test.id() for test in result.unexpectedSuccesses}
    return tuple(sorted(ids))


def run_name(name: str) -> ModuleResult:
    """Run the tests of one module, class or test."""
    # Tests start and poll processes from the event loop, which its debug mode reports as slow.
    logging.getLogger("asyncio").setLevel(logging.ERROR)
    started = time.monotonic()
    output = io.StringIO()
    suite = unittest.TestLoader().loadTestsFromName(name)
    result = unittest.TextTestRunner(verbosity=2, stream=output).run(suite)
    return ModuleResult(
        name,
        result.testsRun,
        failed_ids(result),
        len(result.skipped),
        time.monotonic() - started,
        output.getvalue(),
    )


def run_all(names: list[str]) -> list[ModuleResult]:
    """Run the names in parallel, then those that must run alone one after another."""
    alone = [name for name in names if name.startswith(ALONE_PREFIXES)]
    parallel = [name for name in names if name not in alone]
    return run_in_pool(parallel, WORKERS) + run_in_pool(alone, 1)


def run_in_pool(names: list[str], workers: int) -> list[ModuleResult]:
    """Run names in some processes and print the output of each when it is complete."""
    results = []
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(workers, mp_context=context) as pool:
        futures = [pool.submit(run_name, name) for name in names]
        for future in concurrent.futures.as_completed(futures):
            result = future.result()
            print(result.output, end="", flush=True)
            results.append(result)
    return results


def describe_known(entry: KnownRed, results: list[ModuleResult], failed: set[str]) -> str:
    """Return the result of a listed test in this run."""
    if entry.test in failed:
        return "failed"
    ran = any(entry.test.startswith(result.name) for result in results)
    return "not failed" if ran else "not run"


def main(arguments: list[str]) -> int:
    """Run the named tests, or all; return the exit code."""
    results = run_all(arguments or list_modules())
    known = read_known_red(ROOT / "KNOWN-RED.txt")
    failed = {test for result in results for test in result.failed}
    for result in sorted(results, key=lambda result: -result.duration_s)[:SLOWEST_SHOWN]:
        print(f"{result.duration_s:6.1f} s  {result.name}")
    for entry in known:
        print(f"known red, {describe_known(entry, results, failed)}: {entry.line}")
    unexpected = sorted(failed - {entry.test for entry in known})
    for test in unexpected:
        print(f"FAILED {test}")
    run = sum(result.run for result in results)
    skipped = sum(result.skipped for result in results)
    print(f"{run - len(failed) - skipped} passed, {len(unexpected)} failed, {skipped} skipped")
    return 1 if unexpected or not run else 0
