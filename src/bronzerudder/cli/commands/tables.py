"""``bronzerudder route``, ``bronzerudder pool`` and ``bronzerudder status``."""

from __future__ import annotations

import pathlib
import sys
from collections.abc import Callable
from typing import Any

from fire.decorators import SetParseFns

from bronzerudder.cli.api import EXIT_USAGE, Invocation
from bronzerudder.cli.operator import OperatorInvocation
from bronzerudder.cli.registry import command

DEFAULT_TIMEOUT_S = 30.0
STDIN = "-"
TABLES = ("route", "pool")


class _InvalidUsage(Invocation):
    def __init__(self, reason: str) -> None:
        self._reason = reason

    def _run(self) -> int:
        print(f"bronzerudder: {self._reason}", file=sys.stderr)
        return EXIT_USAGE


def _register(kind: str) -> None:
    command(kind, "set")(_set(kind))
    command(kind, "delete")(_delete(kind))
    command(kind, "get")(_get(kind))
    command(kind, "list")(_list(kind))
    command(kind, "history")(_history(kind))


def _set(kind: str) -> Callable[..., Invocation]:
    @SetParseFns(name=str, file=str, platform=str)
    def set_row(
        name: str,
        file: str,
        platform: str = "",
        if_revision: int | None = None,
        wait: bool = False,
        dry_run: bool = False,
        json: bool = False,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> Invocation:
        """Set a row from a JSON file and report the decision.

        Parameters
        ----------
        name : str
            Name of the row.
        file : str
            Path of the row's JSON, or - for the standard input.
        platform : str
            host:port of the platform.
        if_revision : int
            Write only if the row is at this revision; 0 only if there is none.
        wait : bool
            Wait until the edit is in force at every live instance, or name those that lag.
        dry_run : bool
            Show what would be decided without writing anything.
        json : bool
            Print JSON.
        timeout_s : float
            Timeout in seconds for the decision, and again for the instances with ``--wait``.
        """
        value = _read_input(file)
        if isinstance(value, str):
            return _InvalidUsage(value)
        reason = _find_row_error(kind, name, value)
        if reason:
            return _InvalidUsage(f"{kind} {name}: {reason}")
        return _edit(kind, name, value, platform, (if_revision, wait, dry_run, json, timeout_s))

    return set_row


def _delete(kind: str) -> Callable[..., Invocation]:
    @SetParseFns(name=str, platform=str)
    def delete_row(
        name: str,
        platform: str = "",
        if_revision: int | None = None,
        wait: bool = False,
        dry_run: bool = False,
        json: bool = False,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> Invocation:
        """Delete a row and report the decision; the flags are those of set."""
        return _edit(kind, name, None, platform, (if_revision, wait, dry_run, json, timeout_s))

    return delete_row


def _get(kind: str) -> Callable[..., Invocation]:
    @SetParseFns(name=str, platform=str)
    def get_row(name: str, platform: str = "", json: bool = False) -> Invocation:
        """Show a row and whether its latest edit is in force."""

        async def action(opened: Any) -> int:
            from bronzerudder.configuration.rows import RowKey
            from bronzerudder.operators.commands import show_row

            return await show_row(opened, RowKey(kind, name), json)

        return OperatorInvocation(platform, action)

    return get_row


def _list(kind: str) -> Callable[..., Invocation]:
    def list_rows(platform: str = "", json: bool = False) -> Invocation:
        """List all rows and whether their latest edits are in force."""

        async def action(opened: Any) -> int:
            from bronzerudder.operators import commands

            return await commands.list_rows(opened, kind, json)

        return OperatorInvocation(platform, action)

    return list_rows


def _history(kind: str) -> Callable[..., Invocation]:
    @SetParseFns(name=str, platform=str)
    def show_history(name: str, platform: str = "", json: bool = False) -> Invocation:
        """Show the decisions on a row, oldest first."""

        async def action(opened: Any) -> int:
            from bronzerudder.configuration.rows import RowKey
            from bronzerudder.operators import commands

            return await commands.show_history(opened, RowKey(kind, name), json)

        return OperatorInvocation(platform, action)

    return show_history


@command("status")
def status(platform: str = "", json: bool = False) -> Invocation:
    """Show the configuration recorded and what each live instance has in force."""

    async def action(opened: Any) -> int:
        from bronzerudder.operators.commands import show_status

        return await show_status(opened, json)

    return OperatorInvocation(platform, action)


def _edit(
    kind: str,
    name: str,
    value: bytes | None,
    platform: str,
    flags: tuple[int | None, bool, bool, bool, float],
) -> Invocation:
    if_revision, timeout_s = flags[0], flags[4]
    if if_revision is not None and not isinstance(if_revision, int):
        return _InvalidUsage(f"--if-revision takes a whole number, not {if_revision}")
    if not isinstance(timeout_s, int | float) or timeout_s <= 0:
        return _InvalidUsage(f"--timeout-s takes a number of seconds above 0, not {timeout_s}")

    async def action(opened: Any) -> int:
        from bronzerudder.configuration.rows import RowKey
        from bronzerudder.operators.commands import EditOptions, edit_row

        return await edit_row(opened, RowKey(kind, name), value, EditOptions(*flags))

    return OperatorInvocation(platform, action)


def _read_input(path: str) -> bytes | str:
    if path == STDIN:
        return sys.stdin.buffer.read()
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        return f"cannot read {path}: {error.strerror}"


def _find_row_error(kind: str, name: str, value: bytes) -> str:
    from bronzerudder.configuration.checks import check_row
    from bronzerudder.configuration.rows import Edit, RowKey
    from bronzerudder.settings import SettingsError

    row = check_row(Edit(RowKey(kind, name), 0, value))
    return str(row) if isinstance(row, SettingsError) else ""


for _kind in TABLES:
    _register(_kind)
