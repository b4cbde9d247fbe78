"""Entries that look sound, but where no target is, mislead no decision about the others."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import curio
from site_calls import call_all

from siskinward.platform.standins import SiteSettings
from siskinward.platform.standins import TargetStandIn
from soak.odd_entries import encode_entry

if TYPE_CHECKING:
    from siskinward.platform.standins import Site
    from siskinward.standins.memory_network import MemoryNetwork

ONE_ZONE = SiteSettings(zones={"bud-a": "budapest"}, targets_per_zone=2)
FEW = 20
MANY = 300
ROUNDS = 6
ROUND_S = 2.5
SETTLE_S = 3.0


async def write_entries(site: Site, number: int, service: str) -> None:
    """Write entries of targets that do not exist, and wait until all VMs have them."""
    for index in range(number):
        address = f"10.1.{100 + index // 200}.{1 + index % 200}:8080"
        entry = encode_entry(address=address, service=service)
        await site.store.put("servers", f"odd-{index}", entry)
    await curio.sleep(SETTLE_S)


def assert_never_cut_off(site: Site) -> None:
    for vm in site.vms:
        assert "targets-cut-off" not in {line["kind"] for line in site.lines(vm)}


# A VM that counts as cut off from all targets hands its requests to others, or refuses them.
def test_entries_of_services_that_do_not_exist_do_not_make_a_vm_count_as_cut_off(
    run_site: Any,
) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        await write_entries(site, MANY, "unknown")
        await site.targets["listings-bud-a-0"].crash()
        assert set(await call_all(site, 30)) == {200}
        await curio.sleep(SETTLE_S)
        assert_never_cut_off(site)

    run_site(scenario, ONE_ZONE)


# The paths were checked at three of all entries, whether a target was ever heard there or not.
def test_entries_where_no_target_answers_do_not_make_a_vm_count_as_cut_off(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        await call_all(site, 12)
        await call_all(site, 12, "/bookings/{}")
        await write_entries(site, FEW, "listings")
        await call_all(site, 30)
        await curio.sleep(SETTLE_S)
        assert_never_cut_off(site)

    run_site(scenario, ONE_ZONE)


# Such an entry was tried again and again, as soon as its suspension of two seconds was over.
def test_entry_where_no_target_answers_gets_one_request_of_each_vm(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        await write_entries(site, 1, "listings")
        for _ in range(ROUNDS):
            assert set(await call_all(site, 12)) == {200}
            await curio.sleep(ROUND_S)
        for vm in site.vms:
            answered = [line for line in site.lines(vm) if line["kind"] == "request-answered"]
            sends = [send for line in answered for send in line["sends"]]
            assert sum(send["target"] == "odd-0" for send in sends) <= 1

    run_site(scenario, ONE_ZONE)


def test_target_that_listens_later_gets_requests_once_a_probe_reaches_it(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        late = TargetStandIn("listings-late", "listings", "10.1.64.99", 8080, "bud-a")
        site.targets[late.name] = late
        await site.report(late)
        await curio.sleep(SETTLE_S)
        await call_all(site, 12)
        await late.start()
        await curio.sleep(SETTLE_S)
        assert set(await call_all(site, 12)) == {200}
        assert late.runs

    run_site(scenario, ONE_ZONE)
