"""``siskinward check``: checks a file without publishing it."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import attrs
import click

from siskinward.console._adapter import load_adapter
from siskinward.console._errors import InvalidInputError
from siskinward.console._exit_codes import ExitCode
from siskinward.console._output import echo_json
from siskinward.console._output import json_option
from siskinward.state.configuration import load_configuration
from siskinward.state.errors import SiskinwardError
from siskinward.state.settings import load_settings


@click.command()
@click.argument("file", type=click.Path())
@click.option(
    "--settings", "is_settings", is_flag=True, help="FILE holds the settings of a process."
)
@click.option(
    "--platform",
    "is_platform",
    is_flag=True,
    help="FILE is the platform's settings file of an entry VM.",
)
@json_option
@click.pass_context
def check(
    ctx: click.Context, file: str, is_settings: bool, is_platform: bool, as_json: bool
) -> None:
    """Check FILE as a whole and report all of its errors.

    Exit codes: 0 no errors, 1 errors.
    """
    if is_settings and is_platform:
        raise click.UsageError("Give one of --settings and --platform.")
    if is_platform:
        errors, sizes = _check_platform_settings(file), ""
    else:
        errors, sizes = _check_siskinward_file(file, is_settings)
    if as_json:
        echo_json({"file": file, "ok": not errors, "errors": errors})
        ctx.exit(ExitCode.INVALID_INPUT if errors else ExitCode.OK)
    if errors:
        message = "\n".join(str(error) for error in errors)
        raise InvalidInputError(message, f"Errors: {len(errors)}. Correct them and check again.")
    click.echo(f"{file}: no errors{sizes}")


def _check_siskinward_file(file: str, is_settings: bool) -> tuple[tuple[Any, ...], str]:
    result: Any = load_settings(file) if is_settings else load_configuration(file)
    if result.is_error():
        return result.error.errors, ""
    return (), "" if is_settings else f" ({_sizes(result.ok)})"


def _check_platform_settings(file: str) -> tuple[Any, ...]:
    try:
        load_adapter().open_settings(Path(file)).read()
    except SiskinwardError as error:
        return error.all_errors
    return ()


def _sizes(configuration: Any) -> str:
    counts = attrs.asdict(configuration, recurse=False)
    return ", ".join(f"{len(items)} {name}" for name, items in counts.items() if items)
