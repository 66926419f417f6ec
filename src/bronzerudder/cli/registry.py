"""Registers subcommands by name."""

from __future__ import annotations

import importlib
import pkgutil
from collections.abc import Callable
from typing import TypeVar

from bronzerudder.cli import commands
from bronzerudder.cli.api import Invocation

_Factory = TypeVar("_Factory", bound=Callable[..., Invocation])
CommandTree = dict[str, "Callable[..., Invocation] | CommandTree"]

_tree: CommandTree = {}


def command(*path: str) -> Callable[[_Factory], _Factory]:
    """Register a factory under a name, or under a group and a name.

    The factory's doc comment is the command's help text. It imports what the command needs inside
    its invocation, so that a process loads only what its own role uses.
    """

    def register(factory: _Factory) -> _Factory:
        table = _tree
        for group in path[:-1]:
            table = table.setdefault(group, {})
        table[path[-1]] = factory
        return factory

    return register


def load_commands() -> CommandTree:
    """Import every module of subcommands and return what they registered."""
    for module in pkgutil.iter_modules(commands.__path__):
        importlib.import_module(f"{commands.__name__}.{module.name}")
    return _tree
