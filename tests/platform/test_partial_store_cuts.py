"""VMs that read the store are cut off from it alone, and go on reaching the other VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import curio
import pytest

from siskinward.platform.standins import SiteSettings
from siskinward.transport.clock import read_clock_s
from siskinward.transport.outbound_connection import ExchangeFailedError
from siskinward.transport.outbound_connection import SendPhase

if TYPE_CHECKING:
    from siskinward.platform.standins import Site
    from siskinward.standins.memory_network import MemoryNetwork

SITE = SiteSettings(
    zones={"bud-a": "budapest", "deb-a": "debrecen", "pec-a": "pecs"}, vms_per_zone=3
)
DRAIN_BOUND_S = 2.0
BEFORE_S = 4.0
OFFSETS_S = (0.3, 0.6, 0.9, 1.2, 1.5, 1.8, 2.1, 2.4)


async def refuse() -> Any:
    raise ExchangeFailedError(SendPhase.NOT_CONNECTED, "refused")


def cut_from_store(site: Site, vms: list[str]) -> None:
    """Let the store refuse the next calls of some VMs."""
    for vm in vms:
        store: Any = site.vms[vm]._store
        store._acquire_connection = refuse


def known_targets(site: Site, vm: str) -> set[str]:
    return {target.name for target in site.vms[vm].steering.targets.all()}


# DRAIN in a hunt on 8df5dc5: a VM that reaches the store sent to a target 2.005 s after it left.
# For VMs that reach no store, the bound does not hold.
@pytest.mark.parametrize("offset_s", OFFSETS_S)
def test_target_that_leaves_while_readers_are_cut_off_from_the_store_gets_nothing_in_time(
    run_site: Any, offset_s: float
) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        order = sorted(site.vms, key=lambda vm: site.vms[vm].steering.fleet.rank(read_clock_s()))
        for cut in (order[:2], order[2:4]):
            cut_from_store(site, cut)
            await curio.sleep(BEFORE_S)
        await curio.sleep(offset_s)
        leaving = site.targets["listings-deb-a-0"]
        await site.store.put("servers", leaving.name, None)
        await curio.sleep(DRAIN_BOUND_S)
        assert not [vm for vm in order[4:] if leaving.name in known_targets(site, vm)]

    run_site(scenario, SITE)
