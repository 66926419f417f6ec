"""``bronzerudder entry``."""

from __future__ import annotations

from bronzerudder.cli.api import Invocation
from bronzerudder.cli.process import ProcessInvocation
from bronzerudder.cli.registry import command


@command("entry")
def entry(settings: str) -> Invocation:
    """Run an entry, which serves callers.

    Parameters
    ----------
    settings : str
        Path of the JSON settings file.
    """
    return ProcessInvocation(settings, "bronzerudder.processes.entry")
