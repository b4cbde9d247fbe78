"""The ``siskinward`` command line application."""

from __future__ import annotations

import click

from siskinward import __version__
from siskinward.console._exit_codes import EXIT_CODES_HELP
from siskinward.console.commands.check import check
from siskinward.console.commands.client_map import client_map
from siskinward.console.commands.diff import diff
from siskinward.console.commands.drain import drain
from siskinward.console.commands.history import history
from siskinward.console.commands.key import key
from siskinward.console.commands.lookup import lookup
from siskinward.console.commands.measure import measure
from siskinward.console.commands.node import node
from siskinward.console.commands.publish import publish
from siskinward.console.commands.replay import replay
from siskinward.console.commands.show import show
from siskinward.console.commands.standin import standin
from siskinward.console.commands.status import status
from siskinward.console.commands.vms import vms


@click.group(context_settings={"help_option_names": ["-h", "--help"]}, epilog=EXIT_CODES_HELP)
@click.version_option(__version__)
def main() -> None:
    """Steer a deployment's traffic under its operators' rules."""


main.add_command(node)
main.add_command(standin)
main.add_command(check)
main.add_command(client_map)
main.add_command(diff)
main.add_command(drain)
main.add_command(history)
main.add_command(key)
main.add_command(publish)
main.add_command(replay)
main.add_command(show)
main.add_command(lookup)
main.add_command(measure)
main.add_command(status)
main.add_command(vms)
