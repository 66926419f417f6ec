"""``bronzerudder standin engine``."""

from __future__ import annotations

from bronzerudder.cli.api import Invocation
from bronzerudder.cli.process import ProcessInvocation
from bronzerudder.cli.registry import command


@command("standin", "engine")
def standin_engine(settings: str) -> Invocation:
    """Run a stand-in model engine.

    Parameters
    ----------
    settings : str
        Path of the JSON settings file.
    """
    return ProcessInvocation(settings, "bronzerudder.processes.standin_engine")
