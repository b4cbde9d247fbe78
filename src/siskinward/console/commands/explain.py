"""``siskinward explain``: shows from logs what happened to a request."""

from __future__ import annotations

from typing import IO
from typing import Any

import click

from siskinward.console._exit_codes import ExitCode
from siskinward.console.vm_logs import VmLogs
from siskinward.console.vm_logs import format_timeline
from siskinward.console.vm_logs import read_vm_logs


@click.command()
@click.argument("request_id", required=False)
@click.argument("logs", nargs=-1, type=click.File(errors="replace"))
@click.option("--why", "reason", help="List the requests that ended for this reason or status.")
@click.pass_context
def explain(
    ctx: click.Context, request_id: str | None, logs: tuple[IO[Any], ...], reason: str | None
) -> None:
    """Explain REQUEST_ID from the LOGS of entry VMs ("-" is standard input).

    With --why, REQUEST_ID is left out and all arguments are logs.

    Exit codes: 0 found, 1 nothing found.
    """
    files = list(logs)
    if reason is not None and request_id is not None:
        files.insert(0, click.open_file(request_id, errors="replace"))
    if not files:
        raise click.UsageError("Name at least one log, or '-' for standard input.")
    vm_logs = read_vm_logs(files)
    if vm_logs.unreadable:
        click.echo(f"{vm_logs.unreadable} lines could not be read and were skipped", err=True)
    if reason is not None:
        found = _print_requests_by_reason(vm_logs, reason)
    else:
        found = _print_request(vm_logs, request_id or "")
    ctx.exit(ExitCode.OK if found else ExitCode.INVALID_INPUT)


def _print_requests_by_reason(vm_logs: VmLogs, reason: str) -> bool:
    requests = vm_logs.find_by_outcome(reason)
    for line in requests:
        click.echo(f"{line.fields['id']}  {line.vm}  {line.fields.get('service', '-')}")
    if not requests:
        known = ", ".join(vm_logs.known_reasons()) or "none"
        click.echo(f"no request ended for {reason!r}; reasons in these logs: {known}", err=True)
    return bool(requests)


def _print_request(vm_logs: VmLogs, request_id: str) -> bool:
    requests = vm_logs.find_by_id(request_id)
    for request in requests:
        click.echo("\n".join(format_timeline(request, vm_logs.context_of(request))))
    if not requests:
        click.echo(
            f"no line on request {request_id!r}; {vm_logs.left_out} lines were left out of these"
            " logs under load; try the logs of other VMs or of a longer period",
            err=True,
        )
        for line in vm_logs.find_killed_processes():
            click.echo(
                f"{line.vm} was killed after its last line at {line.at_s:.3f} s of its clock and"
                " started again; requests in progress then got no answer and were not logged",
                err=True,
            )
    return bool(requests)
