"""Runs measurements, all or those named, and writes their sections of docs/BENCH.md."""

from __future__ import annotations

import contextlib
import importlib
import io
import os
import pathlib
import platform
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "BENCH.md"
MEASUREMENTS = (
    "path",
    "configuration",
    "outage",
    "claims",
    "routing",
    "overload",
    "limits",
    "policy_cost",
    "placement",
    "rank_group",
    "quarantine",
)
SECTION_MARK = "## "
HEADING = """# Bench

Written by `make bench`, one run of each measurement on loopback with the stand-ins. Figures of a
run depend on what else the machine does; the load average at its start is given with each.
"""


def measure(name: str) -> str:
    """Run one measurement and return its section of the page."""
    module = importlib.import_module(f"bench.{name}")
    load = os.getloadavg()[0]
    began = time.monotonic()
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        module.main()
    duration_s = time.monotonic() - began
    title = (module.__doc__ or name).strip().splitlines()[0]
    return (
        f"{SECTION_MARK}{name}\n\n{title}\n\n`python -m bench.{name}`, {duration_s:.0f} s, load "
        f"average {load:.1f} on {os.cpu_count()} cores, Python {platform.python_version()}.\n\n"
        f"{_frame(output.getvalue().rstrip())}\n"
    )


def _frame(text: str) -> str:
    only_table = all(line.startswith("|") for line in text.splitlines() if line)
    return text if only_table else f"```\n{text}\n```"


def read_sections() -> dict[str, str]:
    """Read the sections that the page has."""
    if not PAGE.exists():
        return {}
    parts = PAGE.read_text(encoding="utf-8").split(f"\n{SECTION_MARK}")[1:]
    return {part.partition("\n")[0]: f"{SECTION_MARK}{part}".rstrip() + "\n" for part in parts}


def write_sections(sections: dict[str, str]) -> None:
    """Write the page with its sections in order."""
    known = [sections[name] for name in MEASUREMENTS if name in sections]
    PAGE.write_text("\n".join((HEADING, *known)), encoding="utf-8")


def main(names: list[str]) -> int:
    """Run the measurements and replace their sections."""
    for name in names or MEASUREMENTS:
        print(f"measuring {name}", file=sys.stderr, flush=True)
        section = measure(name)
        print(section, flush=True)
        write_sections({**read_sections(), name: section})
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
