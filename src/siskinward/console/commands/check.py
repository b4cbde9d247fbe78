"""``siskinward check``: checks a file without publishing it."""

from __future__ import annotations

from typing import Any

import attrs
import click

from siskinward.console._errors import InvalidInputError
from siskinward.console._exit_codes import ExitCode
from siskinward.console._output import echo_json
from siskinward.console._output import json_option
from siskinward.state.configuration import load_configuration
from siskinward.state.settings import load_settings


@click.command()
@click.argument("file", type=click.Path())
@click.option("--settings", "is_settings", is_flag=True, help="FILE holds a process's settings.")
@json_option
@click.pass_context
def check(ctx: click.Context, file: str, is_settings: bool, as_json: bool) -> None:
    """Check FILE as one set and report all of its faults.

    Exit codes: 0 no faults, 1 faults.
    """
    result: Any = load_settings(file) if is_settings else load_configuration(file)
    errors = result.error.errors if result.is_error() else ()
    if as_json:
        echo_json({"file": file, "ok": not errors, "errors": errors})
        ctx.exit(ExitCode.INVALID_INPUT if errors else ExitCode.OK)
    if errors:
        raise InvalidInputError(result.error, f"Faults: {len(errors)}. Mend them and check again.")
    click.echo(f"{file}: no faults" if is_settings else f"{file}: no faults ({_sizes(result.ok)})")


def _sizes(configuration: Any) -> str:
    counts = attrs.asdict(configuration, recurse=False)
    return ", ".join(f"{len(items)} {name}" for name, items in counts.items() if items)
