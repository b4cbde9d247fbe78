"""The rate limits that targets state bind all VMs together, whatever else happens."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import curio
import pytest
from limit_load import Load
from limit_load import state_limit

from siskinward.platform.standins import SiteSettings
from siskinward.platform.standins import TargetFault
from siskinward.platform.standins import TargetStandIn
from siskinward.transport.clock import read_clock_s
from soak.stated_limits import CONTACT_S
from soak.stated_limits import allowed_arrivals
from soak.stated_limits import most_arrivals

if TYPE_CHECKING:
    from siskinward.platform.standins import Site
    from siskinward.standins.memory_network import MemoryNetwork

LIMITED = "listings-bud-a-0"
VM = "vm-bud-a-0"
THREE_REGIONS = {"bud-a": "budapest", "deb-a": "debrecen", "pec-a": "pecs"}
# All VMs have read the end of a limit from answers, or from one another, within this time.
ENDED_S = 6.0
LOAD_S = 12.0


def listings(site: Site) -> list[TargetStandIn]:
    return [target for target in site.targets.values() if target.service == "listings"]


def check_limit(target: TargetStandIn, rate_per_s: float, since_s: float) -> None:
    most = most_arrivals(target, since_s)
    assert most <= allowed_arrivals(rate_per_s), f"{target.name} got {most}"


async def load_limited(site: Site, rate: str, *, rate_per_s: float = 24.0, **load: Any) -> Load:
    """Let one target state a limit, put load on all, and check what the target got."""
    limited = site.targets[LIMITED]
    state_limit([limited], rate)
    stated_s = read_clock_s()
    requests = Load(site, rate_per_s=rate_per_s, **load)
    await requests.run(LOAD_S)
    check_limit(limited, float(rate), stated_s + CONTACT_S)
    return requests


# Incident inc1: targets that named a limit went on getting their whole share of the load, in first
# sends of many VMs.
def test_target_that_states_a_limit_gets_no_more_from_all_vms_together(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        load = await load_limited(site, "1.3")
        assert load.statuses == {200}

    run_site(scenario)


def test_limit_binds_a_single_vm_that_gets_all_load(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        load = await load_limited(site, "1.3", vms=(VM,))
        assert load.statuses == {200}

    run_site(scenario)


@pytest.mark.parametrize("rate", [0.5, 1.3, 4.0])
def test_limit_is_used_to_the_full_while_there_is_load(run_site: Any, rate: float) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        limited = site.targets[LIMITED]
        state_limit([limited], str(rate))
        await Load(site, rate_per_s=48.0).run(4.0)
        since_s = read_clock_s()
        await Load(site, rate_per_s=48.0).run(20.0)
        arrivals = sum(at_s >= since_s for at_s in limited.arrivals_s)
        assert arrivals >= 0.8 * rate * 20.0

    run_site(scenario)


def test_limit_that_falls_binds_at_the_new_rate(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        limited = site.targets[LIMITED]
        state_limit([limited], "6")
        await Load(site, rate_per_s=24.0).run(6.0)
        state_limit([limited], "1")
        stated_s = read_clock_s()
        await Load(site, rate_per_s=24.0).run(10.0)
        check_limit(limited, 1.0, stated_s + CONTACT_S)

    run_site(scenario)


@pytest.mark.parametrize("last", ["0", "0.3", "1.3"])
def test_limit_that_is_no_longer_stated_ends(run_site: Any, last: str) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        limited = site.targets[LIMITED]
        load = Load(site, rate_per_s=24.0)
        await load.run(8.0)
        usual = len(limited.arrivals_s)
        state_limit([limited], last)
        await load.run(8.0)
        state_limit([limited], None)
        await load.run(ENDED_S)
        before = len(limited.arrivals_s)
        await load.run(8.0)
        assert len(limited.arrivals_s) - before >= 0.8 * usual

    run_site(scenario)


@pytest.mark.parametrize("malformed", ["", "many", "-3", "1e9", "nan", "2, 3", "9" * 400])
def test_malformed_limit_leaves_the_last_one_in_force(run_site: Any, malformed: str) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        limited = site.targets[LIMITED]
        state_limit([limited], "1.3")
        stated_s = read_clock_s()
        load = Load(site, rate_per_s=24.0)
        await load.run(4.0)
        state_limit([limited], malformed)
        await load.run(8.0)
        check_limit(limited, 1.3, stated_s + CONTACT_S)
        assert load.statuses == {200}

    run_site(scenario)


def test_last_limit_before_malformed_ones_outlives_the_vms_that_heard_it(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        limited = site.targets[LIMITED]
        state_limit([limited], "1.3")
        stated_s = read_clock_s()
        load = Load(site, rate_per_s=24.0)
        await load.run(4.0)
        state_limit([limited], "many")
        for vm in list(site.vms):
            await load.run(3.0)
            await site.restart_vm(vm)
            await curio.sleep(1.0)
        await load.run(8.0)
        check_limit(limited, 1.3, stated_s + CONTACT_S)

    run_site(scenario)


def test_limits_of_all_targets_bind_and_excess_is_refused_at_once(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        state_limit(listings(site), "1.5")
        stated_s = read_clock_s()
        load = Load(site, rate_per_s=24.0)
        await load.run(4.0)
        warm_up = len(load.responses)
        await load.run(16.0)
        for target in listings(site):
            check_limit(target, 1.5, stated_s + CONTACT_S)
        settled = load.responses[warm_up:]
        refused = [response for response in settled if response.status != 200]
        assert {response.status for response in refused} == {503}
        assert all(float(response.header(b"retry-after") or 0) > 0 for response in refused)
        assert sum(response.status == 200 for response in settled) >= 0.8 * 4 * 1.5 * 16.0
        lines = [line for vm in site.vms for line in site.lines(vm)]
        waits_ms = [line["took_ms"] for line in lines if line.get("reason") == "targets-limited"]
        assert max(waits_ms) < 500

    run_site(scenario)


def test_refused_caller_that_returns_when_told_is_served(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        state_limit(listings(site), "1")
        load = Load(site, rate_per_s=12.0)
        await load.run(6.0)
        served = 0
        for _ in range(10):
            response = await site.call(VM)
            while response.status == 503:
                await curio.sleep(float(response.header(b"retry-after") or 0))
                response = await site.call(VM)
                served += response.status == 200
                break
            else:
                served += 1
        assert served >= 9

    run_site(scenario)


def test_second_tries_are_counted_against_the_limit(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        for target in listings(site):
            if target.name != LIMITED:
                target.fault = TargetFault.SHEDS
        await load_limited(site, "1.3")

    run_site(scenario)


def test_rejected_requests_are_counted_against_the_limit(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        site.targets[LIMITED].fault = TargetFault.SHEDS
        load = await load_limited(site, "1.3")
        assert load.statuses == {200}

    run_site(scenario)


def test_probes_of_many_vms_are_counted_against_the_limit(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        limited = site.targets[LIMITED]
        state_limit([limited], "0.5")
        stated_s = read_clock_s()
        await Load(site, rate_per_s=24.0).run(CONTACT_S)
        for _ in range(40):
            for process in site.vms.values():
                for target in process.steering.targets.all():
                    target.needs_probe = target.name == limited.name
            await curio.sleep(0.2)
        assert limited.probes > 0
        check_limit(limited, 0.5, stated_s + CONTACT_S)

    run_site(scenario, SiteSettings(THREE_REGIONS, vms_per_zone=4))


@pytest.mark.parametrize("is_graceful", [True, False])
def test_limit_binds_while_vms_stop_and_start(run_site: Any, is_graceful: bool) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        limited = site.targets[LIMITED]
        state_limit([limited], "1.3")
        stated_s = read_clock_s()
        async with curio.TaskGroup() as group:
            await group.spawn(Load(site, rate_per_s=24.0).run, 20.0)
            for vm in list(site.vms):
                await curio.sleep(3.0)
                if is_graceful:
                    await site.vms[vm].shut_down()
                await site.restart_vm(vm)
        check_limit(limited, 1.3, stated_s + CONTACT_S)

    run_site(scenario)


def test_limit_binds_after_all_vms_were_killed(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        limited = site.targets[LIMITED]
        state_limit([limited], "1.3")
        await Load(site, rate_per_s=24.0).run(6.0)
        for vm in list(site.vms):
            await site.restart_vm(vm)
        restarted_s = read_clock_s()
        await curio.sleep(2.0)
        load = Load(site, rate_per_s=24.0)
        await load.run(10.0)
        check_limit(limited, 1.3, restarted_s + CONTACT_S)
        assert load.statuses == {200}

    run_site(scenario)


@pytest.mark.parametrize("cut", [["vm-bud-a-0"], ["vm-bud-a-0", "vm-deb-a-0"]])
def test_limit_binds_on_both_sides_of_a_cut(run_site: Any, cut: list[str]) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        limited = site.targets[LIMITED]
        state_limit([limited], "1.3")
        stated_s = read_clock_s()
        load = Load(site, rate_per_s=24.0)
        await load.run(4.0)
        one = {site.vms[vm].steering.entry.host for vm in cut}
        other = {vm.steering.entry.host for vm in site.vms.values()} - one
        network.cut_pairs = {frozenset((near, far)) for near in one for far in other}
        await load.run(10.0)
        network.cut_pairs = set()
        await load.run(6.0)
        check_limit(limited, 1.3, stated_s + CONTACT_S)
        assert load.statuses <= {200, 503}
        assert load.served() >= 0.9 * len(load.responses)

    run_site(scenario)


@pytest.mark.parametrize("new_name", [None, "listings-bud-a-9"])
def test_limit_of_an_ended_instance_does_not_bind_its_successor(
    run_site: Any, new_name: str | None
) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        old = site.targets[LIMITED]
        load = Load(site, rate_per_s=24.0)
        state_limit([old], "0.3")
        await load.run(6.0)
        await old.crash()
        await site.store.put("servers", old.name, None)
        new = TargetStandIn(
            new_name or old.name, old.service, old.host, old.port, old.zone, started_ms=2
        )
        site.targets[new.name] = new
        await new.start()
        await site.report(new)
        await load.run(ENDED_S)
        before = len(new.arrivals_s)
        await load.run(8.0)
        assert len(new.arrivals_s) - before >= 0.1 * 24.0 * 8.0

    run_site(scenario)


def test_limit_that_the_successor_states_itself_binds(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        limited = site.targets[LIMITED]
        load = Load(site, rate_per_s=24.0)
        state_limit([limited], "4")
        await load.run(4.0)
        await limited.crash()
        state_limit([limited], "1")
        limited.started_ms = 2
        await limited.start()
        stated_s = read_clock_s()
        await curio.sleep(1.0)
        await site.report(limited)
        await load.run(10.0)
        check_limit(limited, 1.0, stated_s + CONTACT_S)

    run_site(scenario)


@pytest.mark.parametrize("vms_per_zone", [1, 4])
def test_limits_bind_fleets_of_other_sizes(run_site: Any, vms_per_zone: int) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        load = await load_limited(site, "1.8", rate_per_s=40.0)
        assert load.statuses == {200}

    run_site(scenario, SiteSettings(THREE_REGIONS, vms_per_zone=vms_per_zone))
