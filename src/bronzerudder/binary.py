"""Entry point of the packed binary."""

from __future__ import annotations

import os
import pathlib
import sys


def main() -> None:
    """Replace the loader that unpacked the archive by the program itself, in the same process.

    Otherwise the loader would stay in memory.
    """
    packages = pathlib.Path(__file__).resolve().parent.parent
    environment = {**os.environ, "PYTHONPATH": str(packages)}
    # -P: do not import modules from the working directory.
    command = [sys.executable, "-P", "-m", "bronzerudder", *sys.argv[1:]]
    os.execve(sys.executable, command, environment)
