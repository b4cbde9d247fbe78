"""``siskinward node``: runs the process of an entry VM."""

from __future__ import annotations

import contextlib
import sys

import click
import curio
from eliot import to_file

from siskinward.daemon.node import Node
from siskinward.state.errors import SiskinwardError
from siskinward.state.settings import NodeSettings
from siskinward.state.settings import load_settings

EXIT_INVALID_INPUT = 1


@click.command()
@click.option("--settings", "path", required=True, type=click.Path(), help="INI settings file.")
def node(path: str) -> None:
    """Serve callers and other VMs until SIGTERM."""
    result = load_settings(path)
    if result.is_error():
        click.echo(str(result.error), err=True)
        sys.exit(EXIT_INVALID_INPUT)
    settings = result.ok
    with contextlib.ExitStack() as stack:
        log = sys.stderr
        if settings.log.path is not None:
            log = stack.enter_context(open(settings.log.path, "a", encoding="utf-8"))
        to_file(log)
        try:
            curio.run(_run_node, settings)
        except SiskinwardError as error:
            click.echo(f"{error}. Check the settings, or end the process there.", err=True)
            sys.exit(EXIT_INVALID_INPUT)


async def _run_node(settings: NodeSettings) -> None:
    await Node(settings, await curio.clock()).run()
