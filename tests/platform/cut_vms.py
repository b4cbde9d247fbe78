"""Cuts between VMs and targets of an in-memory deployment, and load during them."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from typing import Any

import curio
from steady_load import SteadyLoad

from siskinward.platform.standins import SiteSettings

if TYPE_CHECKING:
    from collections.abc import Collection

    from siskinward.daemon.entry.process import EntryProcess
    from siskinward.platform.standins import Site
    from siskinward.standins.memory_network import CutKind
    from siskinward.standins.memory_network import MemoryNetwork

SITE = SiteSettings(zones={"bud-a": "budapest", "deb-a": "debrecen", "pec-a": "pecs"})
RATE_PER_S = 36.0
BEFORE_S = 4.0
# The platform's rule counts from this long after a cut began.
CONTACT_S = 3.0
NOT_RUN_STATUSES = {408, 421, 429, 503}
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


def relay_all(vm: EntryProcess) -> None:
    """Let a VM send all its requests through others."""
    vm.steering.paths.is_direct = lambda target: False  # type: ignore[method-assign]


def runs_by_path(site: Site) -> Counter[str]:
    """Return how often the requests for each path ran, at all targets."""
    return Counter(run.path for target in site.targets.values() for run in target.runs)


def check_promises(site: Site, load: SteadyLoad) -> None:
    """Check that bookings ran once at most, and not at all if they were refused as not run."""
    runs = runs_by_path(site)
    assert all(runs[call.path] <= 1 for call in load.calls if "/bookings/" in call.path)
    refused = [
        call.path
        for call in load.calls
        if call.response is not None and call.response.status in NOT_RUN_STATUSES
    ]
    assert not [path for path in refused if path in runs]


def relayed_requests(site: Site) -> int:
    """Return how many requests all VMs have relayed for others."""
    return sum(vm.relayed_count for vm in site.vms.values())
