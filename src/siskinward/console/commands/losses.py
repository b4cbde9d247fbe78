"""``siskinward losses``: counts from logs why requests were late, refused or failed."""

from __future__ import annotations

from typing import IO
from typing import Any

import click

from siskinward.console._exit_codes import ExitCode
from siskinward.console.losses import tabulate
from siskinward.console.vm_logs import read_vm_logs

GROUPS = ("service", "route", "account", "vm", "window")
NOT_IN_LOGS = (
    "Not in these logs: requests that no VM read or that were in progress when a VM was killed,"
    " look-ups, tries before the caller came back, and what a request was worth to its caller."
)


@click.command()
@click.argument("logs", nargs=-1, required=True, type=click.File(errors="replace"))
@click.option("--by", "group_by", type=click.Choice(GROUPS), default="service", show_default=True)
@click.option("--window-s", type=float, default=2.0, show_default=True, help="For --by window.")
@click.pass_context
def losses(ctx: click.Context, logs: tuple[IO[Any], ...], group_by: str, window_s: float) -> None:
    """Count from the LOGS of entry VMs why requests were late, refused or failed.

    Late means later than the latency objective, counted from when the VM read the request.

    Exit codes: 0 printed, 1 no request in the logs.
    """
    vm_logs = read_vm_logs(logs)
    table = tabulate(vm_logs.lines, group_by, window_s)
    click.echo("\n".join(table.format()))
    if vm_logs.unreadable or vm_logs.left_out:
        click.echo(f"{vm_logs.unreadable} lines unreadable, {vm_logs.left_out} left out under load")
    click.echo(NOT_IN_LOGS, err=True)
    ctx.exit(ExitCode.OK if table.counts else ExitCode.INVALID_INPUT)
