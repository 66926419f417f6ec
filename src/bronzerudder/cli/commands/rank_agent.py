"""``bronzerudder rank-agent``."""

from __future__ import annotations

from bronzerudder.cli.api import Invocation
from bronzerudder.cli.process import ProcessInvocation
from bronzerudder.cli.registry import command


@command("rank-agent")
def rank_agent(settings: str) -> Invocation:
    """Run the agent next to a rank of a model group.

    Parameters
    ----------
    settings : str
        Path of the JSON settings file.
    """
    return ProcessInvocation(settings, "bronzerudder.processes.rank_agent")
