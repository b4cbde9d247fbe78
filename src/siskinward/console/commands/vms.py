"""``siskinward vms``: lists the entry VMs of a configuration, for scripts that start them."""

from __future__ import annotations

import sys

import click

from siskinward.console._exit_codes import EXIT_CODES_HELP
from siskinward.state.configuration import load_configuration

EXIT_INVALID_INPUT = 1


@click.command(epilog=EXIT_CODES_HELP)
@click.argument("file", type=click.Path())
def vms(file: str) -> None:
    """List the VMs of FILE: name, failure domain, host, front port, peer port."""
    result = load_configuration(file)
    if result.is_error():
        click.echo(str(result.error), err=True)
        sys.exit(EXIT_INVALID_INPUT)
    for vm in result.ok.vms.values():
        click.echo(f"{vm.name} {vm.failure_domain} {vm.host} {vm.front_port} {vm.peer_port}")
