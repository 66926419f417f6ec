"""``bronzerudder agent``."""

from __future__ import annotations

from bronzerudder.cli.api import Invocation
from bronzerudder.cli.process import ProcessInvocation
from bronzerudder.cli.registry import command


@command("agent")
def agent(settings: str) -> Invocation:
    """Run the agent next to a backend server.

    Parameters
    ----------
    settings : str
        Path of the JSON settings file.
    """
    return ProcessInvocation(settings, "bronzerudder.processes.agent")
