"""``siskinward standin``: runs stand-ins for the platform, targets and callers."""

from __future__ import annotations

import random
import sys

import click
import curio

from siskinward.standins.platform import PlatformStandin
from siskinward.standins.target import TargetStandin
from siskinward.standins.target import TargetStandinSettings
from siskinward.state.configuration import load_configuration

DEFAULT_HOST = "127.0.0.1"
DEFAULT_PLATFORM_PORT = 17000
EXIT_INVALID_INPUT = 1


@click.group()
def standin() -> None:
    """Run a stand-in, for demonstrations and measurements."""


@standin.command()
@click.option("--host", default=DEFAULT_HOST, show_default=True)
@click.option("--port", default=DEFAULT_PLATFORM_PORT, show_default=True)
def platform(host: str, port: int) -> None:
    """Serve the platform's table, object store and VM list."""
    curio.run(PlatformStandin().serve, host, port)


@standin.command()
@click.argument("configuration_path", metavar="CONFIGURATION", type=click.Path())
@click.option("--service-time-ms", default=20.0, show_default=True)
@click.option("--seed", default=1, show_default=True)
def target(configuration_path: str, service_time_ms: float, seed: int) -> None:
    """Serve every target that CONFIGURATION declares."""
    result = load_configuration(configuration_path)
    if result.is_error():
        click.echo(str(result.error), err=True)
        sys.exit(EXIT_INVALID_INPUT)

    async def serve_all() -> None:
        async with curio.TaskGroup() as group:
            for number, declared in enumerate(result.ok.targets.values()):
                settings = TargetStandinSettings(
                    declared.name, declared.slots, service_time_ms / 1000
                )
                one = TargetStandin(settings, random.Random(seed + number))
                await group.spawn(one.serve, declared.host, declared.port)

    curio.run(serve_all)
