"""The ``siskinward`` command line application."""

from __future__ import annotations

import click

from siskinward import __version__
from siskinward.console.commands.node import node
from siskinward.console.commands.standin import standin


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__)
def main() -> None:
    """Steer a deployment's traffic under its operators' rules."""


main.add_command(node)
main.add_command(standin)
