"""Requests that other VMs relay keep every promise that requests over own connections keep."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import curio
import pytest
from cut_vms import BEFORE_S
from cut_vms import CONTACT_S
from cut_vms import MOST
from cut_vms import ONE
from cut_vms import REGION
from cut_vms import SITE
from cut_vms import check_promises
from cut_vms import cut
from cut_vms import relayed_requests
from steady_load import SteadyLoad

from siskinward.daemon.entry.relay_handler import RelayHandler
from siskinward.platform.standins import SiteSettings
from siskinward.platform.standins import TargetFault
from siskinward.standins.memory_network import CutKind
from siskinward.transport.clock import read_clock_s
from soak.retry_arrivals import worst_window
from soak.stated_limits import allowed_arrivals
from soak.stated_limits import most_arrivals

if TYPE_CHECKING:
    from siskinward.platform.standins import Site
    from siskinward.standins.memory_network import MemoryNetwork
    from siskinward.transport.relay_messages import RelayReply
    from siskinward.transport.relay_messages import RelayRequest

AT_ONCE_S = 0.1
LOAD_S = 8.0
QUOTA_SITE = SiteSettings(zones=SITE.zones, rate_per_s=10.0, burst=10.0)
# The platform's bounds of the stand-in: 10 a second and a burst of 10, in any 5 s.
QUOTA_IN_WINDOW = (10 * 5 + 10) * 1.1 + 20


async def load_cut_vms(
    site: Site,
    network: MemoryNetwork,
    kind: CutKind = CutKind.HANGS,
    *,
    vms: tuple[str, ...] = REGION,
    rate_per_s: float = 24.0,
    services: tuple[str, ...] = ("listings", "bookings"),
) -> SteadyLoad:
    """Cut VMs off, and once they have noticed it put load on these alone."""
    await cut(site, network, vms, kind)
    load = SteadyLoad(site, list(vms), rate_per_s, services)
    running = await curio.spawn(load.run)
    await curio.sleep(CONTACT_S + LOAD_S)
    load.stop()
    await running.join()
    assert relayed_requests(site) > 0
    return load


@pytest.mark.parametrize("kind", CutKind, ids=lambda kind: kind.value)
@pytest.mark.parametrize("fault", [TargetFault.NONE, TargetFault.LOSES_ANSWERS, TargetFault.SHEDS])
def test_relayed_bookings_run_once_and_not_run_is_true(
    run_site: Any, kind: CutKind, fault: TargetFault
) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        for target in list(site.targets.values())[::2]:
            target.fault = fault
        load = await load_cut_vms(site, network, kind)
        check_promises(site, load)

    run_site(scenario, SITE)


def test_relayed_requests_count_once_towards_the_quota(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        await load_cut_vms(site, network)
        starts = sorted(run.started_s for target in site.targets.values() for run in target.runs)
        most = max(sum(0 <= other - at_s < 5.0 for other in starts) for at_s in starts)
        assert 50 <= most <= QUOTA_IN_WINDOW

    run_site(scenario, QUOTA_SITE)


def test_relayed_requests_keep_the_retry_budget(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        for target in site.targets.values():
            target.fault = TargetFault.SHEDS
        load = await load_cut_vms(site, network, services=("listings",))
        arrivals = [item for target in site.targets.values() for item in target.arrivals]
        bounds = site.vms[ONE[0]].steering.entry.bounds
        assert worst_window(load.sent_s(), arrivals, bounds).excess <= 0

    run_site(scenario, SiteSettings(zones=SITE.zones, bounds=("budget_slack=5",)))


def test_relayed_requests_keep_stated_limits(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        limited = site.targets["listings-bud-a-0"]
        limited.rate_limit = "1.3"
        stated_s = read_clock_s()
        await load_cut_vms(site, network, services=("listings",))
        assert 0 < most_arrivals(limited, stated_s + CONTACT_S) <= allowed_arrivals(1.3)

    run_site(scenario, SITE)


def test_relayed_requests_keep_the_warmup_rate(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        cold = [site.targets[f"listings-{zone}-0"] for zone in SITE.zones]
        for target in cold:
            target.warmup_left_ms = 20_000
            target.heartbeat += 1
            await site.report(target)
        await curio.sleep(1.0)
        since_s = read_clock_s()
        await load_cut_vms(site, network, vms=MOST, rate_per_s=48.0, services=("listings",))
        arrivals = [[at_s for at_s in target.arrivals_s if at_s >= since_s] for target in cold]
        assert any(arrivals)
        for times in arrivals:
            # 4 requests a second, one and a half times that and 5 more in any second.
            most = max(
                (sum(0 <= other - at_s < 1.0 for other in times) for at_s in times), default=0
            )
            assert most <= 11

    run_site(scenario, SITE)


async def restrict_to_budapest(site: Site) -> None:
    site.configuration.spec("routes", "r-listings")["allowed_regions"] = ["budapest"]
    await site.publish()
    await curio.sleep(CONTACT_S)


def test_request_with_a_home_is_relayed_within_it(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        await restrict_to_budapest(site)
        load = await load_cut_vms(site, network, vms=ONE, services=("listings",))
        assert load.served_share(lambda call: call.sent_s > load.calls[0].sent_s + CONTACT_S) == 1.0
        relays = [name for name, vm in site.vms.items() if vm.relayed_count]
        assert relays == [REGION[1]]

    run_site(scenario, SITE)


def test_request_with_a_home_that_no_vm_can_reach_is_refused_at_once(
    run_site: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    relayed: list[str] = []
    relay = RelayHandler.relay

    async def record(self: RelayHandler, request: RelayRequest) -> RelayReply:
        if request.request is not None:
            relayed.append(request.request.target)
        return await relay(self, request)

    async def scenario(site: Site, network: MemoryNetwork) -> None:
        monkeypatch.setattr(RelayHandler, "relay", record)
        await restrict_to_budapest(site)
        await cut(site, network, REGION, CutKind.HANGS)
        running = await curio.spawn(SteadyLoad(site, list(REGION), 10.0).run, daemon=True)
        await curio.sleep(CONTACT_S)
        started_s, runs = read_clock_s(), site.runs()
        response = await site.call(ONE[0], "/listings/home")
        assert response.status == 503
        assert read_clock_s() - started_s < AT_ONCE_S
        assert site.runs() == runs
        await running.cancel()
        assert not [path for path in relayed if path.startswith("/listings/")]

    run_site(scenario, SITE)


def test_request_is_refused_at_once_while_all_vms_are_cut_off(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        await cut(site, network, list(site.vms), CutKind.HANGS)
        load = SteadyLoad(site, list(site.vms), 24.0, ("listings", "bookings"))
        running = await curio.spawn(load.run)
        await curio.sleep(CONTACT_S)
        since_s, relayed = read_clock_s(), relayed_requests(site)
        await curio.sleep(3.0)
        load.stop()
        await running.join()
        judged = [call for call in load.calls if call.sent_s >= since_s]
        assert {call.response.status for call in judged if call.response} == {503}
        assert max(call.ended_s - call.sent_s for call in judged if call.ended_s) < AT_ONCE_S
        assert relayed_requests(site) == relayed

    run_site(scenario, SITE)


def test_evacuated_and_draining_targets_get_nothing_relayed(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        await cut(site, network, REGION, CutKind.RESETS)
        await site.store.put("op", "evacuate/bud-a", b"{}")
        draining = site.targets["listings-deb-a-0"]
        draining.heartbeat += 1
        await site.report(draining, "draining")
        await curio.sleep(CONTACT_S)
        since_s = read_clock_s()
        await load_cut_vms(site, network)
        leaving = [draining, *(item for item in site.targets.values() if item.zone == "bud-a")]
        assert not [run for target in leaving for run in target.runs if run.started_s > since_s]

    run_site(scenario, SITE)


@pytest.mark.parametrize("kind", [CutKind.RESETS, CutKind.HANGS], ids=lambda kind: kind.value)
def test_requests_lost_in_a_cut_do_not_count_as_crashing_targets(
    run_site: Any, kind: CutKind
) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        for target in site.targets.values():
            target.work_s = 0.5
        async with curio.TaskGroup() as group:
            for _ in range(12):
                await group.spawn(site.call, ONE[0], "/listings/popular")
            await curio.sleep(0.1)
            await cut(site, network, ONE, kind)
        await curio.sleep(CONTACT_S)
        for vm in site.vms:
            assert (await site.call(vm, "/listings/popular")).status == 200

    run_site(scenario, SITE)


# Soak seed 46881763: VMs that were cut off together confirmed one another's losses as crashes.
@pytest.mark.parametrize("kind", CutKind, ids=lambda kind: kind.value)
@pytest.mark.parametrize("all_cut", [False, True], ids=["most", "all"])
def test_requests_lost_when_vms_are_cut_together_do_not_count_as_crashing_targets(
    run_site: Any, kind: CutKind, all_cut: bool
) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        for target in site.targets.values():
            target.work_s = 0.5
        async with curio.TaskGroup() as group:
            for _ in range(8):
                for vm in site.vms:
                    await group.spawn(site.call, vm, "/listings/popular")
            await curio.sleep(0.1)
            await cut(site, network, list(site.vms) if all_cut else MOST, kind)
        await curio.sleep(CONTACT_S)
        network.heal_cuts()
        await curio.sleep(CONTACT_S)
        for vm in site.vms:
            assert (await site.call(vm, "/listings/popular")).status == 200

    run_site(scenario, SITE)


def test_request_that_crashes_targets_is_blocked_while_relayed(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        await cut(site, network, ONE, CutKind.HANGS)
        running = await curio.spawn(SteadyLoad(site, list(ONE), 10.0).run, daemon=True)
        await curio.sleep(CONTACT_S)
        await running.cancel()
        for target in site.targets.values():
            target.fault = TargetFault.CRASHES
        for _ in range(8):
            await site.call(ONE[0], "/listings/poison")
            await curio.sleep(1.0)
        crashed = sum(
            run.path == "/listings/poison"
            for target in site.targets.values()
            for run in target.runs
        )
        assert crashed <= 4

    run_site(scenario, SITE)


def test_requests_are_served_when_relaying_vms_are_killed(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        load = SteadyLoad(site, list(REGION), 24.0)
        running = await curio.spawn(load.run)
        await curio.sleep(BEFORE_S)
        await cut(site, network, REGION, CutKind.HANGS)
        await curio.sleep(CONTACT_S)
        since_s = read_clock_s()
        for name in [name for name in site.vms if name not in REGION]:
            await site.restart_vm(name)
            await curio.sleep(1.0)
        load.stop()
        await running.join()
        assert load.served_share(lambda call: call.sent_s >= since_s) >= 49 / 50

    run_site(scenario, SITE)


def test_vm_that_shuts_down_answers_what_it_relays(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        for target in site.targets.values():
            target.work_s = 1.2
        await cut(site, network, MOST, CutKind.RESETS)
        await curio.sleep(CONTACT_S)
        call = await curio.spawn(site.call, ONE[0], "/listings/long")
        await curio.sleep(0.5)
        [relay] = [vm for name, vm in site.vms.items() if name not in MOST]
        await relay.shut_down()
        await relay.kill()
        assert (await call.join()).status == 200

    run_site(scenario, SITE)


def test_target_stops_work_when_the_caller_of_a_cut_vm_disconnects(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        await cut(site, network, ONE, CutKind.RESETS)
        await curio.sleep(CONTACT_S)
        for target in site.targets.values():
            target.work_s = 2.0
        call = await curio.spawn(site.call, ONE[0], "/listings/left")
        await curio.sleep(0.5)
        await call.cancel()
        await curio.sleep(4.0)
        runs = [run for target in site.targets.values() for run in target.runs]
        assert [run.ended_s for run in runs if run.path == "/listings/left"] == [None]

    run_site(scenario, SITE)
