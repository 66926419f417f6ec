"""``bronzerudder standin rank``."""

from __future__ import annotations

from bronzerudder.cli.api import Invocation
from bronzerudder.cli.process import ProcessInvocation
from bronzerudder.cli.registry import command


@command("standin", "rank")
def standin_rank(settings: str) -> Invocation:
    """Run the stand-in engine of one rank of a lock-step group.

    Parameters
    ----------
    settings : str
        Path of the JSON settings file.
    """
    return ProcessInvocation(settings, "bronzerudder.processes.standin_rank")
