"""An entry of another writer that can't be used names no target, and stops no VM from following.

Each is written in five ways: alone, over a good entry, before all VMs start, with the store's
history dropped, and while the store comes back from a copy of itself.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import curio
import pytest
from site_calls import call_all
from site_calls import runs_after

from siskinward.platform.standins import SiteSettings
from siskinward.platform.standins import TargetStandIn
from siskinward.transport.clock import read_clock_s
from soak.odd_entries import ODD_ENTRIES

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from siskinward.platform.standins import Site
    from siskinward.standins.memory_network import MemoryNetwork

    _Way = Callable[[Site, bytes], Awaitable[None]]

ONE_ZONE = SiteSettings(zones={"bud-a": "budapest"}, targets_per_zone=3)
ODD_KEY = "odd"
SPOILT = "listings-bud-a-0"
AWAY_S = 0.6
SETTLE_S = 2.5
FAILURE_KINDS = {"runtime", "task-failed"}
NEW_HOST = "10.1.64.99"


async def write_alone(site: Site, entry: bytes) -> None:
    await site.store.put("servers", ODD_KEY, entry)


async def write_over_a_good_entry(site: Site, entry: bytes) -> None:
    await site.store.put("servers", SPOILT, entry)


async def write_before_all_start(site: Site, entry: bytes) -> None:
    await site.store.put("servers", ODD_KEY, entry)
    for vm in list(site.vms):
        await site.restart_vm(vm)


async def write_with_history_dropped(site: Site, entry: bytes) -> None:
    await site.store.put("servers", ODD_KEY, entry)
    site.store.drop_history()


async def write_before_the_store_comes_back(site: Site, entry: bytes) -> None:
    """Write it over a good entry and over another odd one, both of which the copy has."""
    await site.store.put("servers", ODD_KEY, b"odd before")
    copy = site.store.take_copy()
    for key in (SPOILT, ODD_KEY):
        await site.store.put("servers", key, entry)
    await curio.sleep(SETTLE_S)
    await site.store.come_back_from(copy, away_s=AWAY_S)


WAYS = {
    "alone": write_alone,
    "over": write_over_a_good_entry,
    "start": write_before_all_start,
    "history": write_with_history_dropped,
    "copy": write_before_the_store_comes_back,
}


async def assert_targets_are_followed(site: Site) -> None:
    """A new target gets requests, and one that is removed gets none."""
    new = TargetStandIn("listings-new", "listings", NEW_HOST, 8080, "bud-a")
    gone = site.targets["listings-bud-a-1"]
    await new.start()
    site.targets[new.name] = new
    await site.report(new)
    await site.store.put("servers", gone.name, None)
    await curio.sleep(SETTLE_S)
    since_s = read_clock_s()
    assert set(await call_all(site, 12)) == {200}
    assert runs_after([new], since_s) > 0
    assert runs_after([gone], since_s) == 0


async def assert_good_entry_counts_at_once(site: Site) -> None:
    spoilt = site.targets[SPOILT]
    await site.report(spoilt)
    await curio.sleep(SETTLE_S)
    since_s = read_clock_s()
    assert set(await call_all(site, 12)) == {200}
    assert runs_after([spoilt], since_s) > 0


@pytest.mark.parametrize("way", WAYS.values(), ids=WAYS)
@pytest.mark.parametrize("entry", ODD_ENTRIES.values(), ids=ODD_ENTRIES)
def test_odd_entry_does_not_stop_vms_from_following_the_targets(
    run_site: Any, entry: bytes, way: _Way
) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        await way(site, entry)
        await curio.sleep(SETTLE_S)
        for process in site.vms.values():
            assert process.steering.targets.get(ODD_KEY) is None  # type: ignore[arg-type]
        await assert_targets_are_followed(site)
        await assert_good_entry_counts_at_once(site)
        for vm in site.vms:
            assert not [
                line for line in site.lines(vm) if line["kind"] in ("runtime", "task-failed")
            ]

    run_site(scenario, ONE_ZONE)
