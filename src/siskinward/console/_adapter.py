"""Loads the adapter to the users' platform by name, as this layer must not import it."""

from __future__ import annotations

from importlib import import_module
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from siskinward.daemon.entry.ports import Platform

ADAPTER_MODULE = "siskinward.platform.adapter"

platform_settings_option = click.option(
    "--platform",
    "platform_settings",
    type=click.Path(exists=True, dir_okay=False),
    help="The platform's settings file of an entry VM.",
)


def load_adapter() -> Platform:
    """Import the adapter module and return a new adapter."""
    adapter: Platform = import_module(ADAPTER_MODULE).PlatformAdapter()
    return adapter
