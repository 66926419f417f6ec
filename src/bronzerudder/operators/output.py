"""Prints results as a table or as JSON."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from typing import Any

import msgspec

from bronzerudder.cli.api import EXIT_FAILED, EXIT_USAGE
from bronzerudder.operators.errors import OperatorError, OperatorErrorKind

COLUMN_GAP = "  "
MAX_CELL_WIDTH = 60


def show_json(value: Any) -> None:
    """Print a value as one line of JSON."""
    print(msgspec.json.encode(value).decode())


def show_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print rows under a header, each column as wide as its widest cell."""
    cells = [[_truncate(str(cell)) for cell in row] for row in (header, *rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(header))]
    for row in cells:
        padded = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        print(COLUMN_GAP.join(padded).rstrip())


def show_error(error: OperatorError) -> int:
    """Print an error as one line and return its exit code."""
    print(f"bronzerudder: {error.reason}", file=sys.stderr)
    return EXIT_USAGE if error.kind is OperatorErrorKind.INVALID else EXIT_FAILED


def _truncate(text: str) -> str:
    return text if len(text) <= MAX_CELL_WIDTH else f"{text[: MAX_CELL_WIDTH - 3]}..."
