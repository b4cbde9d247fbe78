"""A group of commands whose modules are imported only when they are called."""

from __future__ import annotations

from importlib import import_module
from typing import Any

import click


class LazyGroup(click.Group):
    """Group whose ``sources`` map a command's name to its module and attribute there."""

    def __init__(self, *args: Any, sources: dict[str, tuple[str, str]], **keywords: Any) -> None:
        super().__init__(*args, **keywords)
        self._sources = sources

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands, sorted."""
        return sorted(self._sources)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import the command's module and return it."""
        source = self._sources.get(cmd_name)
        if source is None:
            return None
        command: click.Command = getattr(import_module(source[0]), source[1])
        return command
