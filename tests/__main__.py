"""Runs the tests as ``python -m tests``."""

from __future__ import annotations

import sys

from tests.runner import main

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
