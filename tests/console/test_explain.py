"""``siskinward explain`` on the logs of an in-memory deployment."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import curio
import pytest
from click.testing import CliRunner

from siskinward.console.application import main
from siskinward.platform.standins import Site
from siskinward.platform.standins import SiteSettings
from siskinward.platform.standins import TargetFault

if TYPE_CHECKING:
    from pathlib import Path

VM = "vm-bud-a-0"


async def record_log() -> bytes:
    site = Site(SiteSettings())
    site.configuration.spec("tenants", "account-2")["rate_per_s"] = 0.1
    await site.start()
    for target in site.targets.values():
        if target.service == "bookings":
            target.fault = TargetFault.LOSES_ANSWERS
    await site.call(VM, "/listings/1")
    await site.call(VM, "/bookings/1")
    await site.call(VM, "/bookings/2", key="stolen")
    for _ in range(8):
        await site.call(VM, "/bookings/3", key="key-2")
    await curio.sleep(1.0)
    lines = bytes(site.logs[VM])
    await site.stop()
    return lines


@pytest.fixture
def log(paused_kernel: Any, tmp_path: Path) -> str:
    lines = paused_kernel.run(record_log)
    path = tmp_path / "vm.log"
    prefixed = [b"  12.3456 vm-bud-a-0 " + line for line in lines.splitlines()]
    path.write_bytes(b"\n".join([*prefixed, b"not ours", b'{"at_s":1,"vm"']))
    return str(path)


def test_explain_shows_each_send_and_the_outcome(log: str) -> None:
    result = CliRunner().invoke(main, ["explain", "attempt-0002", log])
    assert result.exit_code == 0
    assert "request attempt-0002 at vm-bud-a-0" in result.output
    assert "send 1: bookings-" in result.output
    assert "target-lost" in result.output
    assert "answered 502: outcome-unknown" in result.output
    assert "before it: configuration" in result.output


def test_explain_names_the_vm_that_had_no_token_left(log: str) -> None:
    result = CliRunner().invoke(main, ["explain", "attempt-0011", log])
    assert "account account-2 has exhausted its limit, according to vm-" in result.output


def test_explain_lists_the_requests_of_a_reason(log: str) -> None:
    result = CliRunner().invoke(main, ["explain", "--why", "key-unknown", log])
    assert result.exit_code == 0
    assert "attempt-0003" in result.output
    assert "attempt-0002" not in result.output


def test_explain_names_the_known_reasons_for_an_unknown_one(log: str) -> None:
    result = CliRunner().invoke(main, ["explain", "--why", "moonshine", log])
    assert result.exit_code == 1
    assert "key-unknown, outcome-unknown, over-quota" in result.output


def test_explain_reports_an_unknown_id_and_counts_truncated_lines(log: str) -> None:
    result = CliRunner().invoke(main, ["explain", "attempt-9999", log])
    assert result.exit_code == 1
    assert "no line on request 'attempt-9999'" in result.output
    assert "1 lines could not be read" in result.output


def test_explain_names_the_vms_that_were_killed_for_an_id_without_a_line(
    paused_kernel: Any, tmp_path: Path
) -> None:
    async def kill_one() -> bytes:
        site = Site(SiteSettings())
        await site.start()
        await site.restart_vm(VM)
        await curio.sleep(1.0)
        lines = bytes(site.logs[VM] + site.logs["vm-deb-a-0"])
        await site.stop()
        return lines

    path = tmp_path / "vms.log"
    path.write_bytes(paused_kernel.run(kill_one))
    result = CliRunner().invoke(main, ["explain", "attempt-9999", str(path)])
    assert result.exit_code == 1
    assert f"{VM} was killed after" in result.output
    assert "vm-deb-a-0 was killed" not in result.output


def test_explain_without_a_log_is_wrong_usage() -> None:
    assert CliRunner().invoke(main, ["explain", "attempt-0001"]).exit_code == 2
