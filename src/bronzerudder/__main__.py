"""Runs the command line interface: ``python -m bronzerudder``."""

from __future__ import annotations

import sys

from bronzerudder.cli.main import main

sys.exit(main())
