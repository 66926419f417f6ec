"""``bronzerudder check``."""

from __future__ import annotations

import importlib
import sys
from typing import Any

from bronzerudder.cli.api import EXIT_OK, EXIT_USAGE, Invocation
from bronzerudder.cli.documents import read_document
from bronzerudder.cli.registry import command
from bronzerudder.intake import HTTP1_PROCESS_SIZE, WEB_PROCESS_SIZE, find_limits
from bronzerudder.settings import SettingsError

SIZE_BY_ROLE = {
    "entry": WEB_PROCESS_SIZE,
    "agent": WEB_PROCESS_SIZE,
    "gateway": HTTP1_PROCESS_SIZE,
    "rank-agent": HTTP1_PROCESS_SIZE,
}
SETTINGS_BY_ROLE = {
    "entry": ("bronzerudder.settings.entry", "EntrySettings"),
    "agent": ("bronzerudder.settings.agent", "AgentSettings"),
    "gateway": ("bronzerudder.settings.gateway", "GatewaySettings"),
    "rank-agent": ("bronzerudder.settings.rank_agent", "RankAgentSettings"),
}
ROLE_BY_FIELD = {
    "gateway_id": "gateway",
    "rank_address": "rank-agent",
    "agent_id": "agent",
}
"""Fields that identify the role of a settings file, checked in this order.

A rank agent's settings also have ``agent_id``, so ``rank_address`` comes first.
"""


class _Check(Invocation):
    def __init__(self, settings: str, role: str) -> None:
        self._settings = settings
        self._role = role

    def _run(self) -> int:
        role = self._role or self._detect_role()
        if role not in SETTINGS_BY_ROLE:
            return self._report(
                f"unknown role {role!r}; known roles are {', '.join(SETTINGS_BY_ROLE)}"
            )
        module, name = SETTINGS_BY_ROLE[role]
        expected = getattr(importlib.import_module(module), name)
        document = read_document(self._settings, expected)
        if isinstance(document, SettingsError):
            return self._report(f"{self._settings}: {document}")
        article = "an" if role[0] in "aeiou" else "a"
        print(f"{self._settings}: valid settings of {article} {role}")
        limits = find_limits(document.get("machine"), SIZE_BY_ROLE[role])
        print(
            f"at most {limits.connections} connections of callers,"
            f" {limits.held_bytes} bytes of their requests and answers"
        )
        return EXIT_OK

    def _detect_role(self) -> str:
        document = read_document(self._settings, dict[str, Any])
        if not isinstance(document, dict):
            return "entry"
        for field, role in ROLE_BY_FIELD.items():
            if field in document:
                return role
        return "entry"

    def _report(self, problem: str) -> int:
        print(problem, file=sys.stderr)
        return EXIT_USAGE


@command("check")
def check(settings: str, role: str = "") -> Invocation:
    """Check a settings file without starting anything.

    Parameters
    ----------
    settings : str
        Path of the JSON settings file.
    role : str
        ``entry``, ``agent``, ``gateway`` or ``rank-agent``; detected from the file's fields if
        omitted.
    """
    return _Check(str(settings), str(role))
