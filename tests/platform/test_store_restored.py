"""Entry VMs when the store comes back from an old copy of itself.

What was written since the copy was made is gone until the operator and the targets write it again,
and versions are given out again. Nothing that was in force before may be undone meanwhile.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import curio
from site_calls import call_all
from site_calls import runs_after

from siskinward.platform.standins import TargetStandIn
from siskinward.transport.clock import read_clock_s

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from siskinward.platform.standins import Site
    from siskinward.standins.memory_network import MemoryNetwork

VM = "vm-bud-a-0"
CONFIGURATION_BOUND_S = 2.0
DRAIN_BOUND_S = 2.0
EVACUATION_BOUND_S = 5.0
AWAY_S = 0.6
WRITTEN_AGAIN_S = 1.5
# All VMs have read the new era by then.
ERA_SPREAD_S = 1.0
VMS_TABLE = "siskinward_vms"


async def lose(site: Site, change: Callable[[], Awaitable[None]]) -> None:
    """Make a change that all VMs see, and lose it: the store comes back from a copy before it."""
    copy = site.store.take_copy()
    await change()
    await curio.sleep(CONFIGURATION_BOUND_S)
    await come_back(site, copy)


async def come_back(site: Site, copy: Any) -> None:
    await site.store.come_back_from(copy, away_s=AWAY_S)


async def move_listings(site: Site, path: str) -> None:
    site.configuration.spec("routes", "r-listings")["prefix"] = path
    await site.publish()


async def publish_again(site: Site) -> None:
    """Write the configuration in force again, with its version."""
    site.configuration.version -= 3
    await site.publish()


async def statuses(site: Site, path: str, rounds: int = 1, key: str = "key-1") -> set[int]:
    return set(await call_all(site, rounds, path, key))


async def assert_gets_nothing(site: Site, target: TargetStandIn, for_s: float) -> None:
    since_s = read_clock_s()
    while read_clock_s() < since_s + for_s:
        await statuses(site, "/listings/{}", rounds=6)
        await curio.sleep(0.2)
    assert runs_after([target], since_s) == 0


def test_lost_configuration_stays_in_force_and_later_ones_are_followed(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        await lose(site, lambda: move_listings(site, "/moved/"))
        for _ in range(6):
            assert await statuses(site, "/moved/1") == {200}
            await curio.sleep(WRITTEN_AGAIN_S / 6)
        await publish_again(site)
        await curio.sleep(ERA_SPREAD_S)
        assert await statuses(site, "/moved/1") == {200}
        await move_listings(site, "/third/")
        await curio.sleep(CONFIGURATION_BOUND_S)
        assert await statuses(site, "/third/1") == {200}
        assert await statuses(site, "/moved/1") == {404}

    run_site(scenario)


def test_withdrawn_key_stays_withdrawn_also_at_a_vm_that_starts_meanwhile(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        async def withdraw() -> None:
            site.configuration.spec("tenants", "account-1")["api_keys"] = ["spare-key-1"]
            await site.publish()

        await lose(site, withdraw)
        assert await statuses(site, "/listings/1") == {401}
        await curio.sleep(ERA_SPREAD_S)
        await site.restart_vm(VM)
        await curio.sleep(CONFIGURATION_BOUND_S)
        assert await statuses(site, "/listings/1") == {401}
        assert await statuses(site, "/listings/1", key="spare-key-1") == {200}

    run_site(scenario)


def test_draining_target_that_the_copy_calls_ready_gets_nothing(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        leaving = site.targets["listings-bud-a-0"]
        await lose(site, lambda: site.report(leaving, "draining"))
        await assert_gets_nothing(site, leaving, WRITTEN_AGAIN_S)
        await site.report(leaving, "draining")
        await site.store.put("servers", leaving.name, None)
        await assert_gets_nothing(site, leaving, 10.0)

    run_site(scenario)


def test_removed_target_that_the_copy_calls_ready_gets_nothing(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        gone = site.targets["listings-bud-a-0"]

        async def remove() -> None:
            await site.store.put("servers", gone.name, None)

        await lose(site, remove)
        await assert_gets_nothing(site, gone, WRITTEN_AGAIN_S)
        # The store drops the row again once three of the target's heartbeats are missing.
        await site.store.put("servers", gone.name, None)
        await assert_gets_nothing(site, gone, 10.0)

    run_site(scenario)


def test_released_target_serves_on_and_its_predecessor_gets_nothing(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        old = site.targets["listings-bud-a-0"]
        new = TargetStandIn("listings-new", "listings", "10.1.64.99", 8080, "bud-a")
        await new.start()

        async def replace() -> None:
            await site.report(new)
            await site.store.put("servers", old.name, None)

        await lose(site, replace)
        site.targets[new.name] = new
        since_s = read_clock_s()
        await assert_gets_nothing(site, old, WRITTEN_AGAIN_S)
        assert runs_after([new], since_s) > 0
        await site.report(new)
        await curio.sleep(10.0)
        since_s = read_clock_s()
        assert await statuses(site, "/listings/{}", rounds=10) == {200}
        assert runs_after([new], since_s) > 0

    run_site(scenario)


def test_lost_evacuation_lasts_until_it_is_written_again(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        inside = site.targets["listings-bud-a-0"]

        async def evacuate() -> None:
            await site.store.put("op", "evacuate/bud-a", b"{}")

        await lose(site, evacuate)
        await assert_gets_nothing(site, inside, WRITTEN_AGAIN_S)
        await evacuate()
        await assert_gets_nothing(site, inside, 12.0)

    run_site(scenario)


def test_new_evacuation_after_the_loss_takes_effect_in_time(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        inside = site.targets["listings-bud-a-0"]
        copy = site.store.take_copy()
        await curio.sleep(1.0)
        await come_back(site, copy)
        await site.store.put("op", "evacuate/bud-a", b"{}")
        await curio.sleep(EVACUATION_BOUND_S)
        await assert_gets_nothing(site, inside, 2.0)

    run_site(scenario)


def test_two_losses_in_a_row_undo_nothing(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        leaving = site.targets["listings-bud-a-0"]
        copy = site.store.take_copy()
        await site.report(leaving, "draining")
        await move_listings(site, "/listings/moved/")
        await curio.sleep(CONFIGURATION_BOUND_S)
        for _ in range(2):
            await come_back(site, copy)
            await curio.sleep(ERA_SPREAD_S)
            await assert_gets_nothing(site, leaving, WRITTEN_AGAIN_S)
            assert await statuses(site, "/listings/moved/1") == {200}
        await publish_again(site)
        await move_listings(site, "/third/")
        await curio.sleep(CONFIGURATION_BOUND_S)
        assert await statuses(site, "/third/1") == {200}

    run_site(scenario)


def test_vm_cut_off_meanwhile_is_brought_forward_by_the_others(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        cut_off = site.vms[VM]
        copy = site.store.take_copy()
        network.cut_hosts = {cut_off.steering.entry.host}
        await move_listings(site, "/moved/")
        await curio.sleep(CONFIGURATION_BOUND_S)
        await come_back(site, copy)
        await curio.sleep(ERA_SPREAD_S)
        network.cut_hosts = set()
        await curio.sleep(CONFIGURATION_BOUND_S)
        assert (await site.call(VM, "/moved/1")).status == 200
        await publish_again(site)
        await move_listings(site, "/third/")
        await curio.sleep(CONFIGURATION_BOUND_S)
        assert await statuses(site, "/third/1") == {200}

    run_site(scenario)


def test_vms_write_their_own_rows_again(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        copy = site.store.take_copy()
        await site.restart_vm(VM)
        await curio.sleep(1.0)
        copy.rows.pop((VMS_TABLE, VM))
        await come_back(site, copy)
        await curio.sleep(3.0)
        assert site.store.keys(VMS_TABLE) == set(site.vms)

    run_site(scenario)


def test_era_is_logged_once_a_table(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        copy = site.store.take_copy()
        await come_back(site, copy)
        # The store has lost nothing, so its answers are held until the wait of a read ends.
        await curio.sleep(2 * ERA_SPREAD_S)
        for vm in site.vms:
            logged = [line for line in site.lines(vm) if line["kind"] == "store-era"]
            assert sorted(line["table"] for line in logged) == ["operator", "targets", "vms"]
            assert {line["era"] for line in logged} == {1}

    run_site(scenario)
