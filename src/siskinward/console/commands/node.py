"""``siskinward node``: runs the process of an entry VM."""

from __future__ import annotations

import contextlib
import sys
from typing import TYPE_CHECKING

import click
import curio
from eliot import to_file

from siskinward.console._exit_codes import ExitCode
from siskinward.console._sources import load_settings_file
from siskinward.daemon.node import Node
from siskinward.state.errors import SiskinwardError

if TYPE_CHECKING:
    from siskinward.state.settings import NodeSettings


@click.command()
@click.option("--settings", "path", required=True, type=click.Path(), help="INI settings file.")
def node(path: str) -> None:
    """Serve callers and other VMs until SIGTERM."""
    settings = load_settings_file(path)
    with contextlib.ExitStack() as stack:
        log = sys.stderr
        if settings.log.path is not None:
            log = stack.enter_context(open(settings.log.path, "a", encoding="utf-8"))
        to_file(log)
        try:
            curio.run(_run_node, settings)
        except SiskinwardError as error:
            click.echo(f"{error}. Check the settings, or end the process there.", err=True)
            sys.exit(ExitCode.INVALID_INPUT)


async def _run_node(settings: NodeSettings) -> None:
    await Node(settings, await curio.clock()).run()
