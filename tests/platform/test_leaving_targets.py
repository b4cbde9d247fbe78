"""A target that says in its answers that it leaves gets nothing new from a VM that was told."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING
from typing import Any

import curio
import pytest
from cut_vms import relay_all
from leaving_load import LEAVING
from leaving_load import LeavingLoad
from leaving_load import arrivals_since
from leaving_load import known_target
from leaving_load import start_target
from site_calls import read_metrics

from siskinward.platform._headers import HEADERS
from siskinward.platform.standins import SiteSettings
from siskinward.platform.standins import TargetFault
from siskinward.platform.standins import TargetStandIn
from siskinward.platform.standins._site import STORE_HOST
from siskinward.transport.clock import read_clock_s

if TYPE_CHECKING:
    from siskinward.platform.standins import Site
    from siskinward.standins.memory_network import MemoryNetwork

SITE = SiteSettings(
    zones={"bud-a": "budapest", "deb-a": "debrecen", "pec-a": "pecs"}, targets_per_zone=2
)
ONE = "listings-bud-a-0"
VM = "vm-bud-a-0"
RELAYING_VM = "vm-deb-a-0"
BEFORE_S = 1.0
AFTER_S = 4.0
# A VM tells the others with its next report, which may be lost.
TOLD_S = 1.0


def of_service(site: Site, service: str) -> list[TargetStandIn]:
    return [target for target in site.targets.values() if target.service == service]


def leave(*targets: TargetStandIn, word: str | None = LEAVING) -> None:
    for target in targets:
        target.leaving = word


async def load_leaving(site: Site, *targets: TargetStandIn, **load: Any) -> LeavingLoad:
    """Let targets say that they leave amid load, and check that they get nothing once told."""
    requests = LeavingLoad(site, **load)
    await requests.run(BEFORE_S)
    leave(*targets)
    await requests.run(AFTER_S)
    for target in targets:
        late = requests.late(target)
        assert not late, f"{target.name} got {len(late)} requests of VMs that it had told"
    return requests


# review/7: requests went on to targets that said that they leave, and were lost with them.
@pytest.mark.parametrize("path", ["/listings/{}", "/bookings/{}"])
def test_target_that_says_it_leaves_gets_nothing_from_a_vm_that_was_told(
    run_site: Any, path: str
) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        leaving = of_service(site, path.split("/")[1])[:2]
        load = await load_leaving(site, *leaving, path=path)
        assert any(load.told_s(vm, target) < 1e9 for vm in site.vms for target in leaving)
        assert load.served_share() == 1.0

    run_site(scenario, SITE)


def test_requests_that_stick_to_a_leaving_target_go_elsewhere(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        load = await load_leaving(site, *of_service(site, "listings")[:3], object_key="one")
        assert load.served_share() == 1.0

    run_site(scenario, SITE)


def test_word_of_a_target_outlives_a_silent_store(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        hosts = [vm.steering.entry.host for vm in site.vms.values()]
        network.cut_pairs = {frozenset((host, STORE_HOST)) for host in hosts}
        load = await load_leaving(site, site.targets[ONE])
        assert load.served_share() == 1.0

    run_site(scenario, SITE)


def test_word_of_a_target_outlives_its_rows_a_lost_history_and_a_reload(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        target = site.targets[ONE]
        load = await load_leaving(site, target)
        since_s = read_clock_s()
        target.leaving = None
        for _ in range(3):
            target.heartbeat += 1
            await site.report(target)
            site.store.drop_history()
            for vm in site.vms.values():
                vm.reload()
            await load.run(1.0)
            await site.store.put("servers", target.name, None)
            await load.run(1.0)
        assert arrivals_since(target, since_s) == 0

    run_site(scenario, SITE)


@pytest.mark.parametrize("status", [404, 500, 503])
def test_word_of_a_target_counts_in_the_answer_of_a_failed_run(run_site: Any, status: int) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        leaving = of_service(site, "bookings")[:2]
        for target in leaving:
            target.run_status = status
        load = await load_leaving(site, *leaving, path="/bookings/{}")
        since_s = read_clock_s()
        await load.run(1.0)
        assert [arrivals_since(target, since_s) for target in leaving] == [0, 0]

    run_site(scenario, SITE)


def test_word_of_a_target_counts_in_a_refusal(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        target = site.targets[ONE]
        target.fault = TargetFault.SHEDS
        load = LeavingLoad(site)
        leave(target)
        await load.run(2.0)
        since_s = read_clock_s()
        await load.run(2.0)
        assert target.arrivals
        assert arrivals_since(target, since_s) == 0
        assert load.served_share(since_s) == 1.0

    run_site(scenario, SITE)


def test_word_of_a_target_counts_in_a_health_answer(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        target = site.targets[ONE]
        leave(target)
        for vm in site.vms:
            known_target(site, target, vm).needs_probe = True
        await curio.sleep(0.5)
        assert target.probes == len(site.vms)
        await LeavingLoad(site).run(2.0)
        assert not target.arrivals
        for vm in site.vms:
            known_target(site, target, vm).needs_probe = True
        await curio.sleep(0.5)
        assert target.probes == len(site.vms)

    run_site(scenario, SITE)


def test_word_in_a_relayed_answer_binds_the_asking_and_the_relaying_vm(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        relay_all(site.vms[VM])
        load = LeavingLoad(site)
        # Only requests of the VM that relays all of its own reach targets.
        for number in range(20):
            await load.send(number, VM)
        leaving = of_service(site, "listings")[:3]
        leave(*leaving)
        for number in range(40):
            await load.send(number, VM)
        for target in leaving:
            assert not load.late(target)
        since_s = read_clock_s()
        told = [target for target in leaving if load.told_s(VM, target) < since_s]
        assert told
        for target in told:
            heard = {vm for vm in site.vms if known_target(site, target, vm).has_told_leaving}
            assert VM in heard
            assert len(heard) == 2
        await load.run(AFTER_S)
        for target in told:
            assert arrivals_since(target, since_s) == 0

    run_site(scenario, SITE)


def test_word_in_an_answer_whose_caller_has_gone_counts(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        for target in of_service(site, "bookings"):
            target.work_s = 0.5
        leave(*of_service(site, "bookings")[:3])
        load = LeavingLoad(site, path="/bookings/{}")
        callers = [await curio.spawn(load.send, number, VM) for number in range(6)]
        await curio.sleep(0.2)
        for caller in callers:
            await caller.cancel()
        await curio.sleep(1.0)
        told = {run.path for target in of_service(site, "bookings")[:3] for run in target.runs}
        assert told
        since_s = read_clock_s()
        leaving = [target for target in of_service(site, "bookings")[:3] if target.runs]
        await load.run(2.0)
        assert not any(arrivals_since(target, since_s) for target in leaving)

    run_site(scenario, SITE)


def test_next_start_of_a_target_is_free_of_the_word_of_the_one_before(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        old = site.targets[ONE]
        load = await load_leaving(site, old)
        await old.crash()
        new = TargetStandIn(old.name, old.service, old.host, old.port, old.zone, started_ms=2)
        await start_target(site, new)
        await load.run(AFTER_S)
        assert len(new.arrivals) > 5

    run_site(scenario, SITE)


def test_other_target_at_the_address_is_free_of_the_word_and_gives_none(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        old = site.targets[ONE]
        load = await load_leaving(site, old)
        await old.crash()
        await site.store.put("servers", old.name, None)
        new = TargetStandIn("listings-new", "listings", old.host, old.port, old.zone)
        await start_target(site, new)
        await load.run(AFTER_S)
        assert len(new.arrivals) > 5

    run_site(scenario, SITE)


def test_answer_of_another_target_at_the_address_says_nothing_of_the_one_meant(
    run_site: Any,
) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        target = site.targets[ONE]
        name, target.name = target.name, "another"
        leave(target)
        load = LeavingLoad(site)
        await load.run(2.0)
        assert target.arrivals
        target.name, target.leaving = name, None
        target.heartbeat += 1
        await site.report(target)
        since_s = read_clock_s()
        await load.run(AFTER_S)
        assert arrivals_since(target, since_s) > 5

    run_site(scenario, SITE)


def test_late_answer_of_the_earlier_start_does_not_mark_the_next(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        target = site.targets[ONE]
        target.work_s = 1.0
        load = LeavingLoad(site)
        calls = [await curio.spawn(load.send, number, VM) for number in range(18)]
        await curio.sleep(0.3)
        assert target.runs
        leave(target)
        # The store has read of the next start while the requests of this one still run.
        target.started_ms = 2
        await site.report(target)
        for call in calls:
            await call.join()
        assert load.told_s(VM, target) <= read_clock_s()
        target.leaving, target.work_s = None, 0.05
        since_s = read_clock_s()
        await load.run(AFTER_S)
        assert arrivals_since(target, since_s) > 5

    run_site(scenario, SITE)


def test_last_targets_that_leave_get_nothing_and_callers_are_refused_at_once(
    run_site: Any,
) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        leaving = of_service(site, "listings")
        load = await load_leaving(site, *leaving, rate_per_s=80.0)
        since_s = read_clock_s()
        await load.run(2.0)
        after = [call for call in load.calls if call.sent_s >= since_s]
        assert not any(arrivals_since(target, since_s) for target in leaving)
        for call in after:
            assert call.response is not None
            assert call.response.status == 503
            assert float(call.response.header(b"retry-after") or 0) >= 0.5
            assert call.ended_s - call.sent_s < 0.1
        reasons = {line["reason"] for line in site.lines(VM) if "reason" in line}
        assert "targets-leaving" in reasons
        # A target that starts meanwhile serves those that come back when they were told to.
        new = TargetStandIn("listings-new", "listings", "10.1.64.99", leaving[0].port, "bud-a")
        await start_target(site, new)
        await curio.sleep(0.5)
        assert (await load.send(0, VM)).response.status == 200  # type: ignore[union-attr]

    run_site(scenario, SITE)


def test_requests_that_wait_for_the_last_target_are_refused_once_it_leaves(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        last, *others = of_service(site, "listings")
        last.work_s = 0.1
        leave(*others)
        load = LeavingLoad(site)
        await load.run(2.0)
        calls = [await curio.spawn(load.send, number, VM) for number in range(9)]
        await curio.sleep(0.05)
        leave(last)
        sent = {arrival.attempt_id for arrival in last.arrivals}
        waiting = [
            call for call in load.calls if call.ended_s == inf and call.attempt_id not in sent
        ]
        assert waiting
        for task in calls:
            await task.join()
        told_s = load.told_s(VM, last)
        assert {call.response.status for call in waiting if call.response} == {503}
        assert max(call.ended_s for call in waiting) <= told_s + 0.01

    run_site(scenario, SITE)


@pytest.mark.parametrize("word", ["", "yes", "2", "01", "1, 1", "true"])
def test_doubtful_word_keeps_a_target_as_the_last_choice(run_site: Any, word: str) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        targets = of_service(site, "listings")
        leave(targets[0], word=word)
        load = LeavingLoad(site)
        await load.run(2.0)
        since_s = read_clock_s()
        await load.run(2.0)
        assert targets[0].arrivals
        assert arrivals_since(targets[0], since_s) == 0
        # Others can't serve any more: the doubt is worth less than the caller's answer.
        leave(*targets[1:])
        await load.run(2.0)
        since_s = read_clock_s()
        await load.run(1.0)
        assert load.served_share(since_s) == 1.0
        # Its next answers don't say so any more.
        targets[0].leaving = None
        await load.run(1.0)
        assert not any(known_target(site, targets[0], vm).is_leaving_doubted for vm in site.vms)

    run_site(scenario, SITE)


def test_word_of_zero_says_that_the_target_stays(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        target = site.targets[ONE]
        leave(target, word="0")
        await LeavingLoad(site).run(AFTER_S)
        assert len(target.arrivals) > 5

    run_site(scenario, SITE)


@pytest.mark.parametrize(("other", "arrives"), [(b"1", False), (b"0", False), (b"", False)])
def test_word_given_twice_counts_if_one_of_them_does(
    run_site: Any, other: bytes, arrives: bool
) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        target = site.targets[ONE]
        target.extra_headers = ((HEADERS.leaving, other),)
        leave(target)
        load = LeavingLoad(site)
        await load.run(2.0)
        since_s = read_clock_s()
        await load.run(2.0)
        assert bool(arrivals_since(target, since_s)) is arrives

    run_site(scenario, SITE)


def test_vms_tell_one_another_that_a_target_leaves(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        leaving = of_service(site, "listings")[:3]
        leave(*leaving)
        load = LeavingLoad(site)
        for number in range(60):
            await load.send(number, VM)
        told = [target for target in leaving if target.arrivals]
        assert told
        await curio.sleep(TOLD_S)
        since_s = read_clock_s()
        await load.run(3.0)
        assert not any(arrivals_since(target, since_s) for target in told)

    run_site(scenario, SITE)


def test_leaving_target_is_shown_in_logs_and_metrics(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        target = site.targets[ONE]
        await load_leaving(site, target)
        for vm in site.vms:
            begun = [line for line in site.lines(vm) if line["kind"] == "target-leaving"]
            assert [line["target"] for line in begun] == [target.name]
        assert 'targets{service="listings",state="leaving"} 1.0' in await read_metrics(site, VM)
        await site.store.put("servers", target.name, None)
        await curio.sleep(2.0)
        for vm in site.vms:
            ended = [line for line in site.lines(vm) if line["kind"] == "target-leaving-ended"]
            assert [line["target"] for line in ended] == [target.name]

    run_site(scenario, SITE)
