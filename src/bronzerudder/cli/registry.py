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

    The factory's doc comment is the command's help text. Modules that the command needs are
    imported in its invocation, so that a process loads only what its own role uses.
    """

    def register(factory: _Factory) -> _Factory:
        group = _tree
        for group_name in path[:-1]:
            group = group.setdefault(group_name, {})
        group[path[-1]] = factory
        return factory

    return register


def load_commands() -> CommandTree:
    """Import all modules of subcommands and return the tree of registered commands."""
    for module in pkgutil.iter_modules(commands.__path__):
        importlib.import_module(f"{commands.__name__}.{module.name}")
    return _tree
