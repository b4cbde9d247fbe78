"""``siskinward history``: lists published versions."""

from __future__ import annotations

import click

from siskinward.console._errors import InvalidInputError
from siskinward.console._output import describe_pointer
from siskinward.console._output import echo_json
from siskinward.console._output import json_option
from siskinward.console._platform import open_publisher
from siskinward.console._platform import platform_option
from siskinward.console._platform import run_or_fail

DEFAULT_LIMIT = 20
MAXIMUM_LIMIT = 500


@click.command()
@click.option(
    "--limit",
    type=click.IntRange(1, MAXIMUM_LIMIT),
    default=DEFAULT_LIMIT,
    show_default=True,
    help="Number of versions.",
)
@click.option("--publish-id", help="Find the publication of this id.")
@platform_option
@json_option
def history(limit: int, publish_id: str | None, address: tuple[str, int], as_json: bool) -> None:
    """List the newest versions, newest first.

    Exit codes: 0 done, 1 no publication of the given id, 4 platform unavailable.
    """
    publisher = open_publisher(address)
    if publish_id is None:
        pointers = run_or_fail(publisher.reader.read_history(limit))
    else:
        found = run_or_fail(publisher.reader.find(publish_id))
        if found is None:
            raise InvalidInputError(
                f"no recent publication has the id {publish_id}",
                "It has not taken effect. Publish again with this --publish-id.",
            )
        pointers = (found,)
    if as_json:
        echo_json(pointers)
        return
    for pointer in pointers:
        click.echo(describe_pointer(pointer))
