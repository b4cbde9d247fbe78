"""A target that turns a request away and asks for a rest gets nothing from that VM meanwhile."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import curio
import pytest
from cut_vms import check_promises
from cut_vms import relay_all
from leaving_load import LeavingLoad
from leaving_load import arrivals_since
from leaving_load import known_target
from leaving_load import start_target
from site_calls import read_metrics
from steady_load import SteadyLoad

from siskinward.platform._headers import HEADERS
from siskinward.platform.standins import SiteSettings
from siskinward.platform.standins import TargetFault
from siskinward.platform.standins import TargetStandIn
from siskinward.platform.standins._target_faults import RefusalCopy
from siskinward.transport.clock import read_clock_s

if TYPE_CHECKING:
    from siskinward.platform.standins import Site
    from siskinward.standins.memory_network import MemoryNetwork

SITE = SiteSettings(
    zones={"bud-a": "budapest", "deb-a": "debrecen", "pec-a": "pecs"}, targets_per_zone=2
)
ONE = "listings-bud-a-0"
VM = "vm-bud-a-0"
# What was on its way when the target asked for the rest has arrived by then.
UNDER_WAY_S = 0.02


def listings(site: Site) -> list[TargetStandIn]:
    return [target for target in site.targets.values() if target.service == "listings"]


def ask_for_rest(rest: str, *targets: TargetStandIn) -> None:
    for target in targets:
        target.fault = TargetFault.SHEDS
        target.rest = rest


def broken_rests(load: LeavingLoad, target: TargetStandIn, rest_s: float) -> list[str]:
    """Return the requests that VMs sent to a target within the rests that it asked them for."""
    vms = {call.attempt_id: call.vm for call in load.calls}
    return [
        arrival.attempt_id
        for rest in target.rests
        for arrival in target.arrivals
        if vms.get(arrival.attempt_id) == vms.get(rest.attempt_id)
        and rest.at_s + UNDER_WAY_S < arrival.at_s < rest.at_s + rest_s
    ]


@pytest.mark.parametrize("path", ["/listings/{}", "/bookings/{}"])
@pytest.mark.parametrize(("rest", "rest_s"), [("3", 3.0), ("0.7", 0.7), ("1.", 1.0), (".5", 0.5)])
def test_target_that_asks_for_a_rest_gets_nothing_meanwhile(
    run_site: Any, path: str, rest: str, rest_s: float
) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        resting = [item for item in site.targets.values() if item.service == path.split("/")[1]][:1]
        ask_for_rest(rest, *resting)
        load = LeavingLoad(site, path=path)
        await load.run(7.0)
        for target in resting:
            # Each VM came back after its rests, and was asked for another.
            assert len(target.rests) >= 7.0 / rest_s
            assert not broken_rests(load, target, rest_s)
        # Where rests are short, requests that meet one use up the budget of retries.
        assert load.served_share() >= (1.0 if rest_s >= 1.0 else 0.98)

    run_site(scenario, SITE)


def test_targets_that_all_rest_let_callers_be_refused_until_the_first_rest_ends(
    run_site: Any,
) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        ask_for_rest("3", *listings(site))
        load = LeavingLoad(site, rate_per_s=80.0)
        await load.run(1.0)
        since_s = read_clock_s()
        first_end_s = min(rest.at_s for target in listings(site) for rest in target.rests) + 3.0
        await load.run(1.0)
        assert not any(arrivals_since(target, since_s) for target in listings(site))
        for call in (call for call in load.calls if call.sent_s >= since_s):
            assert call.response is not None
            assert call.response.status == 503
            assert call.ended_s - call.sent_s < 0.1
            retry_s = call.sent_s + float(call.response.header(b"retry-after") or 0)
            assert first_end_s - 0.01 <= retry_s <= first_end_s + 1.0
        assert "targets-resting" in {line.get("reason") for line in site.lines(VM)}
        for target in listings(site):
            target.fault, target.rest = TargetFault.NONE, None
        await curio.sleep(3.0)
        since_s = read_clock_s()
        await load.run(2.0)
        assert load.served_share(since_s) == 1.0

    run_site(scenario, SITE)


def test_requests_come_back_one_by_one_after_a_rest(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        targets = listings(site)
        ask_for_rest("1", *targets)
        load = LeavingLoad(site)
        await load.run(0.5)
        for target in targets:
            target.fault, target.rest, target.work_s = TargetFault.NONE, None, 0.2
        await curio.sleep(1.5)
        rested = [item for item in targets if known_target(site, item, VM).is_returning]
        assert rested
        since_s = read_clock_s()
        calls = [await curio.spawn(load.send, number, VM) for number in range(60)]
        await curio.sleep(0.1)
        assert max(arrivals_since(target, since_s) for target in rested) == 1
        for call in calls:
            await call.join()
        since_s = read_clock_s()
        calls = [await curio.spawn(load.send, number, VM) for number in range(60)]
        await curio.sleep(0.1)
        assert max(arrivals_since(target, since_s) for target in rested) > 1

    run_site(scenario, SITE)


@pytest.mark.parametrize(
    "value", ["", "-3", "soon", "1e3", "nan", "inf", "Wed, 21 Oct 2037 07:28:00 GMT", "9" * 4000]
)
def test_malformed_rest_is_none(run_site: Any, value: str) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        target = site.targets[ONE]
        ask_for_rest(value, target)
        target.remaining_faults = 1
        load = LeavingLoad(site)
        await load.run(4.0)
        assert load.served_share() == 1.0
        assert arrivals_since(target, read_clock_s() - 2.0) > 3

    run_site(scenario, SITE)


@pytest.mark.parametrize("value", ["86400", "999999999"])
def test_rest_of_days_lasts_an_hour(run_site: Any, value: str) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        target = site.targets[ONE]
        ask_for_rest(value, target)
        target.remaining_faults = 3
        await LeavingLoad(site).run(2.0)
        rests_s = known_target(site, target, VM).rests_until_s - read_clock_s()
        assert rests_s == pytest.approx(3600.0, abs=3.0)

    run_site(scenario, SITE)


def test_rest_given_twice_lasts_as_long_as_the_longer_one(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        target = site.targets[ONE]
        target.extra_headers = ((HEADERS.retry_after, b"3"),)
        ask_for_rest("1", target)
        load = LeavingLoad(site)
        await load.run(6.0)
        assert target.rests
        assert not broken_rests(load, target, 3.0)

    run_site(scenario, SITE)


def test_resting_target_is_not_probed(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        target = site.targets[ONE]
        ask_for_rest("6", target)
        load = LeavingLoad(site, rate_per_s=80.0)
        await load.run(3.0)
        probes, now_s = target.probes, read_clock_s()
        known = [known_target(site, target, vm) for vm in site.vms]
        resting = [item for item in known if item.is_resting(now_s)]
        assert resting
        for item in resting:
            item.needs_probe = True
        await curio.sleep(2.0)
        assert target.probes == probes
        await curio.sleep(4.5)
        assert target.probes == probes + len(resting)

    run_site(scenario, SITE)


def test_rest_in_a_health_answer_binds(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        target = site.targets[ONE]
        target.rest, target.sheds_probes = "30", True
        known_target(site, target, VM).needs_probe = True
        await curio.sleep(0.5)
        assert target.probes == 1
        load = LeavingLoad(site)
        for number in range(60):
            await load.send(number, VM)
        assert not target.arrivals

    run_site(scenario, SITE)


def test_rest_in_a_relayed_answer_binds_the_asking_and_the_relaying_vm(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        relay_all(site.vms[VM])
        target = site.targets[ONE]
        ask_for_rest("30", target)
        load = LeavingLoad(site)
        number = 0
        while not target.rests:
            await load.send(number, VM)
            number += 1
        now_s = read_clock_s()
        bound = [vm for vm in site.vms if known_target(site, target, vm).is_resting(now_s)]
        assert VM in bound
        assert len(bound) == 2
        for other in range(60):
            for vm in bound:
                await load.send(1000 + other, vm)
        assert arrivals_since(target, now_s) == 0

    run_site(scenario, SITE)


def test_rest_teaches_no_health(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        target = site.targets[ONE]
        ask_for_rest("0.3", target)
        await LeavingLoad(site).run(4.0)
        assert len(target.rests) > 10
        for vm in site.vms:
            known = known_target(site, target, vm)
            assert known.error_share == 0.0
            assert not known.needs_probe

    run_site(scenario, SITE)


@pytest.mark.parametrize("copy", RefusalCopy, ids=lambda copy: copy.name.lower())
def test_copy_of_a_refusal_with_a_rest_neither_rests_nor_refuses_another_request(
    run_site: Any, copy: RefusalCopy
) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        for target in site.targets.values():
            target.fault, target.fault_variant = TargetFault.REPEATS_REFUSALS, copy
            target.rest = "0.4"
        load = SteadyLoad(site, list(site.vms), 20.0, ("bookings",))
        running = await curio.spawn(load.run)
        await curio.sleep(8.0)
        load.stop()
        await running.join()
        assert sum(len(target.rests) for target in site.targets.values()) > 10
        check_promises(site, load)
        for target in site.targets.values():
            for vm in site.vms:
                asked_s = max((rest.at_s for rest in target.rests), default=0.0)
                assert known_target(site, target, vm).rests_until_s <= asked_s + 0.4 + UNDER_WAY_S

    run_site(scenario, SITE)


def test_next_start_of_a_target_is_free_of_the_rest_of_the_one_before(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        old = site.targets[ONE]
        ask_for_rest("600", old)
        load = LeavingLoad(site)
        await load.run(2.0)
        await old.crash()
        new = TargetStandIn(old.name, old.service, old.host, old.port, old.zone, started_ms=2)
        await start_target(site, new)
        await load.run(4.0)
        assert len(new.arrivals) > 5

    run_site(scenario, SITE)


def test_rest_and_rate_limit_of_a_target_both_bind(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        target = site.targets[ONE]
        ask_for_rest("1", target)
        target.rate_limit = "0.5"
        load = LeavingLoad(site)
        await load.run(10.0)
        assert not broken_rests(load, target, 1.0)
        late_s = [
            arrival.at_s for arrival in target.arrivals if arrival.at_s > load.calls[0].sent_s + 3
        ]
        assert len(late_s) <= 0.5 * 1.5 * 7.0 + 5

    run_site(scenario, SITE)


def test_resting_target_is_shown_in_logs_and_metrics(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        target = site.targets[ONE]
        ask_for_rest("3", target)
        target.remaining_faults = len(site.vms)
        await LeavingLoad(site).run(2.0)
        assert 'targets{service="listings",state="resting"} 1.0' in await read_metrics(site, VM)
        await curio.sleep(4.0)
        kinds = ("target-resting", "target-rest-ended")
        lines = [line for line in site.lines(VM) if line["kind"] in kinds]
        assert [line["kind"] for line in lines] == list(kinds)
        assert {line["target"] for line in lines} == {target.name}

    run_site(scenario, SITE)
