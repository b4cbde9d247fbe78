"""``siskinward explain``: tells from logs what happened to a request."""

from __future__ import annotations

from typing import IO
from typing import Any

import click

from siskinward.console._exit_codes import ExitCode
from siskinward.console.request_story import LogBook
from siskinward.console.request_story import tell


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

    Exit codes: 0 told, 1 nothing found.
    """
    files = list(logs)
    if reason is not None and request_id is not None:
        files.insert(0, click.open_file(request_id, errors="replace"))
    if not files:
        raise click.UsageError("Name at least one log, or '-' for standard input.")
    book = LogBook()
    for file in files:
        book.read(file)
    if book.unreadable:
        click.echo(f"{book.unreadable} lines could not be read and were passed over", err=True)
    if reason is not None:
        found = _list_reason(book, reason)
    else:
        found = _tell_request(book, request_id or "")
    ctx.exit(ExitCode.OK if found else ExitCode.INVALID_INPUT)


def _list_reason(book: LogBook, reason: str) -> bool:
    requests = book.ended_by(reason)
    for line in requests:
        click.echo(f"{line.fields['id']}  {line.vm}  {line.fields.get('service', '-')}")
    if not requests:
        known = ", ".join(book.reasons()) or "none"
        click.echo(f"no request ended for {reason!r}; reasons in these logs: {known}", err=True)
    return bool(requests)


def _tell_request(book: LogBook, request_id: str) -> bool:
    requests = book.requests(request_id)
    for request in requests:
        click.echo("\n".join(tell(request, book.beliefs_before(request))))
    if not requests:
        click.echo(
            f"no line on request {request_id!r}; {book.left_out} lines were left out of these logs"
            " under load; look at other VMs' logs or at a longer time",
            err=True,
        )
        for line in book.sudden_ends():
            click.echo(
                f"{line.vm} was killed after {line.at_s:.3f} s of its clock and started again;"
                " requests that it had then left no line and got no answer",
                err=True,
            )
    return bool(requests)
