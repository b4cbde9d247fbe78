"""``siskinward drain``: plans, cancels and lists drains."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import attrs
import click
from attrs import frozen

from siskinward.console._edit import publish_edit
from siskinward.console._errors import InvalidInputError
from siskinward.console._exit_codes import EXIT_CODES_HELP
from siskinward.console._output import describe_pointer
from siskinward.console._output import echo_json
from siskinward.console._output import json_option
from siskinward.console._platform import open_publisher
from siskinward.console._platform import platform_option
from siskinward.console._platform import run_or_fail
from siskinward.state.objects import Drain
from siskinward.state.objects import DrainKind

if TYPE_CHECKING:
    from siskinward.state.objects import Configuration

DEFAULT_DURATION_S = 60.0


@frozen
class DrainStatus:
    """A drain and its state at the time of the report: planned, running or over."""

    drain: Drain
    state: str


@click.group()
def drain() -> None:
    """Plan, cancel and list drains of targets, failure domains and regions."""


@drain.command(epilog=EXIT_CODES_HELP)
@click.argument("kind", type=click.Choice([kind.value for kind in DrainKind]))
@click.argument("subject")
@click.option("--name", help="Name of the drain; by default its kind and subject.")
@click.option(
    "--start-in-s",
    type=click.FloatRange(0),
    default=0.0,
    show_default=True,
    help="Seconds until the drain starts.",
)
@click.option(
    "--duration-s",
    type=click.FloatRange(0),
    default=DEFAULT_DURATION_S,
    show_default=True,
    help="Seconds over which the traffic moves away.",
)
@platform_option
@json_option
def start(
    kind: str,
    subject: str,
    name: str | None,
    start_in_s: float,
    duration_s: float,
    address: tuple[str, int],
    as_json: bool,
) -> None:
    """Drain SUBJECT of the given KIND; it gets no new requests until the drain is cancelled."""
    start_at_s = time.time() + start_in_s
    added = Drain(name or f"{kind}-{subject}", DrainKind(kind), subject, start_at_s, duration_s)

    def add_drain(configuration: Configuration) -> Configuration:
        if added.name in configuration.drains:
            raise InvalidInputError(
                f"a drain named {added.name} already exists",
                "Cancel it first, or give another --name.",
            )
        return attrs.evolve(configuration, drains={**configuration.drains, added.name: added})

    pointer = publish_edit(open_publisher(address), add_drain)
    if as_json:
        echo_json({"drain": added, "pointer": pointer})
        return
    click.echo(f"drain {added.name} planned")
    click.echo(f"published: {describe_pointer(pointer)}")


@drain.command(epilog=EXIT_CODES_HELP)
@click.argument("name")
@platform_option
@json_option
def cancel(name: str, address: tuple[str, int], as_json: bool) -> None:
    """Cancel the drain NAME; its subject gets requests again."""

    def remove_drain(configuration: Configuration) -> Configuration:
        if name not in configuration.drains:
            raise InvalidInputError(
                f"there is no drain named {name}", "Run `siskinward drain status`."
            )
        kept = {n: item for n, item in configuration.drains.items() if n != name}
        return attrs.evolve(configuration, drains=kept)

    pointer = publish_edit(open_publisher(address), remove_drain)
    if as_json:
        echo_json({"name": name, "pointer": pointer})
        return
    click.echo(f"drain {name} cancelled")
    click.echo(f"published: {describe_pointer(pointer)}")


@drain.command(epilog=EXIT_CODES_HELP)
@platform_option
@json_option
def status(address: tuple[str, int], as_json: bool) -> None:
    """List the active configuration's drains, each as planned, running or over."""
    published = run_or_fail(open_publisher(address).reader.read_current())
    now_s = time.time()
    statuses = [
        DrainStatus(d, _drain_state(d, now_s)) for d in published.configuration.drains.values()
    ]
    if as_json:
        echo_json(statuses)
        return
    for item in statuses:
        planned = item.drain
        click.echo(f"{planned.name}: {planned.kind.value} {planned.subject}, {item.state}")
    if not statuses:
        click.echo("no drains")


def _drain_state(planned: Drain, now_s: float) -> str:
    if now_s < planned.start_at_s:
        return "planned"
    if now_s < planned.start_at_s + planned.duration_s:
        return "running"
    return "over"
