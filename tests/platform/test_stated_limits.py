"""The rate limits that targets state bind all VMs together."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from limit_load import CONTACT_S
from limit_load import Load
from limit_load import allowed_arrivals
from limit_load import most_arrivals
from limit_load import state_limit

from siskinward.transport.clock import read_clock_s

if TYPE_CHECKING:
    from siskinward.platform.standins import Site
    from siskinward.standins.memory_network import MemoryNetwork


# Incident inc1: targets that named a limit went on getting their whole share of the load, in first
# sends of many VMs.
def test_target_that_states_a_limit_gets_no_more_from_all_vms_together(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        limited = site.targets["listings-bud-a-0"]
        state_limit([limited], "1.3")
        stated_s = read_clock_s()
        load = Load(site, rate_per_s=24.0)
        await load.run(12.0)
        assert most_arrivals(limited, stated_s + CONTACT_S) <= allowed_arrivals(1.3)
        assert load.statuses == {200}

    run_site(scenario)
