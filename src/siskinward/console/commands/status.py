"""``siskinward status``: shows what a VM says of itself."""

from __future__ import annotations

import click

from siskinward.console._exit_codes import EXIT_CODES_HELP
from siskinward.console._front import ask_front
from siskinward.console._front import vm_option
from siskinward.console._output import echo_json
from siskinward.console._output import json_option


@click.command(epilog=EXIT_CODES_HELP)
@vm_option
@json_option
def status(address: str, as_json: bool) -> None:
    """Show a VM's version, grant, targets and the VMs that it hears."""
    health = ask_front(address, "/health")
    if as_json:
        echo_json(health)
        return
    for name, value in health.items():
        text = ", ".join(value) if isinstance(value, list) else value
        click.echo(f"{name}: {text}")
