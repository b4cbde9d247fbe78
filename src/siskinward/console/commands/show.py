"""``siskinward show``: prints a published configuration."""

from __future__ import annotations

import click

from siskinward.console._base_version import base_version_comment
from siskinward.console._output import echo_json
from siskinward.console._output import json_option
from siskinward.console._platform import open_publisher
from siskinward.console._platform import platform_option
from siskinward.console._sources import CURRENT
from siskinward.console._sources import load_published
from siskinward.state.configuration import render_configuration


@click.command()
@click.argument("version", default=CURRENT)
@platform_option
@json_option
def show(version: str, address: tuple[str, int], as_json: bool) -> None:
    """Print the configuration @VERSION, or the active one.

    The first line names the version, so that `publish` knows what an edited copy is based on.

    Exit codes: 0 done, 1 invalid input, 4 platform unavailable.
    """
    published = load_published(version, open_publisher(address))
    if as_json:
        echo_json({"pointer": published.pointer, "configuration": published.configuration})
        return
    click.echo(base_version_comment(published.pointer.version))
    click.echo(render_configuration(published.configuration), nl=False)
