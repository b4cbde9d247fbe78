"""A task that ends by an unforeseen error is started again, and the process says so meanwhile."""

from __future__ import annotations

import errno
from typing import TYPE_CHECKING
from typing import Any

import curio
import pytest
from site_calls import call_all
from site_calls import read_metrics

from siskinward.coordination.steering.rows import StoreTable
from siskinward.daemon.entry import store_updates
from siskinward.daemon.entry.deployment_report import DeploymentReader
from siskinward.platform.adapter import PlatformAdapter
from siskinward.transport.sockets import PASSING_ACCEPT_ERRORS
from siskinward.transport.sockets import accept

if TYPE_CHECKING:
    from siskinward.platform.standins import Site
    from siskinward.standins.memory_network import MemoryNetwork

VM = "vm-bud-a-0"
FOLLOWED = 'siskinward_entry_table_followed{table="targets"} 1.0'
SETTLE_S = 3.0


class FaultyUpdates:
    """Lets each update of the targets fail while ``fails``."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.fails = False
        apply = store_updates.StoreUpdates.apply

        def apply_or_fail(updates: Any, table: StoreTable, *args: Any, **options: Any) -> bool:
            if self.fails and table is StoreTable.TARGETS:
                raise RuntimeError("no one foresaw this")
            return apply(updates, table, *args, **options)

        monkeypatch.setattr(store_updates.StoreUpdates, "apply", apply_or_fail)


def test_follower_that_fails_is_restarted_and_shown_as_not_following(
    run_site: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    faulty = FaultyUpdates(monkeypatch)

    async def scenario(site: Site, network: MemoryNetwork) -> None:
        target = site.targets["listings-bud-a-0"]
        assert 'siskinward_entry_table_followed{table="targets"} 1.0' in await read_metrics(
            site, VM
        )
        faulty.fails = True
        target.slots = 7
        await site.report(target)
        await curio.sleep(SETTLE_S)
        text = await read_metrics(site, VM)
        assert 'siskinward_entry_table_followed{table="targets"} 0.0' in text
        assert 'siskinward_entry_table_followed{table="operator"} 1.0' in text
        assert 'siskinward_entry_task_failures_total{task="follow targets"}' in text
        report = await DeploymentReader(PlatformAdapter(), site.vms[VM].steering.entry).read()
        vm = next(item for item in report.vms if item.vm.vm == VM)
        assert vm.unfollowed_tables == ("targets",)
        failed = [line for line in site.lines(VM) if line["kind"] == "task-failed"]
        assert "no one foresaw this" in failed[0]["error"]
        assert set(await call_all(site, 2)) == {200}
        faulty.fails = False
        await curio.sleep(3 * SETTLE_S)
        known = site.vms[VM].steering.targets.get(target.name)  # type: ignore[arg-type]
        assert known is not None
        assert known.record.slots == 7
        assert 'siskinward_entry_table_followed{table="targets"} 1.0' in await read_metrics(
            site, VM
        )

    run_site(scenario)


class FaultyListener:
    """Fails to accept as often as told, and then accepts."""

    def __init__(self, code: int, failures: int) -> None:
        self.code = code
        self.failures = failures

    async def accept(self) -> tuple[str, str]:
        if self.failures:
            self.failures -= 1
            raise OSError(self.code, "failed")
        return ("socket", "address")


@pytest.mark.parametrize("code", sorted(PASSING_ACCEPT_ERRORS))
def test_accept_waits_while_the_system_lacks_what_it_takes(paused_kernel: Any, code: int) -> None:
    assert paused_kernel.run(accept, FaultyListener(code, 20)) == ("socket", "address")


def test_accept_raises_what_does_not_pass(paused_kernel: Any) -> None:
    with pytest.raises(OSError, match="failed"):
        paused_kernel.run(accept, FaultyListener(errno.EBADF, 1))
