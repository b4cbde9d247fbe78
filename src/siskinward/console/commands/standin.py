"""``siskinward standin``: runs stand-ins for the platform, targets and callers."""

from __future__ import annotations

import random
import sys

import click
import curio

from siskinward.console._exit_codes import ExitCode
from siskinward.console._platform import platform_option
from siskinward.console._sources import load_file
from siskinward.standins.demo_scenario import DemoScenario
from siskinward.standins.demo_scenario import DemoSettings
from siskinward.standins.platform import PlatformStandin
from siskinward.standins.report import render_report
from siskinward.standins.target import TargetStandin
from siskinward.standins.target import TargetStandinSettings
from siskinward.state.settings import PlatformSettings
from siskinward.transport.platform_client import PlatformClient

DEFAULT_HOST = "127.0.0.1"
DEFAULT_PLATFORM_PORT = 17000


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
@platform_option
@click.option("--duration-s", default=20.0, show_default=True)
@click.option("--load-share", default=0.25, show_default=True, help="Share of each account's rate.")
@click.option("--stop-vm-pid", type=int, help="Process that is sent SIGTERM after 12 s.")
@click.option("--seed", default=1, show_default=True)
def caller(
    configuration_path: str,
    address: tuple[str, int],
    duration_s: float,
    load_share: float,
    stop_vm_pid: int | None,
    seed: int,
) -> None:
    """Offer mixed traffic to the VMs of CONFIGURATION and check the promises."""
    configuration = load_file(configuration_path)
    settings = DemoSettings(
        duration_s=duration_s, load_share=load_share, stop_vm_pid=stop_vm_pid, seed=seed
    )
    platform = PlatformClient(PlatformSettings(*address))
    scenario = DemoScenario(settings, configuration, platform, click.echo)
    report = curio.run(scenario.run)
    click.echo(render_report(report))
    sys.exit(ExitCode.OK if report.is_kept else ExitCode.PROMISE_BROKEN)


@standin.command()
@click.argument("configuration_path", metavar="CONFIGURATION", type=click.Path())
@click.option("--service-time-ms", default=20.0, show_default=True)
@click.option("--seed", default=1, show_default=True)
def target(configuration_path: str, service_time_ms: float, seed: int) -> None:
    """Serve every target that CONFIGURATION declares."""
    configuration = load_file(configuration_path)

    async def serve_all() -> None:
        async with curio.TaskGroup() as group:
            for number, declared in enumerate(configuration.targets.values()):
                settings = TargetStandinSettings(
                    declared.name, declared.slots, service_time_ms / 1000
                )
                one = TargetStandin(settings, random.Random(seed + number))
                await group.spawn(one.serve, declared.host, declared.port)

    curio.run(serve_all)
