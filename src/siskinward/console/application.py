"""The ``siskinward`` command line application."""

from __future__ import annotations

import click

from siskinward import __version__
from siskinward.console._exit_codes import EXIT_CODES_HELP
from siskinward.console.lazy_group import LazyGroup

COMMANDS_PACKAGE = "siskinward.console.commands"
COMMANDS = (
    "check",
    "diff",
    "drain",
    "explain",
    "history",
    "key",
    "lookup",
    "losses",
    "measure",
    "node",
    "publish",
    "replay",
    "show",
    "standin",
    "status",
    "vms",
)
SOURCES = {name: (f"{COMMANDS_PACKAGE}.{name}", name) for name in COMMANDS}
SOURCES["map"] = (f"{COMMANDS_PACKAGE}.client_map", "client_map")


@click.group(
    cls=LazyGroup,
    sources=SOURCES,
    context_settings={"help_option_names": ["-h", "--help"]},
    epilog=EXIT_CODES_HELP,
)
@click.version_option(__version__)
def main() -> None:
    """Operate a traffic steering deployment."""
