"""A target whose own entry is odd for a while gets nothing meanwhile, and is the same after it."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import curio
from site_calls import call_all
from site_calls import runs_after
from steady_load import SteadyLoad

from siskinward.platform.standins import SiteSettings
from siskinward.transport.clock import read_clock_s
from soak.odd_entries import ODD_ENTRIES
from soak.odd_entries import encode_entry

if TYPE_CHECKING:
    from siskinward.platform.standins import Site
    from siskinward.standins.memory_network import MemoryNetwork

ONE_ZONE = SiteSettings(zones={"bud-a": "budapest"}, vms_per_zone=10, targets_per_zone=3)
SPOILT = "listings-bud-a-0"
RATE_PER_S = 200.0
LIMIT_PER_S = 0.5
WINDOW_S = 4.0
# One and a half times what the limit allows in a window, and 5 requests more.
ALLOWED_ARRIVALS = 1.5 * LIMIT_PER_S * WINDOW_S + 5
CONTACT_S = 3.0
SPOILT_S = 4.0
SETTLE_S = 2.5


# Soak seed 543724993: 12 requests in 4 s where 8 are allowed, once the entry was readable again.
def test_limit_of_a_target_outlives_an_odd_entry_over_its_own(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        target = site.targets[SPOILT]
        target.rate_limit = str(LIMIT_PER_S)
        load = SteadyLoad(site, list(site.vms), RATE_PER_S)
        running = await curio.spawn(load.run)
        await curio.sleep(CONTACT_S)
        since_s = read_clock_s()
        for _ in range(2):
            await site.store.put("servers", SPOILT, ODD_ENTRIES["no-json"])
            await curio.sleep(SPOILT_S)
            await site.report(target)
            await curio.sleep(WINDOW_S)
        load.stop()
        await running.join()
        times = [at_s for at_s in target.arrivals_s if at_s >= since_s]
        most = max(sum(0 <= other - at_s < WINDOW_S for other in times) for at_s in times)
        assert most <= ALLOWED_ARRIVALS

    run_site(scenario, ONE_ZONE)


def test_target_whose_entry_names_another_service_and_goes_gets_nothing(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        target = site.targets[SPOILT]
        address = f"{target.host}:{target.port}"
        entry = encode_entry(address=address, service="bookings", born=target.started_ms)
        await site.store.put("servers", SPOILT, entry)
        await curio.sleep(SETTLE_S)
        await site.store.put("servers", SPOILT, None)
        await curio.sleep(SETTLE_S)
        since_s = read_clock_s()
        assert set(await call_all(site, 12)) == {200}
        assert runs_after([target], since_s) == 0

    run_site(scenario, ONE_ZONE)
