"""``bronzerudder version``."""

from __future__ import annotations

import importlib.metadata

from bronzerudder.cli.api import EXIT_OK, Invocation
from bronzerudder.cli.registry import command


class _Version(Invocation):
    def _run(self) -> int:
        print(importlib.metadata.version("bronzerudder"))
        return EXIT_OK


@command("version")
def version() -> Invocation:
    """Print the version."""
    return _Version()
