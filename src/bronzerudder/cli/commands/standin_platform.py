"""``bronzerudder standin platform``."""

from __future__ import annotations

from bronzerudder.cli.api import Invocation
from bronzerudder.cli.process import ProcessInvocation
from bronzerudder.cli.registry import command


@command("standin", "platform")
def standin_platform(settings: str) -> Invocation:
    """Run a stand-in platform: an object store in memory and an instance list.

    Parameters
    ----------
    settings : str
        Path of the JSON settings file.
    """
    return ProcessInvocation(settings, "bronzerudder.processes.standin_platform")
