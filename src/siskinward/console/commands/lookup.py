"""``siskinward lookup``: shows which VMs a caller should use."""

from __future__ import annotations

from urllib.parse import urlencode

import click

from siskinward.console._errors import InvalidInputError
from siskinward.console._exit_codes import EXIT_CODES_HELP
from siskinward.console._front import ask_front
from siskinward.console._front import vm_option
from siskinward.console._output import echo_json
from siskinward.console._output import json_option


@click.command(epilog=EXIT_CODES_HELP)
@click.argument("service")
@click.option("--client", default="127.0.0.1", show_default=True, help="Address of the caller.")
@click.option("--tickets", default=0, show_default=True, help="Number of tickets to request.")
@vm_option
@json_option
def lookup(service: str, client: str, tickets: int, address: str, as_json: bool) -> None:
    """Show the VMs that a caller at an address should use for SERVICE, best first."""
    query = urlencode({"service": service, "client": client, "tickets": tickets})
    answer = ask_front(address, f"/lookup?{query}")
    if "refused" in answer:
        raise InvalidInputError(
            f"look-up of {service} was refused: {answer['refused']}",
            "Run `siskinward show` for the names of services.",
        )
    if as_json:
        echo_json(answer)
        return
    for vm in answer["vms"]:
        click.echo(f"{vm['vm']} {vm['host']}:{vm['port']}")
    for ticket in answer["tickets"]:
        click.echo(f"ticket {ticket}")
    click.echo(f"valid for {answer['ttl_s']} s; version {answer['version']}")
