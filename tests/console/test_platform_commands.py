"""``siskinward check`` and ``status`` against the platform stand-ins."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

import pytest
from click.testing import CliRunner

from siskinward.console.application import main
from siskinward.console.commands.status import as_mapping
from siskinward.console.commands.status import describe_deployment
from siskinward.daemon.entry.deployment_report import DeploymentReader
from siskinward.daemon.entry.deployment_report import DeploymentReport
from siskinward.platform._store import StoreError
from siskinward.platform.adapter import PlatformAdapter
from siskinward.platform.standins import Site
from siskinward.platform.standins import SiteSettings
from siskinward.platform.standins import StoreFault
from siskinward.platform.standins import render_settings
from siskinward.standins.paused_clock import paused_kernel

if TYPE_CHECKING:
    from pathlib import Path

VM = "vm-bud-a-0"
DEAD_VM = "vm-deb-a-1"
SETTINGS = render_settings(
    "vm-1",
    "10.1.0.8",
    "bud-a",
    {"bud-a": "budapest"},
    "10.200.1.7",
)


async def read_report(fault: StoreFault | None = None) -> DeploymentReport:
    """Run a small deployment with a dead VM, an evacuation and an unreadable row."""
    site = Site(SiteSettings())
    await site.start()
    try:
        await site.store.put("op", "evacuate/deb-a", b"")
        await site.store.put("servers", "i-broken", b"not JSON")
        leaving = next(target for target in site.targets.values() if target.service == "bookings")
        await site.report(leaving, "draining")
        await site.vms[DEAD_VM].kill()
        settings = site.vms[VM].steering.entry
        site.store.fault = fault or site.store.fault
        return await DeploymentReader(PlatformAdapter(), settings).read()
    finally:
        await site.stop()


def test_status_shows_the_deployment_and_which_vms_answer() -> None:
    with paused_kernel() as kernel:
        report = kernel.run(read_report)
    lines = list(describe_deployment(report))
    assert "configuration: version 4, 2 routes, 2 services, 2 accounts" in lines
    assert "evacuated: deb-a" in lines
    assert "targets of listings: 4 ready" in lines
    assert "targets of bookings: 1 draining" in lines
    assert f"vm {DEAD_VM} (deb-a, 10.2.0.2): does not answer" in lines
    living = next(line for line in lines if line.startswith(f"vm {VM} "))
    assert "configuration 4, reaches 4 VMs including itself, ages: operator" in living
    assert any(line.startswith("unreadable: targets/i-broken: ") for line in lines)


def test_status_for_programs_is_json() -> None:
    with paused_kernel() as kernel:
        report = kernel.run(read_report)
    document = json.loads(json.dumps(as_mapping(report)))
    assert document["configuration_version"] == 4
    assert {"service": "bookings", "state": "draining", "count": 1} in document["targets"]
    assert [row["key"] for row in document["unreadable"]] == ["i-broken"]
    assert len(document["vms"]) == 4


def test_status_without_the_store_says_so() -> None:
    with paused_kernel() as kernel, pytest.raises(StoreError, match="503"):
        kernel.run(read_report, StoreFault.BUSY)


def test_status_names_invalid_settings(tmp_path: Path) -> None:
    file = tmp_path / "node.toml"
    file.write_text(SETTINGS.replace("10.200.1.7:8205", "nowhere"))
    result = CliRunner().invoke(main, ["status", "--platform", str(file)])
    assert result.exit_code == 1
    assert "settings.platform.address" in result.output


def test_check_of_platform_settings_names_every_error(tmp_path: Path) -> None:
    file = tmp_path / "node.toml"
    file.write_text(SETTINGS.replace('"10.1.0.8:8201"', "7").replace('ip = "10.1.0.8"', ""))
    result = CliRunner().invoke(main, ["check", "--platform", str(file)])
    assert result.exit_code == 1
    assert "settings.ip" in result.output
    assert "settings.listen.ready" in result.output
    assert "Errors: 2" in result.output


def test_check_of_valid_platform_settings(tmp_path: Path) -> None:
    file = tmp_path / "node.toml"
    file.write_text(SETTINGS)
    result = CliRunner().invoke(main, ["check", "--platform", "--json", str(file)])
    assert result.exit_code == 0
    assert json.loads(result.output)["ok"] is True


def test_check_takes_one_kind_of_file_only(tmp_path: Path) -> None:
    arguments: list[Any] = ["check", "--platform", "--settings", str(tmp_path / "any")]
    assert CliRunner().invoke(main, arguments).exit_code == 2
