"""Runs every test, passes over exactly the entries of KNOWN-RED.txt, and prints a summary."""

from __future__ import annotations

import logging
import pathlib
import sys
import unittest
from typing import NamedTuple

ROOT = pathlib.Path(__file__).resolve().parent.parent


class KnownRed(NamedTuple):
    """One listed failure."""

    test: str
    line: str


def read_known_red(path: pathlib.Path) -> tuple[KnownRed, ...]:
    """Read the listed failures."""
    entries = []
    for line in path.read_text(encoding="utf-8").splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        entries.append(KnownRed(line.partition("|")[0].strip(), line))
    return tuple(entries)


def failed_ids(result: unittest.TestResult) -> set[str]:
    """Names of the tests that failed, a failed subtest counting as its test."""
    ids = {getattr(test, "test_case", test).id() for test, _ in result.failures + result.errors}
    return ids | {test.id() for test in result.unexpectedSuccesses}


def main(arguments: list[str]) -> int:
    """Run the named tests, or all; return the exit code."""
    # Tests start and poll processes from the loop, which its debug mode would report as slow.
    logging.getLogger("asyncio").setLevel(logging.ERROR)
    loader = unittest.TestLoader()
    if arguments:
        suite = loader.loadTestsFromNames(arguments)
    else:
        suite = loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    result = unittest.TextTestRunner(verbosity=2, stream=sys.stdout).run(suite)
    known = read_known_red(ROOT / "KNOWN-RED.txt")
    failed = failed_ids(result)
    for entry in known:
        print(f"known red, {'failed' if entry.test in failed else 'not failed'}: {entry.line}")
    listed = {entry.test for entry in known}
    unexpected = sorted(failed - listed)
    for test in unexpected:
        print(f"FAILED {test}")
    passed = result.testsRun - len(failed) - len(result.skipped)
    print(f"{passed} passed, {len(unexpected)} failed, {len(result.skipped)} skipped")
    return 1 if unexpected or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
