"""Cuts between VMs and targets of an in-memory deployment, and load during them."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import curio
from steady_load import SteadyLoad

from siskinward.platform.standins import SiteSettings

if TYPE_CHECKING:
    from collections.abc import Collection

    from siskinward.platform.standins import Site
    from siskinward.standins.memory_network import CutKind
    from siskinward.standins.memory_network import MemoryNetwork

SITE = SiteSettings(zones={"bud-a": "budapest", "deb-a": "debrecen", "pec-a": "pecs"})
RATE_PER_S = 36.0
BEFORE_S = 4.0
# The platform's rule counts from this long after a cut began.
CONTACT_S = 3.0
ONE = ("vm-bud-a-0",)
REGION = ("vm-bud-a-0", "vm-bud-a-1")
MOST = (*REGION, "vm-deb-a-0", "vm-deb-a-1", "vm-pec-a-0")


def hosts_of(site: Site, vms: Collection[str]) -> list[str]:
    return [site.vms[name].steering.entry.host for name in vms]


def target_hosts(site: Site) -> list[str]:
    return [target.host for target in site.targets.values()]


async def cut(site: Site, network: MemoryNetwork, vms: Collection[str], kind: CutKind) -> None:
    await network.cut_between(hosts_of(site, vms), target_hosts(site), kind)


async def start_load(site: Site) -> tuple[SteadyLoad, Any]:
    load = SteadyLoad(site, list(site.vms), RATE_PER_S, ("listings", "bookings"))
    return load, await curio.spawn(load.run)


def relayed_requests(site: Site) -> int:
    """Return how many requests all VMs have relayed for others."""
    return sum(vm.relayed_count for vm in site.vms.values())
