"""``siskinward node``: runs the process of an entry VM."""

from __future__ import annotations

import contextlib
import sys
from typing import TYPE_CHECKING
from typing import TextIO

import click
import curio
from eliot import to_file

from siskinward.console._exit_codes import ExitCode
from siskinward.console._sources import load_settings_file
from siskinward.daemon.node import Node
from siskinward.daemon.trace_recorder import TraceRecorder
from siskinward.state.errors import SiskinwardError
from siskinward.transport.clock import read_clock_s

if TYPE_CHECKING:
    from siskinward.state.settings import NodeSettings


@click.command()
@click.option("--settings", "path", required=True, type=click.Path(), help="INI settings file.")
@click.option("--record", "record_path", type=click.Path(), help="Write requests as a trace here.")
def node(path: str, record_path: str | None) -> None:
    """Serve callers and other VMs until SIGTERM."""
    settings = load_settings_file(path)
    with contextlib.ExitStack() as stack:
        log = sys.stderr
        if settings.log.path is not None:
            log = stack.enter_context(open(settings.log.path, "a", encoding="utf-8"))
        to_file(log)
        record = None
        if record_path is not None:
            record = stack.enter_context(open(record_path, "w", encoding="utf-8"))
        try:
            curio.run(_run_node, settings, record)
        except SiskinwardError as error:
            click.echo(
                f"{error}. Check the settings, or stop the process that uses the address.", err=True
            )
            sys.exit(ExitCode.INVALID_INPUT)


async def _run_node(settings: NodeSettings, record: TextIO | None) -> None:
    now_s = read_clock_s()
    running = Node(settings, now_s)
    if record is not None:
        running.handler.recorder = TraceRecorder(record, now_s)
    await running.run()
