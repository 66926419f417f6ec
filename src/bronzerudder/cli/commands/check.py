"""``bronzerudder check``."""

from __future__ import annotations

import importlib
import sys
from typing import Any

from bronzerudder.cli.api import EXIT_OK, EXIT_USAGE, Invocation
from bronzerudder.cli.documents import read_document
from bronzerudder.cli.registry import command
from bronzerudder.settings import SettingsError

SETTINGS_BY_ROLE = {
    "entry": ("bronzerudder.settings.entry", "EntrySettings"),
    "agent": ("bronzerudder.settings.agent", "AgentSettings"),
}


class _Check(Invocation):
    def __init__(self, settings: str, role: str) -> None:
        self._settings = settings
        self._role = role

    def _run(self) -> int:
        role = self._role or self._guess_role()
        if role not in SETTINGS_BY_ROLE:
            return self._report(f"no role {role!r}; there are {', '.join(SETTINGS_BY_ROLE)}")
        module, name = SETTINGS_BY_ROLE[role]
        expected = getattr(importlib.import_module(module), name)
        document = read_document(self._settings, expected)
        if isinstance(document, SettingsError):
            return self._report(f"{self._settings}: {document}")
        print(f"{self._settings}: valid settings of an {role}")
        return EXIT_OK

    def _guess_role(self) -> str:
        document = read_document(self._settings, dict[str, Any])
        is_agent = isinstance(document, dict) and "agent_id" in document
        return "agent" if is_agent else "entry"

    def _report(self, problem: str) -> int:
        print(problem, file=sys.stderr)
        return EXIT_USAGE


@command("check")
def check(settings: str, role: str = "") -> Invocation:
    """Check a settings file without starting anything.

    Parameters
    ----------
    settings : str
        Path of the JSON settings of an entry or an agent.
    role : str
        ``entry`` or ``agent``; told from the file where it is left out.
    """
    return _Check(str(settings), str(role))
