"""Draws the worth by second of plays of one day, from what ``fleetbench run`` has printed.

Usage: ``python -m bench.worth_by_second FIGURE TITLE LABEL=FILE...``; FILE holds the output of a
play.
"""

from __future__ import annotations

import pathlib
import sys
from typing import NamedTuple

TABLE_HEAD = "from second"
COLUMNS = 10


class Row(NamedTuple):
    """Requests sent in two seconds of a day, and the share of their worth that was earned."""

    second: int
    asked: int
    in_aim: int
    worth: float


def read_rows(text: str) -> list[Row]:
    """Read the table by second from the output of a play; empty if there is none."""
    rows = []
    in_table = False
    for line in text.splitlines():
        if line.startswith(TABLE_HEAD):
            in_table = True
            continue
        words = line.split()
        if not in_table:
            continue
        if len(words) != COLUMNS:
            break
        rows.append(Row(int(words[0]), int(words[1]), int(words[2]), float(words[7])))
    return rows


def draw(plays: dict[str, list[Row]], title: str, figure: pathlib.Path) -> None:
    """Draw one line for each play."""
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "bronzerudder"
    from matplotlib import pyplot

    shape, axes = pyplot.subplots(figsize=(8, 3.2))
    for label, rows in plays.items():
        axes.step([row.second for row in rows], [row.worth for row in rows], label=label)
    axes.set_xlabel("second of the day")
    axes.set_ylabel("worth earned / owed")
    axes.set_ylim(0.0, 1.05)
    axes.set_title(title)
    axes.legend()
    figure.parent.mkdir(parents=True, exist_ok=True)
    shape.savefig(figure, format="svg", metadata={"Date": None}, bbox_inches="tight")
    pyplot.close(shape)


def main() -> None:
    """Draw the figure."""
    figure, title, *labelled = sys.argv[1:]
    plays = {}
    for item in labelled:
        label, _, path = item.partition("=")
        plays[label] = read_rows(pathlib.Path(path).read_text())
        if not plays[label]:
            raise SystemExit(f"no table by second in {path}")
    draw(plays, title, pathlib.Path(figure))
    print(f"drawn: {figure}")


if __name__ == "__main__":
    main()
