"""Runs the named measurements, or all of them, and writes their sections of docs/BENCH.md."""

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
    "server_limits",
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
    started = time.monotonic()
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        module.main()
    duration_s = time.monotonic() - started
    title = (module.__doc__ or name).strip().splitlines()[0]
    return (
        f"{SECTION_MARK}{name}\n\n{title}\n\n`python -m bench.{name}`, {duration_s:.0f} s, load "
        f"average {load:.1f} on {os.cpu_count()} cores, Python {platform.python_version()}.\n\n"
        f"{_format_output(output.getvalue().rstrip())}\n"
    )


def _format_output(text: str) -> str:
    only_table = all(line.startswith("|") for line in text.splitlines() if line)
    return text if only_table else f"```\n{text}\n```"


def read_sections() -> dict[str, str]:
    """Read the page's sections, by name of the measurement."""
    if not PAGE.exists():
        return {}
    parts = PAGE.read_text(encoding="utf-8").split(f"\n{SECTION_MARK}")[1:]
    return {part.partition("\n")[0]: f"{SECTION_MARK}{part}".rstrip() + "\n" for part in parts}


def write_sections(sections: dict[str, str]) -> None:
    """Write the page, with the sections in the order of `MEASUREMENTS`."""
    ordered = [sections[name] for name in MEASUREMENTS if name in sections]
    PAGE.write_text("\n".join((HEADING, *ordered)), encoding="utf-8")


def main(names: list[str]) -> int:
    """Run the measurements and replace their sections of the page."""
    for name in names or MEASUREMENTS:
        print(f"measuring {name}", file=sys.stderr, flush=True)
        section = measure(name)
        print(section, flush=True)
        write_sections({**read_sections(), name: section})
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
