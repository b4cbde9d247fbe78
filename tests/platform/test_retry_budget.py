"""The retry budget binds all VMs together, whatever happens to VMs, targets and load."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import curio
import pytest
from steady_load import SteadyLoad

from siskinward.platform.standins import SiteSettings
from siskinward.platform.standins import TargetFault
from soak.retry_arrivals import RetryWindow
from soak.retry_arrivals import worst_window

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from siskinward.platform.standins import Site
    from siskinward.standins.memory_network import MemoryNetwork

    Disturb = Callable[[Site, MemoryNetwork, SteadyLoad], Awaitable[None]]

SITE = SiteSettings(bounds=("retry_budget_ratio=0.2", "retry_window=10s", "budget_slack=5"))
RATE_PER_S = 24.0
# Long enough to spend a budget that was saved before the trouble.
SAVED_S = 3.0
GENERATION_S = 4.5
# A whole window before the trouble, in which no budget is used.
BEFORE_S = 12.0
TROUBLES = (TargetFault.LOSES_ANSWERS, TargetFault.TRUNCATES_ANSWERS, TargetFault.FAILS)


def worst_window_of(site: Site, load: SteadyLoad) -> RetryWindow:
    arrivals = [arrival for target in site.targets.values() for arrival in target.arrivals]
    bounds = next(iter(site.vms.values())).steering.entry.bounds
    return worst_window(load.sent_s(), arrivals, bounds)


async def kill_all(site: Site) -> None:
    for name in list(site.vms):
        await site.restart_vm(name)


async def kill_all_once(site: Site, network: MemoryNetwork, load: SteadyLoad) -> None:
    await curio.sleep(SAVED_S)
    await kill_all(site)
    await curio.sleep(2 * GENERATION_S)


async def kill_all_within_one_window(site: Site, network: MemoryNetwork, load: SteadyLoad) -> None:
    for _ in range(3):
        await curio.sleep(SAVED_S)
        await kill_all(site)
    await curio.sleep(2 * GENERATION_S)


async def kill_one_by_one(site: Site, network: MemoryNetwork, load: SteadyLoad) -> None:
    await curio.sleep(GENERATION_S)
    for name in [*site.vms, *site.vms]:
        await site.restart_vm(name)
        await curio.sleep(1.0)


async def cut_vms_from_one_another(site: Site, network: MemoryNetwork, load: SteadyLoad) -> None:
    hosts = [vm.steering.entry.host for vm in site.vms.values()]
    network.cut_pairs = {frozenset((a, b)) for a in hosts for b in hosts if a != b}
    await curio.sleep(GENERATION_S)
    await kill_all(site)
    await curio.sleep(2 * GENERATION_S)
    network.cut_pairs = set()
    await curio.sleep(GENERATION_S)


async def let_load_fall(site: Site, network: MemoryNetwork, load: SteadyLoad) -> None:
    await curio.sleep(SAVED_S)
    load.rate_per_s /= 10
    await kill_all(site)
    await curio.sleep(2 * GENERATION_S)


async def move_load_from_vm_to_vm(site: Site, network: MemoryNetwork, load: SteadyLoad) -> None:
    names = list(load.vms)
    for name in names:
        load.vms = [name]
        await curio.sleep(SAVED_S)


async def start_vms_while_store_is_down(
    site: Site, network: MemoryNetwork, load: SteadyLoad
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
        load = SteadyLoad(site, list(site.vms), RATE_PER_S)
        running = await curio.spawn(load.run)
        await curio.sleep(BEFORE_S)
        for target in site.targets.values():
            target.fault = trouble
        await disturb(site, network, load)
        load.stop()
        await running.join()
        worst = worst_window_of(site, load)
        assert worst.retries > 0
        assert worst.excess <= 0, worst

    run_site(scenario, SITE)
