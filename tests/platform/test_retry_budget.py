"""The retry budget binds all VMs together, whatever happens to VMs, targets and load."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import curio
import pytest
from attrs import define
from attrs import field

from siskinward.platform.standins import Site
from siskinward.platform.standins import SiteSettings
from siskinward.platform.standins import TargetFault
from siskinward.transport.clock import read_clock_s
from siskinward.transport.outbound_connection import ExchangeFailedError
from soak.retry_arrivals import RetryWindow
from soak.retry_arrivals import worst_window

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from siskinward.standins.memory_network import MemoryNetwork

    Disturb = Callable[[Site, MemoryNetwork, "RetryLoad"], Awaitable[None]]

SERVICE = "listings"
SITE = SiteSettings(bounds=("retry_budget_ratio=0.2", "retry_window=10s", "budget_slack=5"))
RATE_PER_S = 24.0
# Long enough to spend a budget that was saved before the trouble.
SAVED_S = 3.0
GENERATION_S = 4.5
# A whole window before the trouble, in which no budget is used.
BEFORE_S = 12.0
TROUBLES = (TargetFault.LOSES_ANSWERS, TargetFault.TRUNCATES_ANSWERS, TargetFault.FAILS)


@define
class RetryLoad:
    """Requests for many objects at ``rate_per_s``, to ``vms`` in turn; sends until stopped."""

    site: Site
    vms: list[str]
    rate_per_s: float = RATE_PER_S
    sent_s: list[float] = field(factory=list)
    statuses: list[int] = field(factory=list)

    async def run(self) -> None:
        async with curio.TaskGroup() as group:
            while self.rate_per_s > 0:
                await group.spawn(self._send, len(self.sent_s))
                self.sent_s.append(read_clock_s())
                await curio.sleep(1.0 / self.rate_per_s)

    async def _send(self, number: int) -> None:
        vm = self.vms[number % len(self.vms)]
        try:
            response = await self.site.call(vm, f"/{SERVICE}/{number % 101}")
        except (ExchangeFailedError, OSError):
            # The VM was killed; the request counts as sent.
            return
        self.statuses.append(response.status)

    def worst_window(self) -> RetryWindow:
        arrivals = [item for target in self.site.targets.values() for item in target.arrivals]
        return worst_window(self.sent_s, arrivals, self._bounds())

    def _bounds(self) -> Any:
        return next(iter(self.site.vms.values())).steering.entry.bounds


async def kill_all(site: Site) -> None:
    for name in list(site.vms):
        await site.restart_vm(name)


async def kill_all_once(site: Site, network: MemoryNetwork, load: RetryLoad) -> None:
    await curio.sleep(SAVED_S)
    await kill_all(site)
    await curio.sleep(2 * GENERATION_S)


async def kill_all_within_one_window(site: Site, network: MemoryNetwork, load: RetryLoad) -> None:
    for _ in range(3):
        await curio.sleep(SAVED_S)
        await kill_all(site)
    await curio.sleep(2 * GENERATION_S)


async def kill_one_by_one(site: Site, network: MemoryNetwork, load: RetryLoad) -> None:
    await curio.sleep(GENERATION_S)
    for name in [*site.vms, *site.vms]:
        await site.restart_vm(name)
        await curio.sleep(1.0)


async def cut_vms_from_one_another(site: Site, network: MemoryNetwork, load: RetryLoad) -> None:
    hosts = [vm.steering.entry.host for vm in site.vms.values()]
    network.cut_pairs = {frozenset((a, b)) for a in hosts for b in hosts if a != b}
    await curio.sleep(GENERATION_S)
    await kill_all(site)
    await curio.sleep(2 * GENERATION_S)
    network.cut_pairs = set()
    await curio.sleep(GENERATION_S)


async def let_load_fall(site: Site, network: MemoryNetwork, load: RetryLoad) -> None:
    await curio.sleep(SAVED_S)
    load.rate_per_s /= 10
    await kill_all(site)
    await curio.sleep(2 * GENERATION_S)


async def move_load_from_vm_to_vm(site: Site, network: MemoryNetwork, load: RetryLoad) -> None:
    names = list(load.vms)
    for name in names:
        load.vms = [name]
        await curio.sleep(SAVED_S)


async def start_vms_while_store_is_down(
    site: Site, network: MemoryNetwork, load: RetryLoad
) -> None:
    await curio.sleep(GENERATION_S)
    network.cut_hosts = {next(iter(site.vms.values())).steering.entry.store.host}
    await kill_all(site)
    await curio.sleep(GENERATION_S)
    network.cut_hosts = set()
    await curio.sleep(2 * GENERATION_S)


DISTURBANCES = (
    kill_all_once,
    kill_all_within_one_window,
    kill_one_by_one,
    cut_vms_from_one_another,
    let_load_fall,
    move_load_from_vm_to_vm,
    start_vms_while_store_is_down,
)


CASES = [(disturb, TargetFault.SHEDS) for disturb in DISTURBANCES]
CASES += [(kill_all_within_one_window, trouble) for trouble in TROUBLES]


# Incident BUDGET: VMs that were killed spent their retry budget again after the restart.
@pytest.mark.parametrize(
    ("disturb", "trouble"), CASES, ids=[f"{case.__name__}-{fault.value}" for case, fault in CASES]
)
def test_retries_of_all_vms_stay_within_the_budget(
    run_site: Any, disturb: Disturb, trouble: TargetFault
) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        load = RetryLoad(site, list(site.vms))
        running = await curio.spawn(load.run)
        await curio.sleep(BEFORE_S)
        for target in site.targets.values():
            target.fault = trouble
        await disturb(site, network, load)
        load.rate_per_s = 0.0
        await running.join()
        worst = load.worst_window()
        assert worst.retries > 0
        assert worst.excess <= 0, worst

    run_site(scenario, SITE)
