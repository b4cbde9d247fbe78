"""``siskinward diff``: shows the differences between two configurations."""

from __future__ import annotations

import click

from siskinward.console._output import echo_changes
from siskinward.console._output import echo_json
from siskinward.console._output import json_option
from siskinward.console._platform import open_publisher
from siskinward.console._platform import platform_option
from siskinward.console._sources import load_source
from siskinward.state.configuration import diff_configurations


@click.command()
@click.argument("old")
@click.argument("new")
@platform_option
@json_option
def diff(old: str, new: str, address: tuple[str, int], as_json: bool) -> None:
    """Show the differences between OLD and NEW, object by object.

    Each is a file, @VERSION or @current.

    Exit codes: 0 done, 1 invalid input, 4 platform unavailable.
    """
    publisher = open_publisher(address)
    changes = diff_configurations(load_source(old, publisher), load_source(new, publisher))
    if as_json:
        echo_json(changes)
        return
    echo_changes(changes)
