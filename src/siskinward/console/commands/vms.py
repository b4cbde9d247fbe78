"""``siskinward vms``: lists the entry VMs of a configuration, for scripts that start them."""

from __future__ import annotations

import click

from siskinward.console._exit_codes import EXIT_CODES_HELP
from siskinward.console._output import echo_json
from siskinward.console._output import json_option
from siskinward.console._sources import load_file


@click.command(epilog=EXIT_CODES_HELP)
@click.argument("file", type=click.Path())
@json_option
def vms(file: str, as_json: bool) -> None:
    """List the VMs of FILE: name, failure domain, host, front port, peer port."""
    found = tuple(load_file(file).vms.values())
    if as_json:
        echo_json(found)
        return
    for vm in found:
        click.echo(f"{vm.name} {vm.failure_domain} {vm.host} {vm.front_port} {vm.peer_port}")
