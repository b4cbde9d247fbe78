"""``siskinward replay``: replays a trace and checks the expected outcomes."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import attrs
import click
import curio

from siskinward.console._exit_codes import ExitCode
from siskinward.console._sources import load_file
from siskinward.standins.paused_clock import paused_kernel
from siskinward.standins.replay import find_violations
from siskinward.standins.replay import load_expectations
from siskinward.standins.replay import load_trace
from siskinward.standins.replay import replay as replay_trace
from siskinward.state.errors import SiskinwardError

if TYPE_CHECKING:
    from siskinward.standins.replay import ReplayResult
    from siskinward.standins.replay import Violation


@click.command()
@click.argument("trace_path", metavar="TRACE", type=click.Path(path_type=Path))
@click.option(
    "--expect", "expect_path", type=click.Path(path_type=Path), help="File of expected outcomes."
)
@click.option("--paused", is_flag=True, help="Run on a paused clock, faster than real time.")
@click.option("--json", "as_json", is_flag=True, help="Print every outcome as JSON.")
def replay(trace_path: Path, expect_path: Path | None, paused: bool, as_json: bool) -> None:
    """Replay TRACE against real nodes on loopback and check the outcomes.

    Exit codes: 0 all outcomes as expected, 1 a file is invalid, 5 a promise or expectation
    was broken.
    """
    trace = load_trace(trace_path)
    if trace.is_error():
        _fail(str(trace.error))
    expectations = load_expectations(expect_path) if expect_path is not None else None
    if expectations is not None and expectations.is_error():
        _fail(str(expectations.error))
    configuration = load_file(str(trace.ok.folder / trace.ok.deployment.configuration))
    try:
        if paused:
            with paused_kernel() as kernel:
                result = kernel.run(replay_trace, trace.ok, configuration)
        else:
            result = curio.run(replay_trace, trace.ok, configuration)
    except SiskinwardError as error:
        _fail(str(error))
    broken = find_violations(result, () if expectations is None else expectations.ok)
    _print(result, broken, as_json=as_json)
    sys.exit(ExitCode.PROMISE_BROKEN if broken else ExitCode.OK)


def _fail(message: str) -> None:
    click.echo(f"{message}. Correct the file and replay again.", err=True)
    sys.exit(ExitCode.INVALID_INPUT)


def _print(result: ReplayResult, broken: list[Violation], *, as_json: bool) -> None:
    if as_json:
        content = {
            "outcomes": [attrs.asdict(item) for item in result.record.outcomes],
            "broken": [attrs.asdict(item) for item in broken],
        }
        click.echo(json.dumps(content, indent=1))
        return
    for name, tally in sorted(result.record.accounts.items()):
        refused = ", ".join(f"{reason} {count}" for reason, count in sorted(tally.refused.items()))
        click.echo(f"{name}: {tally.served_count} of {tally.offered_count} served; {refused}")
    for item in broken:
        click.echo(f"BROKEN {item}")
    if not broken:
        click.echo("all outcomes as expected")
