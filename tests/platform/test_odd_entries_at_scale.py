"""Hundreds of entries that can't be used cost no line at each read, and mislead no decision."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

import curio

from siskinward.coordination.steering.rows import StoreTable
from siskinward.platform.standins import SiteSettings
from soak.odd_entries import ODD_ENTRIES

if TYPE_CHECKING:
    from siskinward.platform.standins import Site
    from siskinward.standins.memory_network import MemoryNetwork

VM = "vm-bud-a-0"
ONE_ZONE = SiteSettings(zones={"bud-a": "budapest"}, targets_per_zone=2)
ENTRIES = 300
ROUNDS = 6
ROUND_S = 1.5
AWAY_S = 0.6
SETTLE_S = 3.0
# What a VM may keep of an entry that it can't use.
KEPT_BYTES = 1000


async def write_round(site: Site, number: int) -> None:
    """Write all odd entries anew, as heartbeats do, each with other bytes than before."""
    odd = list(ODD_ENTRIES.values())
    for index in range(ENTRIES):
        await site.store.put("servers", f"odd-{index}", odd[index % len(odd)] + b" " * number)


def lines_of(site: Site, vm: str, kind: str) -> list[dict[str, Any]]:
    return [line for line in site.lines(vm) if line["kind"] == kind]


def test_odd_entries_are_logged_once_and_until_they_turn_good(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        for number in range(ROUNDS):
            await write_round(site, number)
            await curio.sleep(ROUND_S)
        copy = site.store.take_copy()
        await site.store.come_back_from(copy, away_s=AWAY_S)
        await write_round(site, ROUNDS)
        await curio.sleep(SETTLE_S)
        for vm, process in site.vms.items():
            logged = [line["key"] for line in lines_of(site, vm, "row-unreadable")]
            assert len(logged) == len(set(logged)) == ENTRIES
            assert max(len(json.dumps(line)) for line in site.lines(vm)) < 2 * KEPT_BYTES
            assert process.steering.unreadable_rows.count(StoreTable.TARGETS) == ENTRIES
        await site.store.put("servers", "odd-0", site.targets["listings-bud-a-0"].encode_entry())
        await site.store.put("servers", "odd-1", None)
        await curio.sleep(SETTLE_S)
        for vm, process in site.vms.items():
            assert [line["key"] for line in lines_of(site, vm, "row-readable")] == [
                "odd-0",
                "odd-1",
            ]
            assert process.steering.unreadable_rows.count(StoreTable.TARGETS) == ENTRIES - 2

    run_site(scenario, ONE_ZONE)


def test_odd_entries_take_little_memory(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        for number in range(ROUNDS):
            for index in range(ENTRIES):
                await site.store.put("servers", f"odd-{index}", bytes([number]) * 60_000)
            await curio.sleep(ROUND_S)
        for process in site.vms.values():
            copy = process.steering.tables[StoreTable.TARGETS]
            odd = [row for key, row in copy.rows.items() if key.startswith("odd")]
            assert len(odd) == ENTRIES
            assert max(len(row.value or b"") for row in odd) < KEPT_BYTES

    run_site(scenario, ONE_ZONE)


def test_odd_entries_change_no_placement(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        targets = site.vms[VM].steering.targets
        revision = targets.revision
        for number in range(ROUNDS):
            await write_round(site, number)
            await curio.sleep(ROUND_S)
        assert targets.revision == revision

    run_site(scenario, ONE_ZONE)
