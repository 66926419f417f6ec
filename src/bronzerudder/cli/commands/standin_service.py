"""``bronzerudder standin service``."""

from __future__ import annotations

from bronzerudder.cli.api import Invocation
from bronzerudder.cli.process import ProcessInvocation
from bronzerudder.cli.registry import command


@command("standin", "service")
def standin_service(settings: str) -> Invocation:
    """Run a stand-in for a plain service.

    Parameters
    ----------
    settings : str
        Path of the JSON settings file.
    """
    return ProcessInvocation(settings, "bronzerudder.processes.standin_service")
