"""``bronzerudder gateway``."""

from __future__ import annotations

from bronzerudder.cli.api import Invocation
from bronzerudder.cli.process import ProcessInvocation
from bronzerudder.cli.registry import command


@command("gateway")
def gateway(settings: str) -> Invocation:
    """Run a gateway, which serves callers and calls backend servers itself.

    Parameters
    ----------
    settings : str
        Path of the JSON settings file.
    """
    return ProcessInvocation(settings, "bronzerudder.processes.gateway", reloads=True)
