"""Entries that name a service of no configuration mislead no decision about the others."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import curio
from site_calls import call_all

from siskinward.platform.standins import SiteSettings
from siskinward.transport.clock import read_clock_s
from soak.odd_entries import encode_entry

if TYPE_CHECKING:
    from siskinward.platform.standins import Site
    from siskinward.standins.memory_network import MemoryNetwork

ONE_ZONE = SiteSettings(zones={"bud-a": "budapest"}, targets_per_zone=2)
ENTRIES = 300
SETTLE_S = 3.0


# A VM that counts as cut off from all targets hands its requests to others, or refuses them.
def test_entries_of_services_that_do_not_exist_do_not_make_a_vm_count_as_cut_off(
    run_site: Any,
) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        for index in range(ENTRIES):
            address = f"10.1.{100 + index // 200}.{1 + index % 200}:8080"
            entry = encode_entry(address=address, service="unknown")
            await site.store.put("servers", f"odd-{index}", entry)
        await curio.sleep(SETTLE_S)
        await site.targets["listings-bud-a-0"].crash()
        statuses = await call_all(site, 30)
        assert set(statuses) == {200}
        await curio.sleep(SETTLE_S)
        for vm in site.vms:
            assert "targets-cut-off" not in {line["kind"] for line in site.lines(vm)}
            assert site.vms[vm].steering.paths.was_heard_since(read_clock_s() - 3 * SETTLE_S)

    run_site(scenario, ONE_ZONE)
