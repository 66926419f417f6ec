"""Runs a process from a settings file."""

from __future__ import annotations

import importlib
import sys

import anyio

from bronzerudder.cli.api import EXIT_USAGE, Invocation
from bronzerudder.cli.documents import read_document
from bronzerudder.settings import SettingsError
from bronzerudder.settings.file import SettingsFile


class ProcessInvocation(Invocation):
    """Checks a settings file, then runs a process until it stops.

    Parameters
    ----------
    settings : str
        Path of the settings file.
    module : str
        Module with the type of its settings, ``SETTINGS``, and a coroutine function ``run``;
        imported only when the command runs, so that each process loads what its role needs.
    reloads : bool
        Whether ``run`` also takes the `SettingsFile`, to reload it when it changes.
    """

    def __init__(self, settings: str, module: str, reloads: bool = False) -> None:
        self._settings = settings
        self._reloads = reloads
        self._module = module

    def _run(self) -> int:
        module = importlib.import_module(self._module)
        document = read_document(str(self._settings), module.SETTINGS)
        if isinstance(document, SettingsError):
            print(f"{self._settings}: {document}", file=sys.stderr)
            return EXIT_USAGE
        if not self._reloads:
            return anyio.run(module.run, document)
        return anyio.run(module.run, document, SettingsFile(str(self._settings), module.SETTINGS))
