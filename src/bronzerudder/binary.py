"""Entry point of the packed binary."""

from __future__ import annotations

import os
import pathlib
import sys


def main() -> None:
    """Replace the loader by the program itself, in the same process.

    The loader that unpacks the archive would otherwise stay in memory.
    """
    packages = pathlib.Path(__file__).resolve().parent.parent
    environment = {**os.environ, "PYTHONPATH": str(packages)}
    # Safe path: the working directory must not be searched for modules.
    command = [sys.executable, "-P", "-m", "bronzerudder", *sys.argv[1:]]
    os.execve(sys.executable, command, environment)
