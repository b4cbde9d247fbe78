"""``siskinward status``: shows the state of a VM, or of a deployment on the platform."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import attrs
import click
import curio

from siskinward.console._adapter import load_adapter
from siskinward.console._adapter import platform_settings_option
from siskinward.console._errors import InvalidInputError
from siskinward.console._errors import PlatformUnavailableError
from siskinward.console._exit_codes import EXIT_CODES_HELP
from siskinward.console._front import ask_front
from siskinward.console._front import vm_option
from siskinward.console._output import echo_json
from siskinward.console._output import json_option
from siskinward.state.errors import SiskinwardError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from siskinward.daemon.entry.deployment_report import DeploymentReport
    from siskinward.daemon.entry.deployment_report import VmReport


@click.command(epilog=EXIT_CODES_HELP)
@vm_option
@platform_settings_option
@json_option
def status(address: str, platform_settings: str | None, as_json: bool) -> None:
    """Show a VM's version, grant, targets and the VMs that it reaches.

    With --platform, show what the platform's store holds and how old the copy of each VM is.
    """
    if platform_settings is not None:
        _show_deployment(Path(platform_settings), as_json)
        return
    health = ask_front(address, "/health")
    if as_json:
        echo_json(health)
        return
    for name, value in health.items():
        text = ", ".join(value) if isinstance(value, list) else value
        click.echo(f"{name}: {text}")


def _show_deployment(file: Path, as_json: bool) -> None:
    from siskinward.daemon.entry.deployment_report import DeploymentReader

    adapter = load_adapter()
    try:
        settings = adapter.open_settings(file).read()
    except SiskinwardError as error:
        message = "\n".join(str(item) for item in error.all_errors)
        raise InvalidInputError(message, "Correct the file and try again.") from error
    try:
        report: DeploymentReport = curio.run(DeploymentReader(adapter, settings).read)
    except SiskinwardError as error:
        raise PlatformUnavailableError(error, "Try again when the store is available.") from error
    if as_json:
        echo_json(as_mapping(report))
        return
    for line in describe_deployment(report):
        click.echo(line)


def describe_deployment(report: DeploymentReport) -> Iterator[str]:
    """Yield the lines that describe a deployment."""
    configuration = report.configuration
    if configuration is None:
        yield "configuration: none in the store"
    else:
        yield (
            f"configuration: version {configuration.version}, {len(configuration.routes)} routes, "
            f"{len(configuration.services)} services, {len(configuration.accounts)} accounts"
        )
    yield f"evacuated: {', '.join(sorted(report.evacuated)) or 'none'}"
    for item in report.targets:
        yield f"targets of {item.service}: {item.count} {item.state}"
    for vm in report.vms:
        yield _describe_vm(vm)
    for row in report.unreadable:
        yield f"unreadable: {row.table.value}/{row.key}: {row.error}"


def _describe_vm(report: VmReport) -> str:
    place = f"vm {report.vm.vm} ({report.vm.failure_domain}, {report.vm.host})"
    if not report.has_answered:
        return f"{place}: does not answer"
    ages = ", ".join(f"{name} {age_s:.1f} s" for name, age_s in report.table_ages_s.items())
    unfollowed = ", ".join(report.unfollowed_tables)
    return (
        f"{place}: configuration {report.configuration_version}, reaches {report.live_vms} VMs "
        f"including itself, ages: {ages or 'nothing read yet'}"
        f"{f'; {report.leaving_targets} targets leave' if report.leaving_targets else ''}"
        f"{f'; does not follow {unfollowed}, see task-failed in its log' if unfollowed else ''}"
    )


def as_mapping(report: DeploymentReport) -> dict[str, Any]:
    """Return a deployment's state as a mapping for JSON output."""
    configuration = report.configuration
    return {
        "configuration_version": configuration.version if configuration else None,
        "evacuated": sorted(report.evacuated),
        "targets": [attrs.asdict(item) for item in report.targets],
        "vms": [attrs.asdict(vm) for vm in report.vms],
        "unreadable": [
            {"table": row.table.value, "key": row.key, "error": row.error}
            for row in report.unreadable
        ],
    }
